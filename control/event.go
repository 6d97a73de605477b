package control

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// LinkID identifies a link from dial or accept until it closes.
type LinkID uint64

// Event is an input to the state machine; the set of types is closed.
type Event interface{ event() }

// Tick drives timers; it is delivered every TickInterval.
type Tick struct{}

// LinkOpened reports an accepted inbound link or a successful dial.
type LinkOpened struct{ Link LinkID }

// LinkClosed reports that a link was closed or that a dial failed.
type LinkClosed struct{ Link LinkID }

// Received delivers a message that arrived on a link.
type Received struct {
	Link    LinkID
	Message Message
}

// LeaseResult reports the outcome of AcquireLease or RenewLease.
type LeaseResult struct {
	Held bool
	// Unavailable is set when the store could not be reached; the lease may still be held.
	Unavailable bool
	Term        fleet.Term
	// Holder is the record of the node that holds the lease instead, if known.
	Holder *fleet.Record
}

// HeadResult reports the outcome of WatchHead.
type HeadResult struct {
	Unavailable bool
	Version     config.Version
	// Update is nil if the store has nothing newer than the version of the request.
	Update *rollout.Update
}

// LeadersResult reports the lease holders listed in the store.
type LeadersResult struct{ Leaders []fleet.Record }

// ProbeResult reports whether a probed node responded on a new connection.
type ProbeResult struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Sequence    fleet.Sequence
	Alive       bool
}

// TargetsChanged carries the targets that are currently registered on this VM.
type TargetsChanged struct{ Targets []fleet.Target }

// Leave starts draining: the node announces that it accepts no new calls.
type Leave struct{}

// Shutdown announces to the fleet that the node is terminating.
type Shutdown struct{}

func (Tick) event()           {}
func (LinkOpened) event()     {}
func (LinkClosed) event()     {}
func (Received) event()       {}
func (LeaseResult) event()    {}
func (HeadResult) event()     {}
func (LeadersResult) event()  {}
func (ProbeResult) event()    {}
func (TargetsChanged) event() {}
func (Leave) event()          {}
func (Shutdown) event()       {}

// Action is an output of the state machine for the caller to execute; the set of types is closed.
type Action interface{ action() }

// Dial opens a link to an address; LinkOpened or LinkClosed follows.
type Dial struct {
	Link    LinkID
	Address fleet.Address
}

// Close closes a link after its queued messages have been written.
type Close struct{ Link LinkID }

// Send queues a message on a link.
type Send struct {
	Link    LinkID
	Message Message
}

// AcquireLease requests the data centre's leader lease; LeaseResult follows.
type AcquireLease struct {
	Record fleet.Record
	TTL    time.Duration
}

// RenewLease extends the held lease; LeaseResult follows.
type RenewLease struct{}

// ReleaseLease releases the held lease.
type ReleaseLease struct{}

// WatchHead long-polls the store for a configuration newer than the given one; HeadResult follows.
type WatchHead struct{ Since ConfigRef }

// ListLeaders reads the lease holders of all data centres from the store; LeadersResult follows.
type ListLeaders struct{}

// Probe checks on a new connection whether a node is alive; ProbeResult follows.
type Probe struct {
	Node        fleet.NodeID
	Address     fleet.Address
	Incarnation fleet.Incarnation
	Sequence    fleet.Sequence
}

// Publish signals that the configuration (if ConfigChanged is set) or the records used for routing calls have changed.
type Publish struct{ ConfigChanged bool }

// LogEntry is a state change of the node for the log.
type LogEntry struct {
	Message string
	Detail  string
}

func (Dial) action()         {}
func (Close) action()        {}
func (Send) action()         {}
func (AcquireLease) action() {}
func (RenewLease) action()   {}
func (ReleaseLease) action() {}
func (WatchHead) action()    {}
func (ListLeaders) action()  {}
func (Probe) action()        {}
func (Publish) action()      {}
func (LogEntry) action()     {}
