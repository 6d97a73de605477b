package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/platform"
)

var lastRequest atomic.Uint64

// requestID returns an id that no other request has.
func requestID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+lastRequest.Add(1)) }

// reply is what a caller has seen of the answer to a request.
type reply struct {
	id     string
	status int // 0 if there was no complete answer
	header http.Header
	body   string
	sentAt time.Time
	took   time.Duration
	err    error
}

// call sends a request on a new connection to a node and waits for its answer for as long as it says in Timeout-Ms.
func (d *deployment) call(n *node, method, path, body string, timeout time.Duration) reply {
	r := reply{id: requestID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+path, strings.NewReader(body))
	if err != nil {
		r.err = err
		return r
	}
	req.Host = host
	req.Header.Set(platform.RequestIDHeader, r.id)
	req.Header.Set(platform.TimeoutHeader, fmt.Sprint(timeout.Milliseconds()))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err == nil {
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			r.status, r.header, r.body = resp.StatusCode, resp.Header, string(b)
		}
		_ = resp.Body.Close()
	}
	r.err, r.took = err, time.Since(r.sentAt)
	d.record("%s %s %s through %s: %s after %.3f s", method, path, r.id, n.name, r.outcome(), r.took.Seconds())
	return r
}

func (r reply) outcome() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer (%v)", r.err)
	}
	return fmt.Sprintf("status %d", r.status)
}
