package agent

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gate"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/store"
)

// Deps are what an agent needs from its surroundings.
type Deps struct {
	Store   store.Shared
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
}

// Agent is one running node on a platform.
type Agent struct {
	deps       Deps
	born       time.Time
	cfg        atomic.Pointer[settings.Agent]
	board      *dispatch.Board
	dispatcher *dispatch.Dispatcher
	budget     *dispatch.Budget
	gate       *gate.Gate
	lines      *hop.Lines
	registrar  *registrar
	peers      *http.Client

	mu      sync.Mutex // guards what follows up to avoided
	view    *member.View
	rawPlan []byte
	packed  []byte        // rawPlan as children get it; nil until one asks
	changed chan struct{} // closed at the next change of view or rawPlan
	avoided map[fleet.NodeID]time.Time

	listed   atomic.Bool   // a list of members has been read, which may be stale
	loaded   atomic.Bool   // what this node knows has been fresh once
	stopping atomic.Bool   // the node is to end; callers are asked to go elsewhere
	refusing atomic.Bool   // requests are refused, since the process ends
	heard    atomic.Int64  // when the store was last heard of on any way, Unix nanoseconds
	touching atomic.Bool   // that was recent, when it was last looked at
	revision atomic.Uint64 // the store's revision up to which this node has heard everything
	cut      atomic.Bool   // this node's calls of the store have failed for a while
	otherCut atomic.Bool   // the other head said so of itself
	storm    bool          // configurations come faster than they are read; feed alone uses it
	inflight inflight
	bodies   bodies
	servers  []*http.Server
}

// New returns an agent with its settings; Run opens its sockets.
func New(cfg settings.Agent, deps Deps) *Agent {
	a := &Agent{deps: deps, born: deps.Now(), view: member.NewView(), changed: make(chan struct{}), avoided: map[fleet.NodeID]time.Time{}, lines: hop.NewLines(deps.Now)}
	a.cfg.Store(&cfg)
	a.bodies.most = cfg.MemoryBytes / bodiesShare
	a.heard.Store(int64(-freshTime)) // not yet
	a.board = dispatch.NewBoard(dispatch.Place{Node: cfg.VM, DataCentre: cfg.DataCentre, Region: cfg.Region})
	a.budget = dispatch.NewBudget(dispatch.RepeatBounds{Ratio: cfg.RepeatRatio, Slack: cfg.RepeatSlack, Window: cfg.RepeatWindow})
	a.gate = gate.New(gate.Deps{Uplink: gate.NewLink(cfg.LinkRate, deps.Now), Downlink: gate.NewLink(cfg.LinkRate, deps.Now), Dialect: platform.Dialect{}, Log: deps.Log, Metrics: deps.Metrics, Now: deps.Now, Changed: a.targetChanged},
		cfg.Service, cfg.Target)
	a.dispatcher = dispatch.New(dispatch.Deps{Board: a.board, Carrier: a.lines, Local: a.gate, Budget: a.budget, Log: deps.Log,
		Metrics: deps.Metrics, Now: deps.Now})
	a.registrar = newRegistrar(a)
	a.peers = &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: peerTimeout}).DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHead},
		Timeout: peerTimeout}
	return a
}

// record returns what the node publishes of itself, apart from incarnation and sequence.
func (a *Agent) record() member.Record {
	cfg := a.cfg.Load()
	o := a.gate.Occupant()
	r := member.Record{Node: cfg.VM, DataCentre: cfg.DataCentre, Region: cfg.Region, Address: cfg.Advertised, Link: cfg.LinkRate,
		Leaving: a.refusing.Load()}
	if o.ID != "" {
		r.Target = member.Target{ID: o.ID, Born: o.Born, Service: o.Service, Slots: o.Slots, State: o.State,
			Cold: max(o.WarmAt.Sub(a.deps.Now()), 0)}
	}
	return r
}

// targetChanged publishes the target's new state, here at once and to the other nodes through the store.
func (a *Agent) targetChanged() {
	r := a.registrar.publish()
	a.merge([]member.Record{r}, false)
}

// merge takes records that came from the store or from a node.
func (a *Agent) merge(records []member.Record, listed bool) {
	now := a.deps.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	var changes []member.Change
	for _, r := range records {
		if r.Node == a.cfg.Load().VM {
			listed = true // the node itself knows that it lives
		}
		changes = append(changes, a.view.Merge(r, listed, now)...)
	}
	a.publishMembers(changes)
}

// publishMembers tells the dispatcher of changes; it is called with mu held.
func (a *Agent) publishMembers(changes []member.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		r := c.Record
		a.deps.Log.Info("member", "change", c.Kind, "node", r.Node, "incarnation", r.Incarnation, "sequence", r.Sequence, "leaving", r.Leaving,
			"service", r.Target.Service, "instance", r.Target.ID, "state", r.Target.State)
		if c.Kind == member.Lost || c.Kind == member.Left {
			a.lines.Forget(r.Address)
		}
	}
	a.announce()
	members := a.view.Members()
	a.board.Publish(members)
	a.budget.SetNodes(len(members), a.deps.Now())
}

