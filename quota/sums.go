package quota

import (
	"time"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/tenant"
)

// Figures are what nodes report of one tenant.
type Figures struct {
	Slow     float64 `json:"s"` // requests per second, admitted or not, over a longer time
	Recent   float64 `json:"r"` // the same over the last second
	Admitted float64 `json:"a"` // requests admitted in the last window
}

func (f Figures) plus(o Figures) Figures {
	return Figures{f.Slow + o.Slow, f.Recent + o.Recent, f.Admitted + o.Admitted}
}

func (f Figures) times(x float64) Figures {
	return Figures{f.Slow * x, f.Recent * x, f.Admitted * x}
}

// without returns the figures less a part of them; the part may be newer.
func (f Figures) without(o Figures) Figures {
	return Figures{max(f.Slow-o.Slow, 0), max(f.Recent-o.Recent, 0), max(f.Admitted-o.Admitted, 0)}
}

const maxFigure = 1e9 // of a tenant over all nodes

// valid reports whether nodes may have reported the figures.
func (f Figures) valid() bool {
	for _, n := range []float64{f.Slow, f.Recent, f.Admitted} {
		if !(n >= 0 && n <= maxFigure) {
			return false
		}
	}
	return true
}

// Demand holds the figures of nodes by tenant.
type Demand map[tenant.Name]Figures

// Add adds the figures of other nodes.
func (d Demand) Add(o Demand) {
	for name, f := range o {
		d[name] = d[name].plus(f)
	}
}

const (
	partedHold  = 2 * time.Second  // for which the report of a child that has disconnected is kept: its callers come back at other nodes
	silentHold  = 15 * time.Second // for which the last figures of nodes that are cut off are kept: they go on serving
	preferTime  = 2 * time.Second  // age up to which the total that counts the listed nodes best is kept; longer than a total takes to all nodes
	staleAfter  = 3 * time.Second  // age from which a region's figures count as old; they come several times as often
	maxReported = 1 << 14          // tenants in one report
	maxNodes    = 1 << 16          // counted in one report
	maxRecount  = 2                // times that a report may count the listed nodes, while nodes change their parents
)

// leastCounted is the part of a region's nodes that its total has to count, and of the nodes counted that have to be listed, for shares to
// follow from it. What nodes admit by shares that are too large by the rest stays within nodePart's margin.
const leastCounted = 0.8

// Report is the demand at a node and the nodes below it in the tree of its region.
type Report struct {
	Demand  Demand `json:"demand"`
	Settled bool   `json:"settled,omitempty"` // one of the nodes has been counting for long enough
	// Nodes is the number of nodes that Demand counts. A node of an earlier version leaves it out; it counts itself at least.
	Nodes int `json:"nodes,omitempty"`
}

// Total is the demand at all nodes of a region. It is passed on as it is, since adding it up on the way would count a region again wherever
// nodes disagree on the tree.
type Total struct {
	Region fleet.Region  `json:"region"`
	Report Report        `json:"report"`
	Age    time.Duration `json:"age"` // since the region's head added it up
}

// Sums adds up the demand of a region's nodes along the tree and keeps the totals of all regions. It is not safe for concurrent use.
type Sums struct {
	children map[fleet.NodeID]childReport
	totals   map[fleet.Region]regionTotal
	listed   Population
}

type childReport struct {
	Report
	expires time.Time
}

type regionTotal struct {
	Report
	at time.Time
}

// Valid reports whether nodes may have sent the report.
func (r Report) Valid() bool {
	if len(r.Demand) > maxReported || r.Nodes < 0 || r.Nodes > maxNodes {
		return false
	}
	for _, f := range r.Demand {
		if !f.valid() {
			return false
		}
	}
	return true
}

// Circular reports whether a report counts so many more nodes than are listed that reports must come back to their origin.
func (s *Sums) Circular(region fleet.Region, r Report) bool {
	n := s.listed[region]
	return n > 0 && r.Nodes > maxRecount*n
}

// SetChild replaces the report of a child.
func (s *Sums) SetChild(now time.Time, child fleet.NodeID, r Report) {
	if s.children == nil {
		s.children = map[fleet.NodeID]childReport{}
	}
	s.children[child] = childReport{r, now.Add(silentHold)}
}

