package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	readBuffer       = 4 << 10         // bytes; the head of an answer fits as a rule
	inlineBody       = 32 << 10        // bytes of a body that a socket's buffer takes without the peer reading
	userTimeout      = 2 * time.Second // unacknowledged bytes end a connection, below the 3 s that a silent peer may go unnoticed
	keepAliveIdle    = time.Second     // silence before the first probe
	keepAlivePeriod  = time.Second     // between two probes
	keepAliveProbes  = 2               // lost probes that end a connection
	defaultIdleLimit = 4 * time.Second // use of a kept connection whose peer states no limit
	idleShare        = 0.6             // of the stated limit, so that a request does not cross the peer's close
	maxHeads         = 64 << 10        // bytes of all heads of one exchange, those of informational and earlier answers included
	maxSkipped       = 1 << 20         // bytes of an earlier request's answer
)

// The ways in which an exchange fails.
var (
	// ErrNotSent says that no byte of the request has left, or of its body if that was announced: it can't have run.
	ErrNotSent = errors.New("the request was not sent")
	// ErrBroken says that the connection ended without a whole answer.
	ErrBroken = errors.New("the connection ended before the answer was whole")
	// ErrMalformed says that the peer sent bytes that are no answer to this request.
	ErrMalformed = errors.New("the peer sent bytes that are no answer")
)

// Request is one request to be sent.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Announced asks the peer for its leave before the body is sent; a peer that answers instead never gets it.
	Announced bool
	// Match judges an answer's head: one that belongs to an earlier request is skipped.
	Match func(*http.Response) Match
	// Interim is told of informational answers; it may be nil.
	Interim func(status int)
}

// Match is the verdict on the head of an answer.
type Match uint8

// The verdicts: an answer is this request's own, an earlier one's, or neither.
const (
	Own Match = iota
	Earlier
	Foreign
)

// Conn is a connection that carries one exchange at a time.
type Conn struct {
	nc        net.Conn
	raw       syscall.RawConn
	in        allowance
	br        *bufio.Reader // reads from in
	idleSince time.Time
	idleLimit time.Duration
	used      bool
}

// Dial opens a connection; an error matches ErrNotSent.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAlivePeriod, Count: keepAliveProbes}}
	nc, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := &Conn{nc: nc, in: allowance{r: nc, left: unbounded}, idleLimit: defaultIdleLimit}
	c.br = bufio.NewReaderSize(&c.in, readBuffer)
	if tc, ok := nc.(*net.TCPConn); ok {
		if raw, err := tc.SyscallConn(); err == nil {
			c.raw = raw
			limitSilence(raw)
		}
	}
	return c, nil
}

// limitSilence bounds how long bytes may stay unacknowledged; a kernel that can't leaves the keep-alive probes.
func limitSilence(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Reused reports whether an earlier exchange has used the connection.
func (c *Conn) Reused() bool { return c.used }

// Close ends the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// quiet reports whether the connection is open and holds no bytes that nobody asked for.
func (c *Conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	_, err := peek(c.raw)
	return err == syscall.EAGAIN
}

// peek looks for bytes that have come on a socket and leaves them there; EAGAIN says that there are none.
func peek(raw syscall.RawConn) (n int, err error) {
	failed := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if failed != nil {
		return 0, failed
	}
	return n, err
}

// Ended reports whether the peer of a connection that waits for bytes has ended it.
func Ended(nc net.Conn) bool {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return true
	}
	n, err := peek(raw)
	return n == 0 && err != syscall.EAGAIN
}

