package gate

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
)

const (
	expireInterval     = 20 * time.Millisecond  // between checks for queued calls that can no longer be answered in time
	maxWaitingPerSlot  = 12                     // queued calls per slot; more could not be served within any deadline
	serviceTimeWeight  = 0.1                    // weight of one call in the moving average of the service time
	initialServiceTime = 100 * time.Millisecond // assumed mean service time before the first call has ended
	serviceTimeMargin  = 1.5                    // times the mean service time; four in five calls take no longer
	maxLateWait        = 250 * time.Millisecond // longest wait of a call that will miss its soft deadline; it only uses idle slots
	refusalTime        = 50 * time.Millisecond  // before the deadline, for a refusal to reach the caller's node: a check, the way between regions and a margin
	overloadPeriod     = 500 * time.Millisecond // in which late calls are refused after a call that could have been on time was refused
)

// Ticket is a call's request for a slot.
type Ticket struct {
	Route        config.RouteName
	Rank         hop.Rank
	SoftDeadline time.Time
	Deadline     time.Time
	QueuePolicy  hop.QueuePolicy
	// OnDecision is called once, and only for a ticket that was queued.
	OnDecision func(Decision)
	arrived    time.Time
}

// Decision is the queue's decision on a ticket: Admitted, Queued or Rejected.
type Decision interface{ decision() }

// Admitted grants the ticket a slot.
type Admitted struct{ Waited time.Duration }

// Queued means that the ticket waits; OnDecision will be called.
type Queued struct{}

// Rejected refuses the ticket; Wait is the expected time until a slot or the link is free.
type Rejected struct {
	Cause hop.Cause
	Wait  time.Duration
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Rejected) decision() {}

// Queue is the admission queue for a target's slots and its rate limit. Calls are ordered by rank; within a rank, calls that can
// still meet their soft deadline come before late ones, and each group is ordered by earliest soft deadline. A late call is worth
// less than one on time, so it waits only briefly for an idle slot and is refused otherwise. It is not safe for concurrent use.
type Queue struct {
	limit             int
	running           int
	waiting           []*Ticket
	rate              tokenBucket
	serviceTime       time.Duration
	overloadedAt      time.Time // when a call that could have been on time was last refused for lack of slots
	routeServiceTimes map[config.RouteName]time.Duration
}

// NewQueue returns a queue without slots.
func NewQueue() *Queue {
	return &Queue{serviceTime: initialServiceTime, routeServiceTimes: map[config.RouteName]time.Duration{}}
}

// SetLimit sets the number of slots and admits the queued calls that fit.
func (q *Queue) SetLimit(now time.Time, n int) {
	q.limit = n
	q.admitWaiting(now)
}

// SetRateLimit sets the limit that the target names and admits the queued calls that fit.
func (q *Queue) SetRateLimit(now time.Time, l RateLimit) {
	q.rate.setLimit(now, l)
	q.admitWaiting(now)
}

// RateLimit returns the limit that the target names.
func (q *Queue) RateLimit() RateLimit { return q.rate.limit }

// RateWait returns the time until the rate limit admits one more call behind the queued ones; it is negative if it admits
// several.
func (q *Queue) RateWait(now time.Time) time.Duration { return q.rate.wait(now, len(q.waiting)+1) }

// Limit returns the number of slots.
func (q *Queue) Limit() int { return q.limit }

// Running returns the number of calls that hold a slot.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of queued calls.
func (q *Queue) Waiting() int { return len(q.waiting) }

// ServiceTime returns the mean time for which a call holds its slot.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTime }

// Offer decides on a new ticket: it is admitted, queued or rejected.
func (q *Queue) Offer(now time.Time, t *Ticket) Decision {
	t.arrived = now
	late := t.Rank != hop.RankNested && q.missesSoftDeadline(now, t)
	if late && q.Overloaded(now) {
		return Rejected{hop.TooLate, q.expectedWait(now, t)}
	}
	if q.running < q.limit && len(q.waiting) == 0 && q.rate.available(now) {
		q.rate.take(now)
		q.running++
		return Admitted{}
	}
	wait := q.expectedWait(now, t)
	switch {
	case t.QueuePolicy == hop.FailFast:
		return Rejected{hop.Busy, wait}
	case len(q.waiting) >= maxWaitingPerSlot*max(q.limit, 1):
		return Rejected{hop.QueueFull, wait}
	case q.missesSoftDeadline(now.Add(wait), t) && wait > maxLateWait, now.Add(wait + q.routeServiceTime(t.Route)).After(t.Deadline):
		if !late {
			q.overloadedAt = now
		}
		return Rejected{hop.TooLate, wait}
	}
	q.waiting = append(q.waiting, t)
	return Queued{}
}

// Overloaded reports whether a call that could have been on time was refused within overloadPeriod; late calls are refused
// then.
func (q *Queue) Overloaded(now time.Time) bool { return now.Sub(q.overloadedAt) < overloadPeriod }