// Part keeps the report of a child that has disconnected for a short time only.
func (s *Sums) Part(now time.Time, child fleet.NodeID) {
	if r, ok := s.children[child]; ok && r.expires.After(now.Add(partedHold)) {
		r.expires = now.Add(partedHold)
		s.children[child] = r
	}
}

// Drop forgets the report of a child that reports to another node from now on.
func (s *Sums) Drop(child fleet.NodeID) { delete(s.children, child) }

// Below returns the demand at this node and below it, without one child.
func (s *Sums) Below(now time.Time, own Report, excluded fleet.NodeID) Report {
	sum := Report{Demand: Demand{}, Settled: own.Settled, Nodes: max(own.Nodes, 1)}
	sum.Demand.Add(own.Demand)
	for child, r := range s.children {
		if now.After(r.expires) {
			delete(s.children, child)
			continue
		}
		if child != excluded {
			sum.Demand.Add(r.Demand)
			sum.Settled = sum.Settled || r.Settled
			sum.Nodes = min(sum.Nodes+max(r.Nodes, 1), maxNodes)
		}
	}
	return sum
}

// SetListed sets the number of nodes that are listed, by which totals are compared.
func (s *Sums) SetListed(p Population) { s.listed = p }

// SetTotal replaces the total of a region if it is newer than the known one. Where nodes disagree on the tree, several of them add up a part
// of a region each; the part that counts the listed nodes best is then kept until it is old.
func (s *Sums) SetTotal(now time.Time, t Total) {
	if s.totals == nil {
		s.totals = map[fleet.Region]regionTotal{}
	}
	at := now.Add(-max(t.Age, 0))
	known, ok := s.totals[t.Region]
	if ok && (!at.After(known.at) || now.Sub(known.at) < preferTime && s.miscounted(t.Region, t.Report) > s.miscounted(t.Region, known.Report)) {
		return
	}
	s.totals[t.Region] = regionTotal{t.Report, at}
}

// miscounted returns the difference between the nodes that a region's total counts and those listed, or zero if none are.
func (s *Sums) miscounted(r fleet.Region, total Report) int {
	n := s.listed[r]
	if n == 0 {
		return 0
	}
	counted := max(total.Nodes, 1)
	return max(n-counted, counted-n)
}

// Totals returns the known totals.
func (s *Sums) Totals(now time.Time) []Total {
	var all []Total
	for region, t := range s.totals {
		if age := max(now.Sub(t.at), 0); age <= silentHold {
			all = append(all, Total{region, t.Report, age})
		} else {
			delete(s.totals, region)
		}
	}
	return all
}

// Population is the number of nodes that are listed in each region.
type Population map[fleet.Region]int

// size returns the number of nodes in all regions, which this one belongs to.
func (p Population) size() int {
	n := 0
	for _, nodes := range p {
		n += nodes
	}
	return max(n, 1)
}

// Others returns the demand at all nodes but this one; the region's total contains an earlier demand of this node. Where a total counts
// other nodes than are listed, since nodes disagree on the tree, its figures are scaled to the number listed.
func (s *Sums) Others(now time.Time, region fleet.Region, own Demand) Others {
	o := Others{Demand: Demand{}, Nodes: s.listed.size()}
	known := map[fleet.Region]bool{}
	for _, t := range s.Totals(now) {
		known[t.Region] = true
		counted := max(t.Report.Nodes, 1)
		o.Counted += counted
		scale := 1.0
		if n := s.listed[t.Region]; n > 0 {
			scale = min(float64(n)/float64(counted), 1/leastCounted)
			o.Partial = o.Partial || float64(min(n, counted)) < leastCounted*float64(max(n, counted))
		}
		for name, f := range t.Report.Demand {
			f = f.times(scale)
			if t.Region == region {
				f = f.without(own[name])
			}
			o.Demand[name] = o.Demand[name].plus(f)
		}
		o.Known = o.Known || t.Report.Settled
		o.Stale = o.Stale || t.Age > staleAfter
	}
	for r, n := range s.listed {
		o.Partial = o.Partial || n > 0 && !known[r]
	}
	return o
}
