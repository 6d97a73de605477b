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
	defaultBody = 64 << 20               // bytes of a body before a configuration says otherwise
	bodyPiece   = 32 << 10               // bytes of a body without a stated length that are read at a time
	bodyTime    = 2 * time.Second        // for a body that has been asked for: a lost packet's repeat on top of its time on the link
	callerTime  = 30 * time.Second       // for the body of a caller that does not say how long it will wait
	bodiesShare = 8                      // the part of the process's memory that bodies may take together
	bodiesRetry = 300 * time.Millisecond // in which bodies that are held are gone as a rule
)

// bodies bounds the bytes of the bodies that the process holds; without a bound it holds any.
type bodies struct {
	most int64
	held atomic.Int64
}

// take counts bytes, or reports false when there is no room for them.
func (b *bodies) take(n int) bool {
	if held := b.held.Add(int64(n)); b.most > 0 && held > b.most {
		b.held.Add(int64(-n))
		return false
	}
	return true
}

func (b *bodies) release(n int) { b.held.Add(int64(-n)) }

// takeRequest checks the head of a caller's request and reads its body within the time that the caller will wait.
func (a *Agent) takeRequest(w http.ResponseWriter, r *http.Request, left time.Duration) ([]byte, hop.Cause) {
	if p := a.dispatcher.Plan(); p != nil && p.Limits.Header > 0 && headBytes(r) > p.Limits.Header {
		return nil, hop.HeadTooLarge
	}
	if left <= 0 {
		left = callerTime
	}
	return a.readBody(w, r, left)
}

// headBytes returns how many bytes a request's head has at least.
func headBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// readBody reads a body whole, so that it can be sent again and a slow sender holds no slot. Its bytes are counted until they
// are released; a body for which there is no room is refused before it is read if its length is known.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request, within time.Duration) ([]byte, hop.Cause) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, ""
	}
	most := int64(defaultBody)
	if p := a.dispatcher.Plan(); p != nil && p.Limits.Body > 0 {
		most = int64(p.Limits.Body)
	}
	if r.ContentLength > most {
		return nil, hop.TooLarge
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(a.deps.Now().Add(within)) // a connection that can't be bounded in time is bounded by its keep-alive probes
	body, cause := a.readPieces(r.Body, r.ContentLength, most)
	_ = rc.SetReadDeadline(time.Time{}) // as it was
	return body, cause
}

// readPieces reads a body of a length, or one without a stated length up to a bound.
func (a *Agent) readPieces(r io.Reader, length, most int64) ([]byte, hop.Cause) {
	if length > 0 {
		if !a.bodies.take(int(length)) {
			return nil, hop.BodiesFull
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			a.bodies.release(len(body))
			return nil, unread(err)
		}
		return body, ""
	}
	var body []byte
	piece := make([]byte, bodyPiece)
	for {
		n, err := r.Read(piece)
		switch {
		case !a.bodies.take(n):
			a.bodies.release(len(body))
			return nil, hop.BodiesFull
		case int64(len(body)+n) > most:
			a.bodies.release(len(body) + n)
			return nil, hop.TooLarge
		}
		body = append(body, piece[:n]...)
		if err == io.EOF {
			return body, ""
		}
		if err != nil {
			a.bodies.release(len(body))
			return nil, unread(err)
		}
	}
}

// unread returns why a body could not be read.
func unread(err error) hop.Cause {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return hop.BodyLate
	}
	return hop.BadRequest
}
