package gate_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/gate"
)

var _ = Describe("the link scheduler", func() {
	It("counts bytes sent without waiting towards the backlog, at the link's bulk share", func() {
		now := start
		link := gate.NewLink(8e6, func() time.Time { return now })
		Expect(link.Backlog()).To(BeZero())
		link.RecordSent(85_000)
		Expect(link.Backlog()).To(Equal(100 * time.Millisecond))
		now = at(60)
		Expect(link.Backlog()).To(Equal(40 * time.Millisecond))
		now = at(500)
		Expect(link.Backlog()).To(BeZero())
	})
	It("spaces chunks by their transmission time", func() {
		link := gate.NewLink(8e6, time.Now)
		began := time.Now()
		for range 5 {
			link.Wait(context.Background(), nil, 8500) // 10 ms each
		}
		Expect(time.Since(began)).To(BeNumerically(">=", 40*time.Millisecond))
	})
	It("includes reserved bytes in the backlog, and each byte only once", func() {
		now := start
		link := gate.NewLink(8e6, func() time.Time { return now })
		r := link.Reserve(85_000, start)
		Expect(link.Backlog()).To(Equal(100 * time.Millisecond))
		link.Wait(context.Background(), r, 8_500)
		Expect(link.Backlog()).To(Equal(100 * time.Millisecond))
		r.Resize(42_500)
		Expect(link.Backlog()).To(Equal(60 * time.Millisecond))
		r.Resize(0)
		Expect(link.Backlog()).To(Equal(10 * time.Millisecond))
	})
	It("stops waiting when the context is cancelled", func() {
		link := gate.NewLink(8e3, time.Now)
		link.RecordSent(10_000)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		began := time.Now()
		link.Wait(ctx, nil, 1000)
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
	It("sends bodies whole in order of their deadlines, and a late body not after all others", func() {
		link := gate.NewLink(8e6, time.Now)
		began := time.Now()
		link.RecordSent(17_000) // 20 ms, in which all bodies are queued
		softDeadlines := map[string]time.Duration{"late": 10 * time.Millisecond, "third": 900 * time.Millisecond, "first": 300 * time.Millisecond, "second": 600 * time.Millisecond,
			"fourth": 1500 * time.Millisecond}
		type end struct {
			name string
			at   time.Duration
		}
		ends := make(chan end, len(softDeadlines))
		for name, softDeadline := range softDeadlines {
			r := link.Reserve(42_500, began.Add(softDeadline))
			go func() {
				for range 5 {
					link.Wait(context.Background(), r, 8500)
				}
				ends <- end{name, time.Since(began)}
			}()
		}
		var order []string
		var first time.Duration
		for range softDeadlines {
			e := <-ends
			if order = append(order, e.name); len(order) == 1 {
				first = e.at
			}
		}
		Expect(order).To(Equal([]string{"first", "second", "third", "late", "fourth"}))
		Expect(first).To(BeNumerically("<", 150*time.Millisecond), "270 ms if the bodies shared the link")
	})
	It("schedules nothing on a link of unknown rate", func() {
		link := gate.NewLink(0, time.Now)
		link.RecordSent(1 << 30)
		Expect(link.Backlog()).To(BeZero())
	})
})
