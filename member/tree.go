package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialead/cassialead/fleet"
)

// FanOut is the maximum number of children that a node has within its data centre.
const FanOut = 24

// Position is a node's position in the distribution tree of its region.
type Position struct {
	// Parent is the node to receive updates from; nil for a head.
	Parent *Member
	// Sibling is the region's other head if the node is a head, or nil.
	Sibling *Member
	// Depth is the number of nodes on the way from the store, not counting the node itself; zero for a head.
	Depth int
}

// Locate returns a node's position in the tree. A region has two heads, which watch the store and each other. Within a data
// centre the nodes form a tree ordered by link bandwidth, highest first, and by hash among equals, because a parent sends a
// configuration over its link once per child; the roots of the data centres are children of the first head. Nodes with the
// same members compute the same tree; usable excludes nodes that can't be a parent. A node that is itself unusable because
// it has lost the store follows another node.
func Locate(members []Member, self fleet.NodeID, usable func(fleet.NodeID) bool) Position {
	var own *Member
	for i := range members {
		if members[i].Node == self {
			own = &members[i]
		}
	}
	if own == nil {
		return Position{}
	}
	var local []Member
	byCentre := map[fleet.DataCentre][]Member{}
	for _, m := range members {
		if m.Region == own.Region && usable(m.Node) && (m.Node == self || !m.Leaving) {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
		}
	}
	heads := headsOf(byCentre)
	if len(heads) == 0 {
		return Position{}
	}
	local = byCentre[own.DataCentre]
	if len(byCentre) == 1 {
		local = byCentre[heads[0].DataCentre]
	}
	for i := range heads {
		if heads[i].Node != self {
			continue
		}
		if len(heads) == 1 {
			return Position{}
		}
		return Position{Sibling: &heads[1-i]}
	}
	i := slices.IndexFunc(local, func(m Member) bool { return m.Node == self })
	if i < 0 && len(local) > 0 {
		return Position{Parent: &local[0], Depth: depth(local, 0, heads) + 1}
	}
	if i > 0 {
		return Position{Parent: &local[(i-1)/FanOut], Depth: depth(local, i, heads)}
	}
	return Position{Parent: &heads[0], Depth: 1}
}

// Heads returns the heads of a region, the first one first.
func Heads(members []Member, region fleet.Region, usable func(fleet.NodeID) bool) []Member {
	byCentre := map[fleet.DataCentre][]Member{}
	for _, m := range members {
		if m.Region == region && usable(m.Node) && !m.Leaving {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
		}
	}
	return headsOf(byCentre)
}

// headsOf sorts the members of each data centre of a region and returns the region's heads: the roots of two data centres, or two
// members of the only one.
func headsOf(byCentre map[fleet.DataCentre][]Member) []Member {
	var roots []Member
	for _, ms := range byCentre {
		slices.SortFunc(ms, compareBandwidth)
		roots = append(roots, ms[0])
	}
	if len(roots) == 1 {
		roots = byCentre[roots[0].DataCentre]
	}
	slices.SortFunc(roots, compareBandwidth)
	return roots[:min(len(roots), 2)]
}

// depth returns the depth of the node with index i in its data centre's tree.
func depth(local []Member, i int, heads []Member) int {
	d := 0
	for ; i > 0 && !isHead(local[i].Node, heads); i = (i - 1) / FanOut {
		d++
	}
	if !isHead(local[i].Node, heads) {
		d++
	}
	return d
}

func isHead(n fleet.NodeID, heads []Member) bool {
	return slices.ContainsFunc(heads, func(h Member) bool { return h.Node == n })
}

// compareBandwidth orders nodes by link bandwidth, highest first, then by hash and name.
func compareBandwidth(a, b Member) int {
	return cmp.Or(cmp.Compare(b.LinkBandwidth, a.LinkBandwidth), cmp.Compare(xxhash.Sum64String(string(a.Node)), xxhash.Sum64String(string(b.Node))),
		cmp.Compare(a.Node, b.Node))
}
