package control

import (
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// hello answers a node that opened a link or wants another role for it.
func (c *Core) hello(l *link, m Hello) {
	if !l.inbound {
		return
	}
	l.node = m.Record.Node
	l.role = m.Role
	c.replaceOlder(l)
	c.merge(m.Record, l)
	w := Welcome{Role: m.Role, Record: c.self, Held: c.held(), Distance: c.distance(), Floor: c.floorFor(l.node)}
	w.Accepted = m.Role != RoleEntry && c.accepts(l, m)
	if !w.Accepted {
		w.Parents = c.suggestParents(l.node)
	}
	c.do(Send{l.id, w})
	l.greeted = w.Accepted
	l.beat = c.now
	if !w.Accepted {
		return
	}
	delete(c.suspects, l.node)
	c.raiseFloor(l.node, m.Held.Version)
	c.heardHeld(l, m.Held)
	if m.Role == RoleChild || m.Role == RolePeer {
		c.compare(l, m.Digests)
	}
}

// replaceOlder closes an older inbound link of the same node, which has lost track of it.
func (c *Core) replaceOlder(l *link) {
	for _, o := range c.sortedLinks() {
		if o != l && o.inbound && o.node == l.node && (o.role == RolePeer) == (l.role == RolePeer) {
			c.retire(o)
		}
	}
}

// floorFor returns the highest version that this node holds or knows a neighbour to have held.
func (c *Core) floorFor(n fleet.NodeID) config.Version {
	return max(c.holder.Version(), c.seen[n])
}

// accepts bounds the links and the whole syncs taken per second, and refuses loops.
func (c *Core) accepts(l *link, m Hello) bool {
	switch m.Role {
	case RolePeer:
		return !c.duplicatePeer(l)
	case RoleSpare:
		return c.count(RoleSpare) < c.capacity()
	}
	if c.parent != nil && c.parent.node == l.node {
		return false
	}
	if c.distance() >= maxDistance || c.count(RoleChild) > c.capacity() {
		return false
	}
	if len(m.Record.Targets) == 0 && m.Held.Version == 0 {
		return c.takeSync()
	}
	return true
}

func (c *Core) takeSync() bool {
	if c.now.Sub(c.syncsAt) >= time.Second {
		c.syncsAt = c.now
		c.syncs = 0
	}
	c.syncs++
	return c.syncs <= fullSyncsPerSecond
}

func (c *Core) capacity() int {
	return 32 + 2*len(c.order().Relays)
}

func (c *Core) count(role Role) int {
	n := 0
	for _, l := range c.links {
		if l.inbound && l.greeted && l.role == role {
			n++
		}
	}
	return n
}

// suggestParents returns the records of the nodes that n should hang under, as far as this node knows.
func (c *Core) suggestParents(n fleet.NodeID) []fleet.Record {
	var rs []fleet.Record
	ids := c.order().Parents(n)
	if r, _ := c.fleet.Get(n); r.DataCentre != c.self.DataCentre {
		ids = nil
	}
	for _, id := range ids {
		if r, ok := c.fleet.Get(id); ok && id != n {
			rs = append(rs, r)
		}
	}
	return rs
}

// welcome takes the answer to an own Hello.
func (c *Core) welcome(l *link, m Welcome) {
	if l.inbound {
		return
	}
	l.node = m.Record.Node
	l.distance = m.Distance
	c.merge(m.Record, l)
	for _, r := range m.Parents {
		c.merge(r, l)
	}
	if m.Record.DataCentre == c.self.DataCentre {
		c.assign(m.Parents)
	}
	if !m.Accepted {
		c.rejected(l)
		return
	}
	c.raiseFloor(l.node, m.Floor)
	if b := c.retry[l.node]; b != nil {
		b.reset()
	}
	l.greeted = true
	c.heardHeld(l, m.Held)
	switch {
	case l.role == RoleChild && c.parent != l:
		c.adopt(l)
	case c.parent == nil:
		c.choose(c.wantedParents())
	}
}

// raiseFloor notes a neighbour's word on the least version to start with; a node that has started needs none.
func (c *Core) raiseFloor(n fleet.NodeID, v config.Version) {
	c.answered[n] = true
	if !c.lastReady {
		c.holder.RaiseFloor(v)
	}
}

func (c *Core) rejected(l *link) {
	if l.role == RoleEntry {
		c.entry.reset()
		c.entry.next = c.now.Add(retryCap)
		c.retire(l)
		return
	}
	c.drop(l)
}

// assign keeps the parents named by a node that knows more of the data centre.
func (c *Core) assign(parents []fleet.Record) {
	if c.parent != nil || len(parents) == 0 {
		return
	}
	c.assigned = c.assigned[:0]
	for _, r := range parents {
		c.assigned = append(c.assigned, r.Node)
	}
	c.assigned = slices.DeleteFunc(c.assigned, func(n fleet.NodeID) bool { return n == c.self.Node })
}
