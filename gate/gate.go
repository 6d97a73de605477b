package gate

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/upgrade"
)

const (
	maxIdleConns       = 32                     // idle connections to the target in the pool; targets usually have fewer slots
	failureWeight      = 0.08                   // weight of one call in the moving average of the failure rate
	failureHalfLife    = 2 * time.Second        // in which the failure rate of a target without calls halves
	connectTimeout     = 400 * time.Millisecond // on the same VM; an unresponsive target accepts no connection
	healthCheckTimeout = time.Second            // targets answer health checks immediately
)

// Deps holds the dependencies of a gate.
type Deps struct {
	Dialect Dialect
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
	// Uplink schedules bodies sent to other VMs, Downlink bodies received from them.
	Uplink, Downlink *Link
	// OnChange is called when the published state of the target has changed.
	OnChange func()
}

// Gate is the admission queue in front of the target on a node's VM; it is safe for concurrent use.
type Gate struct {
	deps        Deps
	metrics     *gateMetrics
	lifetime    context.Context // cancelled when the node shuts down
	endLifetime context.CancelFunc

	mu            sync.Mutex
	tracker       *lifecycle.Tracker
	queue         *Queue
	pool          *exchange.Pool
	closed        bool          // the node is shutting down
	end           time.Time     // when the node stops, or zero
	durations     hop.Durations // of the calls at the target
	bodies        bodyAdmission
	health        config.PlanService // of the current plan
	address       fleet.Address      // of the target, from the settings
	service       config.ServiceName
	failureRate   float64
	failureRateAt time.Time
	slowdown      float64
	answered      bool                         // the target has answered a call, so its rate limit is known
	limitNamedAt  time.Time                    // when an answer last named a rate limit
	loggedLimit   RateLimit                    // rate limit when it was last logged
	running       map[hop.CallID]execution     // calls that the target is executing
	responseSizes map[config.RouteName]float64 // mean size of a route's responses in bytes
	checking      bool                         // a health check is running
	refreshing    bool                         // a timer for scheduleRefresh is set

	tally atomic.Pointer[upgrade.Tally] // of the target's answers while a version of its service is ordered, or nil
}

// New returns a gate for a target of the given service and address, both from the settings.
func New(deps Deps, service config.ServiceName, address fleet.Address) *Gate {
	lifetime, endLifetime := context.WithCancel(context.Background())
	return &Gate{deps: deps, lifetime: lifetime, endLifetime: endLifetime, bodies: bodyAdmission{link: deps.Downlink}, metrics: newGateMetrics(deps.Metrics), tracker: lifecycle.NewTracker(), queue: NewQueue(), pool: exchange.NewPool(maxIdleConns),
		service: service, address: address, slowdown: 1, running: map[hop.CallID]execution{}, responseSizes: map[config.RouteName]float64{}}
}

// Target returns the current target and its state.
func (g *Gate) Target() lifecycle.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Target()
}

// SetTarget sets the service and address of the target after the settings have changed.
func (g *Gate) SetTarget(service config.ServiceName, address fleet.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service, g.address = service, address
}

// ApplyPlan applies the health check path of the target's service from a plan. On the first plan it starts a health check if
// the target's state is unknown.
func (g *Gate) ApplyPlan(p *config.Plan) {
	g.mu.Lock()
	s, ok := p.Services[g.service]
	firstPlan := ok && g.health.HealthPath == ""
	if ok {
		g.health = s
	}
	checkHealth := firstPlan && g.tracker.Target().State == lifecycle.Unknown
	g.mu.Unlock()
	if checkHealth {
		g.startHealthCheck("start")
	}
}

// HandleHeartbeat applies a heartbeat of the target. It returns false for one of another writer, which changes nothing: the
// settings name the only service on this VM.
func (g *Gate) HandleHeartbeat(h lifecycle.Heartbeat) bool {
	g.mu.Lock()
	foreign := h.Service != g.service || g.tracker.Contradicts(h)
	g.mu.Unlock()
	if foreign {
		g.deps.Log.Warn("heartbeat of another writer refused", "instance", h.ID, "born", h.StartTime, "service", h.Service, "sequence", h.Sequence, "draining", h.Draining)
		g.metrics.foreignHeartbeats.Inc()
		return false
	}
	unconfirmed := false
	g.transition("heartbeat", func(t *lifecycle.Tracker) (changed bool) {
		changed, unconfirmed = t.HandleHeartbeat(h, g.deps.Now())
		return changed
	})
	if unconfirmed {
		g.startHealthCheck("unconfirmed heartbeat")
	}
	return true
}

