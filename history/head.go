package history

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/store"
)

// HeadKey is the key whose value determines the accepted version; it is changed only by compare-and-swap.
const HeadKey store.Key = "cassialead/config/head"

const (
	snapshotPrefix         = "cassialead/config/snapshot/"
	maxRecentDeltas        = 64         // deltas retained in the head
	maxRecentDeltaBytes    = 384 * 1024 // estimated encoded size of the retained deltas; the head must stay below a megabyte
	maxDeltasSinceSnapshot = 32         // deltas that a reader has to apply to the newest snapshot
	maxChunkBytes          = 512 * 1024
)

// Snapshot describes a complete document, stored in chunks before the head refers to it.
type Snapshot struct {
	Version config.Version  `json:"version"`
	Name    config.ChangeID `json:"name"`
	Chunks  int             `json:"chunks"`
	Digest  config.Digest   `json:"digest"`
}

// Head is the value of HeadKey: the accepted version with the snapshots and deltas from which its document is rebuilt.
type Head struct {
	Lineage config.Lineage `json:"lineage"`
	Version config.Version `json:"version"`
	Digest  config.Digest  `json:"digest"`
	// BaseSnapshot is the newest snapshot and PreviousSnapshot the one before; RecentDeltas may be applied to either.
	BaseSnapshot     Snapshot       `json:"base"`
	PreviousSnapshot Snapshot       `json:"previous"`
	RecentDeltas     []config.Delta `json:"ring"`
}

// ErrUnreadable means that a head or snapshot can't be decoded.
var ErrUnreadable = errors.New("stored configuration is malformed")

// DecodeHead decodes a stored head; it returns ErrUnreadable for malformed or inconsistent content.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrUnreadable, errors.Wrap(err, "decode head"))
	}
	if h.Lineage == "" || h.Version == 0 {
		return Head{}, errors.Wrap(ErrUnreadable, "head has no lineage or version")
	}
	for i, d := range h.RecentDeltas {
		if d.To != d.From+1 || (i > 0 && d.From != h.RecentDeltas[i-1].To) {
			return Head{}, errors.Wrapf(ErrUnreadable, "head's deltas have a gap before version %d", d.To)
		}
	}
	return h, nil
}

// DeltasSince returns the deltas from a version to the head, or false if they are no longer retained.
func (h Head) DeltasSince(v config.Version) ([]config.Delta, bool) {
	if v == h.Version {
		return nil, true
	}
	i := slices.IndexFunc(h.RecentDeltas, func(d config.Delta) bool { return d.From == v })
	if i < 0 {
		return nil, false
	}
	return h.RecentDeltas[i:], true
}

// FindChange returns the delta of a change, or false if it is not among the retained deltas.
func (h Head) FindChange(id config.ChangeID) (config.Delta, bool) {
	i := slices.IndexFunc(h.RecentDeltas, func(d config.Delta) bool { return d.Change == id })
	if i < 0 {
		return config.Delta{}, false
	}
	return h.RecentDeltas[i], true
}

// next returns the head that results from adding a delta to h; it keeps the snapshots of h.
func (h Head) next(d config.Delta) Head {
	n := h
	n.Version = d.To
	n.Digest = d.Digest
	n.RecentDeltas = append(slices.Clone(h.RecentDeltas), d)
	if len(n.RecentDeltas) > maxRecentDeltas {
		n.RecentDeltas = n.RecentDeltas[len(n.RecentDeltas)-maxRecentDeltas:]
	}
	size := 0
	for i := len(n.RecentDeltas) - 1; i >= 0; i-- {
		size += estimateDeltaBytes(n.RecentDeltas[i])
		if size > maxRecentDeltaBytes {
			n.RecentDeltas = slices.Clone(n.RecentDeltas[i+1:])
			break
		}
	}
	return n
}

// needsSnapshot reports whether the newest snapshot can't be brought to the head with at most maxDeltasSinceSnapshot retained
// deltas.
func (h Head) needsSnapshot() bool {
	deltas, ok := h.DeltasSince(h.BaseSnapshot.Version)
	return !ok || h.BaseSnapshot.Version == 0 || len(deltas) > maxDeltasSinceSnapshot
}

func estimateDeltaBytes(d config.Delta) int {
	n := 200
	for name, body := range d.Set {
		n += len(name) + 8
		for k, v := range body {
			n += len(k) + len(v) + 8
		}
	}
	for _, name := range d.Removed {
		n += len(name) + 4
	}
	return n
}
