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

// The headers that callers and targets may use.
const (
	HeaderTenant  = "Cassialead-Tenant"     // on whose behalf the call is made
	HeaderTimeout = "Cassialead-Timeout-Ms" // milliseconds left for the call
	HeaderDepth   = "Cassialead-Depth"      // calls above this one on its path
	HeaderRepeat  = "Cassialead-Repeat"     // set below a repeated call, which must not be repeated again
	HeaderAttempt = "Cassialead-Attempt"    // the attempt's id, which a target may echo
	HeaderCause   = "Cassialead-Cause"      // why a call was refused or failed
	HeaderRan     = "Cassialead-Ran"        // no, yes or unknown
	HeaderKey     = "Idempotency-Key"       // the caller's own name for a call that must not run twice
)

// The headers between nodes; they are taken from nobody else and passed to nobody else.
const (
	headerService = "Cassialead-Service"
	headerClass   = "Cassialead-Class"
	headerWait    = "Cassialead-Max-Wait-Ms"
	headerWeight  = "Cassialead-Weight"
	headerShare   = "Cassialead-Long-Share"
	headerStartBy = "Cassialead-Start-By"
	headerQueue   = "Cassialead-Queue"
	headerSpent   = "Cassialead-Spent-Us" // microseconds waited and held
	headerClock   = "Cassialead-Clock"
	headerPrefix  = "Cassialead-"
)

// hopHeaders hold for one connection only.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopHeaders deletes what must not be passed on.
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

// removeOwnHeaders deletes the system's own headers but for those named.
func removeOwnHeaders(h http.Header, except ...string) {
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

// call is what the nodes on a call's way know about it.
type call struct {
	service   config.ServiceName
	tenant    config.Tenant
	class     config.Class
	depth     int
	repeat    bool // the call, or one above it, is a repeat of one that may have run
	deadline  time.Time
	maxWait   time.Duration
	weight    int
	longShare int
	attempt   ledger.AttemptID
	// startBy is set for a call that may run at most once.
	startBy *ledger.StartBy
}

// write sets the headers that the node beside the target needs.
func (c *call) write(h http.Header, now time.Time) {
	h.Set(headerService, string(c.service))
	h.Set(HeaderTenant, string(c.tenant))
	h.Set(headerClass, string(c.class))
	h.Set(HeaderDepth, strconv.Itoa(c.depth))
	h.Set(HeaderTimeout, millis(c.deadline.Sub(now)))
	h.Set(headerWait, millis(c.maxWait))
	h.Set(headerWeight, strconv.Itoa(c.weight))
	h.Set(headerShare, strconv.Itoa(c.longShare))
	h.Set(HeaderAttempt, string(c.attempt))
	if c.repeat {
		h.Set(HeaderRepeat, "1")
	}
	if c.startBy != nil {
		h.Set(headerStartBy, c.startBy.String())
	}
}

// readCall reads what write has set.
func readCall(h http.Header, now time.Time) (call, error) {
	c := call{
		service:   config.ServiceName(h.Get(headerService)),
		tenant:    config.Tenant(h.Get(HeaderTenant)),
		class:     config.Class(h.Get(headerClass)),
		attempt:   ledger.AttemptID(h.Get(HeaderAttempt)),
		depth:     readInt(h, HeaderDepth),
		weight:    readInt(h, headerWeight),
		longShare: readInt(h, headerShare),
		maxWait:   readMillis(h, headerWait),
		deadline:  now.Add(readMillis(h, HeaderTimeout)),
		repeat:    h.Get(HeaderRepeat) != "",
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

func millis(d time.Duration) string { return strconv.FormatInt(max(d, 0).Milliseconds(), 10) }

func readInt(h http.Header, name string) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

func readMillis(h http.Header, name string) time.Duration {
	return time.Duration(readInt(h, name)) * time.Millisecond
}
