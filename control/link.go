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
	id      LinkID
	inbound bool
	address fleet.Address
	role    Role
	node    fleet.NodeID // empty until the other end has told its name
	opened  bool
	greeted bool // the Hello has been accepted
	started time.Time
	heard   time.Time
	beat    time.Time
	held    Held
	offered time.Time
	// resends counts the offers of offeredVersion that the other end has not taken.
	resends        int
	offeredVersion config.Version
	// distance is the other end's number of links to its root.
	distance int
	summary  rollout.Summary
	asked    time.Time // when the whole configuration was last requested
}

func versionText(v config.Version) string { return fmt.Sprintf("version %d", v) }

func (c *Core) sortedLinks() []*link {
	ls := slices.Collect(maps.Values(c.links))
	slices.SortFunc(ls, func(a, b *link) int { return cmp.Compare(a.id, b.id) })
	return ls
}

// synced returns the links over which configuration and records flow.
func (c *Core) synced() []*link {
	return slices.DeleteFunc(c.sortedLinks(), func(l *link) bool {
		return !l.greeted || l.role == RoleSpare || l.role == RoleEntry
	})
}

func (c *Core) dial(node fleet.NodeID, a fleet.Address, role Role) *link {
	c.nextLink++
	l := &link{id: c.nextLink, node: node, address: a, role: role, started: c.now, heard: c.now}
	c.links[l.id] = l
	c.do(Dial{Link: l.id, Address: a})
	return l
}

func (c *Core) drop(l *link) {
	if _, ok := c.links[l.id]; !ok {
		return
	}
	c.do(Close{Link: l.id})
	c.linkClosed(l.id)
}

func (c *Core) linkOpened(id LinkID) {
	l, ok := c.links[id]
	if !ok {
		c.links[id] = &link{id: id, inbound: true, opened: true, started: c.now, heard: c.now, role: RoleEntry}
		return
	}
	l.opened = true
	l.heard = c.now
	c.sendHello(l)
}

func (c *Core) sendHello(l *link) {
	c.do(Send{l.id, Hello{Role: l.role, Record: c.self, Held: c.held(), Digests: c.fleet.Digests()}})
	l.beat = c.now
}

func (c *Core) linkClosed(id LinkID) {
	l, ok := c.links[id]
	if !ok {
		return
	}
	delete(c.links, id)
	switch {
	case l.inbound:
		c.childLost(l)
	case l.role == RoleEntry:
		c.entry.fail(c.now, c.rng)
	default:
		c.failed(l.node)
		c.parentLost(l)
	}
}

func (c *Core) failed(n fleet.NodeID) {
	b := c.retry[n]
	if b == nil {
		b = &backoff{}
		c.retry[n] = b
	}
	b.fail(c.now, c.rng)
}

func (c *Core) avoided(n fleet.NodeID) bool {
	b := c.retry[n]
	return b != nil && !b.due(c.now)
}

// maintainLinks sends heartbeats and drops links that have gone silent.
func (c *Core) maintainLinks() {
	for _, l := range c.sortedLinks() {
		if c.now.Sub(l.heard) > silenceLimit {
			c.drop(l)
			continue
		}
		if l.greeted && c.now.Sub(l.beat) >= beatInterval {
			l.beat = c.now
			c.do(Send{l.id, Beat{Held: c.held(), Distance: c.distance()}})
		}
	}
}

func (c *Core) received(id LinkID, m Message) {
	l, ok := c.links[id]
	if !ok {
		return
	}
	l.heard = c.now
	if _, ok := m.(Hello); !ok && !l.greeted && l.inbound {
		c.drop(l)
		return
	}
	switch m := m.(type) {
	case Hello:
		c.hello(l, m)
	case Welcome:
		c.welcome(l, m)
	case Beat:
		l.distance = m.Distance
		c.heardHeld(l, m.Held)
	case Offer:
		c.offered(l, m)
	case Request:
		c.sendOffer(l, Held{})
	case Records:
		c.records(l, m)
	case Digests:
		c.compare(l, m.Digests)
	case Ack:
		l.summary = m.Summary
	case Suspect:
		c.suspect(m)
	}
}

// heardHeld notes which version a neighbour holds and helps it if it is behind.
func (c *Core) heardHeld(l *link, h Held) {
	l.held = h
	if h.Lineage == c.holder.Lineage() || c.holder.Lineage() == "" {
		c.seen[l.node] = max(c.seen[l.node], h.Version)
	}
	if l.role != RoleSpare && l.greeted && c.now.Sub(l.offered) >= l.resendAfter() {
		c.sendOffer(l, h)
	}
}

// resendAfter spaces the offers to a neighbour that does not take them, such as one of an older release.
func (l *link) resendAfter() time.Duration {
	return offerResend << min(l.resends/resendsPerDoubling, maxResendDoublings)
}

// sendOffer sends what a neighbour that holds h needs, if anything.
func (c *Core) sendOffer(l *link, h Held) {
	o, ok := c.holder.Offer(h.Lineage, h.Version)
	if !ok || (h.Lineage != "" && h.Lineage != o.Lineage) {
		return
	}
	l.resends++
	if l.offeredVersion != o.Version {
		l.offeredVersion, l.resends = o.Version, 0
	}
	l.offered = c.now
	c.do(Send{l.id, Offer(o)})
}

// offered takes configuration from a neighbour and passes it on when it came into force.
func (c *Core) offered(l *link, o Offer) {
	l.held = Held{Lineage: o.Lineage, Version: max(l.held.Version, o.Version)}
	c.put(rollout.Offer(o), l)
}

// antiEntropy compares records with the parent or a peer at a slow pace, so that a lost record heals.
func (c *Core) antiEntropy() {
	if c.now.Before(c.entropy) {
		return
	}
	c.entropy = c.now.Add(antiEntropyPeriod/2 + c.jitter(antiEntropyPeriod))
	for _, l := range c.synced() {
		if !l.inbound {
			c.do(Send{l.id, Digests{Digests: c.fleet.Digests()}})
		}
	}
	c.forget()
}
