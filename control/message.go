package control

import (
	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// Message is sent between nodes over a link; the set of types is closed.
type Message interface{ message() }

// LinkRole is the purpose of a link, chosen by the dialling node.
type LinkRole uint8

// The roles of a link.
const (
	// RoleBootstrap only requests a list of suggested parents.
	RoleBootstrap LinkRole = iota
	// RoleChild makes the accepting node the parent of the dialling one.
	RoleChild
	// RoleBackup keeps the accepting node connected as the backup parent.
	RoleBackup
	// RoleLeaderPeer connects the leaders of two data centres.
	RoleLeaderPeer
)

// ConfigRef identifies a configuration by lineage and version; its zero value stands for none.
type ConfigRef struct {
	Lineage config.Lineage `codec:"l,omitempty"`
	Version config.Version `codec:"v"`
}

// Hello is the handshake request on a new link, or a role change on an open one.
type Hello struct {
	Role         LinkRole      `codec:"r"`
	Record       fleet.Record  `codec:"o"`
	ActiveConfig ConfigRef     `codec:"h"`
	Digests      fleet.Digests `codec:"d"`
}

// Welcome is the response to Hello.
type Welcome struct {
	Accepted     bool         `codec:"a"`
	Role         LinkRole     `codec:"r"`
	Record       fleet.Record `codec:"o"`
	ActiveConfig ConfigRef    `codec:"h"`
	// MinVersion is the highest version that is active on the responder or that the responder has seen on the requester.
	MinVersion config.Version `codec:"f"`
	// Distance is the number of links between the responder and the root of its tree.
	Distance int `codec:"n"`
	// Parents are the records of the suggested parents, in order of preference; set only if the Hello is rejected.
	Parents []fleet.Record `codec:"p,omitempty"`
}

// Heartbeat is sent periodically in both directions on each accepted link.
type Heartbeat struct {
	ActiveConfig ConfigRef `codec:"h"`
	Distance     int       `codec:"n"`
}

// ConfigUpdate carries configuration: a full document if Document is set, deltas otherwise.
type ConfigUpdate struct {
	Lineage  config.Lineage  `codec:"l"`
	Version  config.Version  `codec:"v"`
	Digest   config.Digest   `codec:"d"`
	Document config.Document `codec:"o,omitempty"`
	Deltas   []config.Delta  `codec:"e,omitempty"`
}

// SnapshotRequest requests the full configuration document.
type SnapshotRequest struct{}

// Records carries fleet records; if Digests is set, the receiver responds with the records that the sender lacks.
type Records struct {
	Records []fleet.Record `codec:"r"`
	Digests *fleet.Digests `codec:"d,omitempty"`
}

// Digests starts an anti-entropy exchange with the digests of the sender's records.
type Digests struct {
	Digests fleet.Digests `codec:"d"`
}

// Ack reports to the parent the active versions on the sender and its subtree.
type Ack struct {
	Summary rollout.Summary `codec:"s"`
}

// Suspect is forwarded to the root, which probes the suspected node.
type Suspect struct {
	Node        fleet.NodeID      `codec:"n"`
	Incarnation fleet.Incarnation `codec:"i"`
	Sequence    fleet.Sequence    `codec:"q"`
}

func (Hello) message()           {}
func (Welcome) message()         {}
func (Heartbeat) message()       {}
func (ConfigUpdate) message()    {}
func (SnapshotRequest) message() {}
func (Records) message()         {}
func (Digests) message()         {}
func (Ack) message()             {}
func (Suspect) message()         {}
