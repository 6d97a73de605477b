package gate

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
)

const (
	maxIdle        = 32                     // idle connections kept to the target; slots are fewer as a rule
	expirePeriod   = 20 * time.Millisecond  // between two looks at calls whose time ends in the queue
	failureGain    = 0.08                   // weight of one call in the share of failures
	failureRest    = 2 * time.Second        // after which a target without calls counts as sound again, by half
	connectTimeout = 400 * time.Millisecond // on the same VM; a silent target takes no connection
	healthTimeout  = time.Second            // a target answers its health check at once
)

// Deps are what a gate needs from its surroundings.
type Deps struct {
	Dialect Dialect
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
	// Uplink is what the VM sends to others, Downlink what comes from them.
	Uplink, Downlink *Link
	// Changed is called when what the node publishes of its target has changed.
	Changed func()
}

// Gate is the way in to the target beside a node; it is safe for concurrent use.
type Gate struct {
	deps    Deps
	meters  *meters
	leaving context.Context // ends when the node leaves
	leave   context.CancelFunc

	mu       sync.Mutex
	life     *lifecycle.Tracker
	queue    *Queue
	pool     *exchange.Pool
	closed   bool // the node leaves
	intake   intake
	health   config.PlanService
	address  fleet.Address // where the settings expect the target
	service  config.ServiceName
	failing  float64
	failedAt time.Time
	pace     float64
	running  map[hop.CallID]work          // calls that the target works on
	sizes    map[config.RouteName]float64 // mean bytes of a route's answers
	asking   bool
	expiring bool
}

// New returns a gate for a target of a service that the settings expect at an address.
func New(deps Deps, service config.ServiceName, address fleet.Address) *Gate {
	leaving, leave := context.WithCancel(context.Background())
	return &Gate{deps: deps, leaving: leaving, leave: leave, intake: intake{link: deps.Downlink}, meters: newMeters(deps.Metrics), life: lifecycle.NewTracker(), queue: NewQueue(), pool: exchange.NewPool(maxIdle),
		service: service, address: address, pace: 1, running: map[hop.CallID]work{}, sizes: map[config.RouteName]float64{}}
}

// Occupant returns what the gate knows of the target.
func (g *Gate) Occupant() lifecycle.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.life.Target()
}

// Expect takes a change of the settings.
func (g *Gate) Expect(service config.ServiceName, address fleet.Address) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.service, g.address = service, address
}

// Configure takes the health path of the target's service from a configuration; a node that knows no target asks then.
func (g *Gate) Configure(p *config.Plan) {
	g.mu.Lock()
	s, ok := p.Services[g.service]
	first := ok && g.health.Health == ""
	if ok {
		g.health = s
	}
	ask := first && g.life.Target().State == lifecycle.Unknown
	g.mu.Unlock()
	if ask {
		g.ask("start")
	}
}

// Hear takes a heartbeat.
func (g *Gate) Hear(h lifecycle.Heartbeat) {
	doubt := false
	g.change("heartbeat", func(l *lifecycle.Tracker) (changed bool) {
		changed, doubt = l.HandleHeartbeat(h, g.deps.Now())
		return changed
	})
	if doubt {
		g.ask("first heartbeat")
	}
}

// Depart takes a target's word that it goes; calls are refused from the return on.
func (g *Gate) Depart(id lifecycle.ID, born lifecycle.Born) {
	g.change("departure", func(l *lifecycle.Tracker) bool { return l.Deregister(id, born) })
}

// Restore takes what an earlier process of this node has published of its target.
func (g *Gate) Restore(id lifecycle.ID, born lifecycle.Born, s lifecycle.State) {
	g.change("own entry", func(l *lifecycle.Tracker) bool { return l.Restore(id, born, s) })
}

// change takes a step in the target's life and what follows from it.
func (g *Gate) change(event string, step func(*lifecycle.Tracker) bool) {
	g.mu.Lock()
	before := g.life.Target()
	changed := step(g.life)
	g.settle(before, g.deps.Now())
	g.mu.Unlock()
	g.report(event, before, changed)
}

