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

// Record is what a node publishes of itself and the target beside it.
type Record struct {
	Node        fleet.NodeID      `json:"node"`
	Incarnation fleet.Incarnation `json:"inc"` // start of the process, Unix milliseconds
	Sequence    fleet.Sequence    `json:"seq"` // grows with each change within an incarnation
	DataCentre  fleet.DataCentre  `json:"dc"`
	Region      fleet.Region      `json:"region"`
	Address     fleet.Address     `json:"addr"`              // takes requests of other nodes
	Link        fleet.BitRate     `json:"link,omitempty"`    // what the VM's link carries a second; zero means that it is not known
	Leaving     bool              `json:"leaving,omitempty"` // the node ends
	Target      Target            `json:"target,omitzero"`
}

// Target is what a node publishes of the target beside it.
type Target struct {
	ID      lifecycle.ID       `json:"id,omitempty"`
	Born    lifecycle.Born     `json:"born,omitempty"`
	Service config.ServiceName `json:"service,omitempty"`
	Slots   int                `json:"slots,omitempty"`
	State   lifecycle.State    `json:"state,omitempty"`
	Cold    time.Duration      `json:"cold,omitempty"` // how much longer it is slow, when the record was made
}

// Compare orders records of one node by incarnation, then by sequence.
func (r Record) Compare(o Record) int {
	return cmp.Or(cmp.Compare(r.Incarnation, o.Incarnation), cmp.Compare(r.Sequence, o.Sequence))
}

// Serves reports whether the record offers a target to calls.
func (r Record) Serves() bool { return !r.Leaving && r.Target.State == lifecycle.Open }

// Digest returns a sum over the members' records that does not depend on their order.
func Digest(members []Member) uint64 {
	var sum uint64
	for _, m := range members {
		sum += xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", m.Node, m.Incarnation, m.Sequence))
	}
	return sum
}
