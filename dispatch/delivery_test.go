package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
)

// carrier plays the nodes beside the targets: outcomes in the order of the attempts.
type carrier struct {
	mu       sync.Mutex
	outcomes []func(c *hop.Call) hop.Outcome
	calls    []hop.Call
	nested   bool
}

func (f *carrier) RoundTrip(_ context.Context, _ fleet.Address, c *hop.Call) hop.Outcome {
	f.mu.Lock()
	f.calls = append(f.calls, *c)
	outcome := f.outcomes[min(len(f.calls), len(f.outcomes))-1]
	f.mu.Unlock()
	return outcome(c)
}

func (f *carrier) Do(ctx context.Context, c *hop.Call) hop.Outcome { return f.RoundTrip(ctx, "", c) }

func (f *carrier) Runs(id hop.CallID) (works, repeat bool) {
	return f.nested && (id == "parent" || id == "repeated"), id == "repeated"
}

var load = hop.Load{Limit: 9, Hold: 100 * time.Millisecond}

func answered(status int) func(*hop.Call) hop.Outcome {
	return func(*hop.Call) hop.Outcome {
		return &hop.Answered{Status: status, Header: http.Header{}, Load: load, Release: func() {}}
	}
}

func refused(c hop.Cause) func(*hop.Call) hop.Outcome {
	return func(*hop.Call) hop.Outcome { return hop.Refused{Cause: c, Load: load} }
}

func failed(c hop.Cause) func(*hop.Call) hop.Outcome {
	return func(*hop.Call) hop.Outcome { return hop.Failed{Cause: c, Load: load} }
}

const slowness = 600 * time.Millisecond

// slow answers late.
func slow(c *hop.Call) hop.Outcome {
	time.Sleep(slowness)
	return answered(200)(c)
}

// silent gives no sign and answers late.
func silent(c *hop.Call) hop.Outcome {
	if c.OnAckTimeout != nil {
		c.OnAckTimeout()
	}
	return slow(c)
}

func newDispatcher(f *carrier, targets int, slack float64) *dispatch.Dispatcher {
	board := dispatch.NewBoard(dispatch.Place{Node: "self", DataCentre: "dc", Region: "region"})
	var members []member.Member
	for i := range targets {
		n := fleet.NodeID(string(rune('a' + i)))
		members = append(members, member.Member{Record: member.Record{Node: n, Incarnation: 1, DataCentre: "dc", Region: "region",
			Address: fleet.Address(n), Target: member.Target{ID: lifecycle.ID("i-" + n), Service: "stock", Slots: 9, State: lifecycle.Open}}})
	}
	board.Publish(members)
	budget := dispatch.NewBudget(dispatch.RepeatBounds{Ratio: 0, Slack: slack, Window: 10 * time.Second})
	budget.SetNodes(1, time.Now().Add(-time.Minute))
	d := dispatch.New(dispatch.Deps{Board: board, Carrier: f, Local: f, Metrics: metrics.NewSet(), Now: time.Now, Budget: budget,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	rule := func(name config.RouteName, prefix string, calls config.Semantics) *config.Rule {
		return &config.Rule{Name: name, Host: "h", Prefix: prefix, Calls: calls, Attempts: 2, Timeout: 2 * time.Second, Aim: 600 * time.Millisecond,
			Priority: 2, Parts: []config.Part{{Service: "stock", Weight: 1}}}
	}
	p, err := config.CompilePlan(1, []config.PlanService{{Name: "stock"}},
		[]*config.Rule{rule("safe", "/safe/", config.Idempotent), rule("order", "/order/", config.AtMostOnce)}, config.CallerLimits{})
	Expect(err).NotTo(HaveOccurred())
	d.Publish(p)
	return d
}

func do(d *dispatch.Dispatcher, path string) hop.Outcome {
	return d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: path, Host: "h", Header: http.Header{}, Came: time.Now()})
}

const plenty = 100 // of repeats, in a window

