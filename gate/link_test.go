package gate_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/gate"
)

var _ = Describe("the order on a VM's link", func() {
	It("lets bulk answers fill no more than their share, and short ones add to the backlog without waiting", func() {
		now := start
		u := gate.NewLink(8e6, func() time.Time { return now })
		Expect(u.Backlog()).To(BeZero())
		u.Note(85_000)
		Expect(u.Backlog()).To(Equal(100 * time.Millisecond))
		now = at(60)
		Expect(u.Backlog()).To(Equal(40 * time.Millisecond))
		now = at(500)
		Expect(u.Backlog()).To(BeZero())
	})
	It("keeps pieces of bulk answers apart by the time that they take", func() {
		u := gate.NewLink(8e6, time.Now)
		begun := time.Now()
		for range 5 {
			u.Wait(context.Background(), nil, 8500) // 10 ms each
		}
		Expect(time.Since(begun)).To(BeNumerically(">=", 40*time.Millisecond))
	})
	It("tells of answers that are expected, and of each byte once", func() {
		now := start
		u := gate.NewLink(8e6, func() time.Time { return now })
		r := u.Reserve(85_000, start)
		Expect(u.Backlog()).To(Equal(100 * time.Millisecond))
		u.Wait(context.Background(), r, 8_500)
		Expect(u.Backlog()).To(Equal(100 * time.Millisecond))
		r.Set(42_500)
		Expect(u.Backlog()).To(Equal(60 * time.Millisecond))
		r.Set(0)
		Expect(u.Backlog()).To(Equal(10 * time.Millisecond))
	})
	It("gives up when the caller has gone", func() {
		u := gate.NewLink(8e3, time.Now)
		u.Note(10_000)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		begun := time.Now()
		u.Wait(ctx, nil, 1000)
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})
	It("sends the answer that has to be there first whole before the next, and a late one not after all others", func() {
		u := gate.NewLink(8e6, time.Now)
		begun := time.Now()
		u.Note(17_000) // 20 ms in which all of them come
		aims := map[string]time.Duration{"late": 10 * time.Millisecond, "third": 900 * time.Millisecond, "first": 300 * time.Millisecond, "second": 600 * time.Millisecond,
			"fourth": 1500 * time.Millisecond}
		type end struct {
			name string
			at   time.Duration
		}
		ends := make(chan end, len(aims))
		for name, aim := range aims {
			r := u.Reserve(42_500, begun.Add(aim))
			go func() {
				for range 5 {
					u.Wait(context.Background(), r, 8500)
				}
				ends <- end{name, time.Since(begun)}
			}()
		}
		var order []string
		var first time.Duration
		for range aims {
			e := <-ends
			if order = append(order, e.name); len(order) == 1 {
				first = e.at
			}
		}
		Expect(order).To(Equal([]string{"first", "second", "third", "late", "fourth"}))
		Expect(first).To(BeNumerically("<", 150*time.Millisecond), "270 ms if they shared the link")
	})
	It("orders nothing on a link that is not known", func() {
		u := gate.NewLink(0, time.Now)
		u.Note(1 << 30)
		Expect(u.Backlog()).To(BeZero())
	})
})
