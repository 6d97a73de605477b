package control

import (
	"slices"

	"github.com/cassialead/cassialead/fleet"
)

const maxRootRank = 4

// isRoot reports whether the node is the root of its data centre's tree.
func (c *Core) isRoot() bool {
	return c.parent == nil && c.canBeRoot()
}

// canBeRoot reports whether discovery is over, the node ranks high enough and all its preferred parents have failed.
func (c *Core) canBeRoot() bool {
	if c.discovering() {
		return false
	}
	wanted := c.preferredParents()
	if c.topology().Rank(c.self.Node) > maxRootRank {
		return false
	}
	for _, n := range wanted {
		b := c.backoffs[n]
		if b == nil || b.failures == 0 {
			return false
		}
	}
	return true
}

// discovering reports whether the node has found no other nodes and its discovery deadline has not passed.
func (c *Core) discovering() bool {
	return c.now.Before(c.discoveryDeadline) && len(c.topology().Ranked) <= 1
}

func (c *Core) distance() int {
	if c.parent == nil {
		return 0
	}
	return c.parent.distance + 1
}

// preferredParents returns the candidate parents, the best first.
func (c *Core) preferredParents() []fleet.NodeID {
	if len(c.suggestedParents) > 0 && c.parent == nil && !c.allFailed(c.suggestedParents) {
		return c.suggestedParents
	}
	return c.topology().Parents(c.self.Node)
}

func (c *Core) allFailed(ids []fleet.NodeID) bool {
	return !slices.ContainsFunc(ids, func(n fleet.NodeID) bool { b := c.backoffs[n]; return b == nil || b.failures == 0 })
}

// maintainParents keeps links to a parent and a backup parent in line with the data centre's topology.
func (c *Core) maintainParents() {
	if c.self.State == fleet.Gone {
		return
	}
	if c.parent != nil && c.parent.distance >= maxDistance {
		c.abortLink(c.parent)
	}
	wanted := c.preferredParents()
	c.closeUnwantedLinks(wanted)
	var linked int
	for _, n := range wanted {
		if linked == 2 {
			break
		}
		if c.parentLinkTo(n) != nil {
			linked++
			continue
		}
		if c.backingOff(n) {
			continue
		}
		if r, ok := c.fleet.Get(n); ok && r.Live() {
			c.dial(n, r.LinkAddress, RoleBackup)
			linked++
		}
	}
	c.selectParent(wanted)
	c.contactSeed()
}

// parentLinkTo returns the outbound parent or backup link to a node, which may still be connecting.
func (c *Core) parentLinkTo(n fleet.NodeID) *link {
	for _, l := range c.links {
		if !l.inbound && l.node == n && (l.role == RoleBackup || l.role == RoleChild) {
			return l
		}
	}
	return nil
}

// selectParent requests promotion of the best accepted backup link and picks the backup; the current parent stays in
// place until the new one accepts.
func (c *Core) selectParent(wanted []fleet.NodeID) {
	c.backup = nil
	for _, n := range wanted {
		l := c.parentLinkTo(n)
		if l == nil || !l.accepted {
			continue
		}
		if c.parent == nil || (c.parent != l && c.preferred(wanted, l, c.parent)) {
			if l.role == RoleBackup && l.distance < maxDistance {
				l.role = RoleChild
				c.sendHello(l)
			}
			continue
		}
		if l != c.parent && c.backup == nil {
			c.backup = l
		}
	}
}

func (c *Core) preferred(wanted []fleet.NodeID, a, b *link) bool {
	i, j := slices.Index(wanted, a.node), slices.Index(wanted, b.node)
	return j < 0 || i < j
}

// setParent makes l the parent link and demotes the former parent to backup.
func (c *Core) setParent(l *link) {
	former := c.parent
	c.parent = l
	c.suggestedParents = nil
	c.lastAck.Counts = nil
	if former != nil {
		former.role = RoleBackup
		c.sendHello(former)
	}
	c.log("parent connected", string(l.node))
}

func (c *Core) parentLost(l *link) {
	if c.backup == l {
		c.backup = nil
	}
	if c.parent != l {
		return
	}
	c.parent = nil
	c.suspectedSince[l.node] = c.now
	c.log("parent connection lost", string(l.node))
	c.selectParent(c.preferredParents())
}

// closeUnwantedLinks closes parent and backup links to nodes not in wanted, once the parent is one of them or the node
// ranks first.
func (c *Core) closeUnwantedLinks(wanted []fleet.NodeID) {
	rank := c.topology().Rank(c.self.Node)
	for _, l := range c.sortedLinks() {
		if l.inbound || (l.role != RoleBackup && l.role != RoleChild) || slices.Contains(wanted, l.node) {
			continue
		}
		hasWantedParent := c.parent != nil && slices.Contains(wanted, c.parent.node)
		if hasWantedParent || rank == 0 {
			c.closeLink(l)
		}
	}
}

// closeLink closes a link without recording a connection failure of the other node.
func (c *Core) closeLink(l *link) {
	delete(c.links, l.id)
	c.emit(Close{Link: l.id})
	if c.backup == l {
		c.backup = nil
	}
	if c.parent == l {
		c.parent = nil
	}
}

// contactSeed dials a random seed to obtain suggested parents, unless the node has a parent or holds the lease.
func (c *Core) contactSeed() {
	if c.parent != nil || c.store.leaseHeld || len(c.seeds) == 0 || !c.bootstrap.due(c.now) {
		return
	}
	if c.dialInProgress() {
		return
	}
	c.bootstrap.retryAt = c.now.Add(backoffCap)
	if seed := c.seeds[c.rng.IntN(len(c.seeds))]; seed != c.self.LinkAddress {
		c.dial("", seed, RoleBootstrap)
	} else {
		c.bootstrap.retryAt = c.now.Add(backoffBase)
	}
}

func (c *Core) dialInProgress() bool {
	for _, l := range c.links {
		if !l.inbound && !l.accepted && l.role != RoleLeaderPeer {
			return true
		}
	}
	return false
}
