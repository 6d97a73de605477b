package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/platform/standin"
	"github.com/cassialead/cassialead/settings"
)

const (
	drainTime  = time.Second // of a target that leaves
	graceTime  = 6 * time.Second
	routeTime  = 1500 * time.Millisecond // timeout of the routes
	aimTime    = 300 * time.Millisecond
	memory     = 128 << 20 // bytes, of each node
	firstPort  = 20000     // below the range from which the kernel takes the ports of connections
	portsAhead = 400       // of each soak process, so that two may run at the same time
)

// Fleet is a running fleet of nodes with the stand-ins around them.
type Fleet struct {
	store *standin.Store
	vms   []*VM
	book  *Book

	mu       sync.Mutex
	active   int // troubles under way that are not planned work
	lastEnd  time.Time
	version  config.Version
	named    uint64
	work     sync.WaitGroup
	nextPort atomic.Int64
}

// newFleet starts nodes; program runs one of them and env is added to its environment.
func newFleet(o Options, dir string, log io.Writer) (*Fleet, error) {
	f := &Fleet{store: standin.NewStore(), book: NewBook(time.Now())}
	f.nextPort.Store(firstPort + int64(os.Getpid()%20)*portsAhead)
	f.writePlan()
	centres := []struct {
		dc     fleet.DataCentre
		region fleet.Region
	}{{"costa-norte", "costa"}, {"costa-sur", "costa"}, {"llanos-arauca", "llanos"}}
	for i := range o.Nodes {
		c := centres[i/len(services)%len(centres)]
		cfg := settings.Agent{VM: fleet.NodeID(fmt.Sprintf("vm-%d", i)), DataCentre: c.dc, Region: c.region, Service: services[i%len(services)],
			CallAddress: f.port(), LinkAddress: f.port(), AdvertisedAddress: f.port(), ReadinessAddress: f.port(), ControlAddress: f.port(), TargetAddress: f.port(), StoreAddress: f.port(), HeartbeatInterval: heartbeatGap, ShutdownGrace: graceTime,
			DrainPeriod: drainTime, RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, RetryBudgetWindow: 10 * time.Second, MemoryLimitBytes: memory, MinLease: time.Second}
		v := &VM{name: string(cfg.VM), service: cfg.Service, cfg: cfg, program: o.Program, env: o.Env, log: log, calm: f.calm}
		f.vms = append(f.vms, v)
		var err error
		if v.links, err = NewProxy(string(cfg.AdvertisedAddress), string(cfg.LinkAddress)); err != nil {
			return f, err
		}
		if v.store, err = NewProxy(string(cfg.StoreAddress), f.store.Address()); err != nil {
			return f, err
		}
		if err := v.start(dir); err != nil {
			return f, err
		}
		if err := f.settle(v); err != nil {
			return f, err
		}
	}
	return f, nil
}

// port returns an address that nobody listens at.
func (f *Fleet) port() fleet.Address {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", f.nextPort.Add(1))
		if l, err := net.Listen("tcp4", address); err == nil {
			_ = l.Close()
			return fleet.Address(address)
		}
	}
}

// settle starts a new target beside a node.
func (f *Fleet) settle(v *VM) error {
	f.mu.Lock()
	f.named++
	id := lifecycle.ID(fmt.Sprintf("i-%s-%d", v.name, f.named))
	f.mu.Unlock()
	t, err := startTarget(f.book, targetConfig{id: id, service: v.service, address: v.cfg.TargetAddress, beats: v.cfg.ControlAddress, drain: v.cfg.DrainPeriod})
	if err != nil {
		return err
	}
	v.occupy(t)
	return nil
}

// close ends all that the fleet has started.
func (f *Fleet) close() {
	f.work.Wait()
	for _, v := range f.vms {
		v.close()
		if t := v.occupant(); t != nil {
			t.end()
		}
	}
	f.store.Close()
}

// calm reports whether nothing but planned work has gone on for a time.
func (f *Fleet) calm(most time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active == 0 && time.Since(f.lastEnd) >= most
}