// Deregister marks the target as leaving; once it has returned, new calls are refused.
func (g *Gate) Deregister(id lifecycle.ID, startTime lifecycle.StartTime) {
	g.transition("departure", func(t *lifecycle.Tracker) bool { return t.Deregister(id, startTime, g.deps.Now()) })
}

// Restore applies the target state that a previous process of this node published.
func (g *Gate) Restore(id lifecycle.ID, startTime lifecycle.StartTime, s lifecycle.State) {
	g.transition("restored state", func(t *lifecycle.Tracker) bool { return t.Restore(id, startTime, s, g.deps.Now()) })
}

// transition applies an event to the target's state, then updates the queue and the connections and publishes the change.
func (g *Gate) transition(event string, apply func(*lifecycle.Tracker) bool) {
	g.mu.Lock()
	before := g.tracker.Target()
	changed := apply(g.tracker)
	g.reconcile(before, g.deps.Now())
	g.mu.Unlock()
	g.publishChange(event, before, changed)
}

// reconcile adapts the queue and the connection pool to the target's state; it is called with mu held.
func (g *Gate) reconcile(before lifecycle.Target, now time.Time) {
	t := g.tracker.Target()
	if !t.SameStart(before.ID, before.StartTime) || t.Address != before.Address {
		g.pool.Close()
		g.pool = exchange.NewPool(maxIdleConns)
		g.failureRate, g.slowdown = 0, 1
		g.answered, g.limitNamedAt, g.loggedLimit = false, time.Time{}, RateLimit{}
		g.queue.SetRateLimit(now, RateLimit{})
		g.metrics.rateLimitNamed(RateLimit{})
		g.queue.RejectAll(hop.NotHere)
		if g.tally.Load() != nil {
			g.tally.Store(upgrade.NewTally())
		}
	}
	if t.State != lifecycle.Open {
		g.queue.RejectAll(hop.Closed)
	}
	g.updateSlots(now)
}

// updateSlots sets the number of slots in use; it is called with mu held.
func (g *Gate) updateSlots(now time.Time) {
	slots := g.tracker.Target().Slots
	if !g.answered {
		slots = min(slots, unansweredSlots)
	}
	if slots != g.queue.Limit() {
		g.queue.SetLimit(now, slots)
	}
}

func (g *Gate) publishChange(event string, before lifecycle.Target, changed bool) {
	if !changed {
		return
	}
	t := g.Target()
	if t.State != before.State || t.ID != before.ID || t.StartTime != before.StartTime {
		g.deps.Log.Info("target state changed", "by", event, "instance", t.ID, "born", t.StartTime, "service", t.Service, "state", t.State, "before", before.State,
			"slots", t.Slots)
	}
	g.deps.OnChange()
}

// startHealthCheck checks in the background whether the target is running; one check runs at a time.
func (g *Gate) startHealthCheck(reason string) {
	g.mu.Lock()
	path, address := g.health.HealthPath, g.tracker.Target().Address
	if address == "" {
		address = g.address
	}
	if g.checking || path == "" {
		g.mu.Unlock()
		return
	}
	g.checking = true
	g.mu.Unlock()
	go func() {
		h, err := g.healthCheck(string(address), path)
		g.metrics.checks.Inc()
		g.deps.Log.Info("health check", "why", reason, "address", address, "instance", h.ID, "healthy", h.Healthy, "rate_limit", h.RateLimit.String(), "leaving", h.Leaving, "error", err)
		g.transition("health check", func(t *lifecycle.Tracker) bool {
			g.checking = false
			if h.RateLimit.Named && t.Target().ID == h.ID {
				g.nameRateLimit(g.deps.Now(), h.RateLimit)
			}
			if h.Leaving {
				return t.MarkLeaving(h.ID, 0, g.deps.Now())
			}
			return err == nil && t.HandleHealthCheck(h.ID, h.Healthy, h.Load.Slots, g.service, address)
		})
	}()
}

