package admission

import (
	"container/heap"
	"time"

	"github.com/cassialead/cassialead/config"
)

const (
	queuePerSlot      = 8    // calls that may wait for each slot
	shortReserveShare = 0.1  // of the slots that long calls never take, at least one
	durationWeight    = 0.05 // of a new duration in the mean
	peakDecay         = 0.98 // of the short calls' recent peak, each time a call ends
	minRetryAfter     = 50 * time.Millisecond
	waitMargin        = 80 // percent of the longest wait that the expected one may reach
)

// Cause says why a call was refused.
type Cause string

// The causes of refusals; a refused call has not run.
const (
	QueueFull Cause = "queue-full"
	TooLate   Cause = "too-late"
	Draining  Cause = "draining"
	Expired   Cause = "expired-in-queue"
)

// Request is a call that asks for a slot.
type Request struct {
	Tenant   config.Tenant
	Weight   int
	Class    config.Class
	Deadline time.Time
	// MaxWait bounds the wait; LongShare is the share of the slots that long calls may always have, in percent.
	MaxWait   time.Duration
	LongShare int
}

// Ticket is a call's place in the queue.
type Ticket struct {
	Request
	Decided func(Decision) // called once, when the ticket leaves the queue
	arrived time.Time
	index   int // in its tenant's heap, or -1
}

// Decision is the answer to a request; the set is sealed.
type Decision interface{ decision() }

// Admitted gives a slot, which must be returned by Done.
type Admitted struct{ Waited time.Duration }

// Queued says that the ticket will be decided later.
type Queued struct{ Ahead int }

// Refused turns the call away; it has not run.
type Refused struct {
	Cause      Cause
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Refused) decision()  {}

// Queue shares the slots of one target; its methods must not be called concurrently.
type Queue struct {
	slots    int
	draining bool
	short    lane
	long     lane
	// peak is the decayed highest number of short calls that ran or waited at once.
	peak float64
}

// lane holds the calls of one class.
type lane struct {
	running int
	waiting int
	mean    float64 // seconds a call holds its slot
	tenants map[config.Tenant]*share
	clock   float64 // virtual time of the fair queue
}

// share is one tenant's part of a lane.
type share struct {
	tickets ticketHeap
	finish  float64
}

// NewQueue returns a queue for a target with a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots,
		short: lane{tenants: map[config.Tenant]*share{}}, long: lane{tenants: map[config.Tenant]*share{}}}
}

// SetSlots changes the number of slots; calls that run keep theirs.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Drain refuses new calls and those that wait.
func (q *Queue) Drain() {
	q.draining = true
	for _, l := range []*lane{&q.short, &q.long} {
		for t := l.next(); t != nil; t = l.next() {
			t.Decided(Refused{Cause: Draining})
		}
	}
}

// Running returns how many calls hold a slot, and Waiting how many are queued.
func (q *Queue) Running() int { return q.short.running + q.long.running }

// Waiting returns how many calls are queued.
func (q *Queue) Waiting() int { return q.short.waiting + q.long.waiting }

func (q *Queue) lane(c config.Class) *lane {
	if c == config.ClassLong {
		return &q.long
	}
	return &q.short
}

// longLimit returns how many slots long calls may hold: all that short calls have not needed lately, at least their
// declared share, and never all.
func (q *Queue) longLimit(declared int) int {
	reserve := max(1, int(shortReserveShare*float64(q.slots)))
	if q.slots == 1 {
		reserve = 0
	}
	free := q.slots - max(reserve, int(q.peak+0.999))
	return min(max(free, q.slots*declared/100, 1), q.slots-reserve)
}

func (q *Queue) fits(r Request) bool {
	if q.Running() >= q.slots {
		return false
	}
	return r.Class != config.ClassLong || q.long.running < q.longLimit(r.LongShare)
}

// Offer decides on a request: a slot, a place in the queue, or a refusal when its deadline can't be met.
func (q *Queue) Offer(now time.Time, t *Ticket) Decision {
	t.arrived, t.index = now, -1
	if q.draining {
		return Refused{Cause: Draining}
	}
	l := q.lane(t.Class)
	if t.Class != config.ClassLong {
		q.peak = max(q.peak, float64(l.running+l.waiting+1))
	}
	if l.waiting == 0 && q.fits(t.Request) {
		l.running++
		return Admitted{}
	}
	wait := l.expectedWait(q.capacity(t.Request), l.ahead(t))
	latest := min(t.MaxWait, t.Deadline.Sub(now)-seconds(l.mean))
	if wait > latest*waitMargin/100 {
		return Refused{Cause: TooLate, RetryAfter: max(wait-latest, minRetryAfter)}
	}
	if l.waiting >= q.slots*queuePerSlot && !q.evict(l, t) {
		return Refused{Cause: QueueFull, RetryAfter: max(wait, minRetryAfter)}
	}
	l.push(t)
	return Queued{Ahead: l.waiting - 1}
}

