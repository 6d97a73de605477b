package config

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Version counts accepted changes of a lineage, from 1 without gaps.
type Version uint64

// Lineage identifies one history of versions; it changes only by an operator's explicit word.
type Lineage string

// ChangeID identifies one submitted change, so that a lost answer can be resolved.
type ChangeID string

// Digest is a document's SHA-256 in hexadecimal.
type Digest string

// Delta turns the document of version From into that of version To.
type Delta struct {
	From    Version                 `json:"from"`
	To      Version                 `json:"to"`
	Set     map[SectionName]Section `json:"set,omitempty"`
	Removed []SectionName           `json:"removed,omitempty"`
	Digest  Digest                  `json:"digest"`
	Change  ChangeID                `json:"change"`
	Author  string                  `json:"author,omitempty"`
	Message string                  `json:"message,omitempty"`
	// At is the time of submission in Unix milliseconds.
	At int64 `json:"at"`
}

// ErrDigest marks content that does not match its digest.
var ErrDigest = errors.New("configuration digest mismatch")

// ErrGap marks a delta that does not start at the version it is applied to.
var ErrGap = errors.New("configuration delta starts at another version")

// Diff returns the sections that differ, as a delta without versions.
func Diff(from, to Document) Delta {
	d := Delta{Set: map[SectionName]Section{}, Digest: to.Digest()}
	for _, name := range to.Names() {
		if body, ok := from[name]; !ok || !maps.Equal(body, to[name]) {
			d.Set[name] = to[name]
		}
	}
	for _, name := range from.Names() {
		if _, ok := to[name]; !ok {
			d.Removed = append(d.Removed, name)
		}
	}
	return d
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool { return len(d.Set) == 0 && len(d.Removed) == 0 }

// Patch returns doc changed by the delta; it returns ErrDigest when the result differs from what was sent.
func (d Delta) Patch(doc Document) (Document, error) {
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
		return nil, errors.Wrapf(ErrDigest, "version %d: want %.12s, got %.12s", d.To, d.Digest, got)
	}
	return out, nil
}

// Conflict is one key that two edits changed differently.
type Conflict struct {
	Section SectionName `json:"section"`
	Key     string      `json:"key"`
	Base    string      `json:"base"`
	Theirs  string      `json:"theirs"`
	Ours    string      `json:"ours"`
}

// Merge applies the edit base→ours onto theirs; keys that both changed differently are returned as conflicts.
func Merge(base, theirs, ours Document) (Document, []Conflict) {
	out := Document{}
	var conflicts []Conflict
	for _, name := range unionKeys(base, theirs, ours) {
		body, clash := mergeSection(name, base, theirs, ours)
		conflicts = append(conflicts, clash...)
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
		return nil, []Conflict{{Section: name, Base: presence(inBase), Theirs: presence(inTheirs), Ours: presence(inOurs)}}
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

func presence(ok bool) string {
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
