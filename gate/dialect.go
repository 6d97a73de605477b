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
	// ReadHead returns what the head of a response to a call reports.
	ReadHead(c *hop.Call, resp *http.Response) Head
	// ReadHealth reads the response to a health check.
	ReadHealth(resp *http.Response) Health
}

// Head is what the head of a target's response reports.
type Head struct {
	Facts           Facts
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
	// RateLimit and Leaving are as in a Head.
	RateLimit RateLimit
	Leaving   bool
}
