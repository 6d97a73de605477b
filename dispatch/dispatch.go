package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/tenant"
)

// Transport sends calls to other nodes.
type Transport interface {
	// RoundTrip sends a call to the node at an address and returns its outcome.
	RoundTrip(ctx context.Context, to fleet.Address, c *hop.Call) hop.Outcome
}

// Gate admits calls to the target on this VM.
type Gate interface {
	// Do admits a call, sends it to the target and returns its outcome.
	Do(ctx context.Context, c *hop.Call) hop.Outcome
	// Runs reports whether the target is running a call, and whether that run is a retry.
	Runs(id hop.CallID) (running, retry bool)
}

// Deps are the dependencies of a dispatcher.
type Deps struct {
	Peers     *PeerTable
	Transport Transport
	Gate      Gate
	Budget    *RetryBudget
	Log       *slog.Logger
	Metrics   *metrics.Set
	Now       func() time.Time
}

// Request is a caller's request.
type Request struct {
	ID         hop.CallID
	Parent     hop.CallID // call on whose behalf this one claims to be made, if any
	Method     string
	URI        string
	Host       string
	Header     http.Header  // without the keys
	Keys       []tenant.Key // all that the request carries; a proper one carries one
	Excess     bool         // its account asks for more than its limit at the moment
	Body       []byte
	Origin     config.ServiceName
	Timeout    time.Duration // the caller's own timeout, or zero if it has sent none
	ReceivedAt time.Time
}

// Dispatcher delivers callers' requests to targets; it is safe for concurrent use.
type Dispatcher struct {
	deps          Deps
	meters        *meters
	plan          atomic.Pointer[config.Plan]
	split         weightedSplit
	resubmissions resubmissions
	sizes         sizes
	overloads     overloads
	durations     hop.Durations
	stop          atomic.Pointer[stop] // set once the node is stopping
}

// New returns a dispatcher without a configuration.
func New(deps Deps) *Dispatcher {
	return &Dispatcher{deps: deps, meters: newMeters(deps.Metrics), resubmissions: newResubmissions()}
}

// SetPlan puts a configuration into force if its version is newer than the current one, and reports whether it did.
func (d *Dispatcher) SetPlan(p *config.Plan) bool {
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

// stop is the end of the node.
type stop struct {
	at         time.Time
	retryAfter time.Duration // until callers are served again
}

// StopAt announces that the node stops at a time: calls end before it, and those that may run only once are refused if they are not
// expected to. Callers are served again, here or elsewhere, after retryAfter.
func (d *Dispatcher) StopAt(end time.Time, retryAfter time.Duration) {
	d.stop.Store(&stop{end, retryAfter})
}

// endsTooLate reports whether a call that may run only once is not expected to end before the node stops.
func (d *Dispatcher) endsTooLate(s *stop, c *hop.Call, now time.Time) bool {
	return s != nil && !c.Idempotent && now.Add(d.durations.Slow(c.Route, now)).After(s.at)
}

const answerMargin = 20 * time.Millisecond // reserved before the caller's deadline for the transfer of the answer

// Do delivers a request and returns its outcome; an answer's Release must be called once it has been passed on.
func (d *Dispatcher) Do(ctx context.Context, in *Request) hop.Outcome {
	adm, refused := d.Admit(in)
	if refused != nil {
		return *refused
	}
	job := d.newDelivery(in, adm)
	ctx, cancel := context.WithDeadline(ctx, job.call.Deadline)
	o := job.run(ctx)
	if a, ok := o.(*hop.Answered); ok {
		release := a.Release
		a.Release = func() {
			release()
			cancel()
		}
		d.sizes.observe(job.rule.Name, len(a.Body))
		d.durations.Record(job.rule.Name, d.deps.Now().Sub(in.ReceivedAt), d.deps.Now())
	} else {
		d.resubmissions.record(in, job.firstReceivedAt, d.deps.Now())
		cancel()
	}
	d.meters.outcome(job.call.Service, o, d.deps.Now().Sub(in.ReceivedAt))
	return o
}

const noPlanRetryAfter = 500 * time.Millisecond // by then a starting node has loaded its configuration, if the store is available

func (d *Dispatcher) newDelivery(in *Request, adm Admission) *delivery {
	rule := adm.rule
	timeout := rule.Timeout
	if in.Timeout > 0 && (in.Timeout < timeout || timeout <= 0) {
		timeout = in.Timeout
	}
	job := &delivery{dispatcher: d, in: in, plan: adm.plan, rule: rule, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	job.firstReceivedAt = d.resubmissions.firstReceivedAt(in)
	job.call = hop.Call{ID: in.ID, Method: in.Method, URI: in.URI, Host: in.Host, Header: in.Header, Body: in.Body, Route: rule.Name,
		Service: d.split.nextService(rule), Origin: in.Origin, Tenant: adm.tenantName(), Rank: adm.rank, Idempotent: rule.Idempotent(),
		SoftDeadline: job.firstReceivedAt.Add(rule.LatencyObjective), Deadline: in.ReceivedAt.Add(timeout - answerMargin)}
	if s := d.stop.Load(); s != nil && s.at.Before(job.call.Deadline) {
		job.call.Deadline = s.at
	}
	d.deps.Budget.Deposit(job.call.Service, in.ReceivedAt)
	if adm.parentRetried {
		d.deps.Budget.Overdraw(job.call.Service, in.ReceivedAt)
	}
	return job
}
