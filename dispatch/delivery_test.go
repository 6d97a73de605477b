package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
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

// fakeNodes stands for the nodes of the targets and returns one of its outcomes for each attempt, in their order.
type fakeNodes struct {
	mu          sync.Mutex
	outcomes    []func(c *hop.Call) hop.Outcome
	calls       []hop.Call
	runsParents bool // Runs reports the calls "parent" and "repeated"
}

func (n *fakeNodes) RoundTrip(_ context.Context, _ fleet.Address, c *hop.Call) hop.Outcome {
	n.mu.Lock()
	n.calls = append(n.calls, *c)
	outcome := n.outcomes[min(len(n.calls), len(n.outcomes))-1]
	n.mu.Unlock()
	return outcome(c)
}

func (n *fakeNodes) Do(ctx context.Context, c *hop.Call) hop.Outcome { return n.RoundTrip(ctx, "", c) }

func (n *fakeNodes) Runs(id hop.CallID) (running, retry bool) {
	return n.runsParents && (id == "parent" || id == "repeated"), id == "repeated"
}

var load = hop.Load{Limit: 9, ServiceTime: 100 * time.Millisecond}

func answered(status int) func(*hop.Call) hop.Outcome {
	return func(*hop.Call) hop.Outcome {
		return &hop.Answered{Status: status, Header: http.Header{}, Load: load, Release: func() {}}
	}
}

// streamed returns an answer whose body is longer than what has been read of it.
func streamed(status int) func(*hop.Call) hop.Outcome {
	return func(*hop.Call) hop.Outcome {
		return &hop.Answered{Status: status, Header: http.Header{}, Remainder: strings.NewReader("rest"), Length: -1, Load: load, Release: func() {}}
	}
}

func refused(c hop.Cause) func(*hop.Call) hop.Outcome {
	return func(*hop.Call) hop.Outcome { return hop.Refused{Cause: c, Load: load} }
}

func failed(c hop.Cause) func(*hop.Call) hop.Outcome {
	return func(*hop.Call) hop.Outcome { return hop.Failed{Cause: c, Load: load} }
}

const slowAnswer = 600 * time.Millisecond

// slow answers after slowAnswer.
func slow(c *hop.Call) hop.Outcome {
	time.Sleep(slowAnswer)
	return answered(200)(c)
}

// unacknowledged reports a missing acknowledgement and answers after slowAnswer.
func unacknowledged(c *hop.Call) hop.Outcome {
	if c.OnAckTimeout != nil {
		c.OnAckTimeout()
	}
	return slow(c)
}

func newDispatcher(f *fakeNodes, targets int, slack float64) *dispatch.Dispatcher {
	d, _, _ := newDispatcherWithTable(f, targets, slack)
	return d
}