// takePlan puts a configuration into force if it is valid and newer.
func (a *Agent) takePlan(raw []byte, from string) {
	p, err := platform.ParsePlan(raw)
	if err != nil {
		a.deps.Log.Warn("configuration refused", "from", from, "error", err)
		return
	}
	a.mu.Lock()
	newer := a.dispatcher.Publish(p)
	if newer {
		a.rawPlan, a.packed = raw, nil
		a.announce()
	}
	a.mu.Unlock()
	if newer {
		a.deps.Log.Info("configuration in force", "version", p.Version, "from", from, "rules", p.Rules(), "services", len(p.Services))
		a.noteDoubts(p)
		a.gate.Configure(p)
	}
}

// noteDoubts logs what a configuration holds that this program does not understand, one line for a version.
func (a *Agent) noteDoubts(p *config.Plan) {
	if len(p.Doubts) == 0 {
		return
	}
	a.deps.Metrics.GetOrCreateCounter("cassialead_configuration_doubts_total").Add(len(p.Doubts))
	a.deps.Log.Warn("configuration not understood in full", "version", p.Version, "doubts", len(p.Doubts), "first", p.Doubts[0].String())
}

// Ready reports whether callers may be sent here.
func (a *Agent) Ready() bool {
	return a.dispatcher.Plan() != nil && a.loaded.Load() && !a.stopping.Load()
}

// Run serves until ctx ends, then finishes the calls in flight. reload brings a change of the settings.
func (a *Agent) Run(ctx context.Context, reload <-chan settings.Agent) error {
	cfg := a.cfg.Load()
	if err := a.listen(cfg); err != nil {
		return err
	}
	a.deps.Log.Info("started", "service", cfg.Service, "data_centre", cfg.DataCentre, "region", cfg.Region, "link", cfg.Link)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go a.feed(work)
	go a.registrar.run(work)
	go a.probe(work)
	go a.reload(work, reload)
	go a.exchangeNews(work)
	<-ctx.Done()
	a.drain(cfg)
	a.deps.Log.Info("stopped", "in_flight", a.inflight.count())
	return nil
}

// reload takes changes of the settings.
func (a *Agent) reload(ctx context.Context, reload <-chan settings.Agent) {
	for {
		select {
		case cfg := <-reload:
			a.cfg.Store(&cfg)
			a.gate.Expect(cfg.Service, cfg.Target)
			a.deps.Log.Info("settings reloaded", "service", cfg.Service, "target", cfg.Target)
		case <-ctx.Done():
			return
		}
	}
}

const (
	moveTime   = 2200 * time.Millisecond // two readiness checks a second apart, after which callers go elsewhere
	exitMargin = 600 * time.Millisecond  // before the process is killed
	drainPoll  = 20 * time.Millisecond
	returnTime = 1500 * time.Millisecond // in which a process that was stopped is back as a rule
)

// drain takes requests until callers have moved away, refuses new ones from then on, and waits for those in flight.
func (a *Agent) drain(cfg *settings.Agent) {
	a.deps.Log.Info("stopping", "in_flight", a.inflight.count())
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Grace-exitMargin)
	defer cancel()
	a.stopping.Store(true)
	sleep(ctx, moveTime)
	a.refusing.Store(true)
	a.gate.Close()
	a.targetChanged()
	a.registrar.settled(leaveWait)
	for ctx.Err() == nil && a.inflight.count() > 0 {
		sleep(ctx, drainPoll)
	}
	left := a.inflight.count()
	a.registrar.leave()
	for _, s := range a.servers {
		go func() { _ = s.Shutdown(ctx) }() // idle connections close; requests left are cut when the process ends
	}
	sleep(ctx, drainPoll)
	if left > 0 {
		a.deps.Log.Warn("requests left at the end", "in_flight", left)
	}
}

// listen opens the node's sockets.
func (a *Agent) listen(cfg *settings.Agent) error {
	for _, s := range []struct {
		name    string
		address fleet.Address
		handler http.Handler
	}{
		{"outbound", cfg.Call, http.HandlerFunc(a.serveCall)},
		{"inbound", cfg.Link, http.HandlerFunc(a.servePeer)},
		{"ready", cfg.Ready, a.readyRouter()},
		{"control", cfg.Local, a.localRouter()},
		{"metrics", cfg.Metrics, http.HandlerFunc(a.serveMetrics)},
	} {
		if s.address == "" {
			continue
		}
		l, err := net.Listen("tcp4", string(s.address))
		if err != nil {
			return errors.Wrapf(err, "listen for %s", s.name)
		}
		server := &http.Server{Handler: s.handler, ErrorLog: slog.NewLogLogger(a.deps.Log.Handler(), slog.LevelDebug),
			MaxHeaderBytes: maxHead, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connectionKey{}, c)
			}}
		a.servers = append(a.servers, server)
		go func() {
			if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				a.deps.Log.Error("server ended", "server", s.name, "error", err)
			}
		}()
	}
	return nil
}

const (
	maxHead       = 64 << 10         // bytes of a request's or an answer's head, above what any configuration allows callers
	headerTimeout = 10 * time.Second // above what any configuration allows callers
	idleTimeout   = 2 * time.Minute  // above what any configuration allows callers
)

// version returns the configuration version in force, or zero.
func (a *Agent) version() config.Version {
	if p := a.dispatcher.Plan(); p != nil {
		return p.Version
	}
	return 0
}

// inflight counts the requests that the process has read and not answered.
type inflight struct{ n atomic.Int64 }

func (i *inflight) enter()       { i.n.Add(1) }
func (i *inflight) leave()       { i.n.Add(-1) }
func (i *inflight) count() int64 { return i.n.Load() }