// errHealthTooLong is returned for a response to a health check that is not read to its end.
var errHealthTooLong = errors.New("response to a health check exceeds the size limit")

func (g *Gate) healthCheck(address, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	conn, err := exchange.Dial(ctx, address, connectTimeout)
	if err != nil {
		return Health{}, err
	}
	resp, err := conn.Do(ctx, &exchange.Request{Method: http.MethodGet, URI: path, Host: address,
		Match: func(*http.Response) exchange.Match { return exchange.Current }})
	if err != nil {
		return Health{}, err
	}
	h := g.deps.Dialect.ReadHealth(resp.Response)
	_, more, err := resp.ReadBody(maxBuffered)
	if err == nil && more {
		err = errHealthTooLong
	}
	if err != nil {
		conn.Close()
		return Health{}, err
	}
	g.pool.Put(resp.Release(g.deps.Now()))
	return h, nil
}

// StopAt announces that the node stops at a time: calls end before it, and those that may run only once are refused if they are not
// expected to.
func (g *Gate) StopAt(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.end = end
}

// endBeforeStop limits a call's deadline to the time at which the node stops.
func (g *Gate) endBeforeStop(c *hop.Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.end.IsZero() && g.end.Before(c.Deadline) {
		c.Deadline = g.end
	}
}

// endsTooLate reports whether a call that may run only once and is sent to the target at start is not expected to end before the node
// stops; it is called with mu held.
func (g *Gate) endsTooLate(start time.Time, c *hop.Call) bool {
	return !g.end.IsZero() && !c.Idempotent && start.Add(g.durations.Slow(c.Route, start)).After(g.end)
}

// Close refuses new calls and request bodies from now on; calls that run or are queued continue.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.endLifetime()
}

// load returns the load that the gate reports to the caller's node; it is called with mu held.
func (g *Gate) load(now time.Time, c *hop.Call) hop.Load {
	t := g.tracker.Target()
	l := hop.Load{Running: g.queue.Running(), Waiting: g.queue.Waiting(), Limit: g.queue.Limit(),
		ServiceTime: time.Duration(float64(g.queue.ServiceTime()) * g.slowdown), ExpectedWait: g.queue.ExpectedWait(now, newTicket(c)), Cold: now.Before(t.WarmAt), Overloaded: g.queue.Overloaded(now), UplinkBacklog: g.deps.Uplink.Backlog(),
		DownlinkBacklog: g.deps.Downlink.Backlog()}
	l.Leaving = t.State == lifecycle.Leaving && t.ID == c.Instance
	if limit := g.queue.RateLimit(); limit.Named {
		l.RateLimit, l.RateWait = max(limit.PerSecond, minRate), g.queue.RateWait(now)
	}
	l.FailurePercent = int(100 * g.decayedFailureRate(now))
	return l
}

func (g *Gate) decayedFailureRate(now time.Time) float64 {
	rate := g.failureRate
	for elapsed := now.Sub(g.failureRateAt); elapsed >= failureHalfLife && rate > 0.01; elapsed -= failureHalfLife {
		rate /= 2
	}
	return rate
}

func (g *Gate) recordResult(now time.Time, failed bool) {
	g.failureRate = g.decayedFailureRate(now) * (1 - failureWeight)
	if failed {
		g.failureRate += failureWeight
	}
	g.failureRateAt = now
}

// scheduleRefresh periodically calls Queue.Refresh while any calls are queued; it is called with mu held.
func (g *Gate) scheduleRefresh() {
	if g.refreshing {
		return
	}
	g.refreshing = true
	var tick func()
	tick = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		next := g.queue.Refresh(g.deps.Now())
		if g.queue.Waiting() == 0 {
			g.refreshing = false
			return
		}
		time.AfterFunc(next, tick)
	}
	time.AfterFunc(expireInterval, tick)
}