var _ = Describe("further attempts", func() {
	type outcomes = []func(*hop.Call) hop.Outcome
	cases := map[string]struct {
		path     string
		slack    float64
		outcomes outcomes
		attempts int
		want     hop.Outcome // nil means answered with 200
	}{
		"a full target is passed over, also for an order":          {"/order/", plenty, outcomes{refused(hop.Busy), answered(200)}, 2, nil},
		"an order that was not run goes to another target":         {"/order/", plenty, outcomes{refused(hop.Closed), answered(200)}, 2, nil},
		"an order that the target shed goes to another one":        {"/order/", plenty, outcomes{refused(hop.TargetShed), answered(200)}, 2, nil},
		"an order that may have run is not sent again":             {"/order/", plenty, outcomes{failed(hop.Broken), answered(200)}, 1, hop.Failed{Cause: hop.Broken, Load: load}},
		"a repeatable call that broke is sent again":               {"/safe/", plenty, outcomes{failed(hop.Broken), answered(200)}, 2, nil},
		"a repeatable call is not sent to more than its targets":   {"/safe/", plenty, outcomes{failed(hop.Broken), failed(hop.Broken), answered(200)}, 2, hop.Failed{Cause: hop.Broken, Load: load}},
		"nothing is repeated without budget":                       {"/safe/", 0, outcomes{failed(hop.Broken), answered(200)}, 1, hop.Failed{Cause: hop.Broken, Load: load}},
		"a refusal after a broken attempt does not promise":        {"/safe/", plenty, outcomes{failed(hop.Broken), refused(hop.TooLate)}, 3, hop.Failed{Cause: hop.Broken}},
		"another node is asked beside a silent one":                {"/safe/", plenty, outcomes{silent, answered(200)}, 2, nil},
		"a silent node's answer counts if the other one refuses":   {"/safe/", plenty, outcomes{silent, refused(hop.TooLate)}, 2, nil},
		"a silent node's answer counts if the other one fails":     {"/safe/", plenty, outcomes{silent, failed(hop.Broken)}, 2, nil},
		"a silent node is waited for without budget":               {"/safe/", 0, outcomes{silent, answered(500)}, 1, nil},
		"a silent node is waited for with an order":                {"/order/", plenty, outcomes{silent, answered(500)}, 1, nil},
		"a silent node is waited for when all attempts are used":   {"/safe/", plenty, outcomes{failed(hop.Broken), silent, answered(500)}, 2, nil},
		"a request that no rule covers is refused without attempt": {"/none/", plenty, outcomes{answered(200)}, 0, hop.Refused{Cause: hop.NoRoute}},
	}
	for name, c := range cases {
		It(name, func() {
			f := &carrier{outcomes: c.outcomes}
			o := do(newDispatcher(f, 3, c.slack), c.path)
			Expect(f.calls).To(HaveLen(c.attempts))
			if c.want == nil {
				Expect(o).To(BeAssignableToTypeOf(&hop.Answered{}))
				Expect(o.(*hop.Answered).Status).To(Equal(200))
				return
			}
			Expect(o).To(Equal(c.want))
		})
	}
	It("are spread over queues of the same length", func() {
		full := hop.Load{Limit: 9, Running: 9, Waiting: 9, Hold: 100 * time.Millisecond}
		f := &carrier{outcomes: outcomes{func(*hop.Call) hop.Outcome {
			return &hop.Answered{Status: 200, Header: http.Header{}, Load: full, Release: func() {}}
		}}}
		d := newDispatcher(f, 3, plenty)
		for range 200 {
			do(d, "/order/")
		}
		queued := map[lifecycle.ID]int{}
		for _, c := range f.calls {
			if c.Patience == hop.Queue {
				queued[c.Instance]++
			}
		}
		Expect(queued).To(HaveLen(3))
		for _, n := range queued {
			Expect(n).To(BeNumerically(">", 20))
		}
	})
	It("are not begun beside a silent node where no other target is left", func() {
		f := &carrier{outcomes: outcomes{silent, answered(500)}}
		o := do(newDispatcher(f, 1, plenty), "/safe/")
		Expect(o.(*hop.Answered).Status).To(Equal(200))
		Expect(f.calls).To(HaveLen(1))
	})
	It("beside a silent node cost nothing if they reach no target", func() {
		f := &carrier{outcomes: outcomes{silent, refused(hop.Busy), answered(200), failed(hop.Broken), answered(200)}}
		d := newDispatcher(f, 3, 2) // one repeat in a window
		do(d, "/safe/")
		do(d, "/safe/")
		Expect(do(d, "/safe/")).To(BeAssignableToTypeOf(&hop.Answered{}))
	})
	It("delivers a target's own error if nothing better comes", func() {
		f := &carrier{outcomes: outcomes{answered(500), refused(hop.Closed), refused(hop.Closed)}}
		o := do(newDispatcher(f, 3, plenty), "/safe/")
		Expect(o.(*hop.Answered).Status).To(Equal(500))
	})
	It("refuses at once where no target is known, and says when to come back", func() {
		o := do(newDispatcher(&carrier{}, 0, plenty), "/safe/")
		Expect(o.(hop.Refused).Cause).To(Equal(hop.NoTarget))
		Expect(o.(hop.Refused).RetryAfter).To(BeNumerically(">", 0))
	})
	It("owes for the calls that a repeated run makes, before any other repeat", func() {
		f := &carrier{outcomes: outcomes{answered(200), failed(hop.Broken)}, nested: true}
		d := newDispatcher(f, 3, 2) // one repeat in a window
		nested := func(parent hop.CallID) {
			d.Do(context.Background(), &dispatch.Request{ID: parent + ".1", Parent: parent, Method: "GET", URI: "/safe/", Host: "h", Header: http.Header{}, Came: time.Now()})
		}
		nested("repeated")
		nested("parent")
		Expect(f.calls).To(HaveLen(2), "the only repeat was owed")
	})
	It("ranks a call that the target here makes for one that it works on before all others", func() {
		f := &carrier{outcomes: outcomes{answered(200)}, nested: true}
		d := newDispatcher(f, 1, plenty)
		d.Do(context.Background(), &dispatch.Request{ID: "parent.1", Parent: "parent", Method: "GET", URI: "/safe/", Host: "h", Header: http.Header{}, Came: time.Now()})
		d.Do(context.Background(), &dispatch.Request{ID: "other.1", Parent: "other", Method: "GET", URI: "/safe/", Host: "h", Header: http.Header{}, Came: time.Now()})
		Expect(f.calls[0].Rank).To(Equal(hop.RankNested))
		Expect(f.calls[1].Rank).To(Equal(hop.Rank(2)))
	})
})
