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
	readBuffer        = 4 << 10         // bytes; usually holds a whole response head
	maxInlineBody     = 32 << 10        // bytes of a body that fit into the send buffer even if the peer does not read
	userTimeout       = 2 * time.Second // for unacknowledged bytes; below the 3 s allowed for detecting an unresponsive peer
	keepAliveIdle     = time.Second     // idle time before the first probe
	keepAliveInterval = time.Second     // between probes
	keepAliveCount    = 2               // unanswered probes after which the connection is closed
	defaultIdleLimit  = 4 * time.Second // for a pooled connection whose peer sends no Keep-Alive timeout
	idleShare         = 0.6             // of the peer's Keep-Alive timeout, so that requests don't race with the peer's close
	maxStale          = 64              // responses of earlier calls skipped in one exchange; their heads are in part read ahead and not counted
	maxHeads          = 64 << 10        // bytes of all response heads in one exchange, including informational and stale responses
	maxStaleBody      = 1 << 20         // bytes of a stale response's body
)

// Errors of an exchange.
var (
	// ErrNotSent means that no byte of the request was sent, or none of its body with Expect: 100-continue: the peer can't
	// have executed it.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken means that the connection failed before a complete response was received.
	ErrBroken = errors.New("connection failed before the response was complete")
	// ErrMalformed means that the peer sent bytes that are not a valid response to this request.
	ErrMalformed = errors.New("peer sent an invalid response")
)

// Request is an HTTP/1.1 request.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ExpectContinue sends Expect: 100-continue and holds the body back until the peer answers 100 Continue; the body is never
	// sent if the peer sends a final response instead.
	ExpectContinue bool
	// Match classifies a response by its head; stale responses are skipped.
	Match func(*http.Response) Match
	// OnInformational is called with the status of each informational (1xx) response; it may be nil.
	OnInformational func(status int)
}

// Match tells which request a response belongs to.
type Match uint8

// A response belongs to the current request, to an earlier request on the same connection, or to neither.
const (
	Current Match = iota
	Stale
	Unrelated
)

// Conn is a client connection that carries one exchange at a time.
type Conn struct {
	nc        net.Conn
	raw       syscall.RawConn
	in        boundedReader
	br        *bufio.Reader // reads from in
	idleSince time.Time
	idleLimit time.Duration
	used      bool
}

// Dial opens a connection; errors wrap ErrNotSent.
func Dial(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	nc, err := DialContext(&d)(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := &Conn{nc: nc, in: boundedReader{r: nc, remaining: unbounded}, idleLimit: defaultIdleLimit}
	c.br = bufio.NewReaderSize(&c.in, readBuffer)
	if raw, err := rawConn(nc); err == nil {
		c.raw = raw
		setUserTimeout(raw)
	}
	return c, nil
}

// setUserTimeout limits how long sent bytes may stay unacknowledged; on kernels without TCP_USER_TIMEOUT only the keep-alive
// probes detect an unresponsive peer.
func setUserTimeout(raw syscall.RawConn) {
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// Reused reports whether the connection has carried an exchange before.
func (c *Conn) Reused() bool { return c.used }

// Close closes the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// reusable reports whether the connection is open and has no unsolicited bytes to read.
func (c *Conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	_, err := peek(c.raw)
	return err == syscall.EAGAIN
}

// peek checks for received bytes without consuming them; it returns EAGAIN if the socket is open and has none.
func peek(raw syscall.RawConn) (n int, err error) {
	readErr := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if readErr != nil {
		return 0, readErr
	}
	return n, err
}

// Do sends a request and reads the response head. The body has to be read or closed before the next exchange. Cancelling ctx
// aborts the exchange and closes the connection.
func (c *Conn) Do(ctx context.Context, r *Request) (*Response, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.nc.SetDeadline(deadline)
	} else {
		_ = c.nc.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, func() { _ = c.nc.SetDeadline(time.Unix(1, 0)) })
	resp, err := c.exchange(r)
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	resp.stop = stop
	return resp, nil
}

func (c *Conn) exchange(r *Request) (*Response, error) {
	head := r.head()
	var bodySent chan error
	sendBody := func() {
		bodySent = make(chan error, 1)
		go func() {
			_, err := c.nc.Write(r.Body)
			bodySent <- err
		}()
	}
	awaitingContinue := r.ExpectContinue && len(r.Body) > 0
	inline := !awaitingContinue && len(r.Body) <= maxInlineBody
	if inline {
		head = append(head, r.Body...)
	}
	if n, err := c.nc.Write(head); err != nil {
		return nil, sendError(err, n)
	}
	if !inline && !awaitingContinue {
		sendBody()
	}
	c.used = true
	c.in.remaining = maxHeads
	for stale := 0; ; {
		err := checkStatus(c.br)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.br, &http.Request{Method: r.Method})
		}
		if err == nil {
			err = checkInformational(resp)
		}
		switch {
		case err != nil && awaitingContinue:
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		case err != nil:
			return nil, readError(err)
		}
		if resp.StatusCode < http.StatusOK {
			if awaitingContinue && resp.StatusCode == http.StatusContinue {
				awaitingContinue = false
				sendBody()
			}
			if r.OnInformational != nil {
				r.OnInformational(resp.StatusCode)
			}
			continue
		}
		switch r.Match(resp) {
		case Current:
			if awaitingContinue {
				resp.Close = true // the peer may read the next request as the body of this one
			}
			c.in.remaining = unbounded
			return c.newResponse(resp, bodySent), nil
		case Unrelated:
			return nil, errors.Wrapf(ErrMalformed, "response with status %d does not match the request", resp.StatusCode)
		}
		if stale++; stale > maxStale {
			return nil, errors.Wrapf(ErrMalformed, "more than %d stale responses", maxStale)
		}
		if !delimited(resp) {
			return nil, errors.Wrap(ErrMalformed, "stale response is delimited only by the end of the connection")
		}
		headsLeft := c.in.remaining
		c.in.remaining = maxStaleBody
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, readError(err)
		}
		c.in.remaining = headsLeft
	}
}

