package admission

import (
	"container/heap"
	"time"

	"github.com/cassialead/cassialead/config"
)

const (
	maxQueuedPerSlot  = 8    // capacity of each class's queue, in calls per slot
	minShortShare     = 0.1  // share of the slots reserved for short calls, at least one slot unless there is only one
	serviceTimeWeight = 0.05 // weight of one call in the moving average of the service time
	shortPeakDecay    = 0.98 // factor by which the peak of short calls decays whenever a call ends
	minRetryAfter     = 50 * time.Millisecond
	maxWaitPercent    = 80 // a call is queued if its expected wait is at most this share of its maximum wait, in percent
)

// Cause is the reason for which a call was rejected.
type Cause string

// The causes of rejections; a rejected call has not run.
const (
	QueueFull Cause = "queue-full"
	TooLate   Cause = "too-late"
	Draining  Cause = "draining"
	Expired   Cause = "expired-in-queue"
)

// Request describes a call that needs a slot.
type Request struct {
	Tenant   config.Tenant
	Weight   int
	Class    config.Class
	Deadline time.Time
	// MaxWait is the maximum queueing time; LongShare is the share of the slots that long calls may hold however many
	// short calls there are, in percent.
	MaxWait   time.Duration
	LongShare int
}

// Ticket is a call's request for a slot and its entry in the queue.
type Ticket struct {
	Request
	OnDecision func(Decision) // called once, and only for a ticket that was queued
	arrived    time.Time
	index      int // in its tenant's heap, or -1 if it is not queued
}

// Decision is the decision on a ticket: Admitted, Queued or Rejected.
type Decision interface{ decision() }

// Admitted grants a slot, which must be returned with Release.
type Admitted struct{ Waited time.Duration }

// Queued means that the ticket waits for a slot; its OnDecision will be called unless it is cancelled.
type Queued struct{ Ahead int }

// Rejected rejects the call, which has not run.
type Rejected struct {
	Cause      Cause
	RetryAfter time.Duration
}

func (Admitted) decision() {}
func (Queued) decision()   {}
func (Rejected) decision() {}

// Queue is the admission queue for the slots of one target. It is not safe for concurrent use.
type Queue struct {
	slots    int
	draining bool
	short    classQueue
	long     classQueue
	// shortPeak is the decaying maximum of short calls that were running or queued at the same time.
	shortPeak float64
}

// classQueue is the queue for one class of calls; its slots are shared fairly between tenants.
type classQueue struct {
	running     int
	waiting     int
	serviceTime float64 // moving average of the time for which a call holds its slot, in seconds
	tenants     map[config.Tenant]*tenantQueue
	virtualTime float64 // of weighted fair queueing
}

// tenantQueue holds the queued calls of one tenant.
type tenantQueue struct {
	tickets       ticketHeap
	virtualFinish float64 // virtual time at which its next call would end
}

// NewQueue returns a queue for a target with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots,
		short: classQueue{tenants: map[config.Tenant]*tenantQueue{}}, long: classQueue{tenants: map[config.Tenant]*tenantQueue{}}}
}

// SetSlots changes the number of slots; running calls keep theirs.
func (q *Queue) SetSlots(n int) { q.slots = n }

// Drain rejects all queued calls, and from then on all new ones.
func (q *Queue) Drain() {
	q.draining = true
	for _, cq := range []*classQueue{&q.short, &q.long} {
		for t := cq.pop(); t != nil; t = cq.pop() {
			t.OnDecision(Rejected{Cause: Draining})
		}
	}
}

// Running returns the number of calls that hold a slot.
func (q *Queue) Running() int { return q.short.running + q.long.running }

// Waiting returns the number of queued calls.
func (q *Queue) Waiting() int { return q.short.waiting + q.long.waiting }

func (q *Queue) queueOf(c config.Class) *classQueue {
	if c == config.ClassLong {
		return &q.long
	}
	return &q.short
}

