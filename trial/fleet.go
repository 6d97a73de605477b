package trial

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/node"
	"github.com/cassialead/cassialead/route"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/standin"
	"github.com/cassialead/cassialead/store"
)

// Service describes the targets of one service in a deployment.
type Service struct {
	Name        string
	Targets     int
	Slots       int
	Connections int
}

// Layout describes a deployment.
type Layout struct {
	// DataCentres are the data centres with their regions.
	DataCentres []DataCentre
	// Services are the services; their targets are distributed over the data centres in turn, one per node.
	Services []Service
	// SpareVMs is the number of VMs without a target in each data centre.
	SpareVMs int
	// ReadsPerSecond and WritesPerSecond are the store's rate limits.
	ReadsPerSecond, WritesPerSecond int
	// NewBalancer returns the load balancer of a node; if nil, nodes use the default one.
	NewBalancer func() route.Balancer
	// LimitTargets makes the targets execute no more calls at once than they have slots; further calls queue in the target.
	LimitTargets bool
	// AnnouncedSlots replaces the number of slots that targets announce, unless it is zero.
	AnnouncedSlots int
}

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   fleet.DataCentre
	Region fleet.Region
}

// Palmared returns the layout of the deployment of Consorcio Techos de Palma del Caribe.
func Palmared() Layout {
	return Layout{
		DataCentres: []DataCentre{{"costa-norte", "costa"}, {"costa-sur", "costa"},
			{"llanos-arauca", "llanos"}, {"llanos-casanare", "llanos"}},
		Services: []Service{{"stock-and-calendar", 5, 9, 120}, {"order-and-advance", 4, 9, 120},
			{"drawings-and-patterns", 4, 9, 120}},
	}
}

// Yukimichi returns the layout of the deployment of Yukimichi Caption Works.
func Yukimichi() Layout {
	return Layout{
		DataCentres: []DataCentre{{"ishikari-a", "ishikari"}, {"ishikari-b", "ishikari"},
			{"tokachi-a", "tokachi"}, {"tokachi-b", "tokachi"}},
		Services: []Service{{"drafts", 7, 18, 130}, {"approvals-and-orders", 4, 18, 130}, {"renders", 4, 18, 130}},
	}
}

// Uniform returns the layout of n nodes without targets, evenly distributed over data centres in three regions.
func Uniform(n, dataCentres int) Layout {
	l := Layout{SpareVMs: n / dataCentres}
	for i := range dataCentres {
		l.DataCentres = append(l.DataCentres, DataCentre{fleet.DataCentre(fmt.Sprintf("dc-%02d", i)),
			fleet.Region(fmt.Sprintf("region-%d", i*3/dataCentres))})
	}
	return l
}

// VM is one VM of a running fleet: a node and optionally a target.
type VM struct {
	Node       *node.Node
	Target     *standin.Target
	DataCentre DataCentre
	Service    string
	Metrics    *metrics.Set
	name       string
	cancel     context.CancelFunc
	done       chan struct{}
}

// Name returns the VM's name.
func (v *VM) Name() fleet.NodeID { return fleet.NodeID(v.name) }

// CallAddress returns the address at which the VM's node accepts calls.
func (v *VM) CallAddress() string {
	address, _, _ := v.Node.Addresses()
	return string(address)
}

// Fleet is a running deployment.
type Fleet struct {
	Store    *standin.Store
	StoreURL string
	Versions *history.Log
	KV       store.KV
	VMs      []*VM

	layout       Layout
	log          *slog.Logger
	rng          *rand.Rand
	server       *http.Server
	transport    *http.Transport
	seeds        map[fleet.DataCentre][]fleet.Address
	mu           sync.Mutex
	lastVMNumber int
}

const (
	seedsPerDataCentre = 3
	defaultReads       = 2000
	defaultWrites      = 400
)

