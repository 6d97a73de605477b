package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// link is the state of one connection to another node.
type link struct {
	id             LinkID
	inbound        bool
	address        fleet.Address
	role           LinkRole
	node           fleet.NodeID // empty until the handshake, for bootstrap and inbound links
	opened         bool
	accepted       bool // whether the Hello was accepted
	createdAt      time.Time
	lastReceived   time.Time
	lastHeartbeat  time.Time
	activeConfig   ConfigRef
	lastUpdateSent time.Time
	// resends counts repeated updates to sentVersion that the neighbour has not applied.
	resends     int
	sentVersion config.Version
	// distance is the number of links between the neighbour and the root of its tree.
	distance            int
	summary             rollout.Summary
	snapshotRequestedAt time.Time // when a full document was last requested
}

func formatVersion(v config.Version) string { return fmt.Sprintf("version %d", v) }

func (c *Core) sortedLinks() []*link {
	ls := slices.Collect(maps.Values(c.links))
	slices.SortFunc(ls, func(a, b *link) int { return cmp.Compare(a.id, b.id) })
	return ls
}

// syncedLinks returns the accepted child, parent and peer links, which exchange records and configuration.
func (c *Core) syncedLinks() []*link {
	return slices.DeleteFunc(c.sortedLinks(), func(l *link) bool {
		return !l.accepted || l.role == RoleBackup || l.role == RoleBootstrap
	})
}

func (c *Core) dial(node fleet.NodeID, a fleet.Address, role LinkRole) *link {
	c.lastLink++
	l := &link{id: c.lastLink, node: node, address: a, role: role, createdAt: c.now, lastReceived: c.now}
	c.links[l.id] = l
	c.emit(Dial{Link: l.id, Address: a})
	return l
}

func (c *Core) abortLink(l *link) {
	if _, ok := c.links[l.id]; !ok {
		return
	}
	c.emit(Close{Link: l.id})
	c.handleLinkClosed(l.id)
}

func (c *Core) handleLinkOpened(id LinkID) {
	l, ok := c.links[id]
	if !ok {
		c.links[id] = &link{id: id, inbound: true, opened: true, createdAt: c.now, lastReceived: c.now, role: RoleBootstrap}
		return
	}
	l.opened = true
	l.lastReceived = c.now
	c.sendHello(l)
}

func (c *Core) sendHello(l *link) {
	c.emit(Send{l.id, Hello{Role: l.role, Record: c.self, ActiveConfig: c.activeConfig(), Digests: c.fleet.Digests()}})
	l.lastHeartbeat = c.now
}

func (c *Core) handleLinkClosed(id LinkID) {
	l, ok := c.links[id]
	if !ok {
		return
	}
	delete(c.links, id)
	switch {
	case l.inbound:
		c.suspectClosedLink(l)
	case l.role == RoleBootstrap:
		c.bootstrap.recordFailure(c.now, c.rng)
	default:
		c.recordFailure(l.node)
		c.parentLost(l)
	}
}

func (c *Core) recordFailure(n fleet.NodeID) {
	b := c.backoffs[n]
	if b == nil {
		b = &backoff{}
		c.backoffs[n] = b
	}
	b.recordFailure(c.now, c.rng)
}

func (c *Core) backingOff(n fleet.NodeID) bool {
	b := c.backoffs[n]
	return b != nil && !b.due(c.now)
}

// maintainLinks sends heartbeats and closes links on which nothing was received for heartbeatTimeout.
func (c *Core) maintainLinks() {
	for _, l := range c.sortedLinks() {
		if c.now.Sub(l.lastReceived) > heartbeatTimeout {
			c.abortLink(l)
			continue
		}
		if l.accepted && c.now.Sub(l.lastHeartbeat) >= heartbeatInterval {
			l.lastHeartbeat = c.now
			c.emit(Send{l.id, Heartbeat{ActiveConfig: c.activeConfig(), Distance: c.distance()}})
		}
	}
}

func (c *Core) handleMessage(id LinkID, m Message) {
	l, ok := c.links[id]
	if !ok {
		return
	}
	l.lastReceived = c.now
	if _, ok := m.(Hello); !ok && !l.accepted && l.inbound {
		c.abortLink(l)
		return
	}
	switch m := m.(type) {
	case Hello:
		c.handleHello(l, m)
	case Welcome:
		c.handleWelcome(l, m)
	case Heartbeat:
		l.distance = m.Distance
		c.handleActiveConfig(l, m.ActiveConfig)
	case ConfigUpdate:
		c.handleUpdate(l, m)
	case SnapshotRequest:
		c.sendUpdate(l, ConfigRef{})
	case Records:
		c.handleRecords(l, m)
	case Digests:
		c.reconcileDigests(l, m.Digests)
	case Ack:
		l.summary = m.Summary
	case Suspect:
		c.handleSuspect(m)
	}
}

// handleActiveConfig records a neighbour's active configuration and sends an update if it is behind.
func (c *Core) handleActiveConfig(l *link, h ConfigRef) {
	l.activeConfig = h
	if h.Lineage == c.replica.Lineage() || c.replica.Lineage() == "" {
		c.highestVersion[l.node] = max(c.highestVersion[l.node], h.Version)
	}
	if l.role != RoleBackup && l.accepted && c.now.Sub(l.lastUpdateSent) >= l.resendInterval() {
		c.sendUpdate(l, h)
	}
}

// resendInterval returns the interval between updates to a neighbour; it doubles while the neighbour does not apply them,
// for example because it runs an older release.
func (l *link) resendInterval() time.Duration {
	return updateResendInterval << min(l.resends/resendsPerDoubling, maxResendDoublings)
}

// sendUpdate sends the update from configuration h to the active one, if there is one.
func (c *Core) sendUpdate(l *link, h ConfigRef) {
	update, ok := c.replica.UpdateFor(h.Lineage, h.Version)
	if !ok || (h.Lineage != "" && h.Lineage != update.Lineage) {
		return
	}
	l.resends++
	if l.sentVersion != update.Version {
		l.sentVersion, l.resends = update.Version, 0
	}
	l.lastUpdateSent = c.now
	c.emit(Send{l.id, ConfigUpdate(update)})
}

// handleUpdate applies an update from a neighbour.
func (c *Core) handleUpdate(l *link, update ConfigUpdate) {
	l.activeConfig = ConfigRef{Lineage: update.Lineage, Version: max(l.activeConfig.Version, update.Version)}
	c.applyUpdate(rollout.Update(update), l)
}

// antiEntropy periodically sends record digests to the parent and to the peers that this node dialled, to
// repair lost record updates.
func (c *Core) antiEntropy() {
	if c.now.Before(c.nextAntiEntropy) {
		return
	}
	c.nextAntiEntropy = c.now.Add(antiEntropyInterval/2 + c.jitter(antiEntropyInterval))
	for _, l := range c.syncedLinks() {
		if !l.inbound {
			c.emit(Send{l.id, Digests{Digests: c.fleet.Digests()}})
		}
	}
	c.removeGone()
}