// capacity returns how many slots a lane can expect.
func (q *Queue) capacity(r Request) int {
	if r.Class == config.ClassLong {
		return q.longLimit(r.LongShare)
	}
	return max(q.slots-q.long.running, 1)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (l *lane) expectedWait(slots, ahead int) time.Duration {
	return seconds(l.mean * float64(ahead+1) / float64(slots))
}

// ahead returns how many calls are served before a new one of the tenant: its own earlier ones and its share of others.
func (l *lane) ahead(t *Ticket) int {
	own := 0
	if s := l.tenants[t.Tenant]; s != nil {
		own = len(s.tickets)
	}
	others := 0
	for name, s := range l.tenants {
		if name != t.Tenant {
			others += min(len(s.tickets), own+1)
		}
	}
	return own + others
}

// evict makes room by turning away the last call of the tenant with the longest queue, unless that is the caller's.
func (q *Queue) evict(l *lane, t *Ticket) bool {
	var fullest *share
	var name config.Tenant
	for tenant, s := range l.tenants {
		if fullest == nil || len(s.tickets) > len(fullest.tickets) || (len(s.tickets) == len(fullest.tickets) && tenant < name) {
			fullest, name = s, tenant
		}
	}
	own := 0
	if s := l.tenants[t.Tenant]; s != nil {
		own = len(s.tickets)
	}
	if fullest == nil || name == t.Tenant || len(fullest.tickets) <= own+1 {
		return false
	}
	last := fullest.tickets[0]
	for _, c := range fullest.tickets {
		if c.Deadline.After(last.Deadline) {
			last = c
		}
	}
	l.remove(last)
	last.Decided(Refused{Cause: QueueFull, RetryAfter: max(seconds(l.mean), minRetryAfter)})
	return true
}

// Done returns a slot that was held for a time and gives it to the next calls in line.
func (q *Queue) Done(now time.Time, c config.Class, held time.Duration) {
	l := q.lane(c)
	l.running--
	if l.mean == 0 {
		l.mean = held.Seconds()
	}
	l.mean += durationWeight * (held.Seconds() - l.mean)
	q.peak = max(q.peak*peakDecay, float64(q.short.running+q.short.waiting))
	q.fill(now)
}

// fill admits waiting calls while slots are free; short calls go first.
func (q *Queue) fill(now time.Time) {
	for {
		t := q.admissible()
		if t == nil {
			return
		}
		l := q.lane(t.Class)
		l.remove(t)
		if now.After(t.Deadline) {
			t.Decided(Refused{Cause: Expired})
			continue
		}
		l.running++
		t.Decided(Admitted{Waited: now.Sub(t.arrived)})
	}
}

// admissible returns the next waiting call that may have a slot now, or nil. Long calls below their declared share go
// before short ones, so that neither class starves.
func (q *Queue) admissible() *Ticket {
	long, short := q.long.peek(), q.short.peek()
	if long != nil && q.fits(long.Request) && (short == nil || q.long.running < q.slots*long.LongShare/100/2) {
		return long
	}
	if short != nil && q.fits(short.Request) {
		return short
	}
	return nil
}

// Expire refuses the waiting calls whose deadline or longest wait has passed.
func (q *Queue) Expire(now time.Time) {
	for _, l := range []*lane{&q.short, &q.long} {
		for _, s := range l.tenants {
			for _, t := range append(ticketHeap(nil), s.tickets...) {
				if now.After(t.Deadline) || now.Sub(t.arrived) > t.MaxWait {
					l.remove(t)
					t.Decided(Refused{Cause: Expired})
				}
			}
		}
	}
	q.fill(now)
}

// Cancel takes a waiting call out; it reports false if the call had already been decided.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.index < 0 {
		return false
	}
	q.lane(t.Class).remove(t)
	return true
}

func (l *lane) push(t *Ticket) {
	s := l.tenants[t.Tenant]
	if s == nil {
		s = &share{finish: l.clock}
		l.tenants[t.Tenant] = s
	}
	if len(s.tickets) == 0 {
		s.finish = max(s.finish, l.clock) + 1/float64(max(t.Weight, 1))
	}
	heap.Push(&s.tickets, t)
	l.waiting++
}

// peek returns the call that is next in line: the earliest deadline of the tenant with the least virtual finish time.
func (l *lane) peek() *Ticket {
	var best *share
	var name config.Tenant
	for tenant, s := range l.tenants {
		if len(s.tickets) == 0 {
			continue
		}
		if best == nil || s.finish < best.finish || (s.finish == best.finish && tenant < name) {
			best, name = s, tenant
		}
	}
	if best == nil {
		return nil
	}
	return best.tickets[0]
}

func (l *lane) next() *Ticket {
	t := l.peek()
	if t != nil {
		l.remove(t)
	}
	return t
}

func (l *lane) remove(t *Ticket) {
	s := l.tenants[t.Tenant]
	heap.Remove(&s.tickets, t.index)
	l.waiting--
	l.clock = max(l.clock, s.finish)
	s.finish += 1 / float64(max(t.Weight, 1))
	if len(s.tickets) == 0 {
		delete(l.tenants, t.Tenant)
	}
}

// ticketHeap orders a tenant's calls by deadline.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a ticket; it is part of heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop removes the last ticket; it is part of heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	t.index = -1
	*h = old[:len(old)-1]
	return t
}
