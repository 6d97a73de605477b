package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/quota"
)

func report(slow float64) quota.Report {
	return quota.Report{Demand: quota.Demand{"a": {Slow: slow}}, Settled: true}
}

// Where nodes disagreed on the tree, sums that were passed on in both directions came back to their origin and grew without bound.
func TestOthersCountEachRegionOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		totals []quota.Total
		after  time.Duration
		own    float64
		want   float64
		stale  bool
	}{
		"own region and another":             {[]quota.Total{{Region: "r1", Report: report(5)}, {Region: "r2", Report: report(7)}}, 0, 2, 10, false},
		"a total that comes twice":           {[]quota.Total{{Region: "r2", Report: report(7)}, {Region: "r2", Report: report(7), Age: time.Second}}, 0, 0, 7, false},
		"an older total after a newer":       {[]quota.Total{{Region: "r2", Report: report(7)}, {Region: "r2", Report: report(9), Age: time.Second}}, 0, 0, 7, false},
		"a newer total":                      {[]quota.Total{{Region: "r2", Report: report(9), Age: time.Second}, {Region: "r2", Report: report(7)}}, 0, 0, 7, false},
		"own demand that has grown":          {[]quota.Total{{Region: "r1", Report: report(1)}}, 0, 4, 0, false},
		"a region that is cut off is kept":   {[]quota.Total{{Region: "r2", Report: report(7)}}, 10 * time.Second, 0, 7, true},
		"a region that is silent is dropped": {[]quota.Total{{Region: "r2", Report: report(7)}}, 16 * time.Second, 0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s quota.Sums
			for _, total := range c.totals {
				s.SetTotal(now, total)
			}
			o := s.Others(now.Add(c.after), "r1", quota.Demand{"a": {Slow: c.own}})
			if o.Demand["a"].Slow != c.want || o.Stale != c.stale {
				t.Errorf("got %+v", o)
			}
		})
	}
}

func TestBelowCountsChildrenUntilTheyHaveLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		parted   bool
		after    time.Duration
		excluded fleet.NodeID
		want     float64
	}{
		"all":                              {false, 0, "", 6},
		"without the other head":           {false, 0, "c2", 3},
		"a child that is silent":           {false, 16 * time.Second, "", 1},
		"a child that has just left":       {true, time.Second, "", 6},
		"a child that has left for longer": {true, 3 * time.Second, "", 4},
	} {
		t.Run(name, func(t *testing.T) {
			var s quota.Sums
			s.SetChild(now, "c1", report(2))
			s.SetChild(now, "c2", report(3))
			if c.parted {
				s.Part(now, "c1")
			}
			if got := s.Below(now.Add(c.after), report(1), c.excluded).Demand["a"].Slow; got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
	if (quota.Report{Demand: quota.Demand{"a": {Slow: -1}}}).Valid() {
		t.Error("an impossible rate was accepted")
	}
}

// Several nodes that each took themselves for a region's head added up a part of it, and the part that came last counted for the whole.
func TestOthersRelyOnTheTotalThatCountsTheListedNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	total := func(slow float64, nodes int, age time.Duration) quota.Total {
		r := report(slow)
		r.Nodes = nodes
		return quota.Total{Region: "r1", Report: r, Age: age}
	}
	for name, c := range map[string]struct {
		totals  []quota.Total // each comes a second after the one before
		want    float64
		partial bool
	}{
		"all nodes":                            {[]quota.Total{total(20, 10, 0)}, 20, false},
		"few are missing":                      {[]quota.Total{total(18, 9, 0)}, 20, false},
		"few count twice":                      {[]quota.Total{total(24, 12, 0)}, 20, false},
		"half are missing":                     {[]quota.Total{total(10, 5, 0)}, 12.5, true},
		"half count twice":                     {[]quota.Total{total(30, 15, 0)}, 20, true},
		"node of an earlier version":           {[]quota.Total{total(20, 0, 0)}, 25, true},
		"a part after the whole":               {[]quota.Total{total(20, 10, 0), total(10, 5, 0)}, 20, false},
		"a whole after a part":                 {[]quota.Total{total(10, 5, 0), total(20, 10, 500*time.Millisecond)}, 20, false},
		"twice after a part":                   {[]quota.Total{total(10, 5, 0), total(40, 20, 0)}, 10 * 1.25, true},
		"a part after an old whole":            {[]quota.Total{total(20, 10, 1500*time.Millisecond), total(10, 5, 0)}, 12.5, true},
		"a whole that comes back with its age": {[]quota.Total{total(20, 10, 0), total(20, 10, 990*time.Millisecond), total(20, 10, 1980*time.Millisecond), total(10, 5, 0)}, 12.5, true},
		"no total":                             {nil, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			var s quota.Sums
			s.SetListed(quota.Population{"r1": 10})
			at := now
			for i, total := range c.totals {
				at = now.Add(time.Duration(i) * time.Second)
				s.SetTotal(at, total)
			}
			if o := s.Others(at, "r1", nil); math.Abs(o.Demand["a"].Slow-c.want) > 0.001 || o.Partial != c.partial {
				t.Errorf("got %+v", o)
			}
		})
	}
}

// Reports that came back to their origin were added to themselves and grew without bound.
func TestReportsInACircleAreRecognised(t *testing.T) {
	for name, c := range map[string]struct {
		listed, counted int
		want            bool
	}{
		"each node once":         {10, 10, false},
		"all nodes twice":        {10, 20, false},
		"more than twice":        {10, 21, true},
		"before any node listed": {0, 21, false},
	} {
		t.Run(name, func(t *testing.T) {
			var s quota.Sums
			s.SetListed(quota.Population{"r1": c.listed})
			if got := s.Circular("r1", quota.Report{Nodes: c.counted}); got != c.want {
				t.Errorf("got %v", got)
			}
		})
	}
}
