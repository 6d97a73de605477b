package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/hop"
)

var _ = Describe("a caller that comes back", func() {
	const left = 1500 * time.Millisecond
	type try struct {
		uri   string
		after time.Duration // the first try
		left  time.Duration
	}
	cases := map[string]struct {
		first hop.Outcome
		again try
		same  bool // its aim counts from its first try
	}{
		"after a refusal":                          {hop.Refused{Cause: hop.TooLate, Load: load}, try{"/safe/1", 400 * time.Millisecond, 1100 * time.Millisecond}, true},
		"a little later than it says":              {hop.Refused{Cause: hop.TooLate, Load: load}, try{"/safe/1", 400 * time.Millisecond, 1110 * time.Millisecond}, true},
		"after a failure":                          {hop.Failed{Cause: hop.TimedOut, Load: load}, try{"/safe/1", 400 * time.Millisecond, 1100 * time.Millisecond}, true},
		"for another thing":                        {hop.Refused{Cause: hop.TooLate, Load: load}, try{"/safe/2", 400 * time.Millisecond, 1100 * time.Millisecond}, false},
		"is another one that waits less long":      {hop.Refused{Cause: hop.TooLate, Load: load}, try{"/safe/1", 400 * time.Millisecond, 1200 * time.Millisecond}, false},
		"is another one that asks for it anew":     {hop.Refused{Cause: hop.TooLate, Load: load}, try{"/safe/1", 400 * time.Millisecond, left}, false},
		"is another one after the first is served": {&hop.Answered{Status: 200, Header: http.Header{}, Load: load, Release: func() {}}, try{"/safe/1", 400 * time.Millisecond, 1100 * time.Millisecond}, false},
	}
	for name, c := range cases {
		It(name, func() {
			now := time.Now()
			f := &carrier{outcomes: []func(*hop.Call) hop.Outcome{func(*hop.Call) hop.Outcome { return c.first }, answered(200)}}
			d := newDispatcher(f, 1, 0)
			ask := func(uri string, came time.Time, left time.Duration) time.Time {
				d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: uri, Host: "h", Header: http.Header{}, Left: left, Came: came})
				return f.calls[len(f.calls)-1].Aim
			}
			first := ask("/safe/1", now, left)
			again := ask(c.again.uri, now.Add(c.again.after), c.again.left)
			if c.same {
				Expect(again).To(Equal(first))
			} else {
				Expect(again).To(Equal(first.Add(c.again.after)))
			}
		})
	}
	It("is remembered among so many only", func() {
		f := &carrier{outcomes: []func(*hop.Call) hop.Outcome{refused(hop.Closed)}}
		d := newDispatcher(f, 1, 0)
		now := time.Now()
		ask := func(i int, came time.Time, left time.Duration) time.Time {
			d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: fmt.Sprintf("/safe/%d", i), Host: "h", Header: http.Header{}, Left: left, Came: came})
			return f.calls[len(f.calls)-1].Aim
		}
		const many = 10_000
		for i := range many {
			ask(i, now, time.Hour)
		}
		Expect(ask(0, now.Add(time.Second), time.Hour-time.Second)).To(Equal(now.Add(600 * time.Millisecond)))
		Expect(ask(many-1, now.Add(time.Second), time.Hour-time.Second)).To(Equal(now.Add(1600 * time.Millisecond)))
	})
	It("is not seen in callers that differ in their patience", func() {
		f := &carrier{outcomes: []func(*hop.Call) hop.Outcome{answered(200)}}
		d := newDispatcher(f, 1, 0)
		now := time.Now()
		for i := range 200 {
			patience := left - time.Duration(i%20)*left/100 // a fifth less at most
			if i%25 == 0 {
				patience = 4 * left
			}
			came := now.Add(time.Duration(i) * 7 * time.Millisecond)
			d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: fmt.Sprintf("/safe/%d", i), Host: "h", Header: http.Header{}, Left: patience, Came: came})
			Expect(f.calls[i].Aim.Sub(came)).To(Equal(600*time.Millisecond), "the first try of a caller that waits for %s", patience)
		}
	})
	It("is taken for itself once only, and forgotten after its deadline", func() {
		f := &carrier{outcomes: []func(*hop.Call) hop.Outcome{refused(hop.Closed), answered(200)}}
		d := newDispatcher(f, 1, 0)
		now := time.Now()
		for _, came := range []time.Duration{0, 400 * time.Millisecond, 400 * time.Millisecond} {
			d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: "/safe/1", Host: "h", Header: http.Header{}, Left: left - came, Came: now.Add(came)})
		}
		Expect(f.calls[1].Aim).To(Equal(f.calls[0].Aim))
		Expect(f.calls[2].Aim).To(Equal(f.calls[0].Aim.Add(400 * time.Millisecond)))
	})
})
