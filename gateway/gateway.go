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
	Service        config.ServiceName
	Address        fleet.Address
	Slots          int
	MaxConnections int
	Draining       bool
	// EchoesAttemptID is set if the target returns each call's attempt ID in its response.
	EchoesAttemptID bool
}

// Targets is a registry of the targets on this VM.
type Targets interface {
	// Target returns the target of a service, if there is one.
	Target(config.ServiceName) (LocalTarget, bool)
}

// Deps are the dependencies of a gateway.
type Deps struct {
	Node    fleet.Record
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
	Targets Targets
	// Balancer is the load-balancing policy.
	Balancer route.Balancer
	// ClaimStore may be nil; calls whose idempotency key has no second replica are refused then.
	ClaimStore ClaimStore
}

// Gateway proxies calls to targets; it is safe for concurrent use.
type Gateway struct {
	deps        Deps
	tables      *route.TableBuilder
	table       atomic.Pointer[route.Table]
	classifier  *route.Classifier
	retryBudget *route.RetryBudget
	latencies   sync.Map // config.ServiceName to *route.LatencyQuantile
	peerClocks  peerClocks
	peers       *peerTransport
	inbound     *inbound
	keys        *keyReplica
	meters      *meters

	draining atomic.Bool
	inflight sync.WaitGroup
	mu       sync.Mutex // ensures that no inflight.Add follows inflight.Wait
}

// New returns a gateway without a configuration.
func New(deps Deps) *Gateway {
	g := &Gateway{deps: deps, tables: route.NewTableBuilder(deps.Node, deps.Balancer), classifier: route.NewClassifier(), retryBudget: route.NewRetryBudget(),
		peers: newPeerTransport(), meters: newMeters(deps.Metrics)}
	g.keys = newKeyReplica(deps, g.peers)
	g.peerClocks.readings = map[fleet.NodeID]clockReading{}
	g.inbound = newInbound(deps, g.meters, ledger.New(deps.Node.Incarnation, deps.Now()))
	g.table.Store(&route.Table{})
	return g
}

// Update applies a configuration and the current node records to subsequent calls.
func (g *Gateway) Update(cfg *config.Config, v config.Version, records []fleet.Record) {
	t := g.tables.Build(cfg, v, records, g.deps.Now())
	g.keys.update(t)
	g.table.Store(t)
}

// ConfigVersion returns the version of the configuration in force.
func (g *Gateway) ConfigVersion() config.Version { return g.table.Load().Version }

// IngressHandler returns the HTTP handler for callers.
func (g *Gateway) IngressHandler() http.Handler { return http.HandlerFunc(g.serveIngress) }

// RegisterPeerRoutes registers the HTTP handlers for other nodes.
func (g *Gateway) RegisterPeerRoutes(r *mux.Router) {
	r.MatcherFunc(func(r *http.Request, _ *mux.RouteMatch) bool {
		return r.Header.Get(HeaderAttempt) != ""
	}).HandlerFunc(g.servePeer)
	r.HandleFunc(fencePath, g.inbound.serveFence).Methods(http.MethodPost)
	r.HandleFunc(keyPath, g.keys.serve).Methods(http.MethodPost)
	r.HandleFunc(clockPath, g.inbound.serveClock).Methods(http.MethodGet)
}

// Draining reports whether Drain has been called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// beginCall registers a call in flight; it returns false once the gateway accepts no new calls.
func (g *Gateway) beginCall() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed() {
		return false
	}
	g.inflight.Add(1)
	return true
}

const drainGrace = 3 * time.Second // time for callers and other nodes to stop sending calls before new ones are refused

func (g *Gateway) closed() bool { return g.inbound.closed.Load() }

// Drain waits for drainGrace, in which other nodes learn of the shutdown, then refuses new calls and waits for those in
// flight.
func (g *Gateway) Drain(ctx context.Context) {
	g.draining.Store(true)
	g.waitDrainGrace(ctx)
	g.mu.Lock()
	g.inbound.closed.Store(true)
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

func (g *Gateway) waitDrainGrace(ctx context.Context) {
	t := time.NewTimer(drainGrace)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (g *Gateway) latencyQuantile(s config.ServiceName) *route.LatencyQuantile {
	if q, ok := g.latencies.Load(s); ok {
		return q.(*route.LatencyQuantile)
	}
	q, _ := g.latencies.LoadOrStore(s, &route.LatencyQuantile{})
	return q.(*route.LatencyQuantile)
}

// newRand returns a random source, which is not safe for concurrent use.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

var randPool = sync.Pool{New: func() any { return newRand() }}

// Explanation describes how a call would be routed: its route, policy and eligible targets, or the reason for a refusal.
type Explanation struct {
	Version    config.Version      `json:"version"`
	Route      config.RouteName    `json:"route,omitempty"`
	Service    config.ServiceName  `json:"service,omitempty"`
	Policy     map[string]string   `json:"policy,omitempty"`
	Exceptions []*config.Exception `json:"exceptions,omitempty"`
	Targets    []ExplainedTarget   `json:"targets,omitempty"`
	Refusal    *Refusal            `json:"refusal,omitempty"`
}

// ExplainedTarget is a target that the call may be sent to.
type ExplainedTarget struct {
	Node     fleet.NodeID `json:"node"`
	Distance string       `json:"distance"`
	Slots    int          `json:"slots"`
}

var distanceNames = []string{"same data centre", "same region", "other region"}

// Explain returns the route, service, policy, exceptions and targets that apply to a call.
func (g *Gateway) Explain(host, path string, tenant config.Tenant) Explanation {
	t := g.table.Load()
	e := Explanation{Version: t.Version}
	if t.Config == nil {
		r := notExecuted(http.StatusServiceUnavailable, CauseNotReady, "no configuration in force on this node")
		e.Refusal = &r
		return e
	}
	rt := t.Config.Match(host, path)
	if rt == nil {
		r := notExecuted(http.StatusNotFound, CauseNoRoute, "no route matches this host and path")
		e.Refusal = &r
		return e
	}
	p, applied := rt.Policy(tenant, g.deps.Now())
	e.Route, e.Service, e.Exceptions = rt.Name, rt.Service, applied
	e.Policy = p.Describe()
	e.Policy["class in force"] = string(g.classifier.Class(rt.Name, p.Class))
	for _, ep := range t.Endpoints(rt.Service, p.Spill) {
		e.Targets = append(e.Targets, ExplainedTarget{ep.Node, distanceNames[ep.Distance], ep.Slots})
	}
	return e
}

// EndpointCount returns the number of known targets of a service, in all regions.
func (g *Gateway) EndpointCount(s config.ServiceName) int {
	return len(g.table.Load().Endpoints(s, config.SpillAnywhere))
}
