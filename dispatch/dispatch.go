package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
)

// Transport brings calls to other nodes.
type Transport interface {
	// RoundTrip brings a call to the node at an address.
	RoundTrip(ctx context.Context, to fleet.Address, c *hop.Call) hop.Outcome
}

// Local brings calls to the target on this VM.
type Local interface {
	// Do admits a call and brings it to the target.
	Do(ctx context.Context, c *hop.Call) hop.Outcome
	// Runs reports whether the target works on a call, and whether that is a repeat.
	Runs(id hop.CallID) (works, repeat bool)
}

// Deps are what a dispatcher needs from its surroundings.
type Deps struct {
	Board   *Board
	Carrier Transport
	Local   Local
	Budget  *Budget
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
}

// Request is a caller's request.
type Request struct {
	ID     hop.CallID
	Parent hop.CallID // the call that this one may be made for, or nothing
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	Origin config.ServiceName
	Left   time.Duration // what the caller will wait; zero means that it does not say
	Came   time.Time
}

// Dispatcher carries callers' requests to targets; it is safe for concurrent use.
type Dispatcher struct {
	deps   Deps
	meters *meters
	plan   atomic.Pointer[config.Plan]
	parts  shares
	back   returns
	sizes  sizes
	press  press
}

// New returns a dispatcher without a configuration.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{deps: deps, meters: newMeters(deps.Metrics)}
}

// Publish puts a configuration into force, unless a newer one is.
func (d *Dispatcher) Publish(p *config.Plan) bool {
	for {
		old := d.plan.Load()
		if old != nil && old.Version >= p.Version {
			return false
		}
		if d.plan.CompareAndSwap(old, p) {
			return true
		}
	}
}

// Plan returns the configuration in force, or nil.
func (d *Dispatcher) Plan() *config.Plan { return d.plan.Load() }

const answerMargin = 20 * time.Millisecond // before the deadline, in which the answer reaches the caller

// Do carries a request; the outcome's Release must be called once its answer has been passed on.
func (d *Dispatcher) Do(ctx context.Context, in *Request) hop.Outcome {
	plan := d.plan.Load()
	if plan == nil {
		return hop.Refused{Cause: hop.NoPlan, RetryAfter: noPlanRetry}
	}
	path, _, _ := strings.Cut(in.URI, "?")
	rule := plan.Match(config.Host(in.Host), path)
	if rule == nil {
		return hop.Refused{Cause: hop.NoRoute}
	}
	x := d.newTrip(in, plan, rule)
	ctx, cancel := context.WithDeadline(ctx, x.call.Deadline)
	o := x.run(ctx)
	if a, ok := o.(*hop.Answered); ok {
		release := a.Release
		a.Release = func() {
			release()
			cancel()
		}
		d.sizes.observe(rule.Name, len(a.Body))
	} else {
		d.back.note(in, x.first, d.deps.Now())
		cancel()
	}
	d.meters.outcome(x.call.Service, o, d.deps.Now().Sub(in.Came))
	return o
}

const noPlanRetry = 500 * time.Millisecond // a starting node has its configuration by then, if the store answers

func (d *Dispatcher) newTrip(in *Request, plan *config.Plan, rule *config.Rule) *trip {
	wait := rule.Timeout
	if in.Left > 0 && (in.Left < wait || wait <= 0) {
		wait = in.Left
	}
	t := &trip{d: d, in: in, plan: plan, rule: rule, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	t.first = d.back.first(in)
	rank, repeat := d.rank(in, rule)
	t.call = hop.Call{ID: in.ID, Method: in.Method, URI: in.URI, Host: in.Host, Header: in.Header, Body: in.Body, Route: rule.Name,
		Service: d.parts.part(rule), Origin: in.Origin, Rank: rank, Repeatable: rule.Repeatable(),
		Aim: t.first.Add(rule.Aim), Deadline: in.Came.Add(wait - answerMargin)}
	d.deps.Budget.Deposit(t.call.Service, in.Came)
	if repeat {
		d.deps.Budget.Overdraw(t.call.Service, in.Came)
	}
	return t
}

// rank returns the rank of a call at a gate, and whether a repeated run makes it: a call that the target on this VM makes for
// one it works on goes first.
func (d *Dispatcher) rank(in *Request, r *config.Rule) (rank hop.Rank, repeat bool) {
	if in.Parent != "" {
		if works, repeat := d.deps.Local.Runs(in.Parent); works {
			return hop.RankNested, repeat
		}
	}
	return hop.Rank(r.Priority), false
}
