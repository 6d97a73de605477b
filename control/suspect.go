package control

import (
	"maps"
	"slices"

	"github.com/cassialead/cassialead/fleet"
)

// suspectClosedLink marks the node at the other end of a closed inbound child or backup link as suspected.
func (c *Core) suspectClosedLink(l *link) {
	if !l.accepted || l.node == "" || l.role == RoleLeaderPeer || l.role == RoleBootstrap {
		return
	}
	if r, ok := c.fleet.Get(l.node); ok && r.Live() {
		c.suspectedSince[l.node] = c.now
	}
}

// maintainSuspects checks suspected nodes over a second path: the root probes them on a new connection, other nodes report
// them towards the root.
func (c *Core) maintainSuspects() {
	for _, n := range slices.Sorted(maps.Keys(c.suspectedSince)) {
		if c.now.Sub(c.suspectedSince[n]) < suspectDelay {
			continue
		}
		r, ok := c.fleet.Get(n)
		switch {
		case !ok || !r.Live() || c.hasLink(n):
			delete(c.suspectedSince, n)
		case c.isRoot():
			delete(c.suspectedSince, n)
			c.sendProbe(r)
		case c.parent != nil:
			delete(c.suspectedSince, n)
			c.emit(Send{c.parent.id, Suspect{Node: n, Incarnation: r.Incarnation, Sequence: r.Sequence}})
		}
	}
	c.probeMissing()
}

func (c *Core) hasLink(n fleet.NodeID) bool {
	for _, l := range c.links {
		if l.node == n && l.accepted {
			return true
		}
	}
	return false
}

func (c *Core) handleSuspect(m Suspect) {
	r, ok := c.fleet.Get(m.Node)
	if !ok || !r.Live() || r.Incarnation != m.Incarnation || r.Sequence != m.Sequence {
		return
	}
	c.suspectedSince[m.Node] = c.now.Add(-suspectDelay)
}

func (c *Core) sendProbe(r fleet.Record) {
	c.emit(Probe{Node: r.Node, Address: r.LinkAddress, Incarnation: r.Incarnation, Sequence: r.Sequence})
}

func (c *Core) handleProbeResult(e ProbeResult) {
	r, ok := c.fleet.Get(e.Node)
	if e.Alive || !ok || r.Incarnation != e.Incarnation || r.Sequence != e.Sequence || c.hasLink(e.Node) {
		return
	}
	r.State = fleet.Gone
	c.log("node declared gone", string(e.Node))
	c.mergeRecord(r, nil)
}

// probeMissing probes the data centre's nodes in turn while the root's version summary lacks some of them.
func (c *Core) probeMissing() {
	if !c.isRoot() {
		c.summaryCompleteAt = c.now
		return
	}
	ranked := c.topology().Ranked
	if c.Summary().Nodes() >= len(ranked) {
		c.summaryCompleteAt = c.now
		return
	}
	if c.now.Sub(c.summaryCompleteAt) < probeSweepDelay {
		return
	}
	for range probeSweepBatch {
		c.sweepIndex = (c.sweepIndex + 1) % len(ranked)
		if n := ranked[c.sweepIndex]; n != c.self.Node && !c.hasLink(n) {
			r, _ := c.fleet.Get(n)
			c.sendProbe(r)
		}
	}
}
