package agent

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/listener"
)

const (
	defaultMaxBody    = 64 << 20               // bytes of a body if the configuration sets no limit
	clientBodyTimeout = 30 * time.Second       // to read the body of a caller that sends no timeout, and the time for its slowest allowed transfer
	clientBodyRate    = 64 << 10               // bytes per second of the slowest allowed transfer of the largest body
	bodyStallTimeout  = 10 * time.Second       // in which a byte of such a body has to arrive
	bodyMemoryRetry   = 300 * time.Millisecond // in which bodies held in memory are normally released, sent as Retry-After
)

// readRequestBody checks the header size of a caller's request and reads its body within the caller's timeout.
func (a *Agent) readRequestBody(r *http.Request, timeout time.Duration) ([]byte, hop.Cause) {
	if p := a.dispatcher.Plan(); p != nil && p.Limits.MaxHeaderBytes > 0 && headerBytes(r) > p.Limits.MaxHeaderBytes {
		return nil, hop.HeadTooLarge
	}
	limits := listener.BodyLimits{Bytes: a.maxBody(), Total: timeout, Stall: timeout}
	if timeout <= 0 {
		slowest := time.Duration(limits.Bytes / clientBodyRate * int64(time.Second))
		limits.Total, limits.Stall = clientBodyTimeout+slowest, bodyStallTimeout
	}
	return readBody(r, limits)
}

// maxBody returns the largest body that the configuration allows.
func (a *Agent) maxBody() int64 {
	if p := a.dispatcher.Plan(); p != nil && p.Limits.MaxBodyBytes > 0 {
		return int64(p.Limits.MaxBodyBytes)
	}
	return defaultMaxBody
}

// headerBytes returns a lower bound of the size of a request header.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads a complete body. Its memory is returned at the end of the request.
func readBody(r *http.Request, l listener.BodyLimits) ([]byte, hop.Cause) {
	body, err := listener.ReadBody(r, l)
	switch {
	case err == nil:
		return body, ""
	case errors.Is(err, listener.ErrTooLarge):
		return nil, hop.TooLarge
	case errors.Is(err, listener.ErrNoMemory):
		return nil, hop.BodiesFull
	case errors.Is(err, listener.ErrLate):
		return nil, hop.BodyLate
	}
	return nil, hop.BadRequest
}
