package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/rollout"
)

const requestInterval = time.Second

// put takes an offer and passes it on when it came into force; from is nil for the store.
func (c *Core) put(o rollout.Offer, from *link) {
	err := c.holder.Put(o)
	if err == nil {
		c.do(Publish{Config: true})
		c.spread(from)
		return
	}
	switch {
	case errors.Is(err, rollout.ErrStale):
	case errors.Is(err, rollout.ErrNeedSnapshot), errors.Is(err, config.ErrDigestMismatch):
		c.requestWhole(from)
	case errors.Is(err, rollout.ErrLineage), errors.Is(err, config.ErrInvalid), errors.Is(err, rollout.ErrBelowFloor):
		c.report("configuration refused", err.Error())
	}
}

// requestWhole asks for the whole document where a delta could not be used.
func (c *Core) requestWhole(from *link) {
	if from == nil {
		c.store.whole = true
		return
	}
	if c.now.Sub(from.asked) < requestInterval {
		return
	}
	from.asked = c.now
	c.do(Send{from.id, Request{}})
}

// spread offers the version in force to every synced neighbour that is behind.
func (c *Core) spread(from *link) {
	for _, l := range c.synced() {
		if l == from || l.held.Version >= c.holder.Version() {
			continue
		}
		c.sendOffer(l, l.held)
		l.held = c.held()
	}
}

// sendAck tells the parent which versions are in force here and below.
func (c *Core) sendAck() {
	if c.parent == nil || !c.parent.greeted {
		return
	}
	s := c.Summary()
	if s.Equal(c.acked) {
		return
	}
	c.acked = s
	c.do(Send{c.parent.id, Ack{Summary: s}})
}
