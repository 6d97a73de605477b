package control

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// LinkID names a link for as long as it is open.
type LinkID uint64

// Event is what happens to a node; the set is sealed.
type Event interface{ event() }

// Tick lets the state machine act on the passing of time.
type Tick struct{}

// LinkOpened reports an inbound link, or a dialled one that has been established.
type LinkOpened struct{ Link LinkID }

// LinkClosed reports that a link has ended or could not be established.
type LinkClosed struct{ Link LinkID }

// Received reports a message from a link.
type Received struct {
	Link    LinkID
	Message Message
}

// LeaseResult reports the outcome of AcquireLease or RenewLease.
type LeaseResult struct {
	Held bool
	// Unavailable says that the store could not be asked; the lease may still be held.
	Unavailable bool
	Term        fleet.Term
	// Holder is the node that holds the lease instead.
	Holder *fleet.Record
}

// HeadSeen reports what the store holds beyond the version in force.
type HeadSeen struct {
	Unavailable bool
	Version     config.Version
	// Offer is nil when the store holds nothing newer.
	Offer *rollout.Offer
}

// LeadsSeen reports the leads listed in the store.
type LeadsSeen struct{ Leads []fleet.Record }

// ProbeResult reports whether a node answered on a new connection.
type ProbeResult struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Sequence    fleet.Sequence
	Alive       bool
}

// TargetsChanged reports what the targets on this VM have announced.
type TargetsChanged struct{ Targets []fleet.Target }

// Leave asks the node to take no new work.
type Leave struct{}

// Shutdown tells the fleet that the node ends now.
type Shutdown struct{}

func (Tick) event()           {}
func (LinkOpened) event()     {}
func (LinkClosed) event()     {}
func (Received) event()       {}
func (LeaseResult) event()    {}
func (HeadSeen) event()       {}
func (LeadsSeen) event()      {}
func (ProbeResult) event()    {}
func (TargetsChanged) event() {}
func (Leave) event()          {}
func (Shutdown) event()       {}

// Action is what the state machine wants done; the set is sealed.
type Action interface{ action() }

// Dial asks for a link to an address.
type Dial struct {
	Link    LinkID
	Address fleet.Address
}

// Close asks for a link to be closed after what has been sent.
type Close struct{ Link LinkID }

// Send asks for a message to be sent.
type Send struct {
	Link    LinkID
	Message Message
}

// AcquireLease asks for the data centre's lead lease.
type AcquireLease struct {
	Record fleet.Record
	TTL    time.Duration
}

// RenewLease asks for the lease to be extended.
type RenewLease struct{}

// ReleaseLease asks for the lease to be given up.
type ReleaseLease struct{}

// WatchHead asks for what the store holds beyond a version; it waits when there is nothing.
type WatchHead struct{ Held Held }

// ListLeads asks for the leads listed in the store.
type ListLeads struct{}

// Probe asks whether a node answers on a new connection.
type Probe struct {
	Node        fleet.NodeID
	Address     fleet.Address
	Incarnation fleet.Incarnation
	Sequence    fleet.Sequence
}

// Publish says that the configuration or the records that calls depend on have changed.
type Publish struct{ Config bool }

// Report says that the node's state has changed, for the log.
type Report struct {
	Change string
	Detail string
}

func (Dial) action()         {}
func (Close) action()        {}
func (Send) action()         {}
func (AcquireLease) action() {}
func (RenewLease) action()   {}
func (ReleaseLease) action() {}
func (WatchHead) action()    {}
func (ListLeads) action()    {}
func (Probe) action()        {}
func (Publish) action()      {}
func (Report) action()       {}
