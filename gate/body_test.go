package gate

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/hop"
)

var _ = Describe("request bodies on a slow link", func() {
	const (
		size     = 62_500 // 50 ms at 10 Mbit/s, 59 ms at the share for bulk bodies
		callTime = 200 * time.Millisecond
	)
	began := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	type body struct {
		arrival      time.Duration
		softDeadline time.Duration // after its arrival
		deadline     time.Duration
		queuePolicy  hop.QueuePolicy
		cause        hop.Cause // of its refusal, or empty
	}
	const softDeadline, deadline = 500 * time.Millisecond, 2 * time.Second
	onTime := func(n int) (bodies []body) {
		for range n {
			bodies = append(bodies, body{0, softDeadline, deadline, hop.AllowQueueing, ""})
		}
		return bodies
	}
	cases := map[string][]body{
		"are admitted as long as they can be on time":             append(onTime(5), body{0, softDeadline, deadline, hop.AllowQueueing, hop.TooLate}),
		"are refused at once if other targets may be free":        append(onTime(1), body{0, softDeadline, deadline, hop.FailFast, hop.Busy}),
		"are admitted again once the backlog has drained":         append(onTime(5), body{300 * time.Millisecond, softDeadline, deadline, hop.AllowQueueing, ""}),
		"that are late are refused after one on time was refused": append(onTime(5), body{0, softDeadline, deadline, hop.AllowQueueing, hop.TooLate}, body{400 * time.Millisecond, 0, deadline, hop.AllowQueueing, hop.TooLate}),
		"that are late are admitted if none on time was refused":  append(onTime(2), body{0, 0, deadline, hop.AllowQueueing, ""}),
		"that are late are refused behind a long backlog":         append(onTime(5), body{0, 0, deadline, hop.AllowQueueing, hop.TooLate}),
		"that can't be answered by their deadline are refused":    append(onTime(4), body{0, 300 * time.Millisecond, 400 * time.Millisecond, hop.AllowQueueing, hop.TooLate}),
	}
	for name, bodies := range cases {
		It(name, func() {
			now := began
			link := NewLink(10e6, func() time.Time { return now })
			admission := bodyAdmission{link: link}
			for _, b := range bodies {
				now = began.Add(b.arrival)
				t := &Ticket{SoftDeadline: now.Add(b.softDeadline), Deadline: now.Add(b.deadline), QueuePolicy: b.queuePolicy}
				d := admission.offer(now, t, size, callTime)
				if b.cause == "" {
					Expect(d).To(Equal(Admitted{}))
					link.RecordSent(size) // occupies the link
					continue
				}
				rejected, ok := d.(Rejected)
				Expect(ok).To(BeTrue(), "%v", d)
				Expect(rejected.Cause).To(Equal(b.cause))
				Expect(rejected.Wait).To(BeNumerically(">", 0))
			}
		})
	}
	It("return their link time when their caller has gone", func() {
		now := began
		link := NewLink(10e6, func() time.Time { return now })
		r := link.Reserve(size, now.Add(softDeadline))
		Expect(link.Wait(context.Background(), r, size)).To(BeTrue())
		Expect(link.Backlog()).To(BeNumerically(">", 50*time.Millisecond))
		link.Refund(size)
		Expect(link.Backlog()).To(BeZero())
		link.RecordSent(size)
		r = link.Reserve(size, now.Add(softDeadline))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(link.Wait(ctx, r, size)).To(BeFalse())
	})
})
