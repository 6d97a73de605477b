package agent

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/hop"
)

const (
	defaultMaxBody    = 64 << 20               // bytes of a body if the configuration sets no limit
	chunkSize         = 32 << 10               // bytes per read of a body without a declared length
	peerBodyTimeout   = 2 * time.Second        // to read a body after 100 Continue: its transfer time on the link plus the retransmission of one lost packet
	clientBodyTimeout = 30 * time.Second       // to read the body of a caller that sends no timeout
	bodyMemoryShare   = 8                      // all bodies together may use 1/bodyMemoryShare of the process's memory
	bodyMemoryRetry   = 300 * time.Millisecond // in which bodies held in memory are normally released, sent as Retry-After
)

// bodyMemory limits the bytes of request bodies held in memory; a zero limit means none.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

// reserve adds n bytes, or reports false if they exceed the limit.
func (b *bodyMemory) reserve(n int) bool {
	if used := b.used.Add(int64(n)); b.limit > 0 && used > b.limit {
		b.used.Add(int64(-n))
		return false
	}
	return true
}

func (b *bodyMemory) release(n int) { b.used.Add(int64(-n)) }

// readRequestBody checks the header size of a caller's request and reads its body within the caller's timeout.
func (a *Agent) readRequestBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, hop.Cause) {
	if p := a.dispatcher.Plan(); p != nil && p.Limits.MaxHeaderBytes > 0 && headerBytes(r) > p.Limits.MaxHeaderBytes {
		return nil, hop.HeadTooLarge
	}
	if timeout <= 0 {
		timeout = clientBodyTimeout
	}
	return a.readBody(w, r, timeout)
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

// readBody reads a complete body, so that it can be sent again and a slow sender occupies no slot. The caller releases its
// bytes from bodyMemory. A body of known length that exceeds a limit is refused unread.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) ([]byte, hop.Cause) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, ""
	}
	maxBytes := int64(defaultMaxBody)
	if p := a.dispatcher.Plan(); p != nil && p.Limits.MaxBodyBytes > 0 {
		maxBytes = int64(p.Limits.MaxBodyBytes)
	}
	if r.ContentLength > maxBytes {
		return nil, hop.TooLarge
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(a.deps.Now().Add(timeout)) // if no deadline can be set, the keep-alive probes of the connection limit the time
	body, cause := a.readBounded(r.Body, r.ContentLength, maxBytes)
	_ = rc.SetReadDeadline(time.Time{}) // restores the state without a deadline
	return body, cause
}

// readBounded reads a body of the given length, or up to maxBytes if the length is not declared.
func (a *Agent) readBounded(r io.Reader, length, maxBytes int64) ([]byte, hop.Cause) {
	if length > 0 {
		if !a.bodyMemory.reserve(int(length)) {
			return nil, hop.BodiesFull
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			a.bodyMemory.release(len(body))
			return nil, readErrorCause(err)
		}
		return body, ""
	}
	var body []byte
	chunk := make([]byte, chunkSize)
	for {
		n, err := r.Read(chunk)
		switch {
		case !a.bodyMemory.reserve(n):
			a.bodyMemory.release(len(body))
			return nil, hop.BodiesFull
		case int64(len(body)+n) > maxBytes:
			a.bodyMemory.release(len(body) + n)
			return nil, hop.TooLarge
		}
		body = append(body, chunk[:n]...)
		if err == io.EOF {
			return body, ""
		}
		if err != nil {
			a.bodyMemory.release(len(body))
			return nil, readErrorCause(err)
		}
	}
}

// readErrorCause returns the cause for a failed read of a body.
func readErrorCause(err error) hop.Cause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return hop.BodyLate
	}
	return hop.BadRequest
}
