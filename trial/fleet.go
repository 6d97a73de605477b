package trial

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/node"
	"github.com/cassialead/cassialead/route"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/standin"
	"github.com/cassialead/cassialead/store"
)

// Service is a service's share of a deployment.
type Service struct {
	Name        string
	Upstreams   int
	Slots       int
	Connections int
}

// Layout describes a deployment.
type Layout struct {
	// Centres lists the data centres with their regions.
	Centres []Centre
	// Services are spread over the data centres in turn, one upstream a node.
	Services []Service
	// Spare adds nodes without a target to each data centre.
	Spare int
	// ReadsPerSecond and WritesPerSecond bound the store.
	ReadsPerSecond, WritesPerSecond int
	// Chooser makes the nodes' way to choose targets; nil means the standard one.
	Chooser func() route.Chooser
	// Limit makes the targets themselves serve only their slots at once; the rest waits inside them.
	Limit bool
	// AnnouncedSlots replaces the slots that targets announce, when it is not zero.
	AnnouncedSlots int
}

// Centre is a data centre and its region.
type Centre struct {
	Name   fleet.DataCentre
	Region fleet.Region
}

// Palmared returns the deployment of Consorcio Techos de Palma del Caribe.
func Palmared() Layout {
	return Layout{
		Centres: []Centre{{"costa-norte", "costa"}, {"costa-sur", "costa"}, {"llanos-arauca", "llanos"}, {"llanos-casanare", "llanos"}},
		Services: []Service{{"stock-and-calendar", 5, 9, 120}, {"order-and-advance", 4, 9, 120},
			{"drawings-and-patterns", 4, 9, 120}},
	}
}

// Yukimichi returns the deployment of Yukimichi Caption Works.
func Yukimichi() Layout {
	return Layout{
		Centres:  []Centre{{"ishikari-a", "ishikari"}, {"ishikari-b", "ishikari"}, {"tokachi-a", "tokachi"}, {"tokachi-b", "tokachi"}},
		Services: []Service{{"drafts", 7, 18, 130}, {"approvals-and-orders", 4, 18, 130}, {"renders", 4, 18, 130}},
	}
}

// Uniform returns a deployment of n nodes without targets in a number of data centres of three regions.
func Uniform(n, centres int) Layout {
	l := Layout{Spare: n / centres}
	for i := range centres {
		l.Centres = append(l.Centres, Centre{fleet.DataCentre(fmt.Sprintf("dc-%02d", i)), fleet.Region(fmt.Sprintf("region-%d", i*3/centres))})
	}
	return l
}

// VM is one VM of a running fleet: a node and, if it has one, a target.
type VM struct {
	Node    *node.Node
	Target  *standin.Target
	Centre  Centre
	Service string
	Metrics *metrics.Set
	name    string
	stop    context.CancelFunc
	ended   chan struct{}
}

// Name returns the VM's name.
func (v *VM) Name() fleet.NodeID { return fleet.NodeID(v.name) }

// Call returns where the VM's node takes callers.
func (v *VM) Call() string {
	call, _, _ := v.Node.Addresses()
	return string(call)
}

// Fleet is a running deployment.
type Fleet struct {
	Store    *standin.Store
	StoreURL string
	Versions *history.Log
	Port     store.Port
	VMs      []*VM

	layout    Layout
	log       *slog.Logger
	rng       *rand.Rand
	server    *http.Server
	transport *http.Transport
	seeds     map[fleet.DataCentre][]fleet.Address
	mu        sync.Mutex
	names     int
}

const (
	seedsPerCentre = 3
	defaultReads   = 2000
	defaultWrites  = 400
)

// New starts a store and all VMs of a layout; log may be nil.
func New(l Layout, seed uint64, log *slog.Logger) (*Fleet, error) {
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	reads, writes := l.ReadsPerSecond, l.WritesPerSecond
	if reads == 0 {
		reads, writes = defaultReads, defaultWrites
	}
	f := &Fleet{layout: l, Store: standin.NewStore(reads, writes), log: log, rng: rand.New(rand.NewPCG(seed, 0)),
		transport: &http.Transport{MaxIdleConnsPerHost: 64}, seeds: map[fleet.DataCentre][]fleet.Address{}}
	f.StoreURL = "http://" + listener.Addr().String()
	f.server = &http.Server{Handler: f.Store.Handler()}
	go func() { _ = f.server.Serve(listener) }()
	f.Port = store.New(f.StoreURL, f.transport, metrics.NewSet())
	ids := 0
	f.Versions = history.New(f.Port, time.Now, func() string {
		ids++
		return fmt.Sprintf("trial-%d-%d", seed, ids)
	})
	return f, f.startAll(l)
}

