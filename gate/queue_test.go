package gate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/gate"
	"github.com/cassialead/cassialead/hop"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// offer is a ticket offered to the queue, with its latest decision.
type offer struct {
	name     string
	ticket   *gate.Ticket
	decision gate.Decision
}

func offerTicket(q *gate.Queue, now time.Time, name string, rank hop.Rank, softDeadline, deadline time.Time) *offer {
	o := &offer{name: name, ticket: &gate.Ticket{Rank: rank, SoftDeadline: softDeadline, Deadline: deadline, QueuePolicy: hop.AllowQueueing}}
	o.ticket.OnDecision = func(d gate.Decision) { o.decision = d }
	o.decision = q.Offer(now, o.ticket)
	return o
}

var _ = Describe("the order of queued calls", func() {
	type call struct {
		name         string
		rank         hop.Rank
		softDeadline int // milliseconds
		deadline     int
	}
	cases := map[string]struct {
		calls []call
		order []string
	}{
		"a nested call is served before one of a more urgent route":                {[]call{{"order", 1, 800, 2500}, {"nested", hop.RankNested, 600, 600}}, []string{"nested", "order"}},
		"the more urgent route is served first":                                    {[]call{{"stock", 2, 600, 2000}, {"order", 1, 800, 2500}}, []string{"order", "stock"}},
		"the call with the earlier soft deadline is served first":                  {[]call{{"later", 2, 700, 2000}, {"sooner", 2, 500, 2000}}, []string{"sooner", "later"}},
		"a call on time is served before a late one":                               {[]call{{"late", 2, 50, 2000}, {"on time", 2, 500, 2000}}, []string{"on time", "late"}},
		"of two late calls the one with the earlier soft deadline is served first": {[]call{{"b", 2, 40, 2000}, {"a", 2, 20, 2000}}, []string{"a", "b"}},
	}
	for name, c := range cases {
		It(name, func() {
			q := gate.NewQueue()
			q.SetLimit(start, 1)
			Expect(offerTicket(q, start, "running", 1, at(600), at(2000)).decision).To(BeAssignableToTypeOf(gate.Admitted{}))
			var waiting []*offer
			for _, call := range c.calls {
				waiting = append(waiting, offerTicket(q, start, call.name, call.rank, at(call.softDeadline), at(call.deadline)))
			}
			var order []string
			for range c.calls {
				q.Release(start, "", 0)
				for _, w := range waiting {
					if _, ok := w.decision.(gate.Admitted); ok {
						order = append(order, w.name)
						w.decision = nil
					}
				}
			}
			Expect(order).To(Equal(c.order))
		})
	}
})

