package control

import (
	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// Message is what nodes send each other; the set is sealed.
type Message interface{ message() }

// Role says what the dialling node wants a link for.
type LinkRole uint8

// The roles of a link, as asked for by the node that dials.
const (
	// RoleEntry asks only which parents to use.
	RoleBootstrap LinkRole = iota
	// RoleChild asks the other end to be the parent.
	RoleChild
	// RoleSpare asks the other end to be ready as the next parent.
	RoleBackup
	// RolePeer links the leads of two data centres.
	RolePeer
)

// Held names the configuration that a node has in force.
type Held struct {
	Lineage config.Lineage `codec:"l,omitempty"`
	Version config.Version `codec:"v"`
}

// Hello opens a link or changes its role.
type Hello struct {
	Role    LinkRole      `codec:"r"`
	Record  fleet.Record  `codec:"o"`
	Held    Held          `codec:"h"`
	Digests fleet.Digests `codec:"d"`
}

// Welcome answers a Hello.
type Welcome struct {
	Accepted     bool         `codec:"a"`
	Role         LinkRole     `codec:"r"`
	Record       fleet.Record `codec:"o"`
	ActiveConfig Held         `codec:"h"`
	// Floor is the highest version that the answering node holds or knows the other to have held.
	MinVersion config.Version `codec:"f"`
	// Distance is the number of links from the answering node to its root.
	Distance int `codec:"n"`
	// Parents are the nodes that the asking node should hang under, with their records.
	Parents []fleet.Record `codec:"p,omitempty"`
}

// Beat is the heartbeat sent both ways on each link.
type Beat struct {
	Held     Held `codec:"h"`
	Distance int  `codec:"n"`
}

// Offer carries configuration: deltas, or a whole document when Document is not nil.
type Offer struct {
	Lineage  config.Lineage  `codec:"l"`
	Version  config.Version  `codec:"v"`
	Digest   config.Digest   `codec:"d"`
	Document config.Document `codec:"o,omitempty"`
	Deltas   []config.Delta  `codec:"e,omitempty"`
}

// Request asks the other end for its configuration as a whole.
type SnapshotRequest struct{}

// Records carries fleet records, and with Digests the sender's summary for the answer.
type Records struct {
	Records []fleet.Record `codec:"r"`
	Digests *fleet.Digests `codec:"d,omitempty"`
}

// Digests carries the sender's summary of all records for anti-entropy.
type Digests struct {
	Digests fleet.Digests `codec:"d"`
}

// Ack carries the versions in force on the sender and all nodes below it.
type Ack struct {
	Summary rollout.Summary `codec:"s"`
}

// Suspect asks the root to find out whether a node still lives.
type Suspect struct {
	Node        fleet.NodeID      `codec:"n"`
	Incarnation fleet.Incarnation `codec:"i"`
	Sequence    fleet.Sequence    `codec:"q"`
}

func (Hello) message()           {}
func (Welcome) message()         {}
func (Beat) message()            {}
func (Offer) message()           {}
func (SnapshotRequest) message() {}
func (Records) message()         {}
func (Digests) message()         {}
func (Ack) message()             {}
func (Suspect) message()         {}
