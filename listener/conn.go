package listener

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/cassialead/cassialead/door"
	"github.com/cassialead/cassialead/exchange"
)

const (
	skipTimeout = 500 * time.Millisecond // for the rest of a body after its answer
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// Conn is an accepted connection. It accounts for the memory of the head that is being read and stops reading once its request
// has given way to others.
type Conn struct {
	net.Conn
	guard   *Guard
	socket  *door.Socket
	known   bool // comes from a host that is expected
	evicted atomic.Bool
	inHead  atomic.Bool

	sentAhead atomic.Bool // the client has sent bytes of a further request while one was running
	kept      atomic.Bool // serves another protocol than HTTP
	lingering atomic.Bool // closed by the server, while its last answer is being delivered

	// The fields below are used by one goroutine at a time: the one that serves the connection.
	size, lines int
	grown       bool       // the receive buffer is that for long bodies
	hold        *door.Hold // of the present request; nil until it needs memory
}

// Read reads from the connection and accounts for the bytes of a head.
func (c *Conn) Read(p []byte) (int, error) {
	if c.evicted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	watching := len(p) == watchSize && c.size < MaxHeaderBytes
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.socket.Progress()
	if c.inHead.Load() && !c.takeHead(p[:n]) {
		return 0, os.ErrDeadlineExceeded
	}
	if watching && err == nil {
		c.sentAhead.Store(true)
		err = c.watch()
	}
	return n, err
}

// watchSize is the number of bytes that the server reads while a request runs, to notice that the client leaves. It stops watching with
// the first byte of a further request. Other reads are of the size of its buffer, unless the limit of a head leaves a byte.
const watchSize = 1

// watch waits until the client has left or the server ends the read with a deadline. It returns an error then, with which the server
// cancels the present and all further requests, or nil if the connection can't be watched.
func (c *Conn) watch() error {
	switch err := exchange.WaitPeerClosed(c.Conn); {
	case err == nil:
		return io.EOF
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	default:
		return nil // the next read fails if the connection does
	}
}

// takeHead adds bytes of a head to its memory.
func (c *Conn) takeHead(p []byte) bool {
	before := door.HeadCost(c.size, c.lines)
	c.size, c.lines = c.size+len(p), c.lines+bytes.Count(p, []byte{'\n'})
	more := door.HeadCost(c.size, c.lines) - before
	if more == 0 {
		return true
	}
	h := c.requestHold()
	h.Progress(len(p))
	if err := h.Take(more); err != nil {
		c.guard.countClosed(`cassialead_requests_closed_total{held="head"}`, "head of a request not read, memory for requests is used up",
			"from", c.RemoteAddr(), "error", err)
		return false
	}
	return true
}

// requestHold returns the memory of the present request.
func (c *Conn) requestHold() *door.Hold {
	if c.hold == nil {
		c.hold = c.guard.memory.Open(c.stopReading)
	}
	return c.hold
}

// stopReading fails the present and all further reads.
func (c *Conn) stopReading() {
	c.evicted.Store(true)
	_ = c.Conn.SetReadDeadline(expired)
}

// logEvicted counts and logs that the present request or answer has given way. It is called by the goroutine that serves the
// connection, since stopReading and stopWriting run under the budget's lock.
func (c *Conn) logEvicted(held string) {
	c.guard.countClosed(`cassialead_requests_closed_total{held="`+held+`"}`, "request closed, it was stalled or slowest", "held", held, "from", c.RemoteAddr())
}

// stopWriting fails an answer that its client does not read.
func (c *Conn) stopWriting() { _ = c.Conn.SetWriteDeadline(expired) }

// SetReadDeadline sets the deadline of reads, unless the request has given way.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.evicted.Load() {
		_ = c.Conn.SetReadDeadline(expired)
	}
	return err
}

// Write writes to the connection and records by how much its buffer may have grown.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.guard.buffers.grew(n)
	return n, err
}

// growReceiveBuffer lets a long body arrive faster than the first buffer of a connection does.
func (c *Conn) growReceiveBuffer() {
	if c.grown {
		return
	}
	c.grown = true
	setBuffers(c, 0, bodyBuffer)
	c.guard.buffers.grew(2 * bodyBuffer) // the kernel doubles the size for its own use
}

// abort ends the connection and discards what its client has not taken, which the kernel would keep otherwise. The server closes it then.
func (c *Conn) abort() {
	control(c.Conn, func(fd int) { _ = unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) })
	_ = c.Conn.Close()
}

