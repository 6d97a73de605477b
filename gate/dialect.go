package gate

import (
	"net/http"
	"time"

	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
)

// Dialect translates between calls and what a target understands.
type Dialect interface {
	// Headers returns the headers of a call for the target with an id, which may take the given time.
	Headers(c *hop.Call, id lifecycle.ID, left time.Duration) http.Header
	// Match says whether an answer's head belongs to the call.
	Match(c *hop.Call, resp *http.Response) exchange.Match
	// Judge reads what an answer says besides its status and body.
	Judge(resp *http.Response) Verdict
	// ReadHealth reads the answer to a health check.
	ReadHealth(resp *http.Response) Health
}

// Verdict is what a target's answer says besides its status and body.
type Verdict struct {
	NotRun      bool // the target says that it did not run the call
	OtherTarget bool // another target than the one named has answered
	Genuine     bool // the body is the target's own, unchanged
	Leaving     bool // the target closes the connection
	Load        TargetLoad
}

// TargetLoad is what a target says of its load; without slots it says nothing.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64 // how long work takes at this moment; 1 is as usual
}

// Health is a target's answer to a health check.
type Health struct {
	ID      lifecycle.ID
	Healthy bool
	Load    TargetLoad
}