// maxLongRunning returns the number of slots that long calls may hold: those that the decaying peak of short calls
// leaves unused, but at least one and at least their declared share. The slots reserved for short calls are always
// excluded.
func (q *Queue) maxLongRunning(declaredPercent int) int {
	reserve := max(1, int(minShortShare*float64(q.slots)))
	if q.slots == 1 {
		reserve = 0
	}
	spare := q.slots - max(reserve, int(q.shortPeak+0.999))
	return min(max(spare, q.slots*declaredPercent/100, 1), q.slots-reserve)
}

func (q *Queue) hasSlotFor(r Request) bool {
	if q.Running() >= q.slots {
		return false
	}
	return r.Class != config.ClassLong || q.long.running < q.maxLongRunning(r.LongShare)
}

// Offer decides on a new ticket. It is admitted if a slot is free and nothing is queued, rejected if it would probably
// miss its deadline or maximum wait, and queued otherwise.
func (q *Queue) Offer(now time.Time, t *Ticket) Decision {
	t.arrived, t.index = now, -1
	if q.draining {
		return Rejected{Cause: Draining}
	}
	cq := q.queueOf(t.Class)
	if t.Class != config.ClassLong {
		q.shortPeak = max(q.shortPeak, float64(cq.running+cq.waiting+1))
	}
	if cq.waiting == 0 && q.hasSlotFor(t.Request) {
		cq.running++
		return Admitted{}
	}
	wait := cq.expectedWait(q.capacity(t.Request), cq.ahead(t))
	maxWait := min(t.MaxWait, t.Deadline.Sub(now)-duration(cq.serviceTime))
	if wait > maxWait*maxWaitPercent/100 {
		return Rejected{Cause: TooLate, RetryAfter: max(wait-maxWait, minRetryAfter)}
	}
	if cq.waiting >= q.slots*maxQueuedPerSlot && !q.evict(cq, t) {
		return Rejected{Cause: QueueFull, RetryAfter: max(wait, minRetryAfter)}
	}
	cq.enqueue(t)
	return Queued{Ahead: cq.waiting - 1}
}

// capacity returns the number of slots that a request's class can use.
func (q *Queue) capacity(r Request) int {
	if r.Class == config.ClassLong {
		return q.maxLongRunning(r.LongShare)
	}
	return max(q.slots-q.long.running, 1)
}

func duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (cq *classQueue) expectedWait(slots, ahead int) time.Duration {
	return duration(cq.serviceTime * float64(ahead+1) / float64(slots))
}

// ahead returns the number of queued calls that are served before a new one of the tenant: its own and, under fair
// queueing, at most one more than that of each other tenant.
func (cq *classQueue) ahead(t *Ticket) int {
	own := 0
	if tq := cq.tenants[t.Tenant]; tq != nil {
		own = len(tq.tickets)
	}
	others := 0
	for name, tq := range cq.tenants {
		if name != t.Tenant {
			others += min(len(tq.tickets), own+1)
		}
	}
	return own + others
}

// evict rejects the queued call with the latest deadline of the tenant with the longest queue. It reports false, and
// rejects nothing, if the new ticket would make its own tenant's queue at least as long.
func (q *Queue) evict(cq *classQueue, t *Ticket) bool {
	var longest *tenantQueue
	var name config.Tenant
	for tenant, tq := range cq.tenants {
		if longest == nil || len(tq.tickets) > len(longest.tickets) || (len(tq.tickets) == len(longest.tickets) && tenant < name) {
			longest, name = tq, tenant
		}
	}
	own := 0
	if tq := cq.tenants[t.Tenant]; tq != nil {
		own = len(tq.tickets)
	}
	if longest == nil || name == t.Tenant || len(longest.tickets) <= own+1 {
		return false
	}
	last := longest.tickets[0]
	for _, c := range longest.tickets {
		if c.Deadline.After(last.Deadline) {
			last = c
		}
	}
	cq.remove(last)
	last.OnDecision(Rejected{Cause: QueueFull, RetryAfter: max(duration(cq.serviceTime), minRetryAfter)})
	return true
}

