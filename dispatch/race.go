package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cassialead/cassialead/hop"
)

// attempt is one sending of a call to a target.
type attempt struct {
	peer   *Peer
	cancel context.CancelFunc
	done   chan hop.Outcome
	silent chan struct{} // closed when the target's node has given no sign for a while
}

// start sends the call to a peer.
func (t *trip) start(ctx context.Context, p *Peer, patience hop.Patience) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{peer: p, cancel: cancel, done: make(chan hop.Outcome, 1), silent: make(chan struct{})}
	c := t.call
	c.Instance, c.Patience = p.Instance, patience
	c.Here = p.Distance == SameVM
	c.Announced = len(c.Body) >= hop.BulkSize && !c.Here
	c.OnAckTimeout = func() { close(a.silent) }
	p.begin()
	go func() {
		o := t.carry(ctx, p, &c)
		now := t.d.deps.Now()
		p.end(o, now)
		t.d.press.note(c.Service, o, now)
		if answered, ok := o.(*hop.Answered); ok {
			release := answered.Release
			answered.Release = func() {
				release()
				cancel()
			}
		} else {
			cancel()
		}
		a.done <- o
	}()
	return a
}

// abandon ends an attempt that another one has made needless.
func (a *attempt) abandon(now time.Time) {
	select {
	case <-a.silent:
		a.peer.Silent(now)
	default:
	}
	a.cancel()
	go func() {
		if o, ok := (<-a.done).(*hop.Answered); ok {
			o.Release()
		}
	}()
}

// race sends the call to a peer, and once more to another one if the first one's node is silent; the first answer counts. The
// first attempt goes on meanwhile: its work is given up only for an answer.
func (t *trip) race(ctx context.Context, p *Peer) (*Peer, hop.Outcome) {
	first := t.start(ctx, p, t.call.Patience)
	if !t.call.Repeatable || t.arrived+1 >= t.rule.Attempts {
		return p, <-first.done
	}
	second, o := t.await(ctx, first)
	if second == nil {
		return p, o
	}
	select {
	case o = <-first.done:
		if conclusive(o) {
			second.abandon(t.d.deps.Now())
			return p, o
		}
		t.lost(first, o)
		return second.peer, <-second.done
	case o = <-second.done:
		if conclusive(o) {
			first.abandon(t.d.deps.Now())
			return second.peer, o
		}
		if r, ok := o.(hop.Refused); ok && r.Cause != hop.TargetShed {
			t.d.deps.Budget.Refund(t.call.Service, t.d.deps.Now())
		}
		t.lost(second, o)
		return p, <-first.done
	}
}

// conclusive reports whether an outcome is the target's answer, after which no other one is waited for.
func conclusive(o hop.Outcome) bool {
	a, ok := o.(*hop.Answered)
	return ok && a.Status < http.StatusInternalServerError
}

// lost takes note of an attempt that has ended without an answer while the other one goes on.
func (t *trip) lost(a *attempt, o hop.Outcome) {
	switch o := o.(type) {
	case *hop.Answered:
		t.arrived++
		o.Release()
		if o.Rest == nil {
			t.last = o
		}
	case hop.Failed:
		t.arrived++
		t.unsure = o.Cause
	case hop.Refused:
		if o.Cause == hop.TargetShed {
			t.arrived++
		}
		if o.Cause == hop.Busy {
			t.full = append(t.full, a.peer)
			return
		}
	}
	t.avoid(a.peer)
}

const secondPoll = 50 * time.Millisecond // between two looks for another target

// await waits for the outcome of the first attempt, or until a second one has been started because the first node is silent.
func (t *trip) await(ctx context.Context, first *attempt) (*attempt, hop.Outcome) {
	select {
	case o := <-first.done:
		return nil, o
	case <-first.silent:
	}
	ticker := time.NewTicker(secondPoll)
	defer ticker.Stop()
	for {
		if a := t.second(ctx, first); a != nil {
			return a, nil
		}
		select {
		case o := <-first.done:
			return nil, o
		case <-ticker.C:
		}
	}
}

// second starts an attempt beside one whose node is silent, if the budget pays for it: at a target that is believed to have
// room, or else in the shortest queue. It returns nil if there is neither.
func (t *trip) second(ctx context.Context, first *attempt) *attempt {
	now := t.d.deps.Now()
	if t.call.Deadline.Sub(now) < 2*minRetryLeft {
		return nil
	}
	peers, need := t.d.deps.Board.Peers(t.call.Service), t.need()
	need.tried = func(p *Peer) bool {
		return p == first.peer || slices.Contains(t.avoided, p) || slices.Contains(t.full, p)
	}
	p, patience := choose(peers, need, now, t.rng), hop.Elsewhere
	if p != nil && !p.free(now, need) {
		p, patience = leastWait(peers, need, now, t.rng), hop.Queue
	}
	if p == nil || !t.d.deps.Budget.TryWithdraw(t.call.Service, now) {
		return nil
	}
	t.hops++
	t.repeat()
	t.d.deps.Log.Info("call sent to a second target", "call", t.call.ID, "route", t.rule.Name, "service", t.call.Service, "silent", first.peer.Node,
		"second", p.Node, "instance", p.Instance, "left", t.call.Deadline.Sub(now))
	return t.start(ctx, p, patience)
}
