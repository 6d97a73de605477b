package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
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
	drainPeriod      = time.Second     // of a draining target
	applyTime        = 2 * time.Second // for a change to be in force
	shutdownGrace    = 6 * time.Second
	routeTimeout     = 1500 * time.Millisecond
	latencyObjective = 300 * time.Millisecond
	memoryLimit      = 128 << 20 // bytes, of each node
	firstPort        = 20000     // below the kernel's range of ephemeral ports
)

// Fleet is a set of running nodes with their targets and proxies and a simulated store.
type Fleet struct {
	store   *standin.Store
	vms     []*VM
	checker *Checker

	mu             sync.Mutex
	activeFaults   int // events in progress that are not planned operations
	lastFaultEnd   time.Time
	version        config.Version
	targetsStarted uint64
	events         sync.WaitGroup
	nextPort       atomic.Int64
}

// newFleet starts the nodes, each with a target; dir holds their settings files and log receives their output.
func newFleet(o Options, dir string, log io.Writer) (*Fleet, error) {
	f := &Fleet{store: standin.NewStore(), checker: NewChecker(time.Now())}
	f.nextPort.Store(firstPort)
	f.writePlan()
	dataCentres := []struct {
		dc     fleet.DataCentre
		region fleet.Region
	}{{"costa-norte", "costa"}, {"costa-sur", "costa"}, {"llanos-arauca", "llanos"}}
	for i := range o.Nodes {
		c := dataCentres[i/len(services)%len(dataCentres)]
		cfg := settings.Agent{VM: fleet.NodeID(fmt.Sprintf("vm-%d", i)), DataCentre: c.dc, Region: c.region, Service: services[i%len(services)],
			CallAddress: f.freePort(), LinkAddress: f.freePort(), AdvertisedAddress: f.freePort(), ReadinessAddress: f.freePort(), ControlAddress: f.freePort(), TargetAddress: f.freePort(), StoreAddress: f.freePort(), HeartbeatInterval: heartbeatInterval, ShutdownGrace: shutdownGrace,
			DrainPeriod: drainPeriod, ApplyTime: applyTime, RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, RetryBudgetWindow: 10 * time.Second, MemoryLimitBytes: memoryLimit, MinLease: time.Second}
		v := &VM{name: string(cfg.VM), service: cfg.Service, cfg: cfg, program: o.Program, env: o.Env, log: log, quietFor: f.quietFor,
			restarted: func() { f.checker.ForgetLeaving(string(cfg.VM)) }}
		f.vms = append(f.vms, v)
		var err error
		if v.linkProxy, err = NewProxy(string(cfg.AdvertisedAddress), string(cfg.LinkAddress)); err != nil {
			return f, err
		}
		if v.storeProxy, err = NewProxy(string(cfg.StoreAddress), f.store.Address()); err != nil {
			return f, err
		}
		if err := v.start(dir); err != nil {
			return f, err
		}
		if err := f.addTarget(v); err != nil {
			return f, err
		}
	}
	return f, nil
}

// freePort returns a loopback address with a port that is not in use.
func (f *Fleet) freePort() fleet.Address {
	for {
		address := fmt.Sprintf("%s:%d", standin.LoopbackIP(), f.nextPort.Add(1))
		if l, err := net.Listen("tcp4", address); err == nil {
			_ = l.Close()
			return fleet.Address(address)
		}
	}
}

// addTarget starts a new target beside a node.
func (f *Fleet) addTarget(v *VM) error {
	f.mu.Lock()
	f.targetsStarted++
	id := lifecycle.ID(fmt.Sprintf("i-%s-%d", v.name, f.targetsStarted))
	f.mu.Unlock()
	t, err := startTarget(f.checker, targetConfig{id: id, service: v.service, dataCentre: v.cfg.DataCentre, address: v.cfg.TargetAddress, controlAddress: v.cfg.ControlAddress, drain: v.cfg.DrainPeriod})
	if err != nil {
		return err
	}
	v.setTarget(t)
	return nil
}

// close waits for the running events and stops the nodes, targets, proxies and the store.
func (f *Fleet) close() {
	f.events.Wait()
	for _, v := range f.vms {
		v.close()
		if t := v.currentTarget(); t != nil {
			t.close()
		}
	}
	f.store.Close()
}

// quietFor reports whether only planned operations have run for at least d.
func (f *Fleet) quietFor(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeFaults == 0 && time.Since(f.lastFaultEnd) >= d
}

// writePlan writes the next configuration to the store.
func (f *Fleet) writePlan() { f.putPlan(f.nextVersion()) }

func (f *Fleet) nextVersion() config.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	return f.version
}

// putPlan writes a version of the configuration to the store; each version adds a route that identifies it.
func (f *Fleet) putPlan(n config.Version) { f.store.Put(string(platform.PlanKey), formatPlan(n)) }

// putLongPlan writes a version of the configuration with a filler that nodes ignore.
func (f *Fleet) putLongPlan(n config.Version) {
	filler := `{"filler":"` + strings.Repeat("x", fillerBytes) + `",`
	f.store.Put(string(platform.PlanKey), append([]byte(filler), formatPlan(n)[1:]...))
}