// CloseWrite ends the sending side, so that a client that is still sending receives a refusal before the connection is reset.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	return sc.SyscallConn()
}

// stateChanged follows the states that a server gives to its connections.
func stateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*Conn)
	switch state {
	case http.StateIdle:
		c.size, c.lines = 0, 0
		c.socket.Progress()
		c.socket.SetRunning(false)
		c.inHead.Store(true)
	case http.StateHijacked:
		c.kept.Store(true)
		c.socket.Keep()
	case http.StateClosed:
		if c.hold != nil && c.evicted.Load() {
			c.logEvicted("head")
		}
		c.releaseHold() // of a head that was not read to its end
	}
}

func (c *Conn) releaseHold() {
	if c.hold != nil {
		c.hold.Release()
		c.hold = nil
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// FromContext returns the connection on which a request arrived, or nil if no Guard has accepted it.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Pressed reports whether unread answers leave so little memory that a new request has to be refused before it runs.
func (c *Conn) Pressed() bool {
	if !c.guard.memory.Pressed() {
		return false
	}
	c.guard.deps.Metrics.GetOrCreateCounter("cassialead_pressed_refusals_total").Inc()
	return true
}

// Keep excludes a connection of another node from those that are closed for new ones.
func (c *Conn) Keep() { c.socket.Keep() }

// Arrived records that a request has arrived completely, after which it runs and gives way to no other. It reports false if the
// request has given way before.
func (c *Conn) Arrived() bool { return c.Arriving()() }

// Arriving returns the function that does as Arrived for the present request, for a body that another goroutine reads.
func (c *Conn) Arriving() (arrived func() bool) {
	h := c.hold
	return func() bool {
		if h != nil && h.Pin() != nil {
			return false
		}
		c.socket.SetRunning(true)
		return true
	}
}

// dropAbandoned returns a handler that closes connections with further requests of clients that have left during an earlier one.
func dropAbandoned(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Err() != nil {
			c := FromContext(r.Context())
			c.guard.countClosed("cassialead_requests_abandoned_total", "request not served, its client has left", "from", c.RemoteAddr())
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}

// limitUnread returns a handler that bounds how long the bytes of a body may take that h leaves unread: the server skips up to
// 256 KiB of them after the answer, without a deadline of its own. Unread is the time for a body from the beginning of h, or zero if h
// sets a deadline itself.
func limitUnread(h http.Handler, unread time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		c.inHead.Store(false)
		defer c.releaseHold()
		switch {
		case r.ContentLength == 0:
			if !c.Arrived() {
				panic(http.ErrAbortHandler)
			}
		case unread > 0:
			_ = c.SetReadDeadline(time.Now().Add(unread))
		}
		h.ServeHTTP(w, r)
		if r.ContentLength != 0 && !c.socket.Running() {
			_ = c.SetReadDeadline(time.Now().Add(skipTimeout))
		}
		c.socket.Progress()
		c.socket.SetRunning(false) // what is left of the answer waits for the client
	})
}

const (
	heldAnswer  = 64 << 10 // bytes from which an answer counts as memory; the buffers of a connection take shorter ones
	answerPiece = 32 << 10 // bytes written between two records of progress
)

// Writer returns a writer of answers to a caller, which counts long ones as memory until the connection has taken them.
func (c *Conn) Writer(w http.ResponseWriter) http.ResponseWriter {
	return &heldWriter{ResponseWriter: w, conn: c}
}

// heldWriter writes answers to a caller. A long one counts as memory until the connection has taken it.
type heldWriter struct {
	http.ResponseWriter
	conn *Conn
}

// Write writes p in pieces if it is long. Meanwhile its connection may be closed for a new one, since it waits for its client.
func (w *heldWriter) Write(p []byte) (int, error) {
	w.conn.socket.Progress()
	w.conn.socket.SetRunning(false)
	defer w.conn.socket.SetRunning(true)
	if len(p) < heldAnswer {
		return w.ResponseWriter.Write(p)
	}
	h := w.conn.guard.memory.Open(w.conn.stopWriting)
	defer h.Release()
	if err := h.TakeAnswer(door.Bytes(len(p))); err != nil {
		return 0, err
	}
	sent := 0
	for sent < len(p) {
		n, err := w.ResponseWriter.Write(p[sent:min(len(p), sent+answerPiece)])
		sent += n
		h.Progress(n)
		w.conn.socket.Progress()
		if err != nil {
			if h.Closed() {
				w.conn.logEvicted("answer")
			}
			return sent, err
		}
	}
	return sent, nil
}

// Unwrap returns the server's writer.
func (w *heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
