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
	maxHops      = 8                      // nodes asked for one call; more would only add load to a full service
	maxLooks     = 2                      // full targets asked before a call waits at the best one
	maxQueues    = 2                      // targets whose queue a call may ask for
	minRetryLeft = 30 * time.Millisecond  // time left below which no further attempt is made
	emptyRetry   = 300 * time.Millisecond // time in which a service without any target may have one again
)

// trip is one request on its way through one or more targets.
type trip struct {
	d    *Dispatcher
	in   *Request
	plan *config.Plan
	rule *config.Rule
	rng  *rand.Rand
	call hop.Call

	first   time.Time // when the caller's first try of the request came
	full    []*Peer   // have said that they are full
	avoided []*Peer   // must not be asked again
	hops    int
	queued  int           // targets that refused the call a place in their queue
	arrived int           // attempts that may have reached a target
	unsure  hop.Cause     // an attempt that may have run failed for this cause
	last    *hop.Answered // a target's own error, delivered if nothing better comes
	refused hop.Refused
}

// run makes attempts until one settles the request.
func (t *trip) run(ctx context.Context) hop.Outcome {
	if t.hopeless() {
		return t.final(hop.Refused{Cause: hop.TooLate, RetryAfter: lateReturn})
	}
	for {
		p := t.next()
		if p == nil {
			return t.giveUp()
		}
		t.hops++
		p, o := t.race(ctx, p)
		now := t.d.deps.Now()
		if t.settles(ctx, p, o, now) {
			if _, ok := o.(hop.Refused); ok {
				o = t.refused
			}
			return t.final(o)
		}
	}
}

// hopeless reports whether a call that is late already meets a service that refuses calls in time.
func (t *trip) hopeless() bool {
	now := t.d.deps.Now()
	return t.call.Rank != hop.RankNested && !now.Before(t.call.Aim) && t.d.press.is(t.call.Service, now)
}

func (t *trip) carry(ctx context.Context, p *Peer, c *hop.Call) hop.Outcome {
	if c.Here {
		return t.d.deps.Local.Do(ctx, c)
	}
	return t.d.deps.Carrier.RoundTrip(ctx, p.Address, c)
}

// next chooses the target of the next attempt, or nil when none is left. A target that is believed to have a free slot is
// asked for it; once two have turned out to be full, or the best one is believed to be, the call asks for a place in a queue.
func (t *trip) next() *Peer {
	now := t.d.deps.Now()
	if t.hops >= maxHops || t.hops > 0 && t.call.Deadline.Sub(now) < minRetryLeft {
		return nil
	}
	peers := t.d.deps.Board.Peers(t.call.Service)
	need := t.need()
	if len(t.full) < maxLooks && t.queued == 0 {
		need.tried = func(p *Peer) bool { return slices.Contains(t.avoided, p) || slices.Contains(t.full, p) }
		if p := choose(peers, need, now, t.rng); p != nil && p.free(now, need) {
			t.call.Patience = hop.Elsewhere
			return p
		}
	}
	t.call.Patience = hop.Queue
	need.tried = func(p *Peer) bool { return slices.Contains(t.avoided, p) }
	return leastWait(peers, need, now, t.rng)
}

// settles judges an attempt's outcome and reports whether it ends the request.
func (t *trip) settles(ctx context.Context, p *Peer, o hop.Outcome, now time.Time) bool {
	switch o := o.(type) {
	case *hop.Answered:
		if o.Status < http.StatusInternalServerError || !t.call.Repeatable || o.Rest != nil {
			return true
		}
		t.arrived++
		t.avoid(p)
		if !t.mayRepeat(now) {
			return true
		}
		o.Release()
		t.last = o
		t.note(p, hop.TargetError)
	case hop.Refused:
		t.refused = o
		switch {
		case ctx.Err() != nil:
			return true
		case o.Cause == hop.TargetShed:
			t.arrived++
			t.avoid(p)
			if !t.mayRepeat(now) {
				return true
			}
		case o.Cause == hop.Busy:
			t.full = append(t.full, p)
		case t.call.Patience == hop.Queue && fullCause(o.Cause):
			t.avoid(p)
			t.queued++
			t.refused.RetryAfter = max(o.RetryAfter, lateReturn)
			return t.queued >= maxQueues
		default:
			t.avoid(p)
		}
		t.note(p, o.Cause)
	case hop.Failed:
		t.arrived++
		t.avoid(p)
		if ctx.Err() != nil || !t.call.Repeatable || o.Cause == hop.TimedOut {
			return true
		}
		t.unsure = o.Cause
		if !t.mayRepeat(now) {
			return true
		}
		t.note(p, o.Cause)
	}
	return false
}

// need returns what the call needs from its target.
func (t *trip) need() choice {
	return choice{body: len(t.call.Body), answer: t.d.sizes.of(t.rule.Name)}
}

func (t *trip) avoid(p *Peer) { t.avoided = append(t.avoided, p) }

// mayRepeat reports whether a call that has reached a target may be sent to another one.
func (t *trip) mayRepeat(now time.Time) bool {
	if t.arrived >= t.rule.Attempts || t.call.Deadline.Sub(now) < minRetryLeft {
		return false
	}
	if !t.d.deps.Budget.TryWithdraw(t.call.Service, now) {
		t.d.deps.Log.Info("call not repeated", "call", t.call.ID, "cause", hop.NoBudget, "service", t.call.Service)
		return false
	}
	t.repeat()
	return true
}

// repeat notes that the call goes to another target although it may have run.
func (t *trip) repeat() {
	t.call.Repeat = true
	t.d.meters.repeats.Inc()
}

// note logs why a call goes on to another target.
func (t *trip) note(p *Peer, c hop.Cause) {
	if c == hop.Busy {
		return
	}
	t.d.deps.Log.Info("call sent on", "call", t.call.ID, "route", t.rule.Name, "version", t.plan.Version, "service", t.call.Service, "from", p.Node,
		"instance", p.Instance, "cause", c, "hops", t.hops, "left", t.call.Deadline.Sub(t.d.deps.Now()))
}

// giveUp returns the outcome when no target is left to try.
func (t *trip) giveUp() hop.Outcome {
	if t.hops == 0 {
		return t.final(hop.Refused{Cause: hop.NoTarget, RetryAfter: emptyRetry})
	}
	return t.final(t.refused)
}

// final makes sure that an outcome says no more than what is known of all attempts.
func (t *trip) final(o hop.Outcome) hop.Outcome {
	switch out := o.(type) {
	case *hop.Answered:
		return out
	case hop.Refused:
		if t.last != nil {
			return t.last
		}
		switch {
		case t.unsure != "":
			o = hop.Failed{Cause: t.unsure}
		case out.RetryAfter == 0:
			out.RetryAfter = emptyRetry
			o = out
		}
	case hop.Failed:
		if t.last != nil {
			return t.last
		}
	}
	t.report(o)
	return o
}

func (t *trip) report(o hop.Outcome) {
	cause, ran, retry := hop.Cause(""), "no", time.Duration(0)
	switch o := o.(type) {
	case hop.Refused:
		cause, retry = o.Cause, o.RetryAfter
	case hop.Failed:
		cause, ran = o.Cause, "unknown"
	}
	t.d.deps.Log.Info("call not served", "call", t.call.ID, "cause", cause, "ran", ran, "route", t.rule.Name, "version", t.plan.Version,
		"service", t.call.Service, "targets", len(t.d.deps.Board.Peers(t.call.Service)), "hops", t.hops, "full", len(t.full),
		"took", t.d.deps.Now().Sub(t.in.Came), "retry_after", retry)
}
