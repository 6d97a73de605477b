package agent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/door"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gate"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/quota"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/store"
)

// Deps are the dependencies of an Agent.
type Deps struct {
	Store   store.Transactional
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
}

// Agent is one running node on a platform.
type Agent struct {
	deps       Deps
	startedAt  time.Time
	times      syncTimes
	cfg        atomic.Pointer[settings.Agent]
	peers      *dispatch.PeerTable
	dispatcher *dispatch.Dispatcher
	budget     *dispatch.RetryBudget
	gate       *gate.Gate
	transport  *hop.Transport
	registrar  *registrar
	peerClient *http.Client

	mu             sync.Mutex // guards the fields from view to rollouts
	view           *member.View
	rawPlan        []byte
	compressedPlan []byte        // rawPlan compressed for peers; nil until first needed
	changed        chan struct{} // closed and replaced whenever view or rawPlan changes
	excludedUntil  map[fleet.NodeID]time.Time
	rollouts       rollouts

	membersLoaded       atomic.Bool                    // a member list, possibly stale, has been received
	synced              atomic.Bool                    // configuration and members have been up to date at least once
	stopping            atomic.Bool                    // shutdown has begun; readiness fails and callers are asked to reconnect elsewhere
	refusing            atomic.Bool                    // requests are refused because the process is about to exit
	storeContact        atomic.Int64                   // last confirmed contact with the store, direct or through a parent, in nanoseconds since startedAt
	loggedConnected     atomic.Bool                    // value of storeConnected when it was last logged
	position            atomic.Pointer[store.Position] // position in the store up to which all changes have been applied; zero means unknown
	era                 atomic.Uint64                  // highest era of the store that this node knows of
	storeFailing        atomic.Bool                    // store calls of this node have failed for longer than headFailureTime
	siblingStoreFailing atomic.Bool                    // the region's other head reports that its store calls fail
	syncMu              sync.Mutex                     // guards planBurst, and is held while the store is read
	planBurst           bool                           // configurations change faster than they can be watched
	inflight            inflight
	guard               *listener.Guard
	nodeHosts           listener.Hosts // of the other members
	quotas              quotas
	servers             []*http.Server
}

// New returns an agent with the given settings; Run opens its sockets.
func New(cfg settings.Agent, deps Deps) *Agent {
	a := &Agent{deps: deps, startedAt: deps.Now(), times: newSyncTimes(cfg.ApplyTime), view: member.NewView(), changed: make(chan struct{}), excludedUntil: map[fleet.NodeID]time.Time{}, transport: hop.NewTransport(deps.Now)}
	a.cfg.Store(&cfg)
	a.guard = listener.New(door.Bytes(cfg.MemoryLimitBytes), listener.Deps{Log: deps.Log, Metrics: deps.Metrics, Now: deps.Now})
	a.storeContact.Store(int64(-a.times.stale)) // no contact yet
	a.position.Store(&store.Position{})
	a.quotas.limiter = quota.NewLimiter(quota.Rules{Window: cfg.QuotaWindow, Over: cfg.QuotaOver, Slack: cfg.QuotaSlack}, rand.Float64)
	a.peers = dispatch.NewPeerTable(dispatch.Location{Node: cfg.VM, DataCentre: cfg.DataCentre, Region: cfg.Region})
	a.budget = dispatch.NewRetryBudget(dispatch.RetryLimits{Ratio: cfg.RetryBudgetRatio, Slack: cfg.RetryBudgetSlack, Window: cfg.RetryBudgetWindow})
	a.gate = gate.New(gate.Deps{Uplink: gate.NewLink(cfg.LinkBandwidth, deps.Now), Downlink: gate.NewLink(cfg.LinkBandwidth, deps.Now), Dialect: platform.Dialect{}, Log: deps.Log, Metrics: deps.Metrics, Now: deps.Now, OnChange: a.targetChanged},
		cfg.Service, cfg.TargetAddress)
	a.dispatcher = dispatch.New(dispatch.Deps{Peers: a.peers, Transport: a.transport, Gate: a.gate, Budget: a.budget, Log: deps.Log,
		Metrics: deps.Metrics, Now: deps.Now})
	a.registrar = newRegistrar(a)
	deps.Metrics.GetOrCreateGauge("cassialead_store_age_seconds", func() float64 { return a.storeAge().Seconds() })
	deps.Metrics.GetOrCreateGauge("cassialead_store_revision", func() float64 { return float64(a.position.Load().Revision) })
	a.peerClient = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: peerTimeout}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: listener.MaxHeaderBytes},
		Timeout: peerTimeout}
	return a
}

