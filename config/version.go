package config

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Version numbers the accepted changes of a lineage, from 1 without gaps.
type Version uint64

// Lineage identifies one history of versions; a new one begins only by an operator's explicit command.
type Lineage string

// ChangeID identifies one submitted change; after a lost answer it is used to check whether the change was accepted.
type ChangeID string

// Digest is a document's SHA-256 in hexadecimal.
type Digest string

// Delta is the difference between the documents of versions From and To.
type Delta struct {
	From    Version                 `json:"from"`
	To      Version                 `json:"to"`
	Set     map[SectionName]Section `json:"set,omitempty"`
	Removed []SectionName           `json:"removed,omitempty"`
	Digest  Digest                  `json:"digest"`
	Change  ChangeID                `json:"change"`
	Author  string                  `json:"author,omitempty"`
	Message string                  `json:"message,omitempty"`
	// SubmittedUnixMilli is the time of submission in Unix milliseconds.
	SubmittedUnixMilli int64 `json:"at"`
}

// ErrDigestMismatch means that a document does not match its digest.
var ErrDigestMismatch = errors.New("configuration digest mismatch")

// ErrVersionMismatch means that a delta's From is not the version that the delta is applied to.
var ErrVersionMismatch = errors.New("configuration delta does not apply to the current version")

// Diff returns the sections that differ between two documents, as a delta without version numbers.
func Diff(from, to Document) Delta {
	d := Delta{Set: map[SectionName]Section{}, Digest: to.Digest()}
	for _, name := range to.SectionNames() {
		if body, ok := from[name]; !ok || !maps.Equal(body, to[name]) {
			d.Set[name] = to[name]
		}
	}
	for _, name := range from.SectionNames() {
		if _, ok := to[name]; !ok {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// Empty reports whether the delta contains no change.
func (d Delta) Empty() bool { return len(d.Set) == 0 && len(d.Removed) == 0 }

// Apply returns a copy of doc with the delta's changes; it returns ErrDigestMismatch if the result does not match the delta's digest.
func (d Delta) Apply(doc Document) (Document, error) {
	out := maps.Clone(doc)
	if out == nil {
		out = Document{}
	}
	for _, name := range d.Removed {
		delete(out, name)
	}
	for name, body := range d.Set {
		out[name] = body
	}
	if got := out.Digest(); got != d.Digest {
		return nil, errors.Wrapf(ErrDigestMismatch, "version %d: want SHA-256 %.12s, got %.12s", d.To, d.Digest, got)
	}
	return out, nil
}

// Conflict is a key, or a whole section if Key is empty, that two edits changed differently.
type Conflict struct {
	Section SectionName `json:"section"`
	Key     string      `json:"key"`
	Base    string      `json:"base"`
	Theirs  string      `json:"theirs"`
	Ours    string      `json:"ours"`
}

// Merge is a three-way merge that applies the changes from base to ours onto theirs; it returns keys that both sides changed
// differently as conflicts.
func Merge(base, theirs, ours Document) (Document, []Conflict) {
	out := Document{}
	var conflicts []Conflict
	for _, name := range unionKeys(base, theirs, ours) {
		body, sectionConflicts := mergeSection(name, base, theirs, ours)
		conflicts = append(conflicts, sectionConflicts...)
		if body != nil {
			out[name] = body
		}
	}
	return out, conflicts
}

func mergeSection(name SectionName, base, theirs, ours Document) (Section, []Conflict) {
	b, inBase := base[name]
	t, inTheirs := theirs[name]
	o, inOurs := ours[name]
	switch {
	case inTheirs == inOurs && maps.Equal(t, o):
		return t, nil
	case inBase == inOurs && maps.Equal(b, o):
		return t, nil
	case inBase == inTheirs && maps.Equal(b, t):
		return o, nil
	case !inTheirs || !inOurs:
		return nil, []Conflict{{Section: name, Base: sectionChange(inBase), Theirs: sectionChange(inTheirs), Ours: sectionChange(inOurs)}}
	}
	return mergeKeys(name, b, t, o)
}

func mergeKeys(name SectionName, b, t, o Section) (Section, []Conflict) {
	out := Section{}
	var conflicts []Conflict
	for _, key := range unionKeys(b, t, o) {
		bv, inBase := b[key]
		tv, inTheirs := t[key]
		ov, inOurs := o[key]
		value, keep := ov, inOurs
		switch {
		case inTheirs == inOurs && tv == ov:
		case inBase == inOurs && bv == ov:
			value, keep = tv, inTheirs
		case inBase == inTheirs && bv == tv:
		default:
			conflicts = append(conflicts, Conflict{Section: name, Key: key, Base: bv, Theirs: tv, Ours: ov})
		}
		if keep {
			out[key] = value
		}
	}
	return out, conflicts
}

func sectionChange(ok bool) string {
	if ok {
		return "changed"
	}
	return "removed"
}

func unionKeys[K ~string, V any, M ~map[K]V](ms ...M) []K {
	all := map[K]bool{}
	for _, m := range ms {
		for k := range m {
			all[k] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func sortedKeys(s Section) []string { return slices.Sorted(maps.Keys(s)) }
