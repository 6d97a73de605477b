package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cassialead/cassialead/fleet"
)

// UnlistedGrace is how long a member that disappeared from the store unannounced is kept unless it responds to pings;
// the platform restores expired entries within two seconds after the store has recovered.
const UnlistedGrace = 2500 * time.Millisecond

// Member is a node in the view.
type Member struct {
	Record
	// Unlisted means that the store no longer lists the node although it did not announce its shutdown.
	Unlisted        bool
	ReceivedAt      time.Time // when the newest record was received
	confirmedAt     time.Time // last evidence that the node is alive; used while it is unlisted
	changedRevision uint64    // revision of the view at the member's last change
}

// View is the set of known members; it is not safe for concurrent use.
type View struct {
	members    map[fleet.NodeID]*Member
	tombstones map[fleet.NodeID]tombstone // removed members; reject outdated records of them
	revision   uint64                     // incremented with each change
}

type tombstone struct {
	Record
	changedRevision uint64
	removedAt       time.Time
}

const tombstoneTTL = 10 * time.Minute // far longer than an update takes to reach all nodes

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[fleet.NodeID]*Member{}, tombstones: map[fleet.NodeID]tombstone{}}
}

// Change is a change of one member.
type Change struct {
	Record Record
	Kind   ChangeKind
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	Joined   ChangeKind = "seen"
	Updated  ChangeKind = "updated"
	Unlisted ChangeKind = "unlisted"
	Relisted ChangeKind = "regained"
	Lost     ChangeKind = "lost"
	Left     ChangeKind = "left"
)

// Merge applies a record, where listed means that it comes from the store, and returns the changes; a known or older record
// causes none.
func (v *View) Merge(r Record, listed bool, now time.Time) []Change {
	if t, ok := v.tombstones[r.Node]; ok {
		if r.Compare(t.Record) <= 0 {
			return nil
		}
		delete(v.tombstones, r.Node)
	}
	m := v.members[r.Node]
	if m == nil {
		changes := v.removeByAddress(r, now)
		v.revision++
		v.members[r.Node] = &Member{Record: r, Unlisted: !listed, ReceivedAt: now, confirmedAt: now, changedRevision: v.revision}
		return append(changes, Change{r, Joined})
	}
	var changes []Change
	cmp := r.Compare(m.Record)
	if cmp > 0 {
		m.Record, m.ReceivedAt, m.confirmedAt = r, now, now
		changes = append(changes, Change{r, Updated})
	}
	if listed && m.Unlisted && cmp >= 0 {
		m.Unlisted = false
		changes = append(changes, Change{m.Record, Relisted})
	}
	if len(changes) > 0 {
		v.revision++
		m.changedRevision = v.revision
	}
	return changes
}

// removeByAddress removes members at the record's address that have an earlier incarnation.
func (v *View) removeByAddress(r Record, now time.Time) []Change {
	var changes []Change
	for _, m := range v.sorted() {
		if m.Address == r.Address && m.Incarnation < r.Incarnation {
			changes = append(changes, v.remove(m, Lost, now)...)
		}
	}
	return changes
}

// Replace applies the complete list of records in the store; members missing from it become unlisted.
func (v *View) Replace(listed []Record, now time.Time) []Change {
	var changes []Change
	inStore := map[fleet.NodeID]bool{}
	for _, r := range listed {
		inStore[r.Node] = true
		changes = append(changes, v.Merge(r, true, now)...)
	}
	for _, m := range v.sorted() {
		if !inStore[m.Node] {
			changes = append(changes, v.Unlist(m.Node, now)...)
		}
	}
	return changes
}

// Unlist marks a node as missing from the store. A node that announced its shutdown is removed; any other may only have
// lost its entry and is removed by Expire unless it responds within UnlistedGrace.
func (v *View) Unlist(n fleet.NodeID, now time.Time) []Change {
	m := v.members[n]
	switch {
	case m == nil || m.Unlisted:
		return nil
	case m.Leaving:
		return v.remove(m, Left, now)
	}
	v.revision++
	m.Unlisted, m.confirmedAt, m.changedRevision = true, now, v.revision
	return []Change{{m.Record, Unlisted}}
}

// MarkAlive records that a member has responded under an incarnation.
func (v *View) MarkAlive(n fleet.NodeID, i fleet.Incarnation, now time.Time) {
	if m := v.members[n]; m != nil && m.Incarnation == i {
		m.confirmedAt = now
	}
}

// Expire removes unlisted members that did not respond within UnlistedGrace, and outdated tombstones.
func (v *View) Expire(now time.Time) []Change {
	var changes []Change
	for _, m := range v.sorted() {
		if m.Unlisted && now.Sub(m.confirmedAt) >= UnlistedGrace {
			changes = append(changes, v.remove(m, Lost, now)...)
		}
	}
	for n, t := range v.tombstones {
		if now.Sub(t.removedAt) > tombstoneTTL {
			delete(v.tombstones, n)
		}
	}
	return changes
}

// Remove removes a member that another node reports as removed, unless the view holds a newer record of it.
func (v *View) Remove(r Record, now time.Time) []Change {
	m := v.members[r.Node]
	if m == nil || m.Record.Compare(r) > 0 {
		return nil
	}
	return v.remove(m, Left, now)
}

// ChangedSince returns the members changed and removed after a revision, and the current revision.
func (v *View) ChangedSince(revision uint64) (changed []Member, removed []Record, current uint64) {
	for _, m := range v.sorted() {
		if m.changedRevision > revision {
			changed = append(changed, *m)
		}
	}
	for _, t := range v.tombstones {
		if t.changedRevision > revision {
			removed = append(removed, t.Record)
		}
	}
	return changed, removed, v.revision
}

func (v *View) remove(m *Member, kind ChangeKind, now time.Time) []Change {
	v.revision++
	delete(v.members, m.Node)
	v.tombstones[m.Node] = tombstone{m.Record, v.revision, now}
	return []Change{{m.Record, kind}}
}

// Members returns copies of all members, sorted by name.
func (v *View) Members() []Member {
	ms := make([]Member, 0, len(v.members))
	for _, m := range v.sorted() {
		ms = append(ms, *m)
	}
	return ms
}

// Len returns the number of members.
func (v *View) Len() int { return len(v.members) }

// Get returns a member by name.
func (v *View) Get(n fleet.NodeID) (Member, bool) {
	if m := v.members[n]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Last returns the newest record known of a node, also of one that has been removed.
func (v *View) Last(n fleet.NodeID) (Record, bool) {
	if m := v.members[n]; m != nil {
		return m.Record, true
	}
	t, ok := v.tombstones[n]
	return t.Record, ok
}

func (v *View) sorted() []*Member {
	ms := make([]*Member, 0, len(v.members))
	for _, m := range v.members {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Member) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return ms
}
