package control

import (
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// handleHello responds to a handshake or to a role change on an open link.
func (c *Core) handleHello(l *link, m Hello) {
	if !l.inbound {
		return
	}
	l.node = m.Record.Node
	l.role = m.Role
	c.closeOlderLinks(l)
	c.mergeRecord(m.Record, l)
	reply := Welcome{Role: m.Role, Record: c.self, ActiveConfig: c.activeConfig(), Distance: c.distance(),
		MinVersion: c.minVersionFor(l.node)}
	reply.Accepted = m.Role != RoleBootstrap && c.acceptsHello(l, m)
	if !reply.Accepted {
		reply.Parents = c.suggestParents(l.node)
	}
	c.emit(Send{l.id, reply})
	l.accepted = reply.Accepted
	l.lastHeartbeat = c.now
	if !reply.Accepted {
		return
	}
	delete(c.suspectedSince, l.node)
	c.raiseMinVersion(l.node, m.ActiveConfig.Version)
	c.handleActiveConfig(l, m.ActiveConfig)
	if m.Role == RoleChild || m.Role == RoleLeaderPeer {
		c.reconcileDigests(l, m.Digests)
	}
}

// closeOlderLinks closes inbound links that the node of l opened earlier and no longer tracks.
func (c *Core) closeOlderLinks(l *link) {
	for _, other := range c.sortedLinks() {
		if other != l && other.inbound && other.node == l.node && (other.role == RoleLeaderPeer) == (l.role == RoleLeaderPeer) {
			c.closeLink(other)
		}
	}
}

// minVersionFor returns the higher of this node's active version and the highest version seen on node n.
func (c *Core) minVersionFor(n fleet.NodeID) config.Version {
	return max(c.replica.Version(), c.highestVersion[n])
}

// acceptsHello limits the number of links, the tree depth and the rate of full syncs, and rejects cycles.
func (c *Core) acceptsHello(l *link, m Hello) bool {
	switch m.Role {
	case RoleLeaderPeer:
		return !c.duplicatePeer(l)
	case RoleBackup:
		return c.countInbound(RoleBackup) < c.inboundLimit()
	}
	if c.parent != nil && c.parent.node == l.node {
		return false
	}
	if c.distance() >= maxDistance || c.countInbound(RoleChild) > c.inboundLimit() {
		return false
	}
	if len(m.Record.Targets) == 0 && m.ActiveConfig.Version == 0 {
		return c.allowFullSync()
	}
	return true
}

func (c *Core) allowFullSync() bool {
	if c.now.Sub(c.fullSyncsSince) >= time.Second {
		c.fullSyncsSince = c.now
		c.fullSyncs = 0
	}
	c.fullSyncs++
	return c.fullSyncs <= fullSyncsPerSecond
}

func (c *Core) inboundLimit() int {
	return 32 + 2*len(c.topology().Relays)
}

func (c *Core) countInbound(role LinkRole) int {
	n := 0
	for _, l := range c.links {
		if l.inbound && l.accepted && l.role == role {
			n++
		}
	}
	return n
}

// suggestParents returns the known records of n's preferred parents, the best first; none for nodes of other data centres.
func (c *Core) suggestParents(n fleet.NodeID) []fleet.Record {
	var parents []fleet.Record
	ids := c.topology().Parents(n)
	if r, _ := c.fleet.Get(n); r.DataCentre != c.self.DataCentre {
		ids = nil
	}
	for _, id := range ids {
		if r, ok := c.fleet.Get(id); ok && id != n {
			parents = append(parents, r)
		}
	}
	return parents
}

// handleWelcome processes the response to a Hello sent by this node.
func (c *Core) handleWelcome(l *link, m Welcome) {
	if l.inbound {
		return
	}
	l.node = m.Record.Node
	l.distance = m.Distance
	c.mergeRecord(m.Record, l)
	for _, r := range m.Parents {
		c.mergeRecord(r, l)
	}
	if m.Record.DataCentre == c.self.DataCentre {
		c.setSuggestedParents(m.Parents)
	}
	if !m.Accepted {
		c.handleRejection(l)
		return
	}
	c.raiseMinVersion(l.node, m.MinVersion)
	if b := c.backoffs[l.node]; b != nil {
		b.reset()
	}
	l.accepted = true
	c.handleActiveConfig(l, m.ActiveConfig)
	switch {
	case l.role == RoleChild && c.parent != l:
		c.setParent(l)
	case c.parent == nil:
		c.selectParent(c.preferredParents())
	}
}

// raiseMinVersion records that neighbour n has sent its minimum version and, until this node is ready, raises its own to v.
func (c *Core) raiseMinVersion(n fleet.NodeID, v config.Version) {
	c.minVersionKnownFrom[n] = true
	if !c.wasReady {
		c.replica.RaiseMinVersion(v)
	}
}

func (c *Core) handleRejection(l *link) {
	if l.role == RoleBootstrap {
		c.bootstrap.reset()
		c.bootstrap.retryAt = c.now.Add(backoffCap)
		c.closeLink(l)
		return
	}
	c.abortLink(l)
}

// setSuggestedParents stores the parents suggested by a node that has more records of the data centre.
func (c *Core) setSuggestedParents(parents []fleet.Record) {
	if c.parent != nil || len(parents) == 0 {
		return
	}
	c.suggestedParents = c.suggestedParents[:0]
	for _, r := range parents {
		c.suggestedParents = append(c.suggestedParents, r.Node)
	}
	c.suggestedParents = slices.DeleteFunc(c.suggestedParents, func(n fleet.NodeID) bool { return n == c.self.Node })
}