func (f *Fleet) startAll(l Layout) error {
	for _, s := range l.Services {
		for i := range s.Upstreams {
			if _, err := f.Start(l.Centres[i%len(l.Centres)], s); err != nil {
				return err
			}
		}
	}
	for range l.Spare {
		for _, c := range l.Centres {
			if _, err := f.Start(c, Service{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start adds a VM to a data centre, with a target if the service has a name.
func (f *Fleet) Start(c Centre, s Service) (*VM, error) {
	f.mu.Lock()
	f.names++
	name := fmt.Sprintf("%s-%d", c.Name, f.names)
	f.mu.Unlock()
	return f.start(name, c, s)
}

// Restart replaces a VM by a new one of the same name that has lost everything.
func (f *Fleet) Restart(v *VM, s Service) (*VM, error) { return f.start(v.name, v.Centre, s) }

func (f *Fleet) start(name string, c Centre, s Service) (*VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := metrics.NewSet()
	cfg := settings.Node{VM: fleet.NodeID(name), DataCentre: c.Name, Region: c.Region, CallAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0",
		LocalAddress: "127.0.0.1:0", StoreURL: f.StoreURL, Seeds: f.seeds[c.Name]}
	var chooser route.Chooser
	if f.layout.Chooser != nil {
		chooser = f.layout.Chooser()
	}
	n, err := node.New(cfg, node.Deps{Chooser: chooser,
		Store: store.New(f.StoreURL, f.transport, set), Log: f.log, Metrics: set,
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())), Now: time.Now})
	if err != nil {
		return nil, err
	}
	_, link, local := n.Addresses()
	if len(f.seeds[c.Name]) < seedsPerCentre {
		f.seeds[c.Name] = append(f.seeds[c.Name][:len(f.seeds[c.Name]):len(f.seeds[c.Name])], link)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &VM{Node: n, Centre: c, Service: s.Name, Metrics: set, name: name, stop: cancel, ended: make(chan struct{})}
	go func() {
		defer close(v.ended)
		_ = n.Run(ctx)
	}()
	if s.Name != "" {
		v.Target, err = standin.NewTarget(f.target(s, string(local)))
		if err != nil {
			return nil, err
		}
	}
	f.VMs = append(f.VMs, v)
	return v, nil
}

func (f *Fleet) target(s Service, local string) standin.TargetSettings {
	t := standin.TargetSettings{Service: s.Name, Slots: s.Slots, Connections: s.Connections, Node: local}
	if f.layout.Limit {
		t.Limit = s.Slots
	}
	if f.layout.AnnouncedSlots != 0 {
		t.Slots, t.Connections = f.layout.AnnouncedSlots, 0
	}
	return t
}

// Stop shuts a VM down gracefully and takes it off the list.
func (f *Fleet) Stop(v *VM) {
	v.stop()
	<-v.ended
	if v.Target != nil {
		v.Target.Close()
	}
	f.remove(v)
}

// Kill ends a VM at once, as a failure does, and takes it off the list.
func (f *Fleet) Kill(v *VM) {
	v.Node.Kill()
	if v.Target != nil {
		v.Target.Kill()
	}
	f.remove(v)
}

func (f *Fleet) remove(v *VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, o := range f.VMs {
		if o == v {
			f.VMs = append(f.VMs[:i:i], f.VMs[i+1:]...)
			return
		}
	}
}

// Close ends everything at once.
func (f *Fleet) Close() {
	for len(f.VMs) > 0 {
		f.Kill(f.VMs[0])
	}
	_ = f.server.Close()
}

// Apply submits a document as the next version.
func (f *Fleet) Apply(ctx context.Context, doc config.Document, id string) (config.Version, error) {
	h, _, err := f.Versions.Head(ctx)
	if err != nil && !errors.Is(err, history.ErrEmpty) {
		return 0, err
	}
	d, err := f.Versions.Apply(ctx, history.Change{Document: doc, Base: h.Version, Author: "trial", ID: config.ChangeID(id)})
	return d.To, err
}

// ApplyData submits a document from INI data as the next version.
func (f *Fleet) ApplyData(ctx context.Context, file string, data []byte) (config.Document, config.Version, error) {
	src, err := config.Parse(file, data)
	if err != nil {
		return nil, 0, err
	}
	v, err := f.Apply(ctx, src.Document, "first")
	return src.Document, v, err
}

// ErrTimeout says that a condition did not come true in time.
var ErrTimeout = errors.New("condition did not come true in time")

const pollInterval = 2 * time.Millisecond

// Await polls until a condition holds for every VM; it returns how long each took, or ErrTimeout.
func (f *Fleet) Await(limit time.Duration, holds func(*VM) bool) ([]time.Duration, error) {
	started := time.Now()
	waiting := append([]*VM(nil), f.VMs...)
	var took []time.Duration
	for len(waiting) > 0 {
		if time.Since(started) > limit {
			return took, errors.Wrapf(ErrTimeout, "%d of %d VMs, such as %s", len(waiting), len(f.VMs), waiting[0].name)
		}
		left := waiting[:0]
		for _, v := range waiting {
			if holds(v) {
				took = append(took, time.Since(started))
			} else {
				left = append(left, v)
			}
		}
		waiting = left
		time.Sleep(pollInterval)
	}
	return took, nil
}

// AwaitVersion polls until every node follows a version.
func (f *Fleet) AwaitVersion(v config.Version, limit time.Duration) ([]time.Duration, error) {
	return f.Await(limit, func(vm *VM) bool { return vm.Node.Version() >= v })
}

// AwaitTargets polls until every node knows a number of endpoints of each service.
func (f *Fleet) AwaitTargets(l Layout, limit time.Duration) error {
	_, err := f.Await(limit, func(vm *VM) bool {
		for _, s := range l.Services {
			if vm.Node.Endpoints(config.ServiceName(s.Name)) < s.Upstreams {
				return false
			}
		}
		return vm.Node.Ready()
	})
	return err
}

// ForgetSeeds drops the entry addresses of a data centre, as is done when all of its VMs are replaced.
func (f *Fleet) ForgetSeeds(dc fleet.DataCentre) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.seeds, dc)
}

// Counter returns the sum of a counter over all nodes.
func (f *Fleet) Counter(name string) float64 {
	var sum float64
	for _, v := range f.VMs {
		sum += float64(v.Metrics.GetOrCreateCounter(name).Get())
	}
	return sum
}

// Served returns how many calls the targets of a service have ended.
func (f *Fleet) Served(service string) int {
	n := 0
	for _, v := range f.VMs {
		if v.Target != nil && v.Service == service {
			n += v.Target.Served()
		}
	}
	return n
}
