package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialead/cassialead/fleet"
)

// FanOut is how many children a node has within its data centre at most.
const FanOut = 24

// Place is a node's place in the tree by which news spread within a region.
type Place struct {
	// Parent is the node to follow; it is nil for a head.
	Parent *Member
	// Sibling is a head's other head, or nil.
	Sibling *Member
}

// Locate returns a node's place. Two heads in a region follow the store and each other. Within a data centre the nodes
// form a tree, those with the widest links first and by hash among equals, since a configuration passes the link of a parent
// once for each child; the roots of the data centres hang under the first head. All nodes that know the same members
// see the same tree; usable leaves out those that can't be followed. A node that is not usable itself, since it is cut off
// from the store, follows another one.
func Locate(members []Member, self fleet.NodeID, usable func(fleet.NodeID) bool) Place {
	var me *Member
	for i := range members {
		if members[i].Node == self {
			me = &members[i]
		}
	}
	if me == nil {
		return Place{}
	}
	var centre, roots []Member
	byCentre := map[fleet.DataCentre][]Member{}
	for _, m := range members {
		if m.Region == me.Region && usable(m.Node) && (m.Node == self || !m.Leaving) {
			byCentre[m.DataCentre] = append(byCentre[m.DataCentre], m)
		}
	}
	for dc, ms := range byCentre {
		slices.SortFunc(ms, compareReach)
		roots = append(roots, ms[0])
		if dc == me.DataCentre {
			centre = ms
		}
	}
	if len(roots) == 0 {
		return Place{}
	}
	slices.SortFunc(roots, compareReach)
	heads := roots[:min(len(roots), 2)]
	if len(roots) == 1 {
		centre = byCentre[roots[0].DataCentre]
		heads = centre[:min(len(centre), 2)]
	}
	for i := range heads {
		if heads[i].Node != self {
			continue
		}
		if len(heads) == 1 {
			return Place{}
		}
		return Place{Sibling: &heads[1-i]}
	}
	i := slices.IndexFunc(centre, func(m Member) bool { return m.Node == self })
	switch {
	case i > 0:
		return Place{Parent: &centre[(i-1)/FanOut]}
	case i < 0 && len(centre) > 0:
		return Place{Parent: &centre[0]}
	}
	return Place{Parent: &heads[0]}
}

// compareReach orders nodes by how well they can pass news on.
func compareReach(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Link, a.Link), cmp.Compare(xxhash.Sum64String(string(a.Node)), xxhash.Sum64String(string(b.Node))),
		cmp.Compare(a.Node, b.Node))
}
