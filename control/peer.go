package control

import (
	"maps"
	"slices"
	"strings"

	"github.com/cassialead/cassialead/fleet"
)

// wantedPeers returns the leads that this lead should be linked with.
func (c *Core) wantedPeers() map[fleet.NodeID]fleet.Record {
	wanted := map[fleet.NodeID]fleet.Record{}
	reachable := func(n fleet.NodeID) bool { return n == c.self.Node || !c.unreachable(n) }
	atBorder := c.fleet.Border(c.self.Region, reachable) == c.self.DataCentre
	borders := map[fleet.Region]fleet.DataCentre{}
	for dc, lead := range c.fleet.Leads() {
		if dc == c.self.DataCentre {
			continue
		}
		if lead.Region == c.self.Region {
			wanted[lead.Node] = lead
			continue
		}
		if !atBorder {
			continue
		}
		border, ok := borders[lead.Region]
		if !ok {
			border = c.fleet.Border(lead.Region, reachable)
			borders[lead.Region] = border
		}
		// With every lead of a region unreachable all of them are tried.
		if border == dc || border == "" {
			wanted[lead.Node] = lead
		}
	}
	return wanted
}

// unreachable reports whether several attempts to link with a node have failed in a row.
func (c *Core) unreachable(n fleet.NodeID) bool {
	b := c.retry[n]
	return b != nil && b.tries >= 2
}

func (c *Core) sortedCentres(m map[fleet.NodeID]fleet.Record) []fleet.Record {
	return slices.SortedFunc(maps.Values(m), func(a, b fleet.Record) int {
		return strings.Compare(string(a.Node), string(b.Node))
	})
}

// duplicatePeer reports whether an own link to the same lead makes an inbound one superfluous.
func (c *Core) duplicatePeer(in *link) bool {
	if c.self.Node > in.node {
		return false
	}
	for _, l := range c.links {
		if l != in && !l.inbound && l.role == RolePeer && l.node == in.node && l.greeted {
			return true
		}
	}
	return false
}