// ExpectedWait returns the expected queueing time of a ticket.
func (q *Queue) ExpectedWait(now time.Time, t *Ticket) time.Duration {
	t.arrived = now
	return q.expectedWait(now, t)
}

func (q *Queue) expectedWait(now time.Time, t *Ticket) time.Duration {
	ahead := 1
	for _, other := range q.waiting {
		if q.before(now, other, t) {
			ahead++
		}
	}
	wait := max(q.rate.wait(now, ahead), 0)
	if q.running+ahead > q.limit {
		wait = max(wait, time.Duration(float64(q.serviceTime)*float64(ahead)/float64(max(q.limit, 1))))
	}
	return wait
}

func (q *Queue) routeServiceTime(r config.RouteName) time.Duration {
	if h, ok := q.routeServiceTimes[r]; ok {
		return h
	}
	return q.serviceTime
}

// missesSoftDeadline reports whether a ticket that gets its slot at start will probably miss its soft deadline.
func (q *Queue) missesSoftDeadline(start time.Time, t *Ticket) bool {
	return start.Add(time.Duration(serviceTimeMargin * float64(q.routeServiceTime(t.Route)))).After(t.SoftDeadline)
}

// before reports whether a is served before b.
func (q *Queue) before(now time.Time, a, b *Ticket) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if lateA, lateB := q.missesSoftDeadline(now, a), q.missesSoftDeadline(now, b); lateA != lateB {
		return lateB
	}
	if !a.SoftDeadline.Equal(b.SoftDeadline) {
		return a.SoftDeadline.Before(b.SoftDeadline)
	}
	return a.arrived.Before(b.arrived)
}

// Release returns the slot of a call of a route; held is how long the call held it, or zero to leave the mean service times as
// they are.
func (q *Queue) Release(now time.Time, r config.RouteName, held time.Duration) {
	q.running--
	if held > 0 {
		q.serviceTime += time.Duration(serviceTimeWeight * float64(held-q.serviceTime))
		h, ok := q.routeServiceTimes[r]
		if !ok {
			h = held
		}
		q.routeServiceTimes[r] = h + time.Duration(serviceTimeWeight*float64(held-h))
	}
	q.admitWaiting(now)
}

// ReleaseUnsent returns the slot of an admitted call that was not sent to the target.
func (q *Queue) ReleaseUnsent(now time.Time) {
	q.rate.refund()
	q.Release(now, "", 0)
}

// Cancel removes a queued ticket; it reports false for one that has already been decided.
func (q *Queue) Cancel(t *Ticket) bool {
	for i, other := range q.waiting {
		if other == t {
			q.remove(i)
			return true
		}
	}
	return false
}

// RejectAll rejects all queued tickets.
func (q *Queue) RejectAll(c hop.Cause) {
	for _, t := range q.waiting {
		t.OnDecision(Rejected{Cause: c})
	}
	q.waiting = nil
}

func (q *Queue) remove(i int) { q.waiting = append(q.waiting[:i], q.waiting[i+1:]...) }

// Refresh rejects queued calls that have waited too long and admits those for which the rate limit has left room meanwhile. It
// returns the time until it should be called again if calls are still queued.
func (q *Queue) Refresh(now time.Time) time.Duration {
	q.Expire(now)
	q.admitWaiting(now)
	if wait := q.rate.wait(now, 1); q.running < q.limit && wait > 0 {
		return min(wait, expireInterval)
	}
	return expireInterval
}

// admitWaiting admits queued calls while slots are free and the rate limit allows, and rejects those whose deadline has passed.
func (q *Queue) admitWaiting(now time.Time) {
	for q.running < q.limit && len(q.waiting) > 0 && q.rate.available(now) {
		best := 0
		for i := 1; i < len(q.waiting); i++ {
			if q.before(now, q.waiting[i], q.waiting[best]) {
				best = i
			}
		}
		t := q.waiting[best]
		q.remove(best)
		if q.expired(now, t) {
			t.OnDecision(Rejected{Cause: hop.Expired})
			continue
		}
		q.rate.take(now)
		q.running++
		t.OnDecision(Admitted{now.Sub(t.arrived)})
	}
}

// expired reports whether a queued call can no longer be answered by its deadline: it is refused early enough for its caller to learn
// that it has not run.
func (q *Queue) expired(now time.Time, t *Ticket) bool {
	return !now.Add(max(q.routeServiceTime(t.Route)/2, refusalTime)).Before(t.Deadline)
}

// Expire rejects queued calls that can no longer be answered by their deadline, and late calls that have waited for
// maxLateWait.
func (q *Queue) Expire(now time.Time) {
	kept := q.waiting[:0]
	for _, t := range q.waiting {
		switch {
		case q.expired(now, t):
			t.OnDecision(Rejected{Cause: hop.Expired, Wait: q.serviceTime})
		case q.missesSoftDeadline(now, t) && now.Sub(t.arrived) > maxLateWait && t.Rank != hop.RankNested:
			t.OnDecision(Rejected{Cause: hop.TooLate, Wait: q.serviceTime})
		default:
			kept = append(kept, t)
		}
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}
