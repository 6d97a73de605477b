package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/hop"
)

var _ = Describe("a resubmitted request", func() {
	const left = 1500 * time.Millisecond
	type submission struct {
		uri   string
		after time.Duration // since the first submission
		left  time.Duration
	}
	cases := map[string]struct {
		first hop.Outcome
		again submission
		same  bool // the soft deadline counts from the first submission
	}{
		"is recognised after a refusal":                      {hop.Refused{Cause: hop.TooLate, Load: load}, submission{"/safe/1", 400 * time.Millisecond, 1100 * time.Millisecond}, true},
		"is recognised if its deadline has shifted slightly": {hop.Refused{Cause: hop.TooLate, Load: load}, submission{"/safe/1", 400 * time.Millisecond, 1110 * time.Millisecond}, true},
		"is recognised after a failure":                      {hop.Failed{Cause: hop.TimedOut, Load: load}, submission{"/safe/1", 400 * time.Millisecond, 1100 * time.Millisecond}, true},
		"is not assumed for another URI":                     {hop.Refused{Cause: hop.TooLate, Load: load}, submission{"/safe/2", 400 * time.Millisecond, 1100 * time.Millisecond}, false},
		"is not assumed for a later deadline":                {hop.Refused{Cause: hop.TooLate, Load: load}, submission{"/safe/1", 400 * time.Millisecond, 1200 * time.Millisecond}, false},
		"is not assumed for a full timeout":                  {hop.Refused{Cause: hop.TooLate, Load: load}, submission{"/safe/1", 400 * time.Millisecond, left}, false},
		"is not assumed if the first one was answered":       {&hop.Answered{Status: 200, Header: http.Header{}, Load: load, Release: func() {}}, submission{"/safe/1", 400 * time.Millisecond, 1100 * time.Millisecond}, false},
	}
	for name, c := range cases {
		It(name, func() {
			now := time.Now()
			f := &fakeNodes{outcomes: []func(*hop.Call) hop.Outcome{func(*hop.Call) hop.Outcome { return c.first }, answered(200)}}
			d := newDispatcher(f, 1, 0)
			submit := func(uri string, came time.Time, left time.Duration) time.Time {
				d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: uri, Host: "h", Header: http.Header{}, Timeout: left, ReceivedAt: came})
				return f.calls[len(f.calls)-1].SoftDeadline
			}
			first := submit("/safe/1", now, left)
			again := submit(c.again.uri, now.Add(c.again.after), c.again.left)
			if c.same {
				Expect(again).To(Equal(first))
			} else {
				Expect(again).To(Equal(first.Add(c.again.after)))
			}
		})
	}
	It("is not recognised beyond a limited number of recorded requests", func() {
		f := &fakeNodes{outcomes: []func(*hop.Call) hop.Outcome{refused(hop.Closed)}}
		d := newDispatcher(f, 1, 0)
		now := time.Now()
		submit := func(i int, came time.Time, left time.Duration) time.Time {
			d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: fmt.Sprintf("/safe/%d", i), Host: "h", Header: http.Header{}, Timeout: left, ReceivedAt: came})
			return f.calls[len(f.calls)-1].SoftDeadline
		}
		const many = 10_000
		for i := range many {
			submit(i, now, time.Hour)
		}
		Expect(submit(0, now.Add(time.Second), time.Hour-time.Second)).To(Equal(now.Add(600 * time.Millisecond)))
		Expect(submit(many-1, now.Add(time.Second), time.Hour-time.Second)).To(Equal(now.Add(1600 * time.Millisecond)))
	})
	It("is not assumed for requests of callers with different timeouts", func() {
		f := &fakeNodes{outcomes: []func(*hop.Call) hop.Outcome{answered(200)}}
		d := newDispatcher(f, 1, 0)
		now := time.Now()
		for i := range 200 {
			timeout := left - time.Duration(i%20)*left/100 // a fifth less at most
			if i%25 == 0 {
				timeout = 4 * left
			}
			came := now.Add(time.Duration(i) * 7 * time.Millisecond)
			d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: fmt.Sprintf("/safe/%d", i), Host: "h", Header: http.Header{}, Timeout: timeout, ReceivedAt: came})
			Expect(f.calls[i].SoftDeadline.Sub(came)).To(Equal(600*time.Millisecond), "the first submission of a caller with a timeout of %s", timeout)
		}
	})
	It("is recognised once only", func() {
		f := &fakeNodes{outcomes: []func(*hop.Call) hop.Outcome{refused(hop.Closed), answered(200)}}
		d := newDispatcher(f, 1, 0)
		now := time.Now()
		for _, came := range []time.Duration{0, 400 * time.Millisecond, 400 * time.Millisecond} {
			d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: "/safe/1", Host: "h", Header: http.Header{}, Timeout: left - came, ReceivedAt: now.Add(came)})
		}
		Expect(f.calls[1].SoftDeadline).To(Equal(f.calls[0].SoftDeadline))
		Expect(f.calls[2].SoftDeadline).To(Equal(f.calls[0].SoftDeadline.Add(400 * time.Millisecond)))
	})
	// Refused requests with long queries were kept whole until their deadline and used up the memory of a node.
	for name, uri := range map[string]func(i int) string{
		"with long URIs":           func(i int) string { return fmt.Sprintf("/safe/%d?%s", i, strings.Repeat("q", 15_500)) },
		"of one URI, again":        func(int) string { return "/safe/1" },
		"with short ones, as most": func(i int) string { return fmt.Sprintf("/safe/%d", i) },
	} {
		It("takes little memory, also of many "+name, func() {
			const (
				many = 20_000
				most = 4 << 20 // bytes for all records
			)
			f := &fakeNodes{outcomes: []func(*hop.Call) hop.Outcome{refused(hop.Closed)}}
			d := newDispatcher(f, 1, 0)
			now := time.Now()
			heap := func() int64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return int64(m.HeapAlloc)
			}
			before := heap()
			for i := range many {
				// Deadlines lie so far apart that none is taken for another one's.
				d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: uri(i), Host: "h", Header: http.Header{}, Timeout: time.Hour + time.Duration(i)*time.Second, ReceivedAt: now})
				f.calls = nil
			}
			Expect(heap() - before).To(BeNumerically("<", most))
			runtime.KeepAlive(d)
		})
	}
})
