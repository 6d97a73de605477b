package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cassialead/cassialead/balance"
	"github.com/cassialead/cassialead/hop"
)

// attempt is one transmission of a call to a target.
type attempt struct {
	peer           *Peer
	cancel         context.CancelFunc
	done           chan hop.Outcome
	unacknowledged chan struct{} // closed when the target's node has not acknowledged the call in time
}

// startAttempt sends the call to a peer in the background.
func (d *delivery) startAttempt(ctx context.Context, p *Peer, policy hop.QueuePolicy) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{peer: p, cancel: cancel, done: make(chan hop.Outcome, 1), unacknowledged: make(chan struct{})}
	c := d.call
	c.Instance, c.QueuePolicy = p.Instance, policy
	c.SameVM = p.Distance == balance.SameVM
	c.ExpectContinue = len(c.Body) >= hop.BulkSize && !c.SameVM
	c.OnAckTimeout = func() { close(a.unacknowledged) }
	p.Started()
	go func() {
		o := d.send(ctx, p, &c)
		now := d.dispatcher.deps.Now()
		p.attemptEnded(o, now)
		d.dispatcher.overloads.observe(c.Service, o, now)
		if hop.LoadOf(o).Leaving {
			d.dispatcher.deps.Peers.RecordDeparture(p, d.dispatcher.deps.Now())
		}
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

// abandon cancels an attempt after the other one has been answered.
func (a *attempt) abandon(now time.Time) {
	select {
	case <-a.unacknowledged:
		a.peer.MarkUnresponsive(now)
	default:
	}
	a.cancel()
	go func() {
		if o, ok := (<-a.done).(*hop.Answered); ok {
			o.Release()
		}
	}()
}

// sendHedged sends the call to a peer, and also to another one if the first one's node does not acknowledge it in time. The first
// answer wins; until there is one, both attempts go on.
func (d *delivery) sendHedged(ctx context.Context, p *Peer) (*Peer, hop.Outcome) {
	first := d.startAttempt(ctx, p, d.call.QueuePolicy)
	if !d.call.Idempotent || d.reached+1 >= d.rule.MaxAttempts {
		return p, <-first.done
	}
	second, o := d.awaitOrHedge(ctx, first)
	if second == nil {
		return p, o
	}
	select {
	case o = <-first.done:
		if isConclusive(o) {
			second.abandon(d.dispatcher.deps.Now())
			return p, o
		}
		d.recordInconclusive(first, o)
		return second.peer, <-second.done
	case o = <-second.done:
		if isConclusive(o) {
			first.abandon(d.dispatcher.deps.Now())
			return second.peer, o
		}
		if r, ok := o.(hop.Refused); ok && r.Cause != hop.TargetShed {
			d.dispatcher.deps.Budget.Refund(d.call.Service, d.dispatcher.deps.Now())
		}
		d.recordInconclusive(second, o)
		return p, <-first.done
	}
}

// isConclusive reports whether an outcome is an answer other than a server error; the other attempt is abandoned then.
func isConclusive(o hop.Outcome) bool {
	a, ok := o.(*hop.Answered)
	return ok && a.Status < http.StatusInternalServerError
}

// recordInconclusive records an attempt that has ended without a conclusive answer while the other one goes on.
func (d *delivery) recordInconclusive(a *attempt, o hop.Outcome) {
	switch o := o.(type) {
	case *hop.Answered:
		d.reached++
		d.releaseError(o)
	case hop.Failed:
		d.reached++
		d.failureCause = o.Cause
	case hop.Refused:
		if o.Cause == hop.TargetShed {
			d.reached++
		}
		if o.Cause == hop.Busy {
			d.busy = append(d.busy, a.peer)
			return
		}
	}
	d.exclude(a.peer)
}

const hedgePollInterval = 50 * time.Millisecond // between two attempts to start a hedge

// awaitOrHedge waits for the outcome of the first attempt; if its node does not acknowledge the call in time, it returns as soon
// as a second attempt has been started.
func (d *delivery) awaitOrHedge(ctx context.Context, first *attempt) (*attempt, hop.Outcome) {
	select {
	case o := <-first.done:
		return nil, o
	case <-first.unacknowledged:
	}
	ticker := time.NewTicker(hedgePollInterval)
	defer ticker.Stop()
	for {
		if a := d.startHedge(ctx, first); a != nil {
			return a, nil
		}
		select {
		case o := <-first.done:
			return nil, o
		case <-ticker.C:
		}
	}
}

// startHedge starts a second attempt at a target that seems to have a free slot, or else at the one with the cheapest queue. It
// returns nil if there is no such target, too little time is left or the retry budget is exhausted.
func (d *delivery) startHedge(ctx context.Context, first *attempt) *attempt {
	now := d.dispatcher.deps.Now()
	if d.call.Deadline.Sub(now) < 2*minTimeLeft {
		return nil
	}
	peers := d.dispatcher.deps.Peers.retryPeers(d.call.Service)
	excluded := func(p *Peer) bool {
		return p.Instance == first.peer.Instance || contains(d.excluded, p) || contains(d.busy, p)
	}
	p, policy := d.chooseSlot(peers, excluded, now), hop.FailFast
	if p == nil {
		p, policy = d.chooseQueue(peers, excluded, now), hop.AllowQueueing
	}
	if p == nil || !d.dispatcher.deps.Budget.TryWithdraw(d.call.Service, d.call.Rank, now) {
		return nil
	}
	d.targetsTried++
	d.markRetry()
	d.dispatcher.deps.Log.Info("call not acknowledged, hedging at a second target", "call", d.call.ID, "route", d.rule.Name, "service", d.call.Service, "silent", first.peer.Node,
		"second", p.Node, "instance", p.Instance, "left", d.call.Deadline.Sub(now))
	return d.startAttempt(ctx, p, policy)
}
