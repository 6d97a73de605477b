package listener

import (
	"io"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/door"
)

const (
	collectSize     = 8 << 20         // bytes of a buffer from which garbage is collected before it exceeds the share of all bodies
	peerBodyTimeout = 2 * time.Second // to read a body after 100 Continue: the retransmission of one lost packet, and its transfer time
	peerBodyRate    = 1 << 20         // bytes per second, below those of the slowest link
	bodyStallSteps  = 8               // number of times that the deadline of a steady body is extended in its stall time
)

// Errors of ReadBody.
var (
	ErrTooLarge   = errors.New("body exceeds its limit")
	ErrNoMemory   = errors.New("no memory for the body")
	ErrLate       = errors.New("body not received in time")
	ErrIncomplete = errors.New("body is malformed or ends early")
)

// BodyLimits bound a body.
type BodyLimits struct {
	Bytes        int64
	Total, Stall time.Duration // for all of it, and without a byte
}

// ReadBody reads a complete body, so that it can be sent again and a slow sender occupies no slot. Its memory is returned at the end
// of the request, which runs from then on and gives way to no other. A body of known length that exceeds a limit is refused unread.
func ReadBody(r *http.Request, l BodyLimits) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	c := FromContext(r.Context())
	if r.ContentLength > l.Bytes {
		return nil, ErrTooLarge
	}
	if most := c.guard.memory.Largest(); most > 0 && r.ContentLength > int64(most) {
		return nil, ErrNoMemory
	}
	body, err := c.readBounded(r.Body, r.ContentLength, l)
	if err == nil && !c.Arrived() {
		err = ErrNoMemory
	}
	if err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{}) // restores the state without a deadline
	return body, nil
}

// readBounded reads a body of the given length, or up to the limit if the length is negative. Its buffer grows as bytes arrive.
func (c *Conn) readBounded(r io.Reader, length int64, l BodyLimits) ([]byte, error) {
	hold := c.hold
	if length < 0 || length > door.FreeBody {
		hold = c.requestHold()
	}
	now := time.Now()
	end, extended := now.Add(l.Total), now
	_ = c.SetReadDeadline(earlier(end, now.Add(l.Stall))) // if no deadline can be set, the keep-alive probes of the connection limit the time
	var body []byte
	for {
		if len(body) == cap(body) {
			next, least := door.Capacity(int64(len(body)), length, l.Bytes)
			err := hold.Take(door.Bytes(next) - door.Bytes(cap(body)))
			if errors.Is(err, door.ErrFull) && least < next {
				next, err = least, hold.Take(door.Bytes(least)-door.Bytes(cap(body)))
			}
			if err != nil {
				return nil, ErrNoMemory
			}
			if next >= collectSize && hold.Large() {
				runtime.GC() // the runtime allocates before it collects, and an earlier body of this size may still be garbage
			}
			if next >= longBody {
				c.growReceiveBuffer()
			}
			body = append(make([]byte, 0, next), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		hold.Progress(n)
		switch {
		case int64(len(body)) > l.Bytes:
			return nil, ErrTooLarge
		case int64(len(body)) == length, err == io.EOF && length < 0:
			return body, nil
		case err != nil && c.evicted.Load():
			c.logEvicted("body")
			return nil, ErrNoMemory
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrLate
		case err != nil:
			return nil, ErrIncomplete
		}
		if now := time.Now(); now.Sub(extended) >= l.Stall/bodyStallSteps {
			extended = now
			_ = c.SetReadDeadline(earlier(end, now.Add(l.Stall)))
		}
	}
}

// PeerBody returns the limits of a body from another node of which the length is declared, or negative.
func PeerBody(length, maxBytes int64) BodyLimits {
	total := peerBodyTimeout + time.Duration(max(length, 0)/peerBodyRate*int64(time.Second))
	return BodyLimits{Bytes: maxBytes, Total: total, Stall: total}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