// writePlan puts the next configuration into the store; each version adds a route that tells it apart.
func (f *Fleet) writePlan() {
	f.mu.Lock()
	f.version++
	n := f.version
	f.mu.Unlock()
	rule := func(name, prefix string, calls config.Semantics, s config.ServiceName) config.Rule {
		return config.Rule{Name: config.RouteName(name), Host: soakHost, Prefix: prefix, Semantics: calls, Timeout: routeTime, LatencyObjective: aimTime, MaxAttempts: 2,
			WeightedServices: []config.WeightedService{{Service: s, Weight: 1}}}
	}
	var rules []config.Rule
	var offered []config.PlanService
	for _, s := range services {
		rules = append(rules, rule(string(s)+"-safe", prefixOf(s, false), config.Idempotent, s), rule(string(s)+"-once", prefixOf(s, true), config.AtMostOnce, s))
		offered = append(offered, config.PlanService{Name: s, HealthPath: healthPath, MaxConnections: 100})
	}
	for v := config.Version(1); v <= n; v++ {
		rules = append(rules, rule(fmt.Sprintf("version-%d", v), versionPrefix(v), config.Idempotent, services[0]))
	}
	f.store.Put(string(platform.PlanKey), platform.FormatPlan(n, offered, rules))
}

func versionPrefix(v config.Version) string { return fmt.Sprintf("/version-%d/", v) }

func (f *Fleet) newest() config.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// do begins a trouble; it ends by itself.
func (f *Fleet) do(ctx context.Context, t Trouble) {
	f.work.Go(func() {
		if !planned(t) {
			f.enter()
			defer f.leave()
		}
		if err := f.act(ctx, t); err != nil {
			f.book.End("trouble failed: "+err.Error(), true)
		}
	})
}

func (f *Fleet) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active++
}

func (f *Fleet) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
	f.lastEnd = time.Now()
}

func (f *Fleet) act(ctx context.Context, t Trouble) error {
	switch t := t.(type) {
	case Kill:
		f.vms[t.VM].signal(syscall.SIGKILL)
	case Herd:
		for _, i := range t.VMs {
			f.vms[i].signal(syscall.SIGKILL)
		}
	case Pause:
		f.vms[t.VM].signal(syscall.SIGSTOP)
		wait(ctx, t.For)
		f.vms[t.VM].signal(syscall.SIGCONT)
	case Stop:
		f.stop(f.vms[t.VM])
	case Reload:
		f.vms[t.VM].signal(syscall.SIGHUP)
	case Link:
		spoil(ctx, f.vms[t.VM].links, t.Weather, t.For)
	case StoreLink:
		spoil(ctx, f.vms[t.VM].store, t.Weather, t.For)
	case StoreFault:
		f.store.SetFaults(t.Faults)
		wait(ctx, t.For)
		f.store.SetFaults(standin.Faults{})
	case Revoke:
		f.store.RemovePrefix(string(platform.MemberKey("")))
	case Compact:
		f.store.Compact()
	case Sick:
		f.sicken(services[t.Service], t.Sickness)
		wait(ctx, t.For)
		f.sicken(services[t.Service], Sickness{})
	case Crash:
		return f.replace(f.vms[t.VM], func(old *Target) {
			old.end()
			wait(ctx, t.For)
		})
	case Release:
		return f.replace(f.vms[t.VM], (*Target).leave)
	case Change:
		for range t.Versions {
			f.writePlan()
			wait(ctx, t.Gap)
		}
	}
	return nil
}

// sicken changes how the targets of a service fail.
func (f *Fleet) sicken(s config.ServiceName, how Sickness) {
	for _, v := range f.vms {
		if t := v.occupant(); t != nil && v.service == s {
			t.Sicken(how)
		}
	}
}

// stop asks a node to end, and kills it after the grace time as the platform does.
func (f *Fleet) stop(v *VM) {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceTime):
		v.mu.Lock()
		same := v.ended == ended
		v.mu.Unlock()
		if same {
			v.signal(syscall.SIGKILL)
		}
	}
}

// replace takes a target away and puts another one in its place, unless that is under way already.
func (f *Fleet) replace(v *VM, remove func(*Target)) error {
	old := v.occupant()
	if old == nil {
		return nil
	}
	v.occupy(nil)
	remove(old)
	return errors.Wrap(f.settle(v), "replace a target")
}

// spoil changes a proxy's weather for a time.
func spoil(ctx context.Context, p *Proxy, w Weather, lasts time.Duration) {
	p.Set(w)
	wait(ctx, lasts)
	p.Set(Weather{})
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
