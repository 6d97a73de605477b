package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/ledger"
)

// Headers exchanged with callers and targets.
const (
	HeaderTenant         = "Cassialead-Tenant"     // tenant on whose behalf the call is made
	HeaderTimeout        = "Cassialead-Timeout-Ms" // time left until the call's deadline, in milliseconds
	HeaderDepth          = "Cassialead-Depth"      // number of calls above this one on the call path
	HeaderRetry          = "Cassialead-Repeat"     // set if the call or one above it is a retry; it must not be retried again
	HeaderAttempt        = "Cassialead-Attempt"    // attempt ID, which a target may echo
	HeaderCause          = "Cassialead-Cause"      // cause of a refusal or failure
	HeaderExecuted       = "Cassialead-Ran"        // whether the call was executed: no, yes or unknown
	HeaderIdempotencyKey = "Idempotency-Key"       // the caller's key for a call that must run at most once
)

// Headers between nodes; they are stripped from messages from and to callers and targets.
const (
	headerService     = "Cassialead-Service"
	headerClass       = "Cassialead-Class"
	headerMaxWait     = "Cassialead-Max-Wait-Ms"
	headerWeight      = "Cassialead-Weight"
	headerLongShare   = "Cassialead-Long-Share"
	headerStartBy     = "Cassialead-Start-By"
	headerQueueLength = "Cassialead-Queue"
	headerTimings     = "Cassialead-Spent-Us" // queue wait and service time, in microseconds
	headerClock       = "Cassialead-Clock"
	headerPrefix      = "Cassialead-"
)

// hopHeaders are the hop-by-hop headers, which apply to a single connection.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopHeaders deletes the hop-by-hop headers and those listed in Connection.
func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// removeSystemHeaders deletes the headers with this system's prefix, except those listed.
func removeSystemHeaders(h http.Header, except ...string) {
	for name := range h {
		if !strings.HasPrefix(name, headerPrefix) {
			continue
		}
		keep := false
		for _, e := range except {
			keep = keep || name == e
		}
		if !keep {
			delete(h, name)
		}
	}
}

// call holds the attributes of a call that the ingress node passes to the node on the target's VM.
type call struct {
	service   config.ServiceName
	tenant    config.Tenant
	class     config.Class
	depth     int
	retry     bool // the call, or one above it, retries a call that may have been executed
	deadline  time.Time
	maxWait   time.Duration
	weight    int
	longShare int
	attempt   ledger.AttemptID
	// startBy is set if the call may run at most once; it must not start later.
	startBy *ledger.StartBy
}

// setHeaders writes the call's attributes to request headers for the node on the target's VM.
func (c *call) setHeaders(h http.Header, now time.Time) {
	h.Set(headerService, string(c.service))
	h.Set(HeaderTenant, string(c.tenant))
	h.Set(headerClass, string(c.class))
	h.Set(HeaderDepth, strconv.Itoa(c.depth))
	h.Set(HeaderTimeout, formatMillis(c.deadline.Sub(now)))
	h.Set(headerMaxWait, formatMillis(c.maxWait))
	h.Set(headerWeight, strconv.Itoa(c.weight))
	h.Set(headerLongShare, strconv.Itoa(c.longShare))
	h.Set(HeaderAttempt, string(c.attempt))
	if c.retry {
		h.Set(HeaderRetry, "1")
	}
	if c.startBy != nil {
		h.Set(headerStartBy, c.startBy.String())
	}
}

// parseCall parses the headers written by setHeaders.
func parseCall(h http.Header, now time.Time) (call, error) {
	c := call{
		service:   config.ServiceName(h.Get(headerService)),
		tenant:    config.Tenant(h.Get(HeaderTenant)),
		class:     config.Class(h.Get(headerClass)),
		attempt:   ledger.AttemptID(h.Get(HeaderAttempt)),
		depth:     headerInt(h, HeaderDepth),
		weight:    headerInt(h, headerWeight),
		longShare: headerInt(h, headerLongShare),
		maxWait:   headerMillis(h, headerMaxWait),
		deadline:  now.Add(headerMillis(h, HeaderTimeout)),
		retry:     h.Get(HeaderRetry) != "",
	}
	if s := h.Get(headerStartBy); s != "" {
		by, err := ledger.ParseStartBy(s)
		if err != nil {
			return c, err
		}
		c.startBy = &by
	}
	return c, nil
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(max(d, 0).Milliseconds(), 10) }

func headerInt(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func headerMillis(h http.Header, name string) time.Duration {
	return time.Duration(headerInt(h, name)) * time.Millisecond
}