// settle brings queue and connections in line with the occupant; it is called with mu held.
func (g *Gate) settle(before lifecycle.Target, now time.Time) {
	o := g.life.Target()
	if !o.SameStart(before.ID, before.Born) || o.Address != before.Address {
		g.pool.Close()
		g.pool = exchange.NewPool(maxIdle)
		g.failing, g.pace = 0, 1
		g.queue.Clear(hop.NotHere)
	}
	if o.State != lifecycle.Open {
		g.queue.Clear(hop.Closed)
	}
	if o.Slots != g.queue.Limit() {
		g.queue.SetLimit(now, o.Slots)
	}
}

func (g *Gate) report(event string, before lifecycle.Target, changed bool) {
	if !changed {
		return
	}
	o := g.Occupant()
	if o.State != before.State || o.ID != before.ID || o.Born != before.Born {
		g.deps.Log.Info("target", "by", event, "instance", o.ID, "born", o.Born, "service", o.Service, "state", o.State, "before", before.State,
			"slots", o.Slots)
	}
	g.deps.Changed()
}

// ask settles by a health check whether the target lives; one check runs at a time.
func (g *Gate) ask(why string) {
	g.mu.Lock()
	path, address := g.health.Health, g.life.Target().Address
	if address == "" {
		address = g.address
	}
	if g.asking || path == "" {
		g.mu.Unlock()
		return
	}
	g.asking = true
	g.mu.Unlock()
	go func() {
		h, err := g.check(string(address), path)
		g.meters.checks.Inc()
		g.deps.Log.Info("health check", "why", why, "address", address, "instance", h.ID, "healthy", h.Healthy, "error", err)
		g.change("health check", func(l *lifecycle.Tracker) bool {
			g.asking = false
			return err == nil && l.HandleHealthCheck(h.ID, h.Healthy, h.Load.Slots, g.service, address)
		})
	}()
}

func (g *Gate) check(address, path string) (Health, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	conn, err := exchange.Dial(ctx, address, connectTimeout)
	if err != nil {
		return Health{}, err
	}
	a, err := conn.Do(ctx, &exchange.Request{Method: http.MethodGet, URI: path, Host: address,
		Match: func(*http.Response) exchange.Match { return exchange.Own }})
	if err != nil {
		return Health{}, err
	}
	h := g.deps.Dialect.ReadHealth(a.Response)
	if _, _, err := a.ReadWhole(maxBuffered); err != nil {
		conn.Close()
		return Health{}, err
	}
	g.pool.Put(a.Release(g.deps.Now()))
	return h, nil
}

// Close refuses new calls and announced bodies from now on; calls that run or wait for a slot go on.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.leave()
}

// Load returns what the gate says of its target to a call.
func (g *Gate) load(now time.Time, c *hop.Call) hop.Load {
	o := g.life.Target()
	l := hop.Load{Running: g.queue.Running(), Waiting: g.queue.Waiting(), Limit: g.queue.Limit(),
		Hold: time.Duration(float64(g.queue.Hold()) * g.pace), Wait: g.queue.Wait(now, ticket(c)), Cold: now.Before(o.WarmAt), Pressed: g.queue.Pressed(now), Link: g.deps.Uplink.Backlog(),
		Inbound: g.deps.Downlink.Backlog()}
	l.Failing = int(100 * g.failureShare(now))
	return l
}

func (g *Gate) failureShare(now time.Time) float64 {
	share := g.failing
	for rest := now.Sub(g.failedAt); rest >= failureRest && share > 0.01; rest -= failureRest {
		share /= 2
	}
	return share
}

func (g *Gate) observe(now time.Time, failed bool) {
	g.failing = g.failureShare(now) * (1 - failureGain)
	if failed {
		g.failing += failureGain
	}
	g.failedAt = now
}

// expireLoop refuses waiting calls whose time is up, as long as any wait; it is called with mu held.
func (g *Gate) expireLoop() {
	if g.expiring {
		return
	}
	g.expiring = true
	var tick func()
	tick = func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.queue.Expire(g.deps.Now())
		if g.queue.Waiting() == 0 {
			g.expiring = false
			return
		}
		time.AfterFunc(expirePeriod, tick)
	}
	time.AfterFunc(expirePeriod, tick)
}
