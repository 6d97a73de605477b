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

// fixture is a table of one service with targets in virtual time.
type fixture struct {
	now   time.Time
	rng   *rand.Rand
	board *route.Board
	table *route.Table
	slow  map[fleet.NodeID]time.Duration
}

func newFixture(targets map[fleet.DataCentre]int) *fixture {
	y := &fixture{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)), slow: map[fleet.NodeID]time.Duration{}}
	doc := config.Document{"service a": {}, "route a": {"path": "/a", "service": "a"}}
	cfg, err := config.Compile("test", doc)
	Expect(err).NotTo(HaveOccurred())
	var rs []fleet.Record
	for _, dc := range []fleet.DataCentre{"here", "near", "far"} {
		for i := range targets[dc] {
			region := fleet.Region("home")
			if dc == "far" {
				region = "away"
			}
			rs = append(rs, fleet.Record{Node: fleet.NodeID(fmt.Sprintf("%s-%d", dc, i)), DataCentre: dc, Region: region,
				Targets: []fleet.Target{{Service: "a", Slots: 4}}})
		}
	}
	y.board = route.NewBoard(fleet.Record{Node: "self", DataCentre: "here", Region: "home"}, route.TwoChoices{})
	y.table = y.board.Compile(cfg, 1, rs, y.now)
	y.now = y.now.Add(10 * time.Second) // past the ramp
	return y
}

// pick chooses a target for a short call.
func (y *fixture) pick() route.Lease {
	l, err := y.table.Pick(route.Query{Service: "a", Reach: config.SpillAnywhere, Class: config.ClassShort, Repeatable: true}, y.now, y.rng)
	Expect(err).NotTo(HaveOccurred())
	return l
}

// run makes n calls one after the other and counts them by target.
func (y *fixture) run(n int, outcome func(fleet.NodeID) route.Outcome) map[fleet.NodeID]int {
	counts := map[fleet.NodeID]int{}
	for range n {
		l := y.pick()
		took := max(y.slow[l.Endpoint.Node], 2*time.Millisecond)
		y.now = y.now.Add(took)
		l.End(y.table, "a", outcome(l.Endpoint.Node), -1, y.now)
		counts[l.Endpoint.Node]++
	}
	return counts
}

func answered(fleet.NodeID) route.Outcome { return route.Answered }

var _ = Describe("the choice of a target", func() {
	It("stays in the data centre while there is room, spills when there is none, and returns", func() {
		y := newFixture(map[fleet.DataCentre]int{"here": 2, "near": 2, "far": 2})
		y.slow["here-0"], y.slow["here-1"] = 20*time.Millisecond, 20*time.Millisecond
		y.run(50, answered)
		var held []route.Lease
		where := map[route.Distance]int{}
		for range 12 {
			l := y.pick()
			where[l.Endpoint.Distance]++
			held = append(held, l)
		}
		Expect(where[route.SameCentre]).To(BeNumerically(">=", 8))
		Expect(where[route.SameRegion]).To(BeNumerically(">", 0))
		for _, l := range held {
			l.End(y.table, "a", route.Answered, 0, y.now.Add(2*time.Millisecond))
		}
		y.now = y.now.Add(5 * time.Second)
		for n, count := range y.run(20, answered) {
			Expect(string(n)).To(HavePrefix("here"), "%d calls", count)
		}
	})

	It("spills to another region within the budget of bytes, and without one only where no target is nearer", func() {
		y := newFixture(map[fleet.DataCentre]int{"here": 1, "far": 2})
		y.slow["here-0"] = 200 * time.Millisecond
		y.run(20, answered)
		var held []route.Lease
		far := func(n int) int {
			count := 0
			for range n {
				l := y.pick()
				held = append(held, l)
				if l.Endpoint.Distance == route.OtherRegion {
					count++
				}
			}
			return count
		}
		Expect(far(10)).To(BeNumerically(">", 0))
		y.table.Spill().Spend(10_000_000)
		Expect(far(10)).To(Equal(0))
		only := newFixture(map[fleet.DataCentre]int{"far": 2})
		only.table.Spill().Spend(10_000_000)
		Expect(only.pick().Endpoint.Distance).To(Equal(route.OtherRegion))
	})

	It("sends few calls to a straggler, and its share comes back when it recovers", func() {
		y := newFixture(map[fleet.DataCentre]int{"here": 5})
		y.run(200, answered)
		y.slow["here-0"] = 40 * time.Millisecond
		Expect(y.run(500, answered)["here-0"]).To(BeNumerically("<", 15))
		y.slow["here-0"] = 0
		y.now = y.now.Add(time.Minute)
		y.run(100, answered)
		y.now = y.now.Add(10 * time.Second)
		Expect(y.run(500, answered)["here-0"]).To(BeNumerically(">", 50))
	})

	It("takes a failing target out, but never more than a third of the slow ones", func() {
		y := newFixture(map[fleet.DataCentre]int{"here": 5})
		failing := func(n fleet.NodeID) route.Outcome {
			if n == "here-1" {
				return route.Failed
			}
			return route.Answered
		}
		Expect(y.run(400, failing)["here-1"]).To(BeNumerically("<", 20))
		for i := range 4 {
			y.slow[fleet.NodeID(fmt.Sprintf("here-%d", i))] = 100 * time.Millisecond
		}
		Expect(len(y.run(400, answered))).To(BeNumerically(">=", 3))
	})

	It("does not name a service or target that it does not hold", func() {
		y := newFixture(map[fleet.DataCentre]int{})
		_, err := y.table.Pick(route.Query{Service: "a", Reach: config.SpillAnywhere}, y.now, y.rng)
		Expect(err).To(MatchError(route.ErrNoTarget))
		_, err = y.table.Pick(route.Query{Service: "absent", Reach: config.SpillAnywhere}, y.now, y.rng)
		Expect(err).To(MatchError(route.ErrNoTarget))
	})
})

// TestRepeatsStayWithinTheirShareOnADeepPath lets every call of a path 20 deep fail and counts what runs at its end.
func TestRepeatsStayWithinTheirShareOnADeepPath(t *testing.T) {
	const depth, calls = 20, 200_000
	budgets := make([]*route.Budget, depth)
	for i := range budgets {
		budgets[i] = route.NewBudget()
	}
	arrived := make([]int, depth+1)
	// visit runs one call at a layer; below a repeat nothing is repeated again.
	var visit func(layer int, repeat bool)
	visit = func(layer int, repeat bool) {
		arrived[layer]++
		if layer == depth {
			return
		}
		budgets[layer].Earn(layer)
		visit(layer+1, repeat)
		if !repeat && budgets[layer].Repeat() {
			visit(layer+1, true)
		}
	}
	for range calls {
		visit(0, false)
	}
	for layer, n := range arrived {
		if extra := float64(n-calls) / calls; extra > 0.20 {
			t.Errorf("layer %d has %.1f%% more calls than the top", layer, 100*extra)
		}
		if layer > 0 {
			if extra := float64(n-arrived[layer-1]) / float64(arrived[layer-1]); extra > 0.10 {
				t.Errorf("layer %d adds %.1f%% to the layer above", layer, 100*extra)
			}
		}
	}
	t.Logf("at depth %d: %.1f%% more calls", depth, 100*float64(arrived[depth]-calls)/calls)
}
