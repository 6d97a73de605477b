package control

import (
	"maps"
	"slices"

	"github.com/cassialead/cassialead/fleet"
)

// childLost starts to doubt a node whose link to this one ended.
func (c *Core) childLost(l *link) {
	if !l.greeted || l.node == "" || l.role == RolePeer || l.role == RoleEntry {
		return
	}
	if r, ok := c.fleet.Get(l.node); ok && r.Live() {
		c.suspects[l.node] = c.now
	}
}

// maintainSuspects asks about the nodes in doubt through a second path: the root, on a new connection.
func (c *Core) maintainSuspects() {
	for _, n := range slices.Sorted(maps.Keys(c.suspects)) {
		if c.now.Sub(c.suspects[n]) < suspectDelay {
			continue
		}
		r, ok := c.fleet.Get(n)
		switch {
		case !ok || !r.Live() || c.linked(n):
			delete(c.suspects, n)
		case c.isRoot():
			delete(c.suspects, n)
			c.probe(r)
		case c.parent != nil:
			delete(c.suspects, n)
			c.do(Send{c.parent.id, Suspect{Node: n, Incarnation: r.Incarnation, Sequence: r.Sequence}})
		}
	}
	c.maintainSweep()
}

func (c *Core) linked(n fleet.NodeID) bool {
	for _, l := range c.links {
		if l.node == n && l.greeted {
			return true
		}
	}
	return false
}

func (c *Core) suspect(m Suspect) {
	r, ok := c.fleet.Get(m.Node)
	if !ok || !r.Live() || r.Incarnation != m.Incarnation || r.Sequence != m.Sequence {
		return
	}
	c.suspects[m.Node] = c.now.Add(-suspectDelay)
}

func (c *Core) probe(r fleet.Record) {
	c.do(Probe{Node: r.Node, Address: r.Link, Incarnation: r.Incarnation, Sequence: r.Sequence})
}

func (c *Core) probeResult(e ProbeResult) {
	r, ok := c.fleet.Get(e.Node)
	if e.Alive || !ok || r.Incarnation != e.Incarnation || r.Sequence != e.Sequence || c.linked(e.Node) {
		return
	}
	r.State = fleet.Gone
	c.report("gone", string(e.Node))
	c.merge(r, nil)
}

// maintainSweep probes the nodes of the data centre one by one while the summary lacks some of them.
func (c *Core) maintainSweep() {
	if !c.isRoot() {
		c.missing = c.now
		return
	}
	ranked := c.order().Ranked
	if c.Summary().Nodes() >= len(ranked) {
		c.missing = c.now
		return
	}
	if c.now.Sub(c.missing) < sweepDelay {
		return
	}
	for range sweepBatch {
		c.sweep = (c.sweep + 1) % len(ranked)
		if n := ranked[c.sweep]; n != c.self.Node && !c.linked(n) {
			r, _ := c.fleet.Get(n)
			c.probe(r)
		}
	}
}
