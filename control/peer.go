package control

import (
	"maps"
	"slices"
	"strings"

	"github.com/cassialead/cassialead/fleet"
)

// wantedPeers returns the leads that this lead should be linked with: those of its region, and from the region's
// border those of the other regions' borders.
func (c *Core) wantedPeers() map[fleet.NodeID]fleet.Record {
	wanted := map[fleet.NodeID]fleet.Record{}
	leaders := c.leaders()
	borders := c.borderDataCentres(leaders)
	isBorder := borders[c.self.Region] == c.self.DataCentre
	for dc, leader := range leaders {
		switch {
		case dc == c.self.DataCentre:
		case leader.Region == c.self.Region:
			wanted[leader.Node] = leader
		// With every lead of a region unreachable all of them are tried.
		case isBorder && (borders[leader.Region] == dc || borders[leader.Region] == ""):
			wanted[leader.Node] = leader
		}
	}
	return wanted
}

// borders returns the data centre that links each region to the others: the first by name with a lead in reach.
func (c *Core) borderDataCentres(leaders map[fleet.DataCentre]fleet.Record) map[fleet.Region]fleet.DataCentre {
	borders := map[fleet.Region]fleet.DataCentre{c.self.Region: c.self.DataCentre}
	for dc, leader := range leaders {
		if c.unreachable(leader.Node) {
			continue
		}
		if b, ok := borders[leader.Region]; !ok || dc < b {
			borders[leader.Region] = dc
		}
	}
	return borders
}

// unreachable reports whether several attempts to link with a node have failed in a row.
func (c *Core) unreachable(n fleet.NodeID) bool {
	b := c.backoffs[n]
	return b != nil && b.failures >= 2
}

func (c *Core) sortedByNode(records map[fleet.NodeID]fleet.Record) []fleet.Record {
	return slices.SortedFunc(maps.Values(records), func(a, b fleet.Record) int {
		return strings.Compare(string(a.Node), string(b.Node))
	})
}

// duplicatePeer reports whether an own link to the same lead makes an inbound one superfluous.
func (c *Core) duplicatePeer(in *link) bool {
	if c.self.Node > in.node {
		return false
	}
	for _, l := range c.links {
		if l != in && !l.inbound && l.role == RolePeer && l.node == in.node && l.accepted {
			return true
		}
	}
	return false
}
