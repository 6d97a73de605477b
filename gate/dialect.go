package gate

import (
	"net/http"
	"time"

	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
)

// Dialect translates between calls and the protocol of the targets.
type Dialect interface {
	// Headers returns the request headers of a call to the target with this id; left is the time that the call may take.
	Headers(c *hop.Call, id lifecycle.ID, left time.Duration) http.Header
	// Match tells by its head whether a response belongs to the call; reused tells that the connection has carried other calls.
	Match(c *hop.Call, resp *http.Response, reused bool) exchange.Match
	// Judge returns what the head of a response to a call reports.
	Judge(c *hop.Call, resp *http.Response) Verdict
	// ReadHealth reads the response to a health check.
	ReadHealth(resp *http.Response) Health
}

// Claim is what a whole response states about its call. A response that is not whole states nothing.
type Claim uint8

// The claims of a response.
const (
	Inconclusive Claim = iota // states nothing: the call may have run, and the response can't be passed on
	Unsigned                  // a failure that the target has not signed; it is passed on, and the call may have run
	Genuine                   // the target's own answer, passed on unchanged
	NotExecuted               // the target did not execute the call
	WrongTarget               // a target other than the addressed one responded and did not execute the call
)

// Verdict is what the head of a target's response reports.
type Verdict struct {
	Claim           Claim
	Own             bool // the target on this VM is known to have sent the response, so its announcements count
	ConnectionClose bool // the target closes the connection
	Load            TargetLoad
	RateLimit       RateLimit
	Leaving         bool // the target is about to stop
}

// TargetLoad is the load that a target reports; zero Slots means that it reports none.
type TargetLoad struct {
	Running  int
	Waiting  int
	Slots    int
	Slowdown float64 // current service time relative to the usual one; 1 is normal
}

// Health is a target's response to a health check.
type Health struct {
	ID      lifecycle.ID
	Healthy bool
	Load    TargetLoad
	// RateLimit and Leaving are as in a Verdict.
	RateLimit RateLimit
	Leaving   bool
}
