package rollout

import (
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
)

const maxRecentDeltas = 64 // deltas retained for neighbours with an earlier version

// Reasons for rejecting an update.
var (
	// ErrStale means that the update's version is not higher than the one in force.
	ErrStale = errors.New("offered version is not newer than the version in force")
	// ErrBelowFloor means that the update's version is lower than one that was in force before a restart.
	ErrBelowFloor = errors.New("offered version is below the minimum version")
	// ErrLineage means that the update's version belongs to another lineage.
	ErrLineage = errors.New("offered version belongs to another lineage")
	// ErrNeedSnapshot means that the update's deltas do not start at the version in force or do not lead to the update's version.
	ErrNeedSnapshot = errors.New("deltas do not lead from the version in force to the offered version")
)

// Offer is a configuration update sent to a node: the complete document if Document is not nil, else deltas.
type Offer struct {
	Lineage  config.Lineage
	Version  config.Version
	Digest   config.Digest
	Document config.Document
	Deltas   []config.Delta
}

// Holder holds the configuration version in force on one node.
type Holder struct {
	lineage      config.Lineage
	version      config.Version
	digest       config.Digest
	doc          config.Document
	cfg          *config.Config
	recentDeltas []config.Delta
	minVersion   config.Version
}

// New returns a replica without a version.
func New() *Holder { return &Holder{} }

// Version returns the version in force, zero for none.
func (r *Holder) Version() config.Version { return r.version }

// Lineage returns the lineage of the version in force.
func (r *Holder) Lineage() config.Lineage { return r.lineage }

// Config returns the compiled configuration in force, or nil.
func (r *Holder) Config() *config.Config { return r.cfg }

// Floor returns the lowest version that the node may put in force.
func (r *Holder) Floor() config.Version { return r.minVersion }

// RaiseFloor sets the lowest version that the node may put in force, unless it is already higher.
func (r *Holder) RaiseFloor(v config.Version) { r.minVersion = max(r.minVersion, v) }

// Ready reports whether a version at or above the minimum version is in force.
func (r *Holder) Ready() bool { return r.version > 0 && r.version >= r.minVersion }

// Put validates an update and puts it in force; if it returns an error, the version in force is unchanged.
func (r *Holder) Put(u Offer) error {
	switch {
	case r.lineage != "" && u.Lineage != r.lineage:
		return errors.Wrapf(ErrLineage, "offered %s, in force %s", u.Lineage, r.lineage)
	case u.Version <= r.version:
		return ErrStale
	case u.Version < r.minVersion:
		return errors.Wrapf(ErrBelowFloor, "offered version %d, minimum %d", u.Version, r.minVersion)
	}
	doc, deltas, err := r.buildDocument(u)
	if err != nil {
		return err
	}
	cfg, err := config.Compile("accepted version", doc)
	if err != nil {
		return err
	}
	r.lineage, r.version, r.digest = u.Lineage, u.Version, u.Digest
	r.doc, r.cfg, r.recentDeltas = doc, cfg, deltas
	r.minVersion = max(r.minVersion, u.Version)
	return nil
}

// buildDocument returns the update's document and the deltas to retain, without changing the version in force.
func (r *Holder) buildDocument(u Offer) (config.Document, []config.Delta, error) {
	if u.Document != nil {
		if got := u.Document.Digest(); got != u.Digest {
			return nil, nil, errors.Wrapf(config.ErrDigestMismatch, "version %d", u.Version)
		}
		return u.Document, nil, nil
	}
	doc, version, deltas := r.doc, r.version, r.recentDeltas
	for _, d := range u.Deltas {
		if d.To <= version {
			continue
		}
		if d.From != version {
			return nil, nil, errors.Wrapf(ErrNeedSnapshot, "version %d in force, delta from version %d", version, d.From)
		}
		var err error
		if doc, err = d.Apply(doc); err != nil {
			return nil, nil, err
		}
		version = d.To
		deltas = append(deltas[:len(deltas):len(deltas)], d)
	}
	if version != u.Version {
		return nil, nil, errors.Wrapf(ErrNeedSnapshot, "deltas end at version %d, offered version %d", version, u.Version)
	}
	if doc.Digest() != u.Digest {
		return nil, nil, errors.Wrapf(config.ErrDigestMismatch, "version %d", u.Version)
	}
	if len(deltas) > maxRecentDeltas {
		deltas = deltas[len(deltas)-maxRecentDeltas:]
	}
	return doc, deltas, nil
}

// Offer returns the update for a neighbour with version v of a lineage, or false if the neighbour is up to date.
func (r *Holder) Offer(lineage config.Lineage, v config.Version) (Offer, bool) {
	if r.version == 0 || (lineage == r.lineage && v >= r.version) {
		return Offer{}, false
	}
	u := Offer{Lineage: r.lineage, Version: r.version, Digest: r.digest}
	if lineage == r.lineage && v > 0 {
		for i, d := range r.recentDeltas {
			if d.From == v {
				u.Deltas = r.recentDeltas[i:]
				return u, true
			}
		}
	}
	u.Document = r.doc
	return u, true
}
