package control

import (
	"slices"

	"github.com/cassialead/cassialead/fleet"
)

const maxParentsTried = 4

// isRoot reports whether the node is the top of its data centre's tree.
func (c *Core) isRoot() bool {
	return c.parent == nil && c.mayRoot()
}

// mayRoot reports whether nobody who should be above this node can be reached.
func (c *Core) mayRoot() bool {
	if c.joining() {
		return false
	}
	wanted := c.wantedParents()
	if c.order().Rank(c.self.Node) > maxParentsTried {
		return false
	}
	for _, n := range wanted {
		b := c.retry[n]
		if b == nil || b.tries == 0 {
			return false
		}
	}
	return true
}

// joining reports whether the node is still looking for others before it goes on alone.
func (c *Core) joining() bool {
	return c.now.Before(c.aloneAt) && len(c.order().Ranked) <= 1
}

func (c *Core) distance() int {
	if c.parent == nil {
		return 0
	}
	return c.parent.distance + 1
}

// wantedParents returns the nodes to hang under, the best first.
func (c *Core) wantedParents() []fleet.NodeID {
	if len(c.assigned) > 0 && c.parent == nil && !c.anyFailed(c.assigned) {
		return c.assigned
	}
	return c.order().Parents(c.self.Node)
}

func (c *Core) anyFailed(ids []fleet.NodeID) bool {
	return !slices.ContainsFunc(ids, func(n fleet.NodeID) bool { b := c.retry[n]; return b == nil || b.tries == 0 })
}

// maintainParents keeps one parent and one spare linked, as the order of the data centre asks.
func (c *Core) maintainParents() {
	if c.self.State == fleet.Gone {
		return
	}
	if c.parent != nil && c.parent.distance >= maxDistance {
		c.drop(c.parent)
	}
	wanted := c.wantedParents()
	c.dropUnwanted(wanted)
	var linked int
	for _, n := range wanted {
		if linked == 2 {
			break
		}
		if c.upLink(n) != nil {
			linked++
			continue
		}
		if c.avoided(n) {
			continue
		}
		if r, ok := c.fleet.Get(n); ok && r.Live() {
			c.dial(n, r.Link, RoleSpare)
			linked++
		}
	}
	c.choose(wanted)
	c.enter()
}

// upLink returns the own link to a node, dialled or established, apart from peer links.
func (c *Core) upLink(n fleet.NodeID) *link {
	for _, l := range c.links {
		if !l.inbound && l.node == n && (l.role == RoleSpare || l.role == RoleChild) {
			return l
		}
	}
	return nil
}

// choose makes the best established link the parent's; the one before it stays until then.
func (c *Core) choose(wanted []fleet.NodeID) {
	c.spare = nil
	for _, n := range wanted {
		l := c.upLink(n)
		if l == nil || !l.greeted {
			continue
		}
		if c.parent == nil || (c.parent != l && c.better(wanted, l, c.parent)) {
			if l.role == RoleSpare && l.distance < maxDistance {
				l.role = RoleChild
				c.sendHello(l)
			}
			continue
		}
		if l != c.parent && c.spare == nil {
			c.spare = l
		}
	}
}

func (c *Core) better(wanted []fleet.NodeID, a, b *link) bool {
	i, j := slices.Index(wanted, a.node), slices.Index(wanted, b.node)
	return j < 0 || i < j
}

// adopt makes a link the parent's and turns the former parent into a spare.
func (c *Core) adopt(l *link) {
	former := c.parent
	c.parent = l
	c.assigned = nil
	c.acked.Counts = nil
	if former != nil {
		former.role = RoleSpare
		c.sendHello(former)
	}
	c.report("parent", string(l.node))
}

func (c *Core) parentLost(l *link) {
	if c.spare == l {
		c.spare = nil
	}
	if c.parent != l {
		return
	}
	c.parent = nil
	c.suspects[l.node] = c.now
	c.report("parent lost", string(l.node))
	c.choose(c.wantedParents())
}

// dropUnwanted closes links to nodes that are no longer wanted, once a wanted parent serves.
func (c *Core) dropUnwanted(wanted []fleet.NodeID) {
	rank := c.order().Rank(c.self.Node)
	for _, l := range c.sortedLinks() {
		if l.inbound || (l.role != RoleSpare && l.role != RoleChild) || slices.Contains(wanted, l.node) {
			continue
		}
		covered := c.parent != nil && slices.Contains(wanted, c.parent.node)
		if covered || rank == 0 {
			c.retire(l)
		}
	}
}

// retire closes a link without holding its end against the other node.
func (c *Core) retire(l *link) {
	delete(c.links, l.id)
	c.do(Close{Link: l.id})
	if c.spare == l {
		c.spare = nil
	}
	if c.parent == l {
		c.parent = nil
	}
}

// enter asks the seeds for parents while the node has none and leads without a lease.
func (c *Core) enter() {
	if c.parent != nil || c.store.leaseHeld || len(c.seeds) == 0 || !c.entry.due(c.now) {
		return
	}
	if c.dialling() {
		return
	}
	c.entry.next = c.now.Add(retryCap)
	if seed := c.seeds[c.rng.IntN(len(c.seeds))]; seed != c.self.Link {
		c.dial("", seed, RoleEntry)
	} else {
		c.entry.next = c.now.Add(retryBase)
	}
}

func (c *Core) dialling() bool {
	for _, l := range c.links {
		if !l.inbound && !l.greeted && l.role != RolePeer {
			return true
		}
	}
	return false
}
