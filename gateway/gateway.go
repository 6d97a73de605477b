package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/ledger"
	"github.com/cassialead/cassialead/route"
)

// LocalTarget is a target on this VM.
type LocalTarget struct {
	Service     config.ServiceName
	Address     fleet.Address
	Slots       int
	Connections int
	Draining    bool
	// Echo says that the target returns each call's attempt id.
	Echo bool
}

// Targets knows the targets on this VM.
type Targets interface {
	// Target returns the target of a service, if there is one.
	Target(config.ServiceName) (LocalTarget, bool)
}

// Deps are what a gateway needs from its surroundings.
type Deps struct {
	Node    fleet.Record
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
	Targets Targets
	// Chooser is how a target is chosen.
	Chooser route.Chooser
	// Claims may be nil, which leaves keys without a second holder refused.
	Claims Claims
}

// Gateway carries calls; it is safe for concurrent use.
type Gateway struct {
	deps    Deps
	board   *route.Board
	table   atomic.Pointer[route.Table]
	classes *route.Classifier
	budget  *route.Budget
	slow    sync.Map // config.ServiceName to *route.Quantile
	clocks  clocks
	peers   *peerTransport
	inward  *inward
	keys    *keyHolder
	meters  *meters

	draining atomic.Bool
	inflight sync.WaitGroup
	mu       sync.Mutex // orders inflight.Add before Wait
}

// New returns a gateway without a configuration.
func New(deps Deps) *Gateway {
	g := &Gateway{deps: deps, board: route.NewBoard(deps.Node, deps.Chooser), classes: route.NewClassifier(), budget: route.NewBudget(),
		peers: newPeerTransport(), meters: newMeters(deps.Metrics)}
	g.keys = newKeyring(deps, g.peers)
	g.clocks.known = map[fleet.NodeID]clockReading{}
	g.inward = newInward(deps, g.meters, ledger.New(deps.Node.Incarnation, deps.Now()))
	g.table.Store(&route.Table{})
	return g
}

// Publish puts a configuration and the records held into force for the calls that come.
func (g *Gateway) Publish(cfg *config.Config, v config.Version, records []fleet.Record) {
	t := g.board.Compile(cfg, v, records, g.deps.Now())
	g.keys.publish(t)
	g.table.Store(t)
}

// Version returns the configuration version that calls follow.
func (g *Gateway) Version() config.Version { return g.table.Load().Version }

// Ingress returns the handler for callers.
func (g *Gateway) Ingress() http.Handler { return http.HandlerFunc(g.serveIngress) }

// RoutePeers adds what other nodes may ask of this one.
func (g *Gateway) RoutePeers(r *mux.Router) {
	r.MatcherFunc(func(r *http.Request, _ *mux.RouteMatch) bool {
		return r.Header.Get(HeaderAttempt) != ""
	}).HandlerFunc(g.servePeer)
	r.HandleFunc(fencePath, g.inward.serveFence).Methods(http.MethodPost)
	r.HandleFunc(keyPath, g.keys.serve).Methods(http.MethodPost)
	r.HandleFunc(clockPath, g.inward.serveClock).Methods(http.MethodGet)
}

// Draining reports whether the gateway takes no new calls.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// enter counts a call in flight; it reports false when the gateway drains.
func (g *Gateway) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drained() {
		return false
	}
	g.inflight.Add(1)
	return true
}

const drainGrace = 3 * time.Second // callers and nodes learn of the departure within this

func (g *Gateway) drained() bool { return g.inward.closed.Load() }

// Drain waits until other nodes have learnt of the departure, refuses new calls and waits for those in flight.
func (g *Gateway) Drain(ctx context.Context) {
	g.draining.Store(true)
	g.waitGrace(ctx)
	g.mu.Lock()
	g.inward.closed.Store(true)
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		g.inflight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (g *Gateway) waitGrace(ctx context.Context) {
	t := time.NewTimer(drainGrace)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (g *Gateway) quantile(s config.ServiceName) *route.Quantile {
	if q, ok := g.slow.Load(s); ok {
		return q.(*route.Quantile)
	}
	q, _ := g.slow.LoadOrStore(s, &route.Quantile{})
	return q.(*route.Quantile)
}

// newRand returns a source for one goroutine's choices.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

var randPool = sync.Pool{New: func() any { return newRand() }}

// Explanation says what a call would meet and why.
type Explanation struct {
	Version    config.Version      `json:"version"`
	Route      config.RouteName    `json:"route,omitempty"`
	Service    config.ServiceName  `json:"service,omitempty"`
	Policy     map[string]string   `json:"policy,omitempty"`
	Exceptions []*config.Exception `json:"exceptions,omitempty"`
	Targets    []ExplainedTarget   `json:"targets,omitempty"`
	Refusal    *Refusal            `json:"refusal,omitempty"`
}

// ExplainedTarget is a target that a call may reach.
type ExplainedTarget struct {
	Node     fleet.NodeID `json:"node"`
	Distance string       `json:"distance"`
	Slots    int          `json:"slots"`
}

var distanceNames = []string{"same data centre", "same region", "other region"}

// Explain says which route, service, policy and exceptions a call meets.
func (g *Gateway) Explain(host, path string, tenant config.Tenant) Explanation {
	t := g.table.Load()
	e := Explanation{Version: t.Version}
	if t.Config == nil {
		r := notRun(http.StatusServiceUnavailable, CauseNotReady, "no configuration is in force on this node")
		e.Refusal = &r
		return e
	}
	rt := t.Config.Match(host, path)
	if rt == nil {
		r := notRun(http.StatusNotFound, CauseNoRoute, "no route covers this path")
		e.Refusal = &r
		return e
	}
	p, applied := rt.Policy(tenant, g.deps.Now())
	e.Route, e.Service, e.Exceptions = rt.Name, rt.Service, applied
	e.Policy = p.Describe()
	e.Policy["class in force"] = string(g.classes.Class(rt.Name, p.Class))
	for _, ep := range t.Endpoints(rt.Service, p.Spill) {
		e.Targets = append(e.Targets, ExplainedTarget{ep.Node, distanceNames[ep.Distance], ep.Slots})
	}
	return e
}

// Endpoints returns how many targets of a service the gateway can choose from.
func (g *Gateway) Endpoints(s config.ServiceName) int {
	return len(g.table.Load().Endpoints(s, config.SpillAnywhere))
}