// New starts a store and all VMs of a layout; log may be nil.
func New(l Layout, seed uint64, log *slog.Logger) (*Fleet, error) {
	if log == nil {
		log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	listener, err := exchange.Listen("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "start simulated store")
	}
	reads, writes := l.ReadsPerSecond, l.WritesPerSecond
	if reads == 0 {
		reads, writes = defaultReads, defaultWrites
	}
	f := &Fleet{layout: l, Store: standin.NewStore(reads, writes), log: log, rng: rand.New(rand.NewPCG(seed, 0)),
		transport: &http.Transport{MaxIdleConnsPerHost: 64}, seeds: map[fleet.DataCentre][]fleet.Address{}}
	f.StoreURL = "http://" + listener.Addr().String()
	f.server = f.Store.Serve(listener, settings.Limits{})
	f.KV = store.New(f.StoreURL, f.transport, metrics.NewSet())
	ids := 0
	f.Versions = history.New(f.KV, time.Now, func() string {
		ids++
		return fmt.Sprintf("trial-%d-%d", seed, ids)
	})
	return f, f.startAll(l)
}

func (f *Fleet) startAll(l Layout) error {
	for _, s := range l.Services {
		for i := range s.Targets {
			if _, err := f.Start(l.DataCentres[i%len(l.DataCentres)], s); err != nil {
				return err
			}
		}
	}
	for range l.SpareVMs {
		for _, c := range l.DataCentres {
			if _, err := f.Start(c, Service{}); err != nil {
				return err
			}
		}
	}
	return nil
}

// Start adds a VM to a data centre, with a target unless the service's name is empty.
func (f *Fleet) Start(c DataCentre, s Service) (*VM, error) {
	f.mu.Lock()
	f.lastVMNumber++
	name := fmt.Sprintf("%s-%d", c.Name, f.lastVMNumber)
	f.mu.Unlock()
	return f.startVM(name, c, s)
}

// Restart starts a VM without state under the name and in the data centre of one that was stopped or killed.
func (f *Fleet) Restart(v *VM, s Service) (*VM, error) { return f.startVM(v.name, v.DataCentre, s) }

func (f *Fleet) startVM(name string, c DataCentre, s Service) (*VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set := metrics.NewSet()
	cfg := settings.Node{VM: fleet.NodeID(name), DataCentre: c.Name, Region: c.Region, CallAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0",
		LocalAddress: "127.0.0.1:0", StoreURL: f.StoreURL, Seeds: f.seeds[c.Name]}
	var balancer route.Balancer
	if f.layout.NewBalancer != nil {
		balancer = f.layout.NewBalancer()
	}
	n, err := node.New(cfg, node.Deps{Balancer: balancer,
		Store: store.New(f.StoreURL, f.transport, set), Log: f.log, Metrics: set,
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), f.rng.Uint64())), Now: time.Now})
	if err != nil {
		return nil, err
	}
	_, link, local := n.Addresses()
	if len(f.seeds[c.Name]) < seedsPerDataCentre {
		f.seeds[c.Name] = append(f.seeds[c.Name][:len(f.seeds[c.Name]):len(f.seeds[c.Name])], link)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v := &VM{Node: n, DataCentre: c, Service: s.Name, Metrics: set, name: name, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		_ = n.Run(ctx)
	}()
	if s.Name != "" {
		v.Target, err = standin.NewTarget(f.targetSettings(s, string(local)))
		if err != nil {
			return nil, err
		}
	}
	f.VMs = append(f.VMs, v)
	return v, nil
}

func (f *Fleet) targetSettings(s Service, local string) standin.TargetSettings {
	t := standin.TargetSettings{Service: s.Name, Slots: s.Slots, Connections: s.Connections, NodeAddress: local}
	if f.layout.LimitTargets {
		t.MaxConcurrency = s.Slots
	}
	if f.layout.AnnouncedSlots != 0 {
		t.Slots, t.Connections = f.layout.AnnouncedSlots, 0
	}
	return t
}

// Stop shuts a VM down gracefully and removes it from the fleet.
func (f *Fleet) Stop(v *VM) {
	v.cancel()
	<-v.done
	if v.Target != nil {
		v.Target.Close()
	}
	f.remove(v)
}

// Kill stops a VM abruptly, as a crash does, and removes it from the fleet.
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

// Close kills all VMs and closes the store.
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
	d, err := f.Versions.Apply(ctx, history.Change{Document: doc, BaseVersion: h.Version, Author: "trial", ID: config.ChangeID(id)})
	return d.To, err
}

// ApplyData parses a document in INI format and submits it as the next version.
func (f *Fleet) ApplyData(ctx context.Context, file string, data []byte) (config.Document, config.Version, error) {
	src, err := config.Parse(file, data)
	if err != nil {
		return nil, 0, err
	}
	v, err := f.Apply(ctx, src.Document, "first")
	return src.Document, v, err
}

// ErrTimeout means that a condition was not met in time.
var ErrTimeout = errors.New("condition was not met in time")

const pollInterval = 2 * time.Millisecond

// Await polls until every VM meets a condition; it returns the time until each VM met it, or ErrTimeout.
func (f *Fleet) Await(timeout time.Duration, condition func(*VM) bool) ([]time.Duration, error) {
	started := time.Now()
	pending := append([]*VM(nil), f.VMs...)
	var elapsed []time.Duration
	for len(pending) > 0 {
		if time.Since(started) > timeout {
			return elapsed, errors.Wrapf(ErrTimeout, "%d of %d VMs pending, such as %s", len(pending), len(f.VMs), pending[0].name)
		}
		remaining := pending[:0]
		for _, v := range pending {
			if condition(v) {
				elapsed = append(elapsed, time.Since(started))
			} else {
				remaining = append(remaining, v)
			}
		}
		pending = remaining
		time.Sleep(pollInterval)
	}
	return elapsed, nil
}

// AwaitVersion polls until every node has a version or a later one in force; it returns the time that each node took.
func (f *Fleet) AwaitVersion(v config.Version, timeout time.Duration) ([]time.Duration, error) {
	return f.Await(timeout, func(vm *VM) bool { return vm.Node.ConfigVersion() >= v })
}

// AwaitTargets polls until every node is ready and has an endpoint for each target in the layout.
func (f *Fleet) AwaitTargets(l Layout, timeout time.Duration) error {
	_, err := f.Await(timeout, func(vm *VM) bool {
		for _, s := range l.Services {
			if vm.Node.EndpointCount(config.ServiceName(s.Name)) < s.Targets {
				return false
			}
		}
		return vm.Node.Ready()
	})
	return err
}

// ClearSeeds removes the seed addresses of a data centre, for when all of its VMs are replaced.
func (f *Fleet) ClearSeeds(dc fleet.DataCentre) {
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

// Served returns the number of calls that have ended at the targets of a service.
func (f *Fleet) Served(service string) int {
	n := 0
	for _, v := range f.VMs {
		if v.Target != nil && v.Service == service {
			n += v.Target.Served()
		}
	}
	return n
}
