package control

import (
	"maps"

	"github.com/cassialead/cassialead/fleet"
)

// maintainStore does a root's dealings with the store: the lease, the watch on the head and the list of leads.
func (c *Core) maintainStore() {
	if !c.isRoot() || c.self.State != fleet.Serving {
		c.releaseLease()
		c.stepDown()
		return
	}
	c.maintainLease()
	c.actWithoutLease()
	if !c.store.watching && !c.now.Before(c.store.watchNext) {
		c.store.watching = true
		held := c.held()
		if c.store.whole {
			held = Held{}
		}
		c.do(WatchHead{Held: held})
	}
	if !c.now.Before(c.store.leadsNext) {
		period := listLeadsPeriod
		if c.unlinked() || c.now.Sub(c.started) < listLeadsPeriod {
			period = listLeadsPeriod / 15
		}
		c.store.leadsNext = c.now.Add(period/2 + c.jitter(period))
		c.do(ListLeads{})
	}
}

func (c *Core) maintainLease() {
	if c.store.leaseAsked || c.now.Before(c.store.leaseNext) {
		return
	}
	c.store.leaseAsked = true
	c.store.leaseNext = c.now.Add(leaseRenewal)
	if c.store.leaseHeld && c.now.Before(c.store.leaseUntil) {
		c.do(RenewLease{})
		return
	}
	c.store.leaseHeld = false
	c.do(AcquireLease{Record: c.self, TTL: leaseTTL})
}

func (c *Core) leaseResult(e LeaseResult) {
	asked := c.store.leaseNext.Add(-leaseRenewal)
	c.store.leaseAsked = false
	switch {
	case e.Held:
		if !c.isRoot() {
			c.do(ReleaseLease{})
			return
		}
		c.store.leaseHeld = true
		c.store.leaseUntil = asked.Add(leaseTTL)
		if e.Term != 0 && e.Term != c.self.Lead {
			c.updateSelf(func(r *fleet.Record) { r.Lead = e.Term })
			c.report("lead", string(c.self.DataCentre))
		}
	case e.Unavailable:
	default:
		c.store.leaseHeld = false
		if e.Holder != nil && e.Holder.DataCentre == c.self.DataCentre {
			c.merge(*e.Holder, nil)
		}
	}
}

// actWithoutLease lets a root lead while the store grants no lease; a later lease has a higher term.
func (c *Core) actWithoutLease() {
	if c.self.Lead != 0 || c.now.Before(c.aloneAt) || c.order().Rank(c.self.Node) != 0 {
		return
	}
	term := fleet.Term(1)
	for _, r := range c.fleet.All() {
		if r.DataCentre == c.self.DataCentre {
			term = max(term, r.Lead)
		}
	}
	c.updateSelf(func(r *fleet.Record) { r.Lead = term })
	c.report("acting lead", string(c.self.DataCentre))
}

// stepDown gives up the lead once another node of the data centre stands above this one.
func (c *Core) stepDown() {
	if c.self.Lead == 0 || c.parent == nil {
		return
	}
	c.updateSelf(func(r *fleet.Record) { r.Lead = 0 })
}

func (c *Core) releaseLease() {
	if c.store.leaseHeld {
		c.store.leaseHeld = false
		c.store.leaseNext = c.now.Add(leaseRenewal)
		c.do(ReleaseLease{})
	}
}

func (c *Core) headSeen(e HeadSeen) {
	c.store.watching = false
	if e.Unavailable {
		c.store.watchTries.fail(c.now, c.rng)
		c.store.watchNext = c.store.watchTries.next
		return
	}
	c.store.watchTries.reset()
	c.store.watchNext = c.now
	c.store.whole = false
	c.noteBehind(e.Version < c.holder.Version())
	if e.Offer != nil {
		c.put(*e.Offer, nil)
	}
	if c.store.whole || c.store.behind {
		c.store.watchNext = c.now.Add(requestInterval)
	}
	if c.isRoot() {
		c.maintainStore()
	}
}

// noteBehind reports a store that holds less than what is in force, as one put back from an old copy does.
func (c *Core) noteBehind(behind bool) {
	if behind == c.store.behind {
		return
	}
	c.store.behind = behind
	if behind {
		c.report("store behind", "the store holds an older version than the one in force; the newer one stays")
	} else {
		c.report("store caught up", versionText(c.holder.Version()))
	}
}

// leadsSeen notes the leads that the store lists; the records of their owners may not have come yet.
func (c *Core) leadsSeen(e LeadsSeen) {
	c.store.listed = e.Leads
	for _, r := range e.Leads {
		r.Lead = 0
		if _, known := c.fleet.Get(r.Node); !known {
			c.merge(r, nil)
		}
	}
}

// leads returns the lead of each data centre by the records and, where it lists a later term, by the store.
func (c *Core) leads() map[fleet.DataCentre]fleet.Record {
	leads := maps.Clone(c.fleet.Leads())
	for _, l := range c.store.listed {
		r, known := c.fleet.Get(l.Node)
		if known && r.Live() && l.Lead > leads[l.DataCentre].Lead {
			leads[l.DataCentre] = r
		}
	}
	return leads
}

// unlinked reports whether a data centre's lead is unknown or not linked, so that the store is worth asking again.
func (c *Core) unlinked() bool {
	leads := c.leads()
	for _, r := range c.fleet.Centres() {
		if _, ok := leads[r]; !ok {
			return true
		}
	}
	for n := range c.wantedPeers() {
		if !c.linked(n) {
			return true
		}
	}
	return false
}

// maintainPeers keeps a root linked with the leads of the other data centres; one pair crosses between two regions.
func (c *Core) maintainPeers() {
	wanted := map[fleet.NodeID]fleet.Record{}
	if c.isRoot() && c.self.Lead != 0 {
		wanted = c.wantedPeers()
	}
	for _, l := range c.sortedLinks() {
		if l.role != RolePeer {
			continue
		}
		if _, ok := wanted[l.node]; ok {
			delete(wanted, l.node)
			continue
		}
		if !l.inbound || c.parent != nil {
			c.retire(l)
		}
	}
	for _, dc := range c.sortedCentres(wanted) {
		if !c.avoided(dc.Node) {
			c.dial(dc.Node, dc.Link, RolePeer)
		}
	}
}
