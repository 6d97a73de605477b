package control

import (
	"maps"

	"github.com/cassialead/cassialead/fleet"
)

// maintainStoreRequests issues a root's store requests: lease, head watch and list of leaders.
func (c *Core) maintainStoreRequests() {
	if !c.isRoot() || c.self.State != fleet.Serving {
		c.releaseLease()
		c.stepDown()
		return
	}
	c.maintainLease()
	c.leadWithoutLease()
	if !c.store.watchInFlight && !c.now.Before(c.store.nextWatch) {
		c.store.watchInFlight = true
		since := c.activeConfig()
		if c.store.needSnapshot {
			since = ConfigRef{}
		}
		c.emit(WatchHead{Since: since})
	}
	if !c.now.Before(c.store.nextListLeaders) {
		interval := listLeadersInterval
		if c.leaderUnlinked() || c.now.Sub(c.startedAt) < listLeadersInterval {
			interval = listLeadersInterval / 15
		}
		c.store.nextListLeaders = c.now.Add(interval/2 + c.jitter(interval))
		c.emit(ListLeaders{})
	}
}

func (c *Core) maintainLease() {
	if c.store.leaseInFlight || c.now.Before(c.store.nextLeaseRequest) {
		return
	}
	c.store.leaseInFlight = true
	c.store.nextLeaseRequest = c.now.Add(leaseRenewInterval)
	if c.store.leaseHeld && c.now.Before(c.store.leaseExpiry) {
		c.emit(RenewLease{})
		return
	}
	c.store.leaseHeld = false
	c.emit(AcquireLease{Record: c.self, TTL: leaseTTL})
}

func (c *Core) handleLeaseResult(e LeaseResult) {
	requestedAt := c.store.nextLeaseRequest.Add(-leaseRenewInterval)
	c.store.leaseInFlight = false
	switch {
	case e.Held:
		if !c.isRoot() {
			c.emit(ReleaseLease{})
			return
		}
		c.store.leaseHeld = true
		c.store.leaseExpiry = requestedAt.Add(leaseTTL)
		if e.Term != 0 && e.Term != c.self.LeaderTerm {
			c.updateOwnRecord(func(r *fleet.Record) { r.LeaderTerm = e.Term })
			c.log("became leader", string(c.self.DataCentre))
		}
	case e.Unavailable:
	default:
		c.store.leaseHeld = false
		if e.Holder != nil && e.Holder.DataCentre == c.self.DataCentre {
			c.mergeRecord(*e.Holder, nil)
		}
	}
}

// leadWithoutLease makes a root the acting leader while the store grants no lease; a later lease has a higher term.
func (c *Core) leadWithoutLease() {
	if c.self.LeaderTerm != 0 || c.now.Before(c.discoveryDeadline) || c.topology().Rank(c.self.Node) != 0 {
		return
	}
	term := fleet.Term(1)
	for _, r := range c.fleet.All() {
		if r.DataCentre == c.self.DataCentre {
			term = max(term, r.LeaderTerm)
		}
	}
	c.updateOwnRecord(func(r *fleet.Record) { r.LeaderTerm = term })
	c.log("became acting leader without lease", string(c.self.DataCentre))
}

// stepDown gives up leadership once the node has a parent.
func (c *Core) stepDown() {
	if c.self.LeaderTerm == 0 || c.parent == nil {
		return
	}
	c.updateOwnRecord(func(r *fleet.Record) { r.LeaderTerm = 0 })
}

func (c *Core) releaseLease() {
	if c.store.leaseHeld {
		c.store.leaseHeld = false
		c.store.nextLeaseRequest = c.now.Add(leaseRenewInterval)
		c.emit(ReleaseLease{})
	}
}

func (c *Core) handleHeadResult(e HeadResult) {
	c.store.watchInFlight = false
	if e.Unavailable {
		c.store.watchBackoff.recordFailure(c.now, c.rng)
		c.store.nextWatch = c.store.watchBackoff.retryAt
		return
	}
	c.store.watchBackoff.reset()
	c.store.nextWatch = c.now
	c.store.needSnapshot = false
	c.setStoreBehind(e.Version < c.replica.Version())
	if e.Update != nil {
		c.applyUpdate(*e.Update, nil)
	}
	if c.store.needSnapshot || c.store.behind {
		c.store.nextWatch = c.now.Add(snapshotRequestInterval)
	}
	if c.isRoot() {
		c.maintainStoreRequests()
	}
}

// setStoreBehind logs when the stored version becomes older than the active one, for example after a restore from an old
// backup, and when it catches up.
func (c *Core) setStoreBehind(behind bool) {
	if behind == c.store.behind {
		return
	}
	c.store.behind = behind
	if behind {
		c.log("store behind active configuration", "stored version is older than the active one; keeping the active one")
	} else {
		c.log("store caught up with active configuration", formatVersion(c.replica.Version()))
	}
}

// handleLeadersResult stores the listed lease holders and merges those that have not yet sent their own record.
func (c *Core) handleLeadersResult(e LeadersResult) {
	c.store.listedLeaders = e.Leaders
	for _, r := range e.Leaders {
		r.LeaderTerm = 0
		if _, known := c.fleet.Get(r.Node); !known {
			c.mergeRecord(r, nil)
		}
	}
}

// leaders returns each data centre's leader according to the records, or to the store where it lists a later term.
func (c *Core) leaders() map[fleet.DataCentre]fleet.Record {
	leaders := maps.Clone(c.fleet.Leaders())
	for _, l := range c.store.listedLeaders {
		r, known := c.fleet.Get(l.Node)
		if known && r.Live() && l.LeaderTerm > leaders[l.DataCentre].LeaderTerm {
			leaders[l.DataCentre] = r
		}
	}
	return leaders
}

// leaderUnlinked reports whether any data centre's leader is unknown or any wanted peer is not connected; the leaders are
// then listed more often.
func (c *Core) leaderUnlinked() bool {
	leaders := c.leaders()
	for _, dc := range c.fleet.DataCentres() {
		if _, ok := leaders[dc]; !ok {
			return true
		}
	}
	for n := range c.wantedPeers() {
		if !c.hasLink(n) {
			return true
		}
	}
	return false
}

// maintainPeers connects a leading root to the leaders of other data centres; one pair of leaders connects two regions.
func (c *Core) maintainPeers() {
	wanted := map[fleet.NodeID]fleet.Record{}
	if c.isRoot() && c.self.LeaderTerm != 0 {
		wanted = c.wantedPeers()
	}
	for _, l := range c.sortedLinks() {
		if l.role != RoleLeaderPeer {
			continue
		}
		if _, ok := wanted[l.node]; ok {
			delete(wanted, l.node)
			continue
		}
		if !l.inbound || c.parent != nil {
			c.closeLink(l)
		}
	}
	for _, leader := range c.sortedByNode(wanted) {
		if !c.backingOff(leader.Node) {
			c.dial(leader.Node, leader.LinkAddress, RoleLeaderPeer)
		}
	}
}