// localRecord returns the node's own member record without incarnation and sequence.
func (a *Agent) localRecord() member.Record {
	cfg := a.cfg.Load()
	target := a.gate.Target()
	r := member.Record{Node: cfg.VM, DataCentre: cfg.DataCentre, Region: cfg.Region, Address: cfg.AdvertisedAddress, LinkBandwidth: cfg.LinkBandwidth,
		Leaving: a.refusing.Load()}
	if target.ID != "" {
		r.Target = member.Target{ID: target.ID, StartTime: target.StartTime, Service: target.Service, Slots: target.Slots, State: target.State,
			WarmUp: max(target.WarmAt.Sub(a.deps.Now()), 0)}
		if len(target.Version) <= lifecycle.MaxVersionBytes {
			r.Target.Version = target.Version
		}
	}
	return r
}

// targetChanged publishes the target's new state, locally at once and to other nodes through the store.
func (a *Agent) targetChanged() {
	r := a.registrar.publish()
	a.mergeRecords([]member.Record{r}, false)
}

// mergePeerRecords merges records from another node into the member view.
func (a *Agent) mergePeerRecords(records []member.Record, from string) {
	a.mergeRecords(slices.DeleteFunc(records, func(r member.Record) bool { return !a.acceptRecord(r, from) }), false)
}

// mergeRecords merges accepted records into the member view.
func (a *Agent) mergeRecords(records []member.Record, listed bool) {
	now := a.deps.Now()
	var changes []member.Change
	var own []member.Record
	a.mu.Lock()
	for _, r := range records {
		if r.Node == a.cfg.Load().VM {
			listed = true // the local node is alive even if the store does not list it
			own = append(own, r)
		}
		changes = append(changes, a.view.Merge(r, listed, now)...)
	}
	a.publishMembers(changes)
	a.mu.Unlock()
	a.registrar.restoreFromPeers(own)
}

// publishMembers passes membership changes to the dispatcher; the caller holds mu.
func (a *Agent) publishMembers(changes []member.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		r := c.Record
		a.deps.Log.Info("member changed", "change", c.Kind, "node", r.Node, "incarnation", r.Incarnation, "sequence", r.Sequence, "leaving", r.Leaving,
			"service", r.Target.Service, "instance", r.Target.ID, "state", r.Target.State)
		if c.Kind == member.Lost || c.Kind == member.Left {
			a.transport.CloseConnections(r.Address)
		}
	}
	a.broadcastChange()
	members := a.view.Members()
	a.updateNodeHosts(members)
	a.peers.Update(members, a.deps.Now())
	a.budget.SetNodes(len(members), a.deps.Now())
}

// updateNodeHosts records from where the other members connect.
func (a *Agent) updateNodeHosts(members []member.Member) {
	own := a.cfg.Load().VM
	addresses := make([]fleet.Address, 0, len(members))
	for _, m := range members {
		if m.Node != own {
			addresses = append(addresses, m.Address)
		}
	}
	a.nodeHosts.Set(addresses)
}

// applyPlan puts a configuration into force if it is valid and newer than the current one.
func (a *Agent) applyPlan(raw []byte, from string) {
	p, err := platform.ParsePlan(raw)
	if err != nil {
		a.deps.Log.Warn("configuration refused", "from", from, "error", err)
		return
	}
	a.mu.Lock()
	applied := a.dispatcher.SetPlan(p)
	if applied {
		a.rawPlan, a.compressedPlan = raw, nil
		a.broadcastChange()
	}
	a.mu.Unlock()
	if applied {
		a.deps.Log.Info("configuration in force", "version", p.Version, "from", from, "rules", p.RuleCount(), "services", len(p.Services))
		a.logUnsupported(p)
		a.gate.ApplyPlan(p)
	}
}

// logUnsupported logs the parts of a configuration that this version does not support, in one line per configuration.
func (a *Agent) logUnsupported(p *config.Plan) {
	if len(p.Warnings) == 0 {
		return
	}
	a.deps.Metrics.GetOrCreateCounter("cassialead_configuration_doubts_total").Add(len(p.Warnings))
	a.deps.Log.Warn("configuration has unsupported entries, safest interpretation applied", "version", p.Version, "doubts", len(p.Warnings), "first", p.Warnings[0].String())
}

// Ready reports whether callers may be routed to this node.
func (a *Agent) Ready() bool {
	return a.dispatcher.Plan() != nil && a.synced.Load() && !a.stopping.Load()
}

// Run serves until ctx ends, then drains the requests in flight. Changed settings arrive on reload.
func (a *Agent) Run(ctx context.Context, reload <-chan settings.Agent) error {
	cfg := a.cfg.Load()
	if err := a.listen(cfg); err != nil {
		return err
	}
	a.deps.Log.Info("started", "service", cfg.Service, "data_centre", cfg.DataCentre, "region", cfg.Region, "link", cfg.LinkAddress)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go a.syncState(work)
	go a.limitAge(work)
	go a.registrar.run(work)
	go a.probeMembers(work)
	go a.applySettings(work, reload)
	go a.followSibling(work)
	go a.refreshShares(work)
	go a.exchangeDemand(work)
	go a.decideRollouts(work)
	go a.watchSilence(work)
	<-ctx.Done()
	a.drain(cfg)
	a.deps.Log.Info("stopped", "in_flight", a.inflight.count())
	return nil
}

