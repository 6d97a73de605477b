package rollout

import (
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
)

const maxKept = 64 // deltas kept for neighbours that are behind

// The reasons for keeping the version in force.
var (
	// ErrStale says that the offered version is not above the one in force.
	ErrStale = errors.New("offered version is not newer")
	// ErrBelowFloor says that the offered version is below one that ran before a restart.
	ErrBelowFloor = errors.New("offered version is below the floor")
	// ErrLineage says that the offered version belongs to another history.
	ErrLineage = errors.New("offered version belongs to another lineage")
	// ErrNeedSnapshot says that the deltas do not connect to the version in force.
	ErrNeedSnapshot = errors.New("deltas do not connect to the version in force")
)

// Offer is a configuration sent to a node: deltas, or a whole document when Document is not nil.
type Offer struct {
	Lineage  config.Lineage
	Version  config.Version
	Digest   config.Digest
	Document config.Document
	Deltas   []config.Delta
}

// Holder keeps the version in force on one node.
type Holder struct {
	lineage config.Lineage
	version config.Version
	digest  config.Digest
	doc     config.Document
	cfg     *config.Config
	kept    []config.Delta
	floor   config.Version
}

// New returns a holder without a version.
func New() *Holder { return &Holder{} }

// Version returns the version in force, zero for none.
func (h *Holder) Version() config.Version { return h.version }

// Lineage returns the lineage of the version in force.
func (h *Holder) Lineage() config.Lineage { return h.lineage }

// Config returns the compiled configuration in force, or nil.
func (h *Holder) Config() *config.Config { return h.cfg }

// Floor returns the least version that the node may put in force.
func (h *Holder) Floor() config.Version { return h.floor }

// RaiseFloor sets the least version the node may put in force, if it is higher than before.
func (h *Holder) RaiseFloor(v config.Version) { h.floor = max(h.floor, v) }

// Ready reports whether a version at or above the floor is in force.
func (h *Holder) Ready() bool { return h.version > 0 && h.version >= h.floor }

// Put verifies an offer as a whole and puts it in force, or returns why the version in force stays.
func (h *Holder) Put(o Offer) error {
	switch {
	case h.lineage != "" && o.Lineage != h.lineage:
		return errors.Wrapf(ErrLineage, "%s, held %s", o.Lineage, h.lineage)
	case o.Version <= h.version:
		return ErrStale
	case o.Version < h.floor:
		return errors.Wrapf(ErrBelowFloor, "version %d, floor %d", o.Version, h.floor)
	}
	doc, kept, err := h.stage(o)
	if err != nil {
		return err
	}
	cfg, err := config.Compile("accepted version", doc)
	if err != nil {
		return err
	}
	h.lineage, h.version, h.digest = o.Lineage, o.Version, o.Digest
	h.doc, h.cfg, h.kept = doc, cfg, kept
	h.floor = max(h.floor, o.Version)
	return nil
}

// stage builds the offered document beside the one in force.
func (h *Holder) stage(o Offer) (config.Document, []config.Delta, error) {
	if o.Document != nil {
		if got := o.Document.Digest(); got != o.Digest {
			return nil, nil, errors.Wrapf(config.ErrDigestMismatch, "version %d", o.Version)
		}
		return o.Document, nil, nil
	}
	doc, version, kept := h.doc, h.version, h.kept
	for _, d := range o.Deltas {
		if d.To <= version {
			continue
		}
		if d.From != version {
			return nil, nil, errors.Wrapf(ErrNeedSnapshot, "held %d, delta from %d", version, d.From)
		}
		var err error
		if doc, err = d.Apply(doc); err != nil {
			return nil, nil, err
		}
		version = d.To
		kept = append(kept[:len(kept):len(kept)], d)
	}
	if version != o.Version {
		return nil, nil, errors.Wrapf(ErrNeedSnapshot, "deltas end at %d, want %d", version, o.Version)
	}
	if doc.Digest() != o.Digest {
		return nil, nil, errors.Wrapf(config.ErrDigestMismatch, "version %d", o.Version)
	}
	if len(kept) > maxKept {
		kept = kept[len(kept)-maxKept:]
	}
	return doc, kept, nil
}

// Offer returns what a neighbour that holds version v of a lineage needs, or false if it needs nothing.
func (h *Holder) Offer(lineage config.Lineage, v config.Version) (Offer, bool) {
	if h.version == 0 || (lineage == h.lineage && v >= h.version) {
		return Offer{}, false
	}
	o := Offer{Lineage: h.lineage, Version: h.version, Digest: h.digest}
	if lineage == h.lineage && v > 0 {
		for i, d := range h.kept {
			if d.From == v {
				o.Deltas = h.kept[i:]
				return o, true
			}
		}
	}
	o.Document = h.doc
	return o, true
}
