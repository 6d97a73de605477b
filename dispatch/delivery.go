package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
)

const (
	maxTargets        = 8                      // targets tried per request; more would only add load to an overloaded service
	maxBusyTargets    = 2                      // busy targets tried before the call asks for a place in a queue
	maxQueueRefusals  = 2                      // refused places in queues after which the request is refused
	minTimeLeft       = 30 * time.Millisecond  // time left to the deadline below which no further attempt is made
	defaultRetryAfter = 300 * time.Millisecond // time in which a service without targets may have one again
)

// delivery is the state of one request while attempts at one or more targets are made for it.
type delivery struct {
	dispatcher *Dispatcher
	in         *Request
	plan       *config.Plan
	rule       *config.Rule
	rng        *rand.Rand
	call       hop.Call

	firstReceivedAt time.Time // when the caller's first submission of the request was received
	busy            []*Peer   // refused the call for lack of a free slot
	excluded        []*Peer   // not to be tried again
	targetsTried    int
	versionDrawn    bool          // it has been decided whether the first attempt goes to a version that is rolled out
	canary          bool          // it does
	queueRefusals   int           // targets that refused to queue the call
	reached         int           // attempts that may have reached a target
	failureCause    hop.Cause     // cause of the last failed attempt that may have run, if any
	errorAnswer     *hop.Answered // server error of a target, returned if no attempt succeeds
	lastRefusal     hop.Refused
}

// run makes attempts until an outcome ends the request.
func (d *delivery) run(ctx context.Context) hop.Outcome {
	if d.shedAsLate() {
		return d.finalOutcome(hop.Refused{Cause: hop.TooLate, RetryAfter: lateRetryAfter})
	}
	for {
		p := d.nextTarget()
		if p == nil {
			return d.targetsExhausted()
		}
		// Earlier attempts may have waited in queues.
		if s := d.dispatcher.stop.Load(); d.dispatcher.endsTooLate(s, &d.call, d.dispatcher.deps.Now()) {
			return d.finalOutcome(hop.Refused{Cause: hop.Closed, RetryAfter: s.retryAfter})
		}
		d.targetsTried++
		p, o := d.sendHedged(ctx, p)
		now := d.dispatcher.deps.Now()
		if d.handleOutcome(ctx, p, o, now) {
			if _, ok := o.(hop.Refused); ok {
				o = d.lastRefusal
			}
			return d.finalOutcome(o)
		}
	}
}

// shedAsLate reports whether the call has missed its soft deadline while its service is overloaded.
func (d *delivery) shedAsLate() bool {
	now := d.dispatcher.deps.Now()
	return d.call.Rank != hop.RankNested && !now.Before(d.call.SoftDeadline) && d.dispatcher.overloads.active(d.call.Service, now)
}

func (d *delivery) send(ctx context.Context, p *Peer, c *hop.Call) hop.Outcome {
	if c.SameVM {
		return d.dispatcher.deps.Gate.Do(ctx, c)
	}
	return d.dispatcher.deps.Transport.RoundTrip(ctx, p.Address, c)
}

// nextTarget chooses the target of the next attempt, or nil if none is left. The call fails fast at targets that seem to have a
// free slot; after two busy targets, or if the best one seems busy, it may be queued.
func (d *delivery) nextTarget() *Peer {
	now := d.dispatcher.deps.Now()
	if d.targetsTried >= maxTargets || d.targetsTried > 0 && d.call.Deadline.Sub(now) < minTimeLeft {
		return nil
	}
	if split := d.dispatcher.deps.Peers.split(d.call.Service); split != nil {
		return d.nextTargetOf(split, now)
	}
	return d.nextTargetAmong(d.dispatcher.deps.Peers.Peers(d.call.Service), now)
}

// nextTargetAmong chooses the target of the next attempt among some peers.
func (d *delivery) nextTargetAmong(peers []*Peer, now time.Time) *Peer {
	if len(d.busy) < maxBusyTargets && d.queueRefusals == 0 {
		if p := d.chooseSlot(peers, func(p *Peer) bool { return contains(d.excluded, p) || contains(d.busy, p) }, now); p != nil {
			d.call.QueuePolicy = hop.FailFast
			return p
		}
	}
	d.call.QueuePolicy = hop.AllowQueueing
	return d.chooseQueue(peers, func(p *Peer) bool { return contains(d.excluded, p) }, now)
}

