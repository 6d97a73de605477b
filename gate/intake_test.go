package gate

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/hop"
)

var _ = Describe("announced bodies on a narrow link", func() {
	const (
		size = 62_500 // 50 ms on 10 Mbit/s, 59 ms on the share for bulk
		run  = 200 * time.Millisecond
	)
	begun := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	type body struct {
		came     time.Duration
		aim      time.Duration // after it came
		deadline time.Duration
		patience hop.Patience
		cause    hop.Cause // of its refusal, or nothing
	}
	const aim, deadline = 500 * time.Millisecond, 2 * time.Second
	fitting := func(n int) (bodies []body) {
		for range n {
			bodies = append(bodies, body{0, aim, deadline, hop.Queue, ""})
		}
		return bodies
	}
	cases := map[string][]body{
		"come as long as they can be in time":                  append(fitting(5), body{0, aim, deadline, hop.Queue, hop.TooLate}),
		"go elsewhere while other links may be free":           append(fitting(1), body{0, aim, deadline, hop.Elsewhere, hop.Busy}),
		"come again when the link has drained":                 append(fitting(5), body{300 * time.Millisecond, aim, deadline, hop.Queue, ""}),
		"that are late give way to those that are refused":     append(fitting(5), body{0, aim, deadline, hop.Queue, hop.TooLate}, body{400 * time.Millisecond, 0, deadline, hop.Queue, hop.TooLate}),
		"that are late use a link that nobody is refused on":   append(fitting(2), body{0, 0, deadline, hop.Queue, ""}),
		"that are late do not wait behind many":                append(fitting(5), body{0, 0, deadline, hop.Queue, hop.TooLate}),
		"that can't be answered by their deadline are refused": append(fitting(4), body{0, 300 * time.Millisecond, 400 * time.Millisecond, hop.Queue, hop.TooLate}),
	}
	for name, bodies := range cases {
		It(name, func() {
			now := begun
			link := NewLink(10e6, func() time.Time { return now })
			in := intake{link: link}
			for _, b := range bodies {
				now = begun.Add(b.came)
				t := &Ticket{Aim: now.Add(b.aim), Deadline: now.Add(b.deadline), Patience: b.patience}
				d := in.offer(now, t, size, run)
				if b.cause == "" {
					Expect(d).To(Equal(Admitted{}))
					link.Note(size) // takes its time on the link
					continue
				}
				turned, ok := d.(Turned)
				Expect(ok).To(BeTrue(), "%v", d)
				Expect(turned.Cause).To(Equal(b.cause))
				Expect(turned.Wait).To(BeNumerically(">", 0))
			}
		})
	}
	It("give back their time on the link when their caller has gone", func() {
		now := begun
		link := NewLink(10e6, func() time.Time { return now })
		r := link.Reserve(size, now.Add(aim))
		Expect(link.Wait(context.Background(), r, size)).To(BeTrue())
		Expect(link.Backlog()).To(BeNumerically(">", 50*time.Millisecond))
		link.Return(size)
		Expect(link.Backlog()).To(BeZero())
		link.Note(size)
		r = link.Reserve(size, now.Add(aim))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(link.Wait(ctx, r, size)).To(BeFalse())
	})
})
