package control

import (
	"maps"
	"slices"

	"github.com/cassialead/cassialead/fleet"
)

// pendingRecord is a changed record queued for the next batch.
type pendingRecord struct {
	record fleet.Record
	from   LinkID // the link that it arrived on; zero for local changes
}

// mergeRecord merges a record and, if it is newer than the stored one, queues it for all links except from.
func (c *Core) mergeRecord(r fleet.Record, from *link) {
	if r.Node == c.self.Node {
		c.refute(r)
		return
	}
	if r.Node == "" || !c.fleet.Merge(r) {
		return
	}
	if r.State == fleet.Gone {
		c.goneSince[r.Node] = c.now
	}
	p := pendingRecord{record: r}
	if from != nil {
		p.from = from.id
	}
	c.pendingRecords = append(c.pendingRecords, p)
}

// refute raises the sequence, and if needed the incarnation, of the node's own record above those of a newer record about
// it, such as one that declares it gone.
func (c *Core) refute(r fleet.Record) {
	if !r.Supersedes(c.self) || c.self.State == fleet.Gone {
		return
	}
	if r.Incarnation > c.self.Incarnation {
		c.self.Incarnation = r.Incarnation + 1
	}
	c.self.Sequence = max(c.self.Sequence, r.Sequence)
	c.updateOwnRecord(func(*fleet.Record) {})
}

func (c *Core) updateOwnRecord(change func(*fleet.Record)) {
	change(&c.self)
	c.self.Sequence++
	c.fleet.Merge(c.self)
	c.pendingRecords = append(c.pendingRecords, pendingRecord{record: c.self})
}

// flushRecords sends the queued records, one batch per link.
func (c *Core) flushRecords() {
	if len(c.pendingRecords) == 0 {
		return
	}
	for _, l := range c.syncedLinks() {
		var batch []fleet.Record
		for _, p := range c.pendingRecords {
			if p.from != l.id && p.record.Node != l.node {
				batch = append(batch, p.record)
			}
		}
		if len(batch) > 0 {
			c.emit(Send{l.id, Records{Records: batch}})
		}
	}
	c.pendingRecords = nil
}

// handleRecords merges a batch; if it carries digests, it responds with the records in buckets that differ.
func (c *Core) handleRecords(l *link, m Records) {
	for _, r := range m.Records {
		c.mergeRecord(r, l)
	}
	if m.Digests == nil {
		return
	}
	if missing := c.fleet.Differing(*m.Digests); len(missing) > 0 {
		c.emit(Send{l.id, Records{Records: missing}})
	}
}

// reconcileDigests responds to differing digests with the records in their buckets and with this node's digests.
func (c *Core) reconcileDigests(l *link, d fleet.Digests) {
	own := c.fleet.Digests()
	if d == own {
		return
	}
	c.emit(Send{l.id, Records{Records: c.fleet.Differing(d), Digests: &own}})
}

// removeGone deletes the records of nodes that have been gone for longer than goneRetention.
func (c *Core) removeGone() {
	for _, n := range slices.Sorted(maps.Keys(c.goneSince)) {
		if r, ok := c.fleet.Get(n); ok && r.Live() {
			delete(c.goneSince, n)
			continue
		}
		if c.now.Sub(c.goneSince[n]) > goneRetention {
			c.fleet.Remove(n)
			delete(c.goneSince, n)
			delete(c.highestVersion, n)
			delete(c.backoffs, n)
		}
	}
}

func (c *Core) handleLeave() {
	if c.self.State == fleet.Serving {
		c.updateOwnRecord(func(r *fleet.Record) { r.State = fleet.Leaving; r.LeaderTerm = 0 })
		c.flushRecords()
		c.releaseLease()
		c.log("node leaving", "")
	}
}

func (c *Core) handleShutdown() {
	c.updateOwnRecord(func(r *fleet.Record) { r.State = fleet.Gone; r.LeaderTerm = 0 })
	c.flushRecords()
	c.releaseLease()
}
