package history

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/store"
)

// HeadKey is the one key that decides which version is accepted.
const HeadKey store.Key = "cassialead/config/head"

const (
	snapshotPrefix = "cassialead/config/snapshot/"
	maxRing        = 64         // deltas kept in the head
	maxRingBytes   = 384 * 1024 // encoded size of the ring; the head must stay under a megabyte
	maxSinceBase   = 32         // deltas that a reader patches onto the newest snapshot
	maxChunkBytes  = 512 * 1024
)

// Snapshot names a whole document written in chunks before the head points at it.
type Snapshot struct {
	Version config.Version  `json:"version"`
	Name    config.ChangeID `json:"name"`
	Chunks  int             `json:"chunks"`
	Digest  config.Digest   `json:"digest"`
}

// Head is the value under HeadKey: the accepted version and how to reach it.
type Head struct {
	Lineage config.Lineage `json:"lineage"`
	Version config.Version `json:"version"`
	Digest  config.Digest  `json:"digest"`
	// Base is the newest snapshot and Previous the one before; either may be patched by the ring.
	Base     Snapshot       `json:"base"`
	Previous Snapshot       `json:"previous"`
	Ring     []config.Delta `json:"ring"`
}

// ErrUnreadable marks a head or snapshot that can't be decoded.
var ErrUnreadable = errors.New("stored configuration is unreadable")

// DecodeHead reads a stored head; it returns ErrUnreadable for malformed or inconsistent content.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, fmt.Errorf("%w: %w", ErrUnreadable, errors.Wrap(err, "head"))
	}
	if h.Lineage == "" || h.Version == 0 {
		return Head{}, errors.Wrap(ErrUnreadable, "head has no lineage or version")
	}
	for i, d := range h.Ring {
		if d.To != d.From+1 || (i > 0 && d.From != h.Ring[i-1].To) {
			return Head{}, errors.Wrapf(ErrUnreadable, "head's ring has a gap at version %d", d.To)
		}
	}
	return h, nil
}

// Since returns the deltas that lead from a version to the head, and whether the ring still reaches back to it.
func (h Head) Since(v config.Version) ([]config.Delta, bool) {
	if v == h.Version {
		return nil, true
	}
	i := slices.IndexFunc(h.Ring, func(d config.Delta) bool { return d.From == v })
	if i < 0 {
		return nil, false
	}
	return h.Ring[i:], true
}

// Find returns the delta of a change, if the ring holds it.
func (h Head) Find(id config.ChangeID) (config.Delta, bool) {
	i := slices.IndexFunc(h.Ring, func(d config.Delta) bool { return d.Change == id })
	if i < 0 {
		return config.Delta{}, false
	}
	return h.Ring[i], true
}

// next returns the head that follows h by one delta, without choosing a new base.
func (h Head) next(d config.Delta) Head {
	n := h
	n.Version = d.To
	n.Digest = d.Digest
	n.Ring = append(slices.Clone(h.Ring), d)
	if len(n.Ring) > maxRing {
		n.Ring = n.Ring[len(n.Ring)-maxRing:]
	}
	size := 0
	for i := len(n.Ring) - 1; i >= 0; i-- {
		size += deltaBytes(n.Ring[i])
		if size > maxRingBytes {
			n.Ring = slices.Clone(n.Ring[i+1:])
			break
		}
	}
	return n
}

// needsBase reports whether the ring no longer reaches the newest snapshot at a bounded distance.
func (h Head) needsBase() bool {
	deltas, ok := h.Since(h.Base.Version)
	return !ok || h.Base.Version == 0 || len(deltas) > maxSinceBase
}

func deltaBytes(d config.Delta) int {
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