// errResponseTooLong is returned for a response that exceeds its size limit.
var errResponseTooLong = errors.New("response exceeds the size limit")

// unbounded is the read limit for a body unless Bound sets one.
const unbounded = 1<<63 - 1

// boundedReader reads up to remaining bytes, then fails with errResponseTooLong.
type boundedReader struct {
	r         io.Reader
	remaining int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errResponseTooLong
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}

// delimited reports whether the end of the response is marked by its length or chunked encoding rather than by the end of the
// connection.
func delimited(resp *http.Response) bool {
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
	b := make([]byte, 0, 1024+min(len(r.Body), maxInlineBody))
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
	if r.ExpectContinue {
		b = append(b, "Expect: 100-continue\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Response is the response to a request; its body is read from the connection.
type Response struct {
	*http.Response
	conn     *Conn
	bodySent chan error // receives the result of sending the request body in the background, or nil
	stop     func() bool
	complete bool
}

func (c *Conn) newResponse(resp *http.Response, bodySent chan error) *Response {
	c.idleLimit = keepAliveLimit(resp.Header)
	return &Response{Response: resp, conn: c, bodySent: bodySent}
}

// keepAliveLimit returns the longest idle time after which a connection may be reused.
func keepAliveLimit(h http.Header) time.Duration {
	for param := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(param), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n > 0 {
				return time.Duration(float64(n) * idleShare * float64(time.Second))
			}
		}
	}
	return defaultIdleLimit
}

// ReadBody reads at most limit bytes of the body; more reports whether the body may continue and has to be read with Read.
func (r *Response) ReadBody(limit int) (body []byte, more bool, err error) {
	if r.Request.Method == http.MethodHead {
		r.complete = true
		return nil, false, nil
	}
	if n := r.ContentLength; n >= 0 && n <= int64(limit) {
		body = make([]byte, n)
		if _, err = io.ReadFull(r.Body, body); err != nil {
			return nil, false, readError(err)
		}
	} else {
		body, err = io.ReadAll(io.LimitReader(r.Body, int64(limit)))
		if err != nil {
			return nil, false, readError(err)
		}
		if len(body) == limit {
			return body, true, nil
		}
	}
	if _, err = io.Copy(io.Discard, r.Body); err != nil { // reads the trailers
		return nil, false, readError(err)
	}
	r.complete = true
	return body, false, nil
}

// Bound limits the rest of the body to about this many bytes; reading fails beyond them.
func (r *Response) Bound(bytes int64) { r.conn.in.remaining = bytes }

// Read reads the rest of a body that exceeded the limit of ReadBody.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	switch {
	case err == io.EOF:
		r.complete = true
	case err != nil:
		err = readError(err)
	}
	return n, err
}

// Release ends the exchange; it returns the connection if it can be reused, and closes it and returns nil otherwise.
func (r *Response) Release(now time.Time) *Conn {
	active := r.stop()
	c := r.conn
	sent := true
	if r.bodySent != nil {
		select {
		case err := <-r.bodySent:
			sent = err == nil
		default:
			sent = false
		}
	}
	if !active || !sent || !r.complete || r.Close || !delimited(r.Response) || c.br.Buffered() > 0 {
		c.Close()
		return nil
	}
	c.idleSince = now
	return c
}
