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

// asked is a ticket with its name and what the queue decided at last.
type asked struct {
	name    string
	ticket  *gate.Ticket
	decided gate.Decision
}

func ask(q *gate.Queue, now time.Time, name string, rank hop.Rank, aim, deadline time.Time) *asked {
	a := &asked{name: name, ticket: &gate.Ticket{Rank: rank, Aim: aim, Deadline: deadline, Patience: hop.Queue}}
	a.ticket.Decided = func(d gate.Decision) { a.decided = d }
	a.decided = q.Offer(now, a.ticket)
	return a
}

var _ = Describe("the order of calls that wait", func() {
	type call struct {
		name     string
		rank     hop.Rank
		aim      int // milliseconds
		deadline int
	}
	cases := map[string]struct {
		calls []call
		order []string
	}{
		"a nested call goes before a more urgent route's": {[]call{{"order", 1, 800, 2500}, {"nested", hop.RankNested, 600, 600}}, []string{"nested", "order"}},
		"the more urgent route goes first":                {[]call{{"stock", 2, 600, 2000}, {"order", 1, 800, 2500}}, []string{"order", "stock"}},
		"less time left goes first":                       {[]call{{"later", 2, 700, 2000}, {"sooner", 2, 500, 2000}}, []string{"sooner", "later"}},
		"a call in time goes before a late one":           {[]call{{"late", 2, 50, 2000}, {"in time", 2, 500, 2000}}, []string{"in time", "late"}},
		"of two late calls the older aim goes first":      {[]call{{"b", 2, 40, 2000}, {"a", 2, 20, 2000}}, []string{"a", "b"}},
	}
	for name, c := range cases {
		It(name, func() {
			q := gate.NewQueue()
			q.SetLimit(start, 1)
			Expect(ask(q, start, "running", 1, at(600), at(2000)).decided).To(BeAssignableToTypeOf(gate.Admitted{}))
			var waiting []*asked
			for _, call := range c.calls {
				waiting = append(waiting, ask(q, start, call.name, call.rank, at(call.aim), at(call.deadline)))
			}
			var order []string
			for range c.calls {
				q.Done(start, "", 0)
				for _, w := range waiting {
					if _, ok := w.decided.(gate.Admitted); ok {
						order = append(order, w.name)
						w.decided = nil
					}
				}
			}
			Expect(order).To(Equal(c.order))
		})
	}
})

var _ = Describe("refusals", func() {
	It("sends a call that may go elsewhere away at once when all slots are taken", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		ask(q, start, "running", 1, at(600), at(2000))
		d := q.Offer(start, &gate.Ticket{Aim: at(600), Deadline: at(2000), Patience: hop.Elsewhere})
		Expect(d).To(Equal(gate.Turned{Cause: hop.Busy, Wait: 100 * time.Millisecond}))
	})
	It("refuses a late call at once while calls in time are refused, though a slot is free", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		ask(q, start, "running", 2, at(600), at(2000))
		for i := range 8 {
			ask(q, start, "queued", 2, at(600+i), at(2000))
		}
		Expect(q.Pressed(start)).To(BeTrue(), "the eighth call in time was refused a place")
		for q.Running() > 0 {
			q.Done(start, "", 0)
		}
		Expect(ask(q, start, "late", 2, at(-10), at(1500)).decided).To(BeAssignableToTypeOf(gate.Turned{}))
		Expect(ask(q, start, "in time", 2, at(600), at(2000)).decided).To(Equal(gate.Admitted{}))
		Expect(ask(q, start, "nested", hop.RankNested, at(20), at(500)).decided).NotTo(BeAssignableToTypeOf(gate.Turned{}))
	})
	It("admits no call whose time ran out while the process stood still, though a slot is free at last", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		ask(q, start, "running", 1, at(600), at(2000))
		w := ask(q, start, "waits", 1, at(600), at(2000))
		Expect(w.decided).To(Equal(gate.Queued{}))
		q.Done(at(5000), "", 0)
		Expect(w.decided).To(Equal(gate.Turned{Cause: hop.Expired}))
		Expect(q.Running()).To(BeZero())
	})
	It("serves late calls again once no call in time had to be refused for a while", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		ask(q, start, "running", 2, at(600), at(2000))
		for i := range 8 {
			ask(q, start, "queued", 2, at(600+i), at(2000))
		}
		for q.Running() > 0 {
			q.Done(start, "", 0)
		}
		Expect(ask(q, at(600), "late", 2, at(-10), at(1500)).decided).To(Equal(gate.Admitted{}))
	})
	It("does not hold a call to its deadline", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 1)
		ask(q, start, "running", 2, at(600), at(2000))
		w := ask(q, start, "waits", 2, at(600), at(2000))
		Expect(w.decided).To(Equal(gate.Queued{}))
		q.Expire(at(300))
		Expect(w.decided).To(Equal(gate.Queued{}))
		q.Expire(at(520))
		Expect(w.decided).To(BeAssignableToTypeOf(gate.Turned{}))
		Expect(q.Waiting()).To(BeZero())
	})
})

var _ = Describe("a queue at random", func() {
	It("never runs more than its limit, decides each ticket once and leaves no slot free while calls wait", func() {
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
					tk := &gate.Ticket{Rank: hop.Rank(rapid.IntRange(-1, 2).Draw(t, "rank")), Patience: hop.Queue,
						Aim:      now.Add(time.Duration(rapid.IntRange(-100, 600).Draw(t, "aim")) * time.Millisecond),
						Deadline: now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(t, "deadline")) * time.Millisecond)}
					tk.Decided = func(d gate.Decision) {
						decisions++
						if _, ok := d.(gate.Admitted); ok {
							running++
						}
						if decisions > 1 {
							t.Fatalf("decided %d times", decisions)
						}
					}
					if _, ok := q.Offer(now, tk).(gate.Admitted); ok {
						running++
					}
				case 2:
					if running > 0 {
						running--
						q.Done(now, "", time.Duration(rapid.IntRange(1, 300).Draw(t, "held"))*time.Millisecond)
					}
				case 3:
					q.Expire(now)
				}
				if running != q.Running() || running > limit {
					t.Fatalf("running %d, the queue says %d, limit %d", running, q.Running(), limit)
				}
				if q.Waiting() > 0 && running < limit {
					t.Fatalf("%d wait while %d of %d run", q.Waiting(), running, limit)
				}
			}
		})
	})
})
