package gate

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
)

const (
	maxWaitingPerSlot = 12                     // calls waiting for each slot; more could not be served within any deadline
	holdGain          = 0.1                    // weight of one call in the mean time that a slot is held
	firstHold         = 100 * time.Millisecond // mean time that a slot is held, before any call has been seen
	holdMargin        = 1.5                    // of the mean hold: four in five calls end within it
	lateWait          = 250 * time.Millisecond // longest wait of a call that is late already; it only fills gaps
	pressTime         = 500 * time.Millisecond // after a call in time had to be refused, in which late ones are refused
)

// Ticket is a call that asks for a slot.
type Ticket struct {
	Route    config.RouteName
	Rank     hop.Rank
	Aim      time.Time
	Deadline time.Time
	Patience hop.Patience
	// Decided is called once for a ticket that had to wait.
	Decided func(Decision)
	arrived time.Time
}

// Decision is what a queue makes of a ticket: Admitted, Queued or Turned.
type Decision interface{ decision() }

// Admitted gives the ticket a slot.
type Admitted struct{ Waited time.Duration }

// Queued keeps the ticket; Decided will be called.
type Queued struct{}

// Turned refuses the ticket and says when a slot may be free.
type Turned struct {
	Cause hop.Cause
	Wait  time.Duration
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Turned) decision()   {}

// Queue gives out a target's slots. Calls go by rank; within a rank those that can still be answered within their aim go
// before the late ones, and each group goes by time left. A late call is worth less than one in time, so it waits only a
// short while for a gap and is refused otherwise. It is not safe for concurrent use.
type Queue struct {
	limit   int
	running int
	waiting []*Ticket
	hold    time.Duration
	pressed time.Time // when a call that could have been in time was last refused for lack of slots
	holds   map[config.RouteName]time.Duration
}

// NewQueue returns a queue without slots.
func NewQueue() *Queue {
	return &Queue{hold: firstHold, holds: map[config.RouteName]time.Duration{}}
}

// SetLimit sets how many calls may run at the same time and admits those that fit.
func (q *Queue) SetLimit(now time.Time, n int) {
	q.limit = n
	q.fill(now)
}

// Limit returns how many calls may run at the same time.
func (q *Queue) Limit() int { return q.limit }

// Running returns how many calls hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns how many calls wait.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Hold returns the mean time that a call holds a slot.
func (q *Queue) Hold() time.Duration { return q.hold }

// Offer decides on a call that has just come.
func (q *Queue) Offer(now time.Time, t *Ticket) Decision {
	t.arrived = now
	late := t.Rank != hop.RankNested && q.late(now, t)
	if late && q.Pressed(now) {
		return Turned{hop.TooLate, q.wait(now, t)}
	}
	if q.running < q.limit && len(q.waiting) == 0 {
		q.running++
		return Admitted{}
	}
	wait := q.wait(now, t)
	switch {
	case t.Patience == hop.Elsewhere:
		return Turned{hop.Busy, wait}
	case len(q.waiting) >= maxWaitingPerSlot*max(q.limit, 1):
		return Turned{hop.QueueFull, wait}
	case q.late(now.Add(wait), t) && wait > lateWait, now.Add(wait + q.holdOf(t.Route)).After(t.Deadline):
		if !late {
			q.pressed = now
		}
		return Turned{hop.TooLate, wait}
	}
	q.waiting = append(q.waiting, t)
	return Queued{}
}

// Pressed reports whether a call that could have been in time was refused of late; slots go to such calls then.
func (q *Queue) Pressed(now time.Time) bool { return now.Sub(q.pressed) < pressTime }

// Wait returns the expected wait of a call.
func (q *Queue) Wait(now time.Time, t *Ticket) time.Duration {
	if q.running < q.limit {
		return 0
	}
	t.arrived = now
	return q.wait(now, t)
}

func (q *Queue) wait(now time.Time, t *Ticket) time.Duration {
	ahead := 1
	for _, o := range q.waiting {
		if q.before(now, o, t) {
			ahead++
		}
	}
	return time.Duration(float64(q.hold) * float64(ahead) / float64(max(q.limit, 1)))
}

func (q *Queue) holdOf(r config.RouteName) time.Duration {
	if h, ok := q.holds[r]; ok {
		return h
	}
	return q.hold
}

// late reports whether a ticket that starts at a time will hardly be answered within its aim.
func (q *Queue) late(start time.Time, t *Ticket) bool {
	return start.Add(time.Duration(holdMargin * float64(q.holdOf(t.Route)))).After(t.Aim)
}

// before reports whether a goes before b.
func (q *Queue) before(now time.Time, a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if lateA, lateB := q.late(now, a), q.late(now, b); lateA != lateB {
		return lateB
	}
	if !a.Aim.Equal(b.Aim) {
		return a.Aim.Before(b.Aim)
	}
	return a.arrived.Before(b.arrived)
}

// Done returns a slot that a call of a route held for a time; zero says that the time tells nothing of the target.
func (q *Queue) Done(now time.Time, r config.RouteName, held time.Duration) {
	q.running--
	if held > 0 {
		q.hold += time.Duration(holdGain * float64(held-q.hold))
		h, ok := q.holds[r]
		if !ok {
			h = held
		}
		q.holds[r] = h + time.Duration(holdGain*float64(held-h))
	}
	q.fill(now)
}

// Cancel takes a waiting ticket back; it reports false for one that has been decided.
func (q *Queue) Cancel(t *Ticket) bool {
	for i, o := range q.waiting {
		if o == t {
			q.remove(i)
			return true
		}
	}
	return false
}

// Clear turns all waiting tickets away.
func (q *Queue) Clear(c hop.Cause) {
	for _, t := range q.waiting {
		t.Decided(Turned{Cause: c})
	}
	q.waiting = nil
}

func (q *Queue) remove(i int) { q.waiting = append(q.waiting[:i], q.waiting[i+1:]...) }

// fill admits waiting calls while slots are free and refuses those whose time is up.
func (q *Queue) fill(now time.Time) {
	for q.running < q.limit && len(q.waiting) > 0 {
		best := 0
		for i := 1; i < len(q.waiting); i++ {
			if q.before(now, q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
		t := q.waiting[best]
		q.remove(best)
		if !now.Before(t.Deadline) {
			t.Decided(Turned{Cause: hop.Expired})
			continue
		}
		q.running++
		t.Decided(Admitted{now.Sub(t.arrived)})
	}
}

// Expire refuses the waiting calls that can't be answered in time any more, and the late ones that found no gap.
func (q *Queue) Expire(now time.Time) {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		switch {
		case !now.Add(q.holdOf(t.Route) / 2).Before(t.Deadline):
			t.Decided(Turned{Cause: hop.Expired, Wait: q.hold})
		case q.late(now, t) && now.Sub(t.arrived) > lateWait && t.Rank != hop.RankNested:
			t.Decided(Turned{Cause: hop.TooLate, Wait: q.hold})
		default:
			kept = append(kept, t)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}
