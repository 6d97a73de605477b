package control

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/rollout"
)

const snapshotRequestInterval = time.Second

// applyUpdate applies an update and propagates it on success; from is nil for updates from the store.
func (c *Core) applyUpdate(update rollout.Update, from *link) {
	err := c.replica.Apply(update)
	if err == nil {
		c.emit(Publish{ConfigChanged: true})
		c.propagateUpdate(from)
		return
	}
	switch {
	case errors.Is(err, rollout.ErrStale):
	case errors.Is(err, rollout.ErrSnapshotRequired), errors.Is(err, config.ErrDigestMismatch):
		c.requestSnapshot(from)
	case errors.Is(err, rollout.ErrLineageMismatch), errors.Is(err, config.ErrInvalid), errors.Is(err, rollout.ErrBelowMinVersion):
		c.log("configuration refused", err.Error())
	}
}

// requestSnapshot requests the full document after a delta could not be applied.
func (c *Core) requestSnapshot(from *link) {
	if from == nil {
		c.store.needSnapshot = true
		return
	}
	if c.now.Sub(from.snapshotRequestedAt) < snapshotRequestInterval {
		return
	}
	from.snapshotRequestedAt = c.now
	c.emit(Send{from.id, SnapshotRequest{}})
}

// propagateUpdate sends the active version to every synced neighbour that is behind, except from.
func (c *Core) propagateUpdate(from *link) {
	for _, l := range c.syncedLinks() {
		if l == from || l.activeConfig.Version >= c.replica.Version() {
			continue
		}
		c.sendUpdate(l, l.activeConfig)
		l.activeConfig = c.activeConfig()
	}
}

// sendAck sends the subtree's version summary to the parent if it changed.
func (c *Core) sendAck() {
	if c.parent == nil || !c.parent.accepted {
		return
	}
	summary := c.Summary()
	if summary.Equal(c.lastAck) {
		return
	}
	c.lastAck = summary
	c.emit(Send{c.parent.id, Ack{Summary: summary}})
}
