package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/platform"
)

var lastRequest atomic.Int64

// result is what a client has seen of one request.
type result struct {
	id     string
	status int // zero: no answer
	signed bool
	length int64 // of the body as the head of the answer names it, or -1
	bytes  int64 // of the body as received
	whole  bool  // the body has ended as its head says
	took   time.Duration
	err    error
	// retryAfter is how long the answer asks the client to wait.
	retryAfter time.Duration
}

func (r result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer after %.3f s: %v", r.took.Seconds(), r.err)
	}
	return fmt.Sprintf("%d after %.3f s, signed %v, Content-Length %d, %d bytes received, whole %v", r.status, r.took.Seconds(), r.signed, r.length, r.bytes, r.whole)
}

// newID returns the id of a client's attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a30000+lastRequest.Add(1)) }

// request sends one request to the outbound address of a machine, on a new connection, and waits as long as Timeout-Ms says and,
// if patience is longer, that long.
func request(rec *recorder, m *machine, method, path, body string, timeout, patience time.Duration) result {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), max(timeout, patience))
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, strings.NewReader(body))
	if err != nil {
		return result{id: id, err: err}
	}
	r.Host = host
	r.Header.Set(platform.RequestIDHeader, id)
	r.Header.Set(platform.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	c := http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableKeepAlives: true, DisableCompression: true}}
	rec.printf("sent      %s %s %s to %s, Timeout-Ms %d", id, method, path, m.name, timeout.Milliseconds())
	start := time.Now()
	out := result{id: id}
	resp, err := c.Do(r)
	if err != nil {
		out.err, out.took = err, time.Since(start)
		rec.printf("answered  %s %v", id, out)
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.length, out.signed = resp.StatusCode, resp.ContentLength, resp.Header.Get(platform.SignatureHeader) != ""
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	out.bytes, err = io.Copy(io.Discard, resp.Body)
	out.whole, out.err, out.took = err == nil, err, time.Since(start)
	rec.printf("answered  %s %v", id, out)
	return out
}