// newDispatcherWithTable returns a dispatcher with its peers and the members that they come from.
func newDispatcherWithTable(f *fakeNodes, targets int, slack float64) (*dispatch.Dispatcher, *dispatch.PeerTable, []member.Member) {
	table := dispatch.NewPeerTable(dispatch.Location{Node: "self", DataCentre: "dc", Region: "region"})
	var members []member.Member
	for i := range targets {
		n := fleet.NodeID(string(rune('a' + i)))
		members = append(members, member.Member{Record: member.Record{Node: n, Incarnation: 1, DataCentre: "dc", Region: "region",
			Address: fleet.Address(n), Target: member.Target{ID: lifecycle.ID("i-" + n), Service: "stock", Slots: 9, State: lifecycle.Open}}})
	}
	table.Update(members, time.Now())
	budget := dispatch.NewRetryBudget(dispatch.RetryLimits{Ratio: 0, Slack: slack, Window: 10 * time.Second})
	budget.SetNodes(1, time.Now().Add(-time.Minute))
	d := dispatch.New(dispatch.Deps{Peers: table, Transport: f, Gate: f, Metrics: metrics.NewSet(), Now: time.Now, Budget: budget,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	rule := func(name config.RouteName, prefix string, calls config.Semantics) *config.Rule {
		return &config.Rule{Name: name, Host: "h", Prefix: prefix, Semantics: calls, MaxAttempts: 2, Timeout: 2 * time.Second, LatencyObjective: 600 * time.Millisecond,
			Priority: 2, WeightedServices: []config.WeightedService{{Service: "stock", Weight: 1}}}
	}
	p, err := config.CompilePlan(1, []config.PlanService{{Name: "stock"}},
		[]*config.Rule{rule("safe", "/safe/", config.Idempotent), rule("order", "/order/", config.AtMostOnce)}, config.CallerLimits{})
	Expect(err).NotTo(HaveOccurred())
	d.SetPlan(p)
	return d, table, members
}

func get(d *dispatch.Dispatcher, path string) hop.Outcome {
	return d.Do(context.Background(), &dispatch.Request{ID: "1", Method: "GET", URI: path, Host: "h", Header: http.Header{}, ReceivedAt: time.Now()})
}

const ampleBudget = 100 // retries per window

var _ = Describe("the attempts of a request", func() {
	type outcomes = []func(*hop.Call) hop.Outcome
	cases := map[string]struct {
		path     string
		slack    float64
		outcomes outcomes
		attempts int
		want     hop.Outcome // nil means answered with 200
	}{
		"a busy target is skipped, also by a call that may run only once":        {"/order/", ampleBudget, outcomes{refused(hop.Busy), answered(200)}, 2, nil},
		"a refused at-most-once call goes to another target":                     {"/order/", ampleBudget, outcomes{refused(hop.Closed), answered(200)}, 2, nil},
		"an at-most-once call shed by its target goes to another one":            {"/order/", ampleBudget, outcomes{refused(hop.TargetShed), answered(200)}, 2, nil},
		"an at-most-once call that may have run is not retried":                  {"/order/", ampleBudget, outcomes{failed(hop.Broken), answered(200)}, 1, hop.Failed{Cause: hop.Broken, Load: load}},
		"an idempotent call is retried after a broken connection":                {"/safe/", ampleBudget, outcomes{failed(hop.Broken), answered(200)}, 2, nil},
		"an idempotent call is not retried beyond the attempts of its route":     {"/safe/", ampleBudget, outcomes{failed(hop.Broken), failed(hop.Broken), answered(200)}, 2, hop.Failed{Cause: hop.Broken, Load: load}},
		"a call is not retried without retry budget":                             {"/safe/", 0, outcomes{failed(hop.Broken), answered(200)}, 1, hop.Failed{Cause: hop.Broken, Load: load}},
		"a refusal after a broken attempt becomes a failure":                     {"/safe/", ampleBudget, outcomes{failed(hop.Broken), refused(hop.TooLate)}, 3, hop.Failed{Cause: hop.Broken}},
		"a call is retried after a server error longer than a node buffers":      {"/safe/", ampleBudget, outcomes{streamed(500), answered(200)}, 2, nil},
		"a refusal after a server error that was given up becomes a failure":     {"/safe/", ampleBudget, outcomes{streamed(500), refused(hop.TooLate)}, 3, hop.Failed{Cause: hop.TargetError}},
		"an unacknowledged call is hedged":                                       {"/safe/", ampleBudget, outcomes{unacknowledged, answered(200)}, 2, nil},
		"the answer of an unacknowledged attempt counts if the hedge is refused": {"/safe/", ampleBudget, outcomes{unacknowledged, refused(hop.TooLate)}, 2, nil},
		"the answer of an unacknowledged attempt counts if the hedge fails":      {"/safe/", ampleBudget, outcomes{unacknowledged, failed(hop.Broken)}, 2, nil},
		"an unacknowledged call is not hedged without retry budget":              {"/safe/", 0, outcomes{unacknowledged, answered(500)}, 1, nil},
		"an unacknowledged at-most-once call is not hedged":                      {"/order/", ampleBudget, outcomes{unacknowledged, answered(500)}, 1, nil},
		"an unacknowledged call is not hedged when all attempts are used":        {"/safe/", ampleBudget, outcomes{failed(hop.Broken), unacknowledged, answered(500)}, 2, nil},
		"a request without a matching route is refused without an attempt":       {"/none/", ampleBudget, outcomes{answered(200)}, 0, hop.Refused{Cause: hop.NoRoute}},
	}
	for name, c := range cases {
		It(name, func() {
			f := &fakeNodes{outcomes: c.outcomes}
			o := get(newDispatcher(f, 3, c.slack), c.path)
			Expect(f.calls).To(HaveLen(c.attempts))
			if c.want == nil {
				Expect(o).To(BeAssignableToTypeOf(&hop.Answered{}))
				Expect(o.(*hop.Answered).Status).To(Equal(200))
				return
			}
			Expect(o).To(Equal(c.want))
		})
	}
	It("are spread over equally long queues", func() {
		full := hop.Load{Limit: 9, Running: 9, Waiting: 9, ServiceTime: 100 * time.Millisecond}
		f := &fakeNodes{outcomes: outcomes{func(*hop.Call) hop.Outcome {
			return &hop.Answered{Status: 200, Header: http.Header{}, Load: full, Release: func() {}}
		}}}
		d := newDispatcher(f, 3, ampleBudget)
		for range 200 {
			get(d, "/order/")
		}
		queued := map[lifecycle.ID]int{}
		for _, c := range f.calls {
			if c.QueuePolicy == hop.AllowQueueing {
				queued[c.Instance]++
			}
		}
		Expect(queued).To(HaveLen(3))
		for _, n := range queued {
			Expect(n).To(BeNumerically(">", 20))
		}
	})
	It("go to targets with room while others wait for their rate limit, and come back when the limit leaves room", func() {
		const limit, wait = 5, 400 * time.Millisecond
		limited := load
		limited.RateLimit, limited.RateWait = limit, wait
		f := &fakeNodes{outcomes: outcomes{func(c *hop.Call) hop.Outcome {
			l := limited
			if c.Instance == "i-c" {
				l = load
			}
			return &hop.Answered{Status: 200, Header: http.Header{}, Load: l, Release: func() {}}
		}}}
		d := newDispatcher(f, 3, ampleBudget)
		for range 50 {
			get(d, "/order/")
		}
		toLimited := func() (n int) {
			for _, c := range f.calls {
				if c.Instance != "i-c" {
					n++
				}
			}
			return n
		}
		Expect(toLimited()).To(BeNumerically("<=", 2), "each limited target reports its limit with its first answer")
		time.Sleep(wait)
		f.calls = nil
		for range 50 {
			get(d, "/order/")
		}
		Expect(toLimited()).To(BeNumerically(">", 0))
	})
	It("wait where the rate limit leaves room first if all targets are limited", func() {
		f := &fakeNodes{outcomes: outcomes{func(c *hop.Call) hop.Outcome {
			l := load
			l.RateLimit, l.RateWait = 5, time.Second
			if c.Instance == "i-b" {
				l.RateWait = 300 * time.Millisecond
			}
			return &hop.Answered{Status: 200, Header: http.Header{}, Load: l, Release: func() {}}
		}}}
		d := newDispatcher(f, 3, ampleBudget)
		for range 20 {
			get(d, "/order/")
		}
		last := f.calls[len(f.calls)-1]
		Expect(last.Instance).To(BeEquivalentTo("i-b"))
		Expect(last.QueuePolicy).To(Equal(hop.AllowQueueing))
	})
	It("go to no target that announced its leaving, although the record of its node says that it accepts calls", func() {
		leaving := load
		leaving.Leaving = true
		f := &fakeNodes{outcomes: outcomes{func(c *hop.Call) hop.Outcome {
			l := load
			if c.Instance == "i-a" {
				l = leaving
			}
			return &hop.Answered{Status: 200, Header: http.Header{}, Load: l, Release: func() {}}
		}}}
		d, table, members := newDispatcherWithTable(f, 3, ampleBudget)
		members[0].Target.StartTime = 1
		table.Update(members, time.Now())
		callsToA := func() (n int) {
			for range 50 {
				get(d, "/order/")
			}
			for _, c := range f.calls {
				if c.Instance == "i-a" {
					n++
				}
			}
			return n
		}
		Expect(callsToA()).To(Equal(1))
		members[0].Incarnation++ // the node has restarted and has forgotten the leaving
		table.Update(members, time.Now())
		Expect(callsToA()).To(Equal(1))
		members[0].Target.StartTime++
		table.Update(members, time.Now())
		Expect(callsToA()).To(Equal(2), "a later start of the target is called again, and announces its leaving again")
	})
	// The second attempt has the id of the first: a late copy of the first refusal would pass for its answer.
	It("do not go twice to a target whose record changes between them", func() {
		f := &fakeNodes{}
		d, table, members := newDispatcherWithTable(f, 1, ampleBudget)
		f.outcomes = outcomes{func(c *hop.Call) hop.Outcome {
			members[0].Target.Slots++
			table.Update(members, time.Now())
			return refused(hop.TargetShed)(c)
		}}
		get(d, "/order/")
		Expect(f.calls).To(HaveLen(1))
	})
	// An order that had waited in a queue was sent on to a target where it could not end before the node stopped.
	It("end with a refusal once an order is not expected to end before its node stops, also after a wait", func() {
		const takes, waits = 200 * time.Millisecond, 150 * time.Millisecond
		after := func(d time.Duration, outcome func(*hop.Call) hop.Outcome) func(*hop.Call) hop.Outcome {
			return func(c *hop.Call) hop.Outcome {
				time.Sleep(d)
				return outcome(c)
			}
		}
		f := &fakeNodes{outcomes: outcomes{after(takes, answered(200)), after(waits, refused(hop.TooLate)), answered(200)}}
		d := newDispatcher(f, 3, ampleBudget)
		Expect(get(d, "/order/")).To(BeAssignableToTypeOf(&hop.Answered{}))
		d.StopAt(time.Now().Add(takes+waits/2), time.Second)
		Expect(get(d, "/order/")).To(Equal(hop.Refused{Cause: hop.Closed, RetryAfter: time.Second}))
		Expect(f.calls).To(HaveLen(2), "the second order was refused by one target and sent to no other")
		Expect(get(d, "/safe/")).To(BeAssignableToTypeOf(&hop.Answered{}), "a call that may run again is sent")
	})
	It("include no hedge if there is no other target", func() {
		f := &fakeNodes{outcomes: outcomes{unacknowledged, answered(500)}}
		o := get(newDispatcher(f, 1, ampleBudget), "/safe/")
		Expect(o.(*hop.Answered).Status).To(Equal(200))
		Expect(f.calls).To(HaveLen(1))
	})
	It("cost no retry budget for a hedge that reached no target", func() {
		f := &fakeNodes{outcomes: outcomes{unacknowledged, refused(hop.Busy), answered(200), failed(hop.Broken), answered(200)}}
		d := newDispatcher(f, 3, 2) // one retry per window
		get(d, "/safe/")
		get(d, "/safe/")
		Expect(get(d, "/safe/")).To(BeAssignableToTypeOf(&hop.Answered{}))
	})
	It("end with a target's server error if all later ones are refused", func() {
		f := &fakeNodes{outcomes: outcomes{answered(500), refused(hop.Closed), refused(hop.Closed)}}
		o := get(newDispatcher(f, 3, ampleBudget), "/safe/")
		Expect(o.(*hop.Answered).Status).To(Equal(500))
	})
	It("are refused at once with a retry-after if no target is known", func() {
		o := get(newDispatcher(&fakeNodes{}, 0, ampleBudget), "/safe/")
		Expect(o.(hop.Refused).Cause).To(Equal(hop.NoTarget))
		Expect(o.(hop.Refused).RetryAfter).To(BeNumerically(">", 0))
	})
	It("are charged to the retry budget if made on behalf of a retry, before any retry of their own", func() {
		f := &fakeNodes{outcomes: outcomes{answered(200), failed(hop.Broken)}, runsParents: true}
		d := newDispatcher(f, 3, 2) // one retry per window
		nested := func(parent hop.CallID) {
			d.Do(context.Background(), &dispatch.Request{ID: parent + ".1", Parent: parent, Method: "GET", URI: "/safe/", Host: "h", Header: http.Header{}, ReceivedAt: time.Now()})
		}
		nested("repeated")
		nested("parent")
		Expect(f.calls).To(HaveLen(2), "the only token went to the nested call of a retry")
	})
	It("rank first if the target on this VM makes them for a call that it is running", func() {
		f := &fakeNodes{outcomes: outcomes{answered(200)}, runsParents: true}
		d := newDispatcher(f, 1, ampleBudget)
		d.Do(context.Background(), &dispatch.Request{ID: "parent.1", Parent: "parent", Method: "GET", URI: "/safe/", Host: "h", Header: http.Header{}, ReceivedAt: time.Now()})
		d.Do(context.Background(), &dispatch.Request{ID: "other.1", Parent: "other", Method: "GET", URI: "/safe/", Host: "h", Header: http.Header{}, ReceivedAt: time.Now()})
		Expect(f.calls[0].Rank).To(Equal(hop.RankNested))
		Expect(f.calls[1].Rank).To(Equal(hop.Rank(2)))
	})
})
