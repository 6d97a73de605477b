package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/route"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route")
}

// fixture is a table of one service with simulated targets, in virtual time.
type fixture struct {
	now     time.Time
	rng     *rand.Rand
	builder *route.TableBuilder
	table   *route.Table
	latency map[fleet.NodeID]time.Duration // 2 ms where none is set
}

func newFixture(targets map[fleet.DataCentre]int) *fixture {
	f := &fixture{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)), latency: map[fleet.NodeID]time.Duration{}}
	doc := config.Document{"service a": {}, "route a": {"path": "/a", "service": "a"}}
	cfg, err := config.Compile("test", doc)
	Expect(err).NotTo(HaveOccurred())
	var records []fleet.Record
	for _, dc := range []fleet.DataCentre{"here", "near", "far"} {
		for i := range targets[dc] {
			region := fleet.Region("home")
			if dc == "far" {
				region = "away"
			}
			records = append(records, fleet.Record{Node: fleet.NodeID(fmt.Sprintf("%s-%d", dc, i)), DataCentre: dc, Region: region,
				Targets: []fleet.Target{{Service: "a", Slots: 4}}})
		}
	}
	f.builder = route.NewTableBuilder(fleet.Record{Node: "self", DataCentre: "here", Region: "home"}, route.PowerOfTwoChoices{})
	f.table = f.builder.Build(cfg, 1, records, f.now)
	f.now = f.now.Add(10 * time.Second) // past the slow start
	return f
}

// pick selects a target for a short idempotent call.
func (f *fixture) pick() route.Selection {
	s, err := f.table.Pick(route.PickRequest{Service: "a", SpillScope: config.SpillAnywhere, Class: config.ClassShort, Idempotent: true}, f.now, f.rng)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// run makes n sequential calls and counts them by target.
func (f *fixture) run(n int, outcome func(fleet.NodeID) route.Outcome) map[fleet.NodeID]int {
	counts := map[fleet.NodeID]int{}
	for range n {
		s := f.pick()
		latency := max(f.latency[s.Endpoint.Node], 2*time.Millisecond)
		f.now = f.now.Add(latency)
		s.Complete(f.table, "a", outcome(s.Endpoint.Node), -1, f.now)
		counts[s.Endpoint.Node]++
	}
	return counts
}

func answered(fleet.NodeID) route.Outcome { return route.Answered }

var _ = Describe("target selection", func() {
	It("stays in the data centre until its targets are saturated, then spills, and returns once they have free slots", func() {
		f := newFixture(map[fleet.DataCentre]int{"here": 2, "near": 2, "far": 2})
		f.latency["here-0"], f.latency["here-1"] = 20*time.Millisecond, 20*time.Millisecond
		f.run(50, answered)
		var selections []route.Selection
		picksByDistance := map[route.Distance]int{}
		for range 12 {
			s := f.pick()
			picksByDistance[s.Endpoint.Distance]++
			selections = append(selections, s)
		}
		Expect(picksByDistance[route.SameDataCentre]).To(BeNumerically(">=", 8))
		Expect(picksByDistance[route.SameRegion]).To(BeNumerically(">", 0))
		for _, s := range selections {
			s.Complete(f.table, "a", route.Answered, 0, f.now.Add(2*time.Millisecond))
		}
		f.now = f.now.Add(5 * time.Second)
		for n, count := range f.run(20, answered) {
			Expect(string(n)).To(HavePrefix("here"), "%d calls", count)
		}
	})

	It("spills to another region within the spill budget, and beyond it only if there is no nearer target", func() {
		f := newFixture(map[fleet.DataCentre]int{"here": 1, "far": 2})
		f.latency["here-0"] = 200 * time.Millisecond
		f.run(20, answered)
		var selections []route.Selection
		far := func(n int) int {
			count := 0
			for range n {
				s := f.pick()
				selections = append(selections, s)
				if s.Endpoint.Distance == route.OtherRegion {
					count++
				}
			}
			return count
		}
		Expect(far(10)).To(BeNumerically(">", 0))
		f.table.SpillBudget().Charge(10_000_000)
		Expect(far(10)).To(Equal(0))
		only := newFixture(map[fleet.DataCentre]int{"far": 2})
		only.table.SpillBudget().Charge(10_000_000)
		Expect(only.pick().Endpoint.Distance).To(Equal(route.OtherRegion))
	})

	It("sends few calls to a slow target, and restores its share once it has recovered", func() {
		f := newFixture(map[fleet.DataCentre]int{"here": 5})
		f.run(200, answered)
		f.latency["here-0"] = 40 * time.Millisecond
		Expect(f.run(500, answered)["here-0"]).To(BeNumerically("<", 15))
		f.latency["here-0"] = 0
		f.now = f.now.Add(time.Minute)
		f.run(100, answered)
		f.now = f.now.Add(10 * time.Second)
		Expect(f.run(500, answered)["here-0"]).To(BeNumerically(">", 50))
	})

	It("ejects a failing target, and at most a third of a group for being slow", func() {
		f := newFixture(map[fleet.DataCentre]int{"here": 5})
		failing := func(n fleet.NodeID) route.Outcome {
			if n == "here-1" {
				return route.Failed
			}
			return route.Answered
		}
		Expect(f.run(400, failing)["here-1"]).To(BeNumerically("<", 20))
		for i := range 4 {
			f.latency[fleet.NodeID(fmt.Sprintf("here-%d", i))] = 100 * time.Millisecond
		}
		Expect(len(f.run(400, answered))).To(BeNumerically(">=", 3))
	})

	It("returns ErrNoTarget for an unknown service and for one without targets", func() {
		f := newFixture(map[fleet.DataCentre]int{})
		_, err := f.table.Pick(route.PickRequest{Service: "a", SpillScope: config.SpillAnywhere}, f.now, f.rng)
		Expect(err).To(MatchError(route.ErrNoTarget))
		_, err = f.table.Pick(route.PickRequest{Service: "absent", SpillScope: config.SpillAnywhere}, f.now, f.rng)
		Expect(err).To(MatchError(route.ErrNoTarget))
	})
})

// TestRetriesStayWithinBudgetOnDeepCallPath retries calls on a path 20 deep whenever the budget permits it, and bounds
// the extra calls at each layer.
func TestRetriesStayWithinBudgetOnDeepCallPath(t *testing.T) {
	const depth, calls = 20, 200_000
	budgets := make([]*route.RetryBudget, depth)
	for i := range budgets {
		budgets[i] = route.NewRetryBudget()
	}
	callsAtLayer := make([]int, depth+1)
	// visit runs one call at a layer; calls made on behalf of a retry are not retried themselves.
	var visit func(layer int, retry bool)
	visit = func(layer int, retry bool) {
		callsAtLayer[layer]++
		if layer == depth {
			return
		}
		budgets[layer].Deposit(layer)
		visit(layer+1, retry)
		if !retry && budgets[layer].TryWithdrawRetry() {
			visit(layer+1, true)
		}
	}
	for range calls {
		visit(0, false)
	}
	for layer, n := range callsAtLayer {
		if extra := float64(n-calls) / calls; extra > 0.20 {
			t.Errorf("layer %d has %.1f%% more calls than the top layer", layer, 100*extra)
		}
		if layer > 0 {
			if extra := float64(n-callsAtLayer[layer-1]) / float64(callsAtLayer[layer-1]); extra > 0.10 {
				t.Errorf("layer %d has %.1f%% more calls than the layer above", layer, 100*extra)
			}
		}
	}
	t.Logf("at depth %d: %.1f%% more calls", depth, 100*float64(callsAtLayer[depth]-calls)/calls)
}
