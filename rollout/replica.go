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
	// ErrBelowMinVersion means that the update's version is lower than one that was in force before a restart.
	ErrBelowMinVersion = errors.New("offered version is below the minimum version")
	// ErrLineageMismatch means that the update's version belongs to another lineage.
	ErrLineageMismatch = errors.New("offered version belongs to another lineage")
	// ErrSnapshotRequired means that the update's deltas do not start at the version in force or do not lead to the update's version.
	ErrSnapshotRequired = errors.New("deltas do not lead from the version in force to the offered version")
)

// Update is a configuration update sent to a node: the complete document if Document is not nil, else deltas.
type Update struct {
	Lineage  config.Lineage
	Version  config.Version
	Digest   config.Digest
	Document config.Document
	Deltas   []config.Delta
}

// Replica holds the configuration version in force on one node.
type Replica struct {
	lineage      config.Lineage
	version      config.Version
	digest       config.Digest
	doc          config.Document
	cfg          *config.Config
	recentDeltas []config.Delta
	minVersion   config.Version
}

// NewReplica returns a replica without a version.
func NewReplica() *Replica { return &Replica{} }

// Version returns the version in force, zero for none.
func (r *Replica) Version() config.Version { return r.version }

// Lineage returns the lineage of the version in force.
func (r *Replica) Lineage() config.Lineage { return r.lineage }

// Config returns the compiled configuration in force, or nil.
func (r *Replica) Config() *config.Config { return r.cfg }

// MinVersion returns the lowest version that the node may put in force.
func (r *Replica) MinVersion() config.Version { return r.minVersion }

// RaiseMinVersion sets the lowest version that the node may put in force, unless it is already higher.
func (r *Replica) RaiseMinVersion(v config.Version) { r.minVersion = max(r.minVersion, v) }

// Ready reports whether a version at or above the minimum version is in force.
func (r *Replica) Ready() bool { return r.version > 0 && r.version >= r.minVersion }

// Apply validates an update and puts it in force; if it returns an error, the version in force is unchanged.
func (r *Replica) Apply(u Update) error {
	switch {
	case r.lineage != "" && u.Lineage != r.lineage:
		return errors.Wrapf(ErrLineageMismatch, "offered %s, in force %s", u.Lineage, r.lineage)
	case u.Version <= r.version:
		return ErrStale
	case u.Version < r.minVersion:
		return errors.Wrapf(ErrBelowMinVersion, "offered version %d, minimum %d", u.Version, r.minVersion)
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
func (r *Replica) buildDocument(u Update) (config.Document, []config.Delta, error) {
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
			return nil, nil, errors.Wrapf(ErrSnapshotRequired, "version %d in force, delta from version %d", version, d.From)
		}
		var err error
		if doc, err = d.Apply(doc); err != nil {
			return nil, nil, err
		}
		version = d.To
		deltas = append(deltas[:len(deltas):len(deltas)], d)
	}
	if version != u.Version {
		return nil, nil, errors.Wrapf(ErrSnapshotRequired, "deltas end at version %d, offered version %d", version, u.Version)
	}
	if doc.Digest() != u.Digest {
		return nil, nil, errors.Wrapf(config.ErrDigestMismatch, "version %d", u.Version)
	}
	if len(deltas) > maxRecentDeltas {
		deltas = deltas[len(deltas)-maxRecentDeltas:]
	}
	return doc, deltas, nil
}

// UpdateFor returns the update for a neighbour with version v of a lineage, or false if the neighbour is up to date.
func (r *Replica) UpdateFor(lineage config.Lineage, v config.Version) (Update, bool) {
	if r.version == 0 || (lineage == r.lineage && v >= r.version) {
		return Update{}, false
	}
	u := Update{Lineage: r.lineage, Version: r.version, Digest: r.digest}
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