var _ = Describe("refusals", func() {
	It("rejects a fail-fast call at once when no slot is free", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		offerTicket(q, start, "running", 1, at(600), at(2000))
		d := q.Offer(start, &gate.Ticket{SoftDeadline: at(600), Deadline: at(2000), QueuePolicy: hop.FailFast})
		Expect(d).To(Equal(gate.Rejected{Cause: hop.Busy, Wait: 100 * time.Millisecond}))
	})
	It("rejects a late call at once while calls on time are rejected, even if a slot is free", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		offerTicket(q, start, "running", 2, at(600), at(2000))
		for i := range 8 {
			offerTicket(q, start, "queued", 2, at(600+i), at(2000))
		}
		Expect(q.Overloaded(start)).To(BeTrue(), "the eighth call on time was rejected")
		for q.Running() > 0 {
			q.Release(start, "", 0)
		}
		Expect(offerTicket(q, start, "late", 2, at(-10), at(1500)).decision).To(BeAssignableToTypeOf(gate.Rejected{}))
		Expect(offerTicket(q, start, "on time", 2, at(600), at(2000)).decision).To(Equal(gate.Admitted{}))
		Expect(offerTicket(q, start, "nested", hop.RankNested, at(20), at(500)).decision).NotTo(BeAssignableToTypeOf(gate.Rejected{}))
	})
	// The caller's node ended such a call as timed out before the refusal came, and its caller could not come back with an order.
	It("come early enough before the deadline to reach the caller's node, also for short calls", func() {
		const way, served = 30, 10 // milliseconds: a check and the way between two regions; a short call
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		for range 100 {
			offerTicket(q, start, "short", hop.RankNested, at(600), at(600))
			q.Release(start, "", served*time.Millisecond) // the mean service time becomes that of short calls
		}
		offerTicket(q, start, "running", hop.RankNested, at(600), at(600))
		w := offerTicket(q, start, "waiting", hop.RankNested, at(600), at(600))
		for ms := 0; ms <= 600 && w.decision == (gate.Queued{}); ms += 20 {
			q.Refresh(at(ms))
			if w.decision != (gate.Queued{}) {
				Expect(ms).To(BeNumerically("<=", 600-way))
			}
		}
		Expect(w.decision).To(BeAssignableToTypeOf(gate.Rejected{}))
	})
	It("meet a queued call whose slot comes free too late for it", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		offerTicket(q, start, "running", hop.RankNested, at(600), at(600))
		w := offerTicket(q, start, "waiting", hop.RankNested, at(600), at(600))
		q.Release(at(590), "", 0)
		Expect(w.decision).To(Equal(gate.Rejected{Cause: hop.Expired}))
	})
	It("admits no call that expired while the process was suspended, even if a slot is free", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		offerTicket(q, start, "running", 1, at(600), at(2000))
		w := offerTicket(q, start, "waits", 1, at(600), at(2000))
		Expect(w.decision).To(Equal(gate.Queued{}))
		q.Release(at(5000), "", 0)
		Expect(w.decision).To(Equal(gate.Rejected{Cause: hop.Expired}))
		Expect(q.Running()).To(BeZero())
	})
	It("admits late calls again after a period without rejected calls on time", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		offerTicket(q, start, "running", 2, at(600), at(2000))
		for i := range 8 {
			offerTicket(q, start, "queued", 2, at(600+i), at(2000))
		}
		for q.Running() > 0 {
			q.Release(start, "", 0)
		}
		Expect(offerTicket(q, at(600), "late", 2, at(-10), at(1500)).decision).To(Equal(gate.Admitted{}))
	})
	It("rejects a queued call that is late and has waited too long, before its deadline", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		offerTicket(q, start, "running", 2, at(600), at(2000))
		w := offerTicket(q, start, "waits", 2, at(600), at(2000))
		Expect(w.decision).To(Equal(gate.Queued{}))
		q.Expire(at(300))
		Expect(w.decision).To(Equal(gate.Queued{}))
		q.Expire(at(520))
		Expect(w.decision).To(BeAssignableToTypeOf(gate.Rejected{}))
		Expect(q.Waiting()).To(BeZero())
	})
})

var _ = Describe("a queue under random operations", func() {
	It("never exceeds its limit, decides each ticket once and leaves no slot free while calls are queued", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			q := gate.NewQueue()
			limit := rapid.IntRange(1, 4).Draw(t, "limit")
			q.SetLimit(start, limit)
			now, running := start, 0
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0, 1:
					decisions := 0
					ticket := &gate.Ticket{Rank: hop.Rank(rapid.IntRange(-1, 2).Draw(t, "rank")), QueuePolicy: hop.AllowQueueing,
						SoftDeadline: now.Add(time.Duration(rapid.IntRange(-100, 600).Draw(t, "aim")) * time.Millisecond),
						Deadline:     now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "deadline")) * time.Millisecond)}
					ticket.OnDecision = func(d gate.Decision) {
						decisions++
						if _, ok := d.(gate.Admitted); ok {
							running++
						}
						if decisions > 1 {
							t.Fatalf("decided %d times", decisions)
						}
					}
					if _, ok := q.Offer(now, ticket).(gate.Admitted); ok {
						running++
					}
				case 2:
					if running > 0 {
						running--
						q.Release(now, "", time.Duration(rapid.IntRange(1, 300).Draw(t, "held"))*time.Millisecond)
					}
				case 3:
					q.Expire(now)
				}
				if running != q.Running() || running > limit {
					t.Fatalf("got %d running, queue reports %d, limit %d", running, q.Running(), limit)
				}
				if q.Waiting() > 0 && running < limit {
					t.Fatalf("%d calls queued while %d of %d slots are in use", q.Waiting(), running, limit)
				}
			}
		})
	})
})