// Do sends a request and reads the answer's head. The answer's body has to be read or closed before the next exchange.
// Cancelling ctx ends the exchange and the connection.
func (c *Conn) Do(ctx context.Context, r *Request) (*Answer, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.nc.SetDeadline(deadline)
	} else {
		_ = c.nc.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	a, err := c.exchange(r)
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

func (c *Conn) exchange(r *Request) (*Answer, error) {
	head := r.head()
	var rest chan error
	sendBody := func() {
		rest = make(chan error, 1)
		go func() {
			_, err := c.nc.Write(r.Body)
			rest <- err
		}()
	}
	awaiting := r.Announced && len(r.Body) > 0
	inline := !awaiting && len(r.Body) <= inlineBody
	if inline {
		head = append(head, r.Body...)
	}
	if n, err := c.nc.Write(head); err != nil {
		return nil, sendError(err, n)
	}
	if !inline && !awaiting {
		sendBody()
	}
	c.used = true
	c.in.left = maxHeads
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		switch {
		case err != nil && awaiting:
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		case err != nil:
			return nil, readError(err)
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			if awaiting && resp.StatusCode == http.StatusContinue {
				awaiting = false
				sendBody()
			}
			if r.Interim != nil {
				r.Interim(resp.StatusCode)
			}
			continue
		}
		switch r.Match(resp) {
		case Own:
			if awaiting {
				resp.Close = true // the peer may still take what is sent next for the body
			}
			c.in.left = unbounded
			return c.answer(resp, rest), nil
		case Foreign:
			return nil, errors.Wrapf(ErrMalformed, "answer of status %d names another request", resp.StatusCode)
		}
		if !framed(resp) {
			return nil, errors.Wrap(ErrMalformed, "an earlier request's answer has no end")
		}
		heads := c.in.left
		c.in.left = maxSkipped
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, readError(err)
		}
		c.in.left = heads
	}
}

// errTooLong ends the reading of bytes that come without end.
var errTooLong = errors.New("the peer sent more than an answer may have")

// unbounded is the allowance of a body, whose reader bounds it.
const unbounded = 1<<63 - 1

// allowance passes on bytes until so many have been read, then fails with errTooLong.
type allowance struct {
	r    io.Reader
	left int64
}

func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, errTooLong
	}
	n, err := a.r.Read(p[:min(int64(len(p)), a.left)])
	a.left -= int64(n)
	return n, err
}

// framed reports whether the answer's end can be told without the connection's end.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

func sendError(err error, sent int) error {
	if sent == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

func readError(err error) error {
	var ne net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET),
		errors.Is(err, syscall.EPIPE), errors.Is(err, net.ErrClosed), errors.As(err, &ne):
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

func (r *Request) head() []byte {
	b := make([]byte, 0, 1024+min(len(r.Body), inlineBody))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	if r.Announced {
		b = append(b, "Expect: 100-continue\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Answer is the answer to a request; its body is read from the connection.
type Answer struct {
	*http.Response
	conn  *Conn
	rest  chan error // the outcome of sending a long body, or nil
	stop  func() bool
	whole bool
}

func (c *Conn) answer(resp *http.Response, rest chan error) *Answer {
	c.idleLimit = keepAliveLimit(resp.Header)
	return &Answer{Response: resp, conn: c, rest: rest}
}

// keepAliveLimit returns how long a connection may stay idle before it is used again.
func keepAliveLimit(h http.Header) time.Duration {
	for term := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(term), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n > 0 {
				return time.Duration(float64(n) * idleShare * float64(time.Second))
			}
		}
	}
	return defaultIdleLimit
}

// ReadWhole reads at most limit bytes of the body; more reports whether bytes are left on the connection.
func (a *Answer) ReadWhole(limit int) (body []byte, more bool, err error) {
	if a.Request.Method == http.MethodHead {
		a.whole = true
		return nil, false, nil
	}
	if n := a.ContentLength; n >= 0 && n <= int64(limit) {
		body = make([]byte, n)
		if _, err = io.ReadFull(a.Body, body); err != nil {
			return nil, false, readError(err)
		}
	} else {
		body, err = io.ReadAll(io.LimitReader(a.Body, int64(limit)))
		if err != nil {
			return nil, false, readError(err)
		}
		if len(body) == limit {
			return body, true, nil
		}
	}
	if _, err = io.Copy(io.Discard, a.Body); err != nil { // reads the trailers
		return nil, false, readError(err)
	}
	a.whole = true
	return body, false, nil
}

// Read reads from a body that ReadWhole has left.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	switch {
	case err == io.EOF:
		a.whole = true
	case err != nil:
		err = readError(err)
	}
	return n, err
}

// Release ends the exchange; it returns the connection if another exchange may use it, and closes it otherwise.
func (a *Answer) Release(now time.Time) *Conn {
	active := a.stop()
	c := a.conn
	sent := true
	if a.rest != nil {
		select {
		case err := <-a.rest:
			sent = err == nil
		default:
			sent = false
		}
	}
	if !active || !sent || !a.whole || a.Close || !framed(a.Response) || c.br.Buffered() > 0 {
		c.Close()
		return nil
	}
	c.idleSince = now
	return c
}
