package member

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
)

// Record is the membership record that a node publishes about itself and the target on its VM.
type Record struct {
	Node          fleet.NodeID      `json:"node"`
	Incarnation   fleet.Incarnation `json:"inc"` // start time of the process in Unix milliseconds
	Sequence      fleet.Sequence    `json:"seq"` // incremented with each change within an incarnation
	DataCentre    fleet.DataCentre  `json:"dc"`
	Region        fleet.Region      `json:"region"`
	Address       fleet.Address     `json:"addr"`              // address for requests of other nodes
	LinkBandwidth fleet.BitRate     `json:"link,omitempty"`    // bandwidth of the VM's link; zero means unknown
	Leaving       bool              `json:"leaving,omitempty"` // the node is shutting down
	Target        Target            `json:"target,omitzero"`
}

// Target is the part of a Record that describes the target on the node's VM.
type Target struct {
	ID        lifecycle.ID        `json:"id,omitempty"`
	StartTime lifecycle.StartTime `json:"born,omitempty"`
	Service   config.ServiceName  `json:"service,omitempty"`
	Slots     int                 `json:"slots,omitempty"`
	State     lifecycle.State     `json:"state,omitempty"`
	WarmUp    time.Duration       `json:"cold,omitempty"` // remaining warm-up time when the record was created
	Version   lifecycle.Version   `json:"version,omitempty"`
}

// Compare orders the records of one node by incarnation, then by sequence.
func (r Record) Compare(o Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Sequence, o.Sequence))
}

// ErrIncomplete is returned for a record that lacks a field.
var ErrIncomplete = errors.New("member record incomplete")

// ErrOutOfRange is returned for a record that no node publishes.
var ErrOutOfRange = errors.New("member record out of range")

const (
	maxNumber    = 1 << 53   // of an incarnation, a sequence or a start time; the largest that all JSON readers keep exact
	maxBandwidth = 1e13      // bits per second
	maxWarmUp    = time.Hour // remaining warm-up time of a target
)

// MaxSlots is the largest number of slots that a target can have.
const MaxSlots = 1 << 16

// Validate returns ErrIncomplete if the record lacks a field, and ErrOutOfRange if a field has a value that no node publishes.
func (r Record) Validate() error {
	address, err := netip.ParseAddrPort(string(r.Address))
	t := r.Target
	switch {
	case r.Sequence == 0, r.DataCentre == "", r.Region == "":
		return errors.Wrapf(ErrIncomplete, "sequence %d, data centre %q, region %q", r.Sequence, r.DataCentre, r.Region)
	case (t.ID == "") != (t.Service == ""), t.ID == "" && t.State != lifecycle.Unknown:
		return errors.Wrapf(ErrIncomplete, "target %q of service %q in state %q", t.ID, t.Service, t.State)
	case r.Node == "", r.Incarnation <= 0, r.Incarnation > maxNumber, r.Sequence > maxNumber:
		return errors.Wrapf(ErrOutOfRange, "node %q, incarnation %d, sequence %d", r.Node, r.Incarnation, r.Sequence)
	case err != nil, address.Port() == 0:
		return errors.Wrapf(ErrOutOfRange, "address %q", r.Address)
	case !(r.LinkBandwidth >= 0 && r.LinkBandwidth <= maxBandwidth):
		return errors.Wrapf(ErrOutOfRange, "link bandwidth %g", r.LinkBandwidth)
	case t.StartTime < 0, t.StartTime > maxNumber, t.Slots < 0, t.Slots > MaxSlots, t.WarmUp < 0, t.WarmUp > maxWarmUp:
		return errors.Wrapf(ErrOutOfRange, "target started at %d with %d slots, warm in %v", t.StartTime, t.Slots, t.WarmUp)
	}
	if len(t.Version) > lifecycle.MaxVersionBytes {
		return errors.Wrapf(ErrOutOfRange, "version of %d bytes", len(t.Version))
	}
	switch t.State {
	case lifecycle.Unknown, lifecycle.Open, lifecycle.Down, lifecycle.Leaving:
		return nil
	}
	return errors.Wrapf(ErrOutOfRange, "target state %q", t.State)
}

// AcceptsCalls reports whether the node has a target that accepts calls.
func (r Record) AcceptsCalls() bool { return !r.Leaving && r.Target.State == lifecycle.Open }

// Digest returns an order-independent checksum of the members' records.
func Digest(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", m.Node, m.Incarnation, m.Sequence))
	}
	return sum
}
