package member

import (
	"cmp"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

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
}

// Compare orders the records of one node by incarnation, then by sequence.
func (r Record) Compare(o Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Sequence, o.Sequence))
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