// Release returns a slot that a call of the class held for the given time, and admits queued calls.
func (q *Queue) Release(now time.Time, c config.Class, held time.Duration) {
	cq := q.queueOf(c)
	cq.running--
	if cq.serviceTime == 0 {
		cq.serviceTime = held.Seconds()
	}
	cq.serviceTime += serviceTimeWeight * (held.Seconds() - cq.serviceTime)
	q.shortPeak = max(q.shortPeak*shortPeakDecay, float64(q.short.running+q.short.waiting))
	q.admitWaiting(now)
}

// admitWaiting admits queued calls while slots are free, and rejects those whose deadline has passed.
func (q *Queue) admitWaiting(now time.Time) {
	for {
		t := q.nextAdmissible()
		if t == nil {
			return
		}
		cq := q.queueOf(t.Class)
		cq.remove(t)
		if now.After(t.Deadline) {
			t.OnDecision(Rejected{Cause: Expired})
			continue
		}
		cq.running++
		t.OnDecision(Admitted{Waited: now.Sub(t.arrived)})
	}
}

// nextAdmissible returns the next queued call that can have a slot now, or nil. Short calls come first unless long
// calls hold less than half of their declared share, which keeps both classes from starving.
func (q *Queue) nextAdmissible() *Ticket {
	long, short := q.long.peek(), q.short.peek()
	if long != nil && q.hasSlotFor(long.Request) && (short == nil || q.long.running < q.slots*long.LongShare/100/2) {
		return long
	}
	if short != nil && q.hasSlotFor(short.Request) {
		return short
	}
	return nil
}

// Expire rejects the queued calls whose deadline or maximum wait has passed.
func (q *Queue) Expire(now time.Time) {
	for _, cq := range []*classQueue{&q.short, &q.long} {
		for _, tq := range cq.tenants {
			for _, t := range append(ticketHeap(nil), tq.tickets...) {
				if now.After(t.Deadline) || now.Sub(t.arrived) > t.MaxWait {
					cq.remove(t)
					t.OnDecision(Rejected{Cause: Expired})
				}
			}
		}
	}
	q.admitWaiting(now)
}

// Cancel removes a queued ticket; it reports false for one that is not queued.
func (q *Queue) Cancel(t *Ticket) bool {
	if t.index < 0 {
		return false
	}
	q.queueOf(t.Class).remove(t)
	return true
}

func (cq *classQueue) enqueue(t *Ticket) {
	tq := cq.tenants[t.Tenant]
	if tq == nil {
		tq = &tenantQueue{virtualFinish: cq.virtualTime}
		cq.tenants[t.Tenant] = tq
	}
	if len(tq.tickets) == 0 {
		tq.virtualFinish = max(tq.virtualFinish, cq.virtualTime) + 1/float64(max(t.Weight, 1))
	}
	heap.Push(&tq.tickets, t)
	cq.waiting++
}

// peek returns the next call to be served, or nil: the call with the earliest deadline of the tenant with the lowest
// virtual finish time.
func (cq *classQueue) peek() *Ticket {
	var best *tenantQueue
	var name config.Tenant
	for tenant, tq := range cq.tenants {
		if len(tq.tickets) == 0 {
			continue
		}
		if best == nil || tq.virtualFinish < best.virtualFinish || (tq.virtualFinish == best.virtualFinish && tenant < name) {
			best, name = tq, tenant
		}
	}
	if best == nil {
		return nil
	}
	return best.tickets[0]
}

func (cq *classQueue) pop() *Ticket {
	t := cq.peek()
	if t != nil {
		cq.remove(t)
	}
	return t
}

func (cq *classQueue) remove(t *Ticket) {
	tq := cq.tenants[t.Tenant]
	heap.Remove(&tq.tickets, t.index)
	cq.waiting--
	cq.virtualTime = max(cq.virtualTime, tq.virtualFinish)
	tq.virtualFinish += 1 / float64(max(t.Weight, 1))
	if len(tq.tickets) == 0 {
		delete(cq.tenants, t.Tenant)
	}
}

// ticketHeap is a heap of tickets by deadline.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	t.index = -1
	*h = old[:len(old)-1]
	return t
}
