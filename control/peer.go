package control

import (
	"maps"
	"slices"
	"strings"

	"github.com/cassialead/cassialead/fleet"
)

// wantedPeers returns the leaders that this leader should be connected to: those of its region and, if this data centre
// is its region's border, the leaders of the other regions' border data centres.
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
		// If no leader of a region is reachable, all of them are tried.
		case isBorder && (borders[leader.Region] == dc || borders[leader.Region] == ""):
			wanted[leader.Node] = leader
		}
	}
	return wanted
}

// borderDataCentres returns the data centre that connects each region to the others: the first by name whose leader is
// reachable.
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

// unreachable reports whether at least two consecutive attempts to connect to a node have failed.
func (c *Core) unreachable(n fleet.NodeID) bool {
	b := c.backoffs[n]
	return b != nil && b.failures >= 2
}

func (c *Core) sortedByNode(records map[fleet.NodeID]fleet.Record) []fleet.Record {
	return slices.SortedFunc(maps.Values(records), func(a, b fleet.Record) int {
		return strings.Compare(string(a.Node), string(b.Node))
	})
}

// duplicatePeer reports whether an inbound link is redundant because this node, which has the lower ID of the two, already
// has an outbound one to the same leader.
func (c *Core) duplicatePeer(in *link) bool {
	if c.self.Node > in.node {
		return false
	}
	for _, l := range c.links {
		if l != in && !l.inbound && l.role == RoleLeaderPeer && l.node == in.node && l.accepted {
			return true
		}
	}
	return false
}
