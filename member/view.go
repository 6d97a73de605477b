package member

import (
	"slices"
	"strings"
	"time"

	"github.com/cassialead/cassialead/fleet"
)

// UnlistedGrace is how long a member that vanished from the store without a word is kept unless it answers itself;
// the platform puts lapsed entries back within two seconds of the store's return.
const UnlistedGrace = 2500 * time.Millisecond

// Member is a node as this one knows it.
type Member struct {
	Record
	// Unlisted says that the store no longer lists the node although it did not say that it leaves.
	Unlisted bool
	Since    time.Time // when the newest record came
	checked  time.Time // when an unlisted member was last known to live
	changed  uint64    // revision of the view in which it last changed
}

// View is the set of members known; it is not safe for concurrent use.
type View struct {
	members  map[fleet.NodeID]*Member
	gone     map[fleet.NodeID]departed // members that left, against late news of them
	revision uint64                    // counts the changes
}

type departed struct {
	Record
	changed uint64
	at      time.Time
}

const goneKept = 10 * time.Minute // far longer than news are on their way

// NewView returns an empty view.
func NewView() *View {
	return &View{members: map[fleet.NodeID]*Member{}, gone: map[fleet.NodeID]departed{}}
}

// Change says what happened to a member.
type Change struct {
	Record Record
	Kind   ChangeKind
}

// ChangeKind names a change of a member.
type ChangeKind string

// The changes of a member.
const (
	Seen     ChangeKind = "seen"
	Updated  ChangeKind = "updated"
	Unlisted ChangeKind = "unlisted"
	Regained ChangeKind = "regained"
	Lost     ChangeKind = "lost"
	Left     ChangeKind = "left"
)

// Merge takes a record; listed says that it comes from the store. It returns no change for what is known or older.
func (v *View) Merge(r Record, listed bool, now time.Time) []Change {
	if last, ok := v.gone[r.Node]; ok {
		if r.Compare(last.Record) <= 0 {
			return nil
		}
		delete(v.gone, r.Node)
	}
	m := v.members[r.Node]
	if m == nil {
		taken := v.takeOver(r, now)
		v.revision++
		v.members[r.Node] = &Member{Record: r, Unlisted: !listed, Since: now, checked: now, changed: v.revision}
		return append(taken, Change{r, Seen})
	}
	var changes []Change
	order := r.Compare(m.Record)
	if order > 0 {
		m.Record, m.Since, m.checked = r, now, now
		changes = append(changes, Change{r, Updated})
	}
	if listed && m.Unlisted && order >= 0 {
		m.Unlisted = false
		changes = append(changes, Change{m.Record, Regained})
	}
	if len(changes) > 0 {
		v.revision++
		m.changed = v.revision
	}
	return changes
}

// takeOver removes the members whose address a later node has.
func (v *View) takeOver(r Record, now time.Time) []Change {
	var changes []Change
	for _, m := range v.sorted() {
		if m.Address == r.Address && m.Incarnation < r.Incarnation {
			changes = append(changes, v.remove(m, Lost, now)...)
		}
	}
	return changes
}

// Replace takes the whole list of the store: members that it does not name are unlisted.
func (v *View) Replace(listed []Record, now time.Time) []Change {
	var changes []Change
	named := map[fleet.NodeID]bool{}
	for _, r := range listed {
		named[r.Node] = true
		changes = append(changes, v.Merge(r, true, now)...)
	}
	for _, m := range v.sorted() {
		if !named[m.Node] {
			changes = append(changes, v.Unlist(m.Node, now)...)
		}
	}
	return changes
}

// Unlist notes that the store no longer lists a node. One that said it leaves is removed; another may only have lost
// its entry, and is kept for UnlistedGrace unless it answers.
func (v *View) Unlist(n fleet.NodeID, now time.Time) []Change {
	m := v.members[n]
	switch {
	case m == nil || m.Unlisted:
		return nil
	case m.Leaving:
		return v.remove(m, Left, now)
	}
	v.revision++
	m.Unlisted, m.checked, m.changed = true, now, v.revision
	return []Change{{m.Record, Unlisted}}
}

// Confirm notes that a member of that incarnation has answered.
func (v *View) Confirm(n fleet.NodeID, i fleet.Incarnation, now time.Time) {
	if m := v.members[n]; m != nil && m.Incarnation == i {
		m.checked = now
	}
}

// Expire removes unlisted members that did not answer in time.
func (v *View) Expire(now time.Time) []Change {
	var changes []Change
	for _, m := range v.sorted() {
		if m.Unlisted && now.Sub(m.checked) >= UnlistedGrace {
			changes = append(changes, v.remove(m, Lost, now)...)
		}
	}
	for n, d := range v.gone {
		if now.Sub(d.at) > goneKept {
			delete(v.gone, n)
		}
	}
	return changes
}

// Remove takes word that a member has gone, unless it is known to have come back since.
func (v *View) Remove(r Record, now time.Time) []Change {
	m := v.members[r.Node]
	if m == nil || m.Record.Compare(r) > 0 {
		return nil
	}
	return v.remove(m, Left, now)
}

// Since returns the members that have changed after a revision, those that have gone, and the present revision.
func (v *View) Since(revision uint64) (changed []Member, gone []Record, now uint64) {
	for _, m := range v.sorted() {
		if m.changed > revision {
			changed = append(changed, *m)
		}
	}
	for _, d := range v.gone {
		if d.changed > revision {
			gone = append(gone, d.Record)
		}
	}
	return changed, gone, v.revision
}

func (v *View) remove(m *Member, kind ChangeKind, now time.Time) []Change {
	v.revision++
	delete(v.members, m.Node)
	v.gone[m.Node] = departed{m.Record, v.revision, now}
	return []Change{{m.Record, kind}}
}

// Members returns copies of all members, ordered by name.
func (v *View) Members() []Member {
	ms := make([]Member, 0, len(v.members))
	for _, m := range v.sorted() {
		ms = append(ms, *m)
	}
	return ms
}

// Len returns how many members are known.
func (v *View) Len() int { return len(v.members) }

// Get returns a member.
func (v *View) Get(n fleet.NodeID) (Member, bool) {
	if m := v.members[n]; m != nil {
		return *m, true
	}
	return Member{}, false
}

func (v *View) sorted() []*Member {
	ms := make([]*Member, 0, len(v.members))
	for _, m := range v.members {
		ms = append(ms, m)
	}
	slices.SortFunc(ms, func(a, b *Member) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return ms
}