func formatPlan(n config.Version) []byte {
	rule := func(name, prefix string, semantics config.Semantics, s config.ServiceName) config.Rule {
		return config.Rule{Name: config.RouteName(name), Host: soakHost, Prefix: prefix, Semantics: semantics, Timeout: routeTimeout, LatencyObjective: latencyObjective, MaxAttempts: 2,
			WeightedServices: []config.WeightedService{{Service: s, Weight: 1}}}
	}
	var rules []config.Rule
	var planServices []config.PlanService
	for _, s := range services {
		rules = append(rules, rule(string(s)+"-safe", pathPrefix(s, false), config.Idempotent, s), rule(string(s)+"-once", pathPrefix(s, true), config.AtMostOnce, s))
		planServices = append(planServices, config.PlanService{Name: s, HealthPath: healthPath, MaxConnections: 100})
	}
	for v := config.Version(1); v <= n; v++ {
		rules = append(rules, rule(fmt.Sprintf("version-%d", v), versionPrefix(v), config.Idempotent, services[0]))
	}
	return platform.FormatPlan(n, planServices, rules)
}

func versionPrefix(v config.Version) string { return fmt.Sprintf("/version-%d/", v) }

func (f *Fleet) latestVersion() config.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// inject starts an event in the background.
func (f *Fleet) inject(ctx context.Context, e Event) {
	f.events.Go(func() {
		if !isPlanned(e) {
			f.faultStarted()
			defer f.faultEnded()
		}
		if err := f.apply(ctx, e); err != nil {
			f.checker.RecordOutcome("event failed: "+err.Error(), true)
		}
	})
}

func (f *Fleet) faultStarted() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeFaults++
}

func (f *Fleet) faultEnded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeFaults--
	f.lastFaultEnd = time.Now()
}

func (f *Fleet) apply(ctx context.Context, e Event) error {
	switch e := e.(type) {
	case Kill:
		f.vms[e.VM].signal(syscall.SIGKILL)
	case KillMany:
		for _, i := range e.VMs {
			f.vms[i].signal(syscall.SIGKILL)
		}
	case Pause:
		f.vms[e.VM].signal(syscall.SIGSTOP)
		sleep(ctx, e.Duration)
		f.vms[e.VM].signal(syscall.SIGCONT)
		f.checker.ForgetLeaving(f.vms[e.VM].name)
	case Stop:
		f.stopNode(f.vms[e.VM])
	case Reload:
		f.vms[e.VM].signal(syscall.SIGHUP)
	case ImpairLink:
		impair(ctx, f.vms[e.VM].linkProxy, e.Impairment, e.Duration)
	case ImpairStoreLink:
		impair(ctx, f.vms[e.VM].storeProxy, e.Impairment, e.Duration)
	case FailStore:
		f.store.SetFaults(e.Faults)
		sleep(ctx, e.Duration)
		f.store.SetFaults(standin.Faults{})
	case RemoveMembers:
		f.store.RemovePrefix(string(platform.MemberKey("")))
	case CompactStore:
		f.store.Compact()
	case ReturnStore:
		backup := f.store.Backup()
		sleep(ctx, e.Lost)
		f.store.SetFaults(standin.Faults{NoResponse: true})
		sleep(ctx, e.Away)
		f.store.ReturnFrom(backup)
		f.store.SetFaults(standin.Faults{})
		f.putPlan(f.latestVersion())
		f.writePlan()
		for i := range e.Others {
			f.store.Put(fmt.Sprintf("op/other-%d", i), []byte("x"))
		}
	case FailTargets:
		f.eachTarget(services[e.Service], func(t *Target) { t.SetFaults(e.Faults) })
		sleep(ctx, e.Duration)
		f.eachTarget(services[e.Service], func(t *Target) { t.SetFaults(TargetFaults{}) })
	case LimitTargets:
		f.eachTarget(services[e.Service], func(t *Target) { t.limit(e.PerSecond) })
		sleep(ctx, e.Duration)
		f.eachTarget(services[e.Service], (*Target).unlimit)
	case CrashTarget:
		return f.replaceTarget(f.vms[e.VM], func(old *Target) {
			old.close()
			sleep(ctx, e.Duration)
		})
	case ReplaceTarget:
		return f.replaceTarget(f.vms[e.VM], (*Target).shutDown)
	case PublishVersions:
		for range e.Count {
			f.writePlan()
			sleep(ctx, e.Interval)
		}
	default:
		return f.applyWriter(ctx, e)
	}
	return nil
}

// eachTarget applies a change to all targets of a service.
func (f *Fleet) eachTarget(s config.ServiceName, change func(*Target)) {
	for _, v := range f.vms {
		if t := v.currentTarget(); t != nil && v.service == s {
			change(t)
		}
	}
}

// stopNode sends SIGTERM to a node and, as the platform does, SIGKILL if it is still running after the grace period.
func (f *Fleet) stopNode(v *VM) {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(shutdownGrace):
		v.mu.Lock()
		sameProcess := v.exited == exited
		v.mu.Unlock()
		if sameProcess {
			v.signal(syscall.SIGKILL)
		}
	}
}

// replaceTarget removes the target of a VM and starts a new one, unless a replacement is already in progress.
func (f *Fleet) replaceTarget(v *VM, remove func(*Target)) error {
	old := v.currentTarget()
	if old == nil {
		return nil
	}
	v.setTarget(nil)
	remove(old)
	return errors.Wrap(f.addTarget(v), "replace target")
}

// impair applies an impairment to a proxy's connections for a duration.
func impair(ctx context.Context, p *Proxy, i Impairment, d time.Duration) {
	p.SetImpairment(i)
	sleep(ctx, d)
	p.SetImpairment(Impairment{})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
