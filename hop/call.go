package hop

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/lifecycle"
)

// CallID is the id that the caller gave its request.
type CallID string

// Rank orders the calls that wait at one target; the least goes first.
type Rank int

// RankNested is the rank of calls made by a call that already runs: refusing one wastes the work of its parent.
const RankNested Rank = -1

// Patience says what a gate does with a call that it can't start at once.
type Patience uint8

// A call is turned away while other targets may be free, and waits once they are known to be busy.
const (
	Elsewhere Patience = iota
	Queue
)

// BulkSize is the size from which bodies wait for their turn on a VM's link, in bytes; smaller ones go ahead of them.
const BulkSize = 8 << 10

// Call is a call on its way to one target.
type Call struct {
	ID         CallID
	Method     string
	URI        string
	Host       string
	Header     http.Header // end-to-end headers of the caller
	Body       []byte
	Route      config.RouteName
	Service    config.ServiceName
	Instance   lifecycle.ID
	Origin     config.ServiceName // service on the VM where the call began
	Rank       Rank
	Repeatable bool
	Repeat     bool // an earlier attempt may have reached a target
	// Announced asks the target's node for its leave before the body is sent.
	Announced bool
	// Silent is called once when the node gives no sign for a while; it may be nil.
	Silent   func()
	Patience Patience
	Here     bool      // the caller is on the target's VM
	Aim      time.Time // an answer is of full use until then
	Deadline time.Time
}

// Load is what a gate says of its target; each outcome brings it.
type Load struct {
	Running int
	Waiting int
	Limit   int
	Hold    time.Duration // mean time that a call holds a slot at present
	Wait    time.Duration // expected wait of a call of the same rank
	Failing int           // percent of recent calls that failed
	Cold    bool
	Link    time.Duration // backlog of the VM's link, which long answers wait for
	Inbound time.Duration // backlog of announced bodies on the way to the VM
	Pressed bool          // calls that could have been in time are refused
}

// Cause says why a call was refused or failed.
type Cause string

// The causes of refusals, which promise that the call has not run, and of failures, which promise nothing.
const (
	Busy         Cause = "busy"           // other targets may be free
	TooLate      Cause = "too-late"       // the expected wait is longer than the time left
	Expired      Cause = "expired"        // its time ended while it waited
	QueueFull    Cause = "queue-full"     // more calls wait than can be served in time
	Closed       Cause = "closed"         // the target or its node leaves
	NotHere      Cause = "not-here"       // another target is here, or none
	TargetDown   Cause = "target-down"    // the target takes no connections
	TargetShed   Cause = "target-shed"    // the target said that it did not run the call
	Unreachable  Cause = "unreachable"    // the target's node takes no connections
	NoTarget     Cause = "no-target"      // no target of the service is known
	NoRoute      Cause = "no-route"       // no rule covers the request
	NoPlan       Cause = "no-plan"        // the node holds no configuration yet
	NoBudget     Cause = "no-budget"      // repeats are used up
	HeadTooLarge Cause = "head-too-large" // the request's head is over a limit
	TooLarge     Cause = "too-large"      // the request is over a limit
	BadRequest   Cause = "bad-request"    // the request broke off or is malformed
	BodyLate     Cause = "body-late"      // its body did not come in time
	BodiesFull   Cause = "bodies-full"    // the node holds as many bytes of bodies as it may
	TimedOut     Cause = "timeout"        // no answer by the deadline
	Broken       Cause = "broken"         // the connection to the target ended
	Silent       Cause = "silent"         // the target's node gave no sign of life
	BadAnswer    Cause = "bad-answer"     // bytes that are no genuine answer
	CallerGone   Cause = "caller-gone"    // the caller closed its connection
	TargetError  Cause = "target-error"   // the target answered with an error of its own
)

// Outcome is what became of a call: Answered, Refused or Failed.
type Outcome interface{ outcome() }

// Answered carries the target's own answer.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.Reader // what follows Body, or nil
	Length int64     // of the whole body, or -1
	Load   Load
	// Send waits until a piece of the body may be sent on the VM's link; it is nil where nothing has to wait.
	Send func(ctx context.Context, bytes int)
	// Release ends the exchange; it must be called once Rest has been read or given up.
	Release func()
}

// Refused promises that the call has not run and will not.
type Refused struct {
	Cause      Cause
	RetryAfter time.Duration
	Load       Load
}

// Failed says that the call may have run.
type Failed struct {
	Cause Cause
	Load  Load
}

func (*Answered) outcome() {}
func (Refused) outcome()   {}
func (Failed) outcome()    {}
