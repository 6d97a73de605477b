package hop

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/tenant"
)

// CallID is the request id set by the caller.
type CallID string

// Rank is the queueing priority of a call at one target; lower ranks are served first.
type Rank int

// RankNested is the rank of calls made on behalf of a call that is already running: refusing one wastes its parent's work.
const RankNested Rank = -1

// QueuePolicy tells a gate how to handle a call for which no slot is free.
type QueuePolicy uint8

// A call fails fast while another target may have a free slot, and may be queued otherwise.
const (
	FailFast QueuePolicy = iota
	AllowQueueing
)

// BulkSize is the smallest size of a body, in bytes, whose transfer is scheduled on a VM's link; smaller bodies bypass the
// schedule.
const BulkSize = 8 << 10

// Call is one attempt of a request, sent to one target.
type Call struct {
	ID         CallID
	Method     string
	URI        string
	Host       string
	Header     http.Header // the caller's end-to-end headers
	Body       []byte
	Route      config.RouteName
	Service    config.ServiceName
	Instance   lifecycle.ID
	Origin     config.ServiceName // service of the target on the caller's VM
	Tenant     tenant.Name        // client account of the caller, if any
	Rank       Rank
	Idempotent bool // may run more than once
	Retry      bool // an earlier attempt may have reached a target
	// ExpectContinue sends the head with Expect: 100-continue; the body follows once the target's node has accepted it.
	ExpectContinue bool
	// OnAckTimeout is called once if the node does not acknowledge the call in time; it may be nil.
	OnAckTimeout func()
	QueuePolicy  QueuePolicy
	SameVM       bool      // the caller is on the target's VM
	SoftDeadline time.Time // end of the route's latency objective; a later answer is of less value to the caller
	Deadline     time.Time
}

// CallRate is a number of calls per second.
type CallRate float64

// Load is the load of a target as measured by its gate, which adds it to every outcome.
type Load struct {
	Running         int
	Waiting         int           // queued calls
	Limit           int           // slots
	ServiceTime     time.Duration // mean time for which a call occupies a slot
	ExpectedWait    time.Duration // expected queueing time of a call of the same rank
	FailurePercent  int           // failure rate of recent calls, in percent
	Cold            bool          // started recently and still slow
	UplinkBacklog   time.Duration // backlog of the VM's outgoing link, which delays long answers
	DownlinkBacklog time.Duration // backlog of accepted bodies on the VM's incoming link
	Overloaded      bool          // calls that could have met their soft deadline are being refused
	RateLimit       CallRate      // calls that the target accepts from all nodes together; zero means no limit
	RateWait        time.Duration // until the limit admits one more call behind the queued ones; negative if it admits several
	Leaving         bool          // the target drains or has announced that it leaves
}

// Cause is the reason for which a call was refused or failed.
type Cause string

// The causes of refusals, which guarantee that the call has not run, and of failures, after which it may have run.
const (
	Busy         Cause = "busy"           // no free slot; another target may have one
	TooLate      Cause = "too-late"       // the expected wait exceeds the time left
	Expired      Cause = "expired"        // the deadline passed while the call was queued
	QueueFull    Cause = "queue-full"     // more calls are queued than can be served in time
	Closed       Cause = "closed"         // the target or its node is shutting down
	NotHere      Cause = "not-here"       // the node runs another target, or none
	TargetDown   Cause = "target-down"    // the target does not accept connections
	TargetShed   Cause = "target-shed"    // the target shed the call and reported that it has not run
	Unreachable  Cause = "unreachable"    // the target's node does not accept connections
	NoTarget     Cause = "no-target"      // the service has no known target
	NoRoute      Cause = "no-route"       // no route matches the request
	Unauthorized Cause = "unauthorized"   // the request carries no key of an account, or several keys
	ParentEnded  Cause = "parent-ended"   // the call on whose behalf this one claims to be made is not running here
	OverQuota    Cause = "over-quota"     // the account has used up its limit
	NoPlan       Cause = "no-plan"        // the node has not loaded a configuration yet
	NoBudget     Cause = "no-budget"      // the retry budget is exhausted
	HeadTooLarge Cause = "head-too-large" // the request's head exceeds a limit
	TooLarge     Cause = "too-large"      // the request exceeds a limit
	BadRequest   Cause = "bad-request"    // the request is truncated or malformed
	BodyLate     Cause = "body-late"      // the request's body did not arrive in time
	BodiesFull   Cause = "bodies-full"    // the node's buffer for request bodies is full
	TimedOut     Cause = "timeout"        // no answer before the deadline
	Broken       Cause = "broken"         // the connection to the target was lost
	Silent       Cause = "silent"         // the target's node did not acknowledge the call
	BadAnswer    Cause = "bad-answer"     // malformed answer, or one to another call
	Unstated     Cause = "unstated"       // the target's answer states nothing about the call
	CallerGone   Cause = "caller-gone"    // the caller closed its connection
	TargetError  Cause = "target-error"   // the target answered with a server error
)

// Outcome is the result of a call: *Answered, Refused or Failed.
type Outcome interface{ outcome() }

// LoadOf returns the load that an outcome reports.
func LoadOf(o Outcome) Load {
	switch o := o.(type) {
	case *Answered:
		return o.Load
	case Refused:
		return o.Load
	case Failed:
		return o.Load
	}
	return Load{}
}

// Answered holds the target's answer; its status never promises that the call has not run.
type Answered struct {
	Status    int
	Header    http.Header
	Body      []byte
	Remainder io.Reader // stream of the bytes that follow Body, or nil
	Length    int64     // of the whole body, or -1 if unknown
	Load      Load
	// WaitToSend blocks until a piece of the body may be sent on the VM's link; it is nil if the body needs no pacing.
	WaitToSend func(ctx context.Context, bytes int)
	// Release ends the exchange; it must be called once Remainder has been read or abandoned.
	Release func()
}

// Refused guarantees that the call has not run and will not run.
type Refused struct {
	Cause      Cause
	RetryAfter time.Duration
	Load       Load
}

// Failed is the outcome of a call that may have run.
type Failed struct {
	Cause Cause
	Load  Load
}

func (*Answered) outcome() {}
func (Refused) outcome()   {}
func (Failed) outcome()    {}