// handleOutcome records an attempt's outcome and reports whether it ends the request.
func (d *delivery) handleOutcome(ctx context.Context, p *Peer, o hop.Outcome, now time.Time) bool {
	switch o := o.(type) {
	case *hop.Answered:
		if o.Status < http.StatusInternalServerError || !d.call.Idempotent {
			return true
		}
		d.reached++
		d.exclude(p)
		if !d.tryRetry(now) {
			return true
		}
		d.releaseError(o)
		d.logNextAttempt(p, hop.TargetError)
	case hop.Refused:
		d.lastRefusal = o
		switch {
		case ctx.Err() != nil:
			return true
		case o.Cause == hop.TargetShed:
			d.reached++
			d.exclude(p)
			if !d.tryRetry(now) {
				return true
			}
		case o.Cause == hop.Busy:
			d.busy = append(d.busy, p)
		case d.call.QueuePolicy == hop.AllowQueueing && lacksCapacity(o.Cause):
			d.exclude(p)
			d.queueRefusals++
			d.lastRefusal.RetryAfter = max(o.RetryAfter, lateRetryAfter)
			return d.queueRefusals >= maxQueueRefusals
		default:
			d.exclude(p)
		}
		d.logNextAttempt(p, o.Cause)
	case hop.Failed:
		d.reached++
		d.exclude(p)
		if ctx.Err() != nil || !d.call.Idempotent || o.Cause == hop.TimedOut {
			return true
		}
		d.failureCause = o.Cause
		if !d.tryRetry(now) {
			return true
		}
		d.logNextAttempt(p, o.Cause)
	}
	return false
}

// releaseError ends the exchange of a target's server error and keeps the error for the case that no attempt succeeds.
func (d *delivery) releaseError(o *hop.Answered) {
	o.Release()
	if o.Remainder != nil {
		d.failureCause = hop.TargetError // the rest of its body is lost
		return
	}
	d.errorAnswer = o
}

func (d *delivery) exclude(p *Peer) { d.excluded = append(d.excluded, p) }

// contains reports whether peers has an entry for p's target, which may have got a new Peer since.
func contains(peers []*Peer, p *Peer) bool {
	return slices.ContainsFunc(peers, func(o *Peer) bool { return o.Instance == p.Instance })
}

// tryRetry reports whether a call that may have run can be retried at another target, and withdraws the token for it.
func (d *delivery) tryRetry(now time.Time) bool {
	if d.reached >= d.rule.MaxAttempts || d.call.Deadline.Sub(now) < minTimeLeft {
		return false
	}
	if !d.dispatcher.deps.Budget.TryWithdraw(d.call.Service, d.call.Rank, now) {
		d.dispatcher.deps.Log.Info("call not retried, retry budget exhausted", "call", d.call.ID, "cause", hop.NoBudget, "service", d.call.Service)
		return false
	}
	d.markRetry()
	return true
}

// markRetry marks the next attempts as retries: the call may have run already.
func (d *delivery) markRetry() {
	d.call.Retry = true
	d.dispatcher.meters.retries.Inc()
}

// logNextAttempt logs the cause for which another target is tried; busy targets are not logged.
func (d *delivery) logNextAttempt(p *Peer, c hop.Cause) {
	if c == hop.Busy {
		return
	}
	d.dispatcher.deps.Log.Info("attempt unsuccessful, trying another target", "call", d.call.ID, "route", d.rule.Name, "version", d.plan.Version, "service", d.call.Service, "from", p.Node,
		"instance", p.Instance, "cause", c, "hops", d.targetsTried, "left", d.call.Deadline.Sub(d.dispatcher.deps.Now()))
}

// targetsExhausted returns the outcome if no target is left to try.
func (d *delivery) targetsExhausted() hop.Outcome {
	if d.targetsTried == 0 {
		return d.finalOutcome(hop.Refused{Cause: hop.NoTarget, RetryAfter: defaultRetryAfter})
	}
	return d.finalOutcome(d.lastRefusal)
}

// finalOutcome combines the last outcome with those of earlier attempts: a refusal becomes a failure if one of them may have run,
// and a target's server error takes precedence over both.
func (d *delivery) finalOutcome(o hop.Outcome) hop.Outcome {
	switch out := o.(type) {
	case *hop.Answered:
		return out
	case hop.Refused:
		if d.errorAnswer != nil {
			return d.errorAnswer
		}
		switch {
		case d.failureCause != "":
			o = hop.Failed{Cause: d.failureCause}
		case out.RetryAfter == 0:
			out.RetryAfter = defaultRetryAfter
			o = out
		}
	case hop.Failed:
		if d.errorAnswer != nil {
			return d.errorAnswer
		}
	}
	d.logUnserved(o)
	return o
}

func (d *delivery) logUnserved(o hop.Outcome) {
	cause, ran, retry := hop.Cause(""), "no", time.Duration(0)
	switch o := o.(type) {
	case hop.Refused:
		cause, retry = o.Cause, o.RetryAfter
	case hop.Failed:
		cause, ran = o.Cause, "unknown"
	}
	d.dispatcher.deps.Log.Info("call not served", "call", d.call.ID, "cause", cause, "ran", ran, "route", d.rule.Name, "version", d.plan.Version,
		"service", d.call.Service, "targets", len(d.dispatcher.deps.Peers.Peers(d.call.Service)), "hops", d.targetsTried, "full", len(d.busy),
		"took", d.dispatcher.deps.Now().Sub(d.in.ReceivedAt), "retry_after", retry)
}