// applySettings applies changed settings until ctx ends.
func (a *Agent) applySettings(ctx context.Context, reload <-chan settings.Agent) {
	for {
		select {
		case cfg := <-reload:
			a.cfg.Store(&cfg)
			a.gate.SetTarget(cfg.Service, cfg.TargetAddress)
			a.deps.Log.Info("settings reloaded", "service", cfg.Service, "target", cfg.TargetAddress)
		case <-ctx.Done():
			return
		}
	}
}

const (
	drainNotice = 2200 * time.Millisecond // two readiness checks a second apart, after which callers use another node
	exitMargin  = 600 * time.Millisecond  // before the process is killed
	reportTime  = 100 * time.Millisecond  // before the exit, for targets to report calls that reached their deadline
	drainPoll   = 20 * time.Millisecond
	restartTime = 1500 * time.Millisecond // typical time until a stopped process is back, sent as Retry-After
)

// drain keeps serving until callers have moved to other nodes, then refuses new requests and waits for those in flight.
func (a *Agent) drain(cfg *settings.Agent) {
	a.deps.Log.Info("stopping", "in_flight", a.inflight.count())
	ctx, cancel := context.WithTimeout(context.Background(), cfg.ShutdownGrace-exitMargin)
	defer cancel()
	a.stopping.Store(true)
	end := a.deps.Now().Add(cfg.ShutdownGrace - exitMargin - reportTime)
	a.dispatcher.StopAt(end, restartTime)
	a.gate.StopAt(end)
	sleep(ctx, drainNotice)
	a.refusing.Store(true)
	a.gate.Close()
	a.targetChanged()
	a.registrar.waitStored(shutdownTimeout)
	for ctx.Err() == nil && (a.inflight.count() > 0 || a.guard.Lingering() > 0) {
		sleep(ctx, drainPoll)
	}
	remaining := a.inflight.count()
	a.registrar.endLease()
	for _, s := range a.servers {
		go func() { _ = s.Shutdown(ctx) }() // closes idle connections; unfinished requests are aborted when the process exits
	}
	sleep(ctx, drainPoll)
	if remaining > 0 {
		a.deps.Log.Warn("requests still in flight at exit", "in_flight", remaining)
	}
}

// listen opens the node's sockets.
func (a *Agent) listen(cfg *settings.Agent) error {
	shares := door.NewShares(cfg.MaxDescriptors, door.Bytes(cfg.MemoryLimitBytes))
	for _, s := range []struct {
		name    string
		address fleet.Address
		handler http.Handler
		limit   door.Count
		known   func(net.Addr) bool
		unread  time.Duration // for a body from the beginning of its handler; zero if the handler sets a deadline
	}{
		{"outbound", cfg.CallAddress, http.HandlerFunc(a.serveRequest), shares.Callers, nil, 0},
		{"inbound", cfg.LinkAddress, http.HandlerFunc(a.servePeer), shares.Nodes, a.nodeHosts.Has, unreadTimeout},
		{"ready", cfg.ReadinessAddress, a.readyRouter(), shares.Other, nil, unreadTimeout},
		{"control", cfg.ControlAddress, a.targetRouter(), shares.Other, nil, unreadTimeout},
		{"metrics", cfg.MetricsAddress, http.HandlerFunc(a.serveMetrics), shares.Other, nil, unreadTimeout},
	} {
		if s.address == "" {
			continue
		}
		l, err := exchange.Listen(string(s.address))
		if err != nil {
			return errors.Wrapf(err, "open %s listener", s.name)
		}
		a.servers = append(a.servers, a.guard.Serve(l, listener.Server{Name: s.name, Handler: s.handler, Connections: s.limit, Known: s.known, Unread: s.unread}))
	}
	return nil
}

const unreadTimeout = 2 * time.Second // for a body that a handler does not ask for or reads as a short message

// planVersion returns the configuration version in force, or zero.
func (a *Agent) planVersion() config.Version {
	if p := a.dispatcher.Plan(); p != nil {
		return p.Version
	}
	return 0
}

// inflight counts the requests that have been read but not yet answered.
type inflight struct{ n atomic.Int64 }

func (i *inflight) add()         { i.n.Add(1) }
func (i *inflight) done()        { i.n.Add(-1) }
func (i *inflight) count() int64 { return i.n.Load() }
