package hop

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/fleet"
)

const (
	maxIdle        = 8                      // idle connections kept per node
	connectTimeout = 500 * time.Millisecond // covers thirty times the longest round trip between regions, or one lost packet
	ackDelay       = 120 * time.Millisecond // time without an answer after which a node acknowledges the call by status 102
	ackTimeout     = 450 * time.Millisecond // covers ackDelay, a round trip and one lost packet
	maxReadAhead   = 1 << 20                // bytes of an answer buffered first: up to this size, a truncated one is not passed on
	unlimited      = time.Duration(1<<63 - 1)
)

// AckDelay returns the time after which a node must acknowledge a call that it has not answered yet.
func AckDelay() time.Duration { return ackDelay }

var errNoAck = errors.New("the node did not acknowledge the call in time")

// Transport sends calls to other nodes over pooled connections.
type Transport struct {
	now   func() time.Time
	mu    sync.Mutex
	pools map[fleet.Address]*exchange.Pool
}

// NewTransport returns a transport without connections.
func NewTransport(now func() time.Time) *Transport {
	return &Transport{now: now, pools: map[fleet.Address]*exchange.Pool{}}
}

func (t *Transport) pool(a fleet.Address) *exchange.Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[a]
	if p == nil {
		p = exchange.NewPool(maxIdle)
		t.pools[a] = p
	}
	return p
}

// CloseConnections closes the pooled connections to a node that has left the fleet or failed.
func (t *Transport) CloseConnections(a fleet.Address) {
	t.mu.Lock()
	p := t.pools[a]
	delete(t.pools, a)
	t.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// RoundTrip sends a call to the node at an address and returns its outcome. A call that must not run twice uses a new
// connection: a pooled one may be dead, and it would remain unknown whether the call arrived. For idempotent calls a dead
// connection is detected by the missing acknowledgement.
func (t *Transport) RoundTrip(ctx context.Context, to fleet.Address, c *Call) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	o := t.roundTrip(ctx, cancel, to, c)
	if a, ok := o.(*Answered); ok && a.Remainder != nil {
		release := a.Release
		a.Release = func() {
			release()
			cancel(nil)
		}
		return o
	}
	cancel(nil)
	return o
}

func (t *Transport) roundTrip(ctx context.Context, cancel context.CancelCauseFunc, to fleet.Address, c *Call) Outcome {
	pool := t.pool(to)
	var continued atomic.Bool
	ackTimer := time.AfterFunc(ackTimeout, func() {
		// A call whose body the node has not accepted yet can't have run.
		switch {
		case c.ExpectContinue && !continued.Load():
			cancel(errNoAck)
		case c.OnAckTimeout != nil:
			c.OnAckTimeout()
		}
	})
	defer ackTimer.Stop()
	a, err := t.send(ctx, pool, to, c, func(status int) {
		continued.Store(continued.Load() || status == http.StatusContinue)
		ackTimer.Stop()
	})
	if err != nil {
		return t.failureOutcome(ctx, c, err)
	}
	ackTimer.Stop()
	o, _, err := ReadOutcome(a.Response)
	if err != nil {
		a.Release(t.now())
		return Failed{Cause: BadAnswer}
	}
	answered, ok := o.(*Answered)
	body, more, err := a.ReadBody(maxReadAhead)
	if err != nil {
		a.Release(t.now())
		return t.failureOutcome(ctx, c, err)
	}
	if !ok || !more {
		pool.Put(a.Release(t.now()))
		if ok {
			answered.Body, answered.Length, answered.Release = body, int64(len(body)), func() {}
		}
		return o
	}
	answered.Body, answered.Remainder, answered.Release = body, a, func() { pool.Put(a.Release(t.now())) }
	return answered
}

func (t *Transport) send(ctx context.Context, pool *exchange.Pool, to fleet.Address, c *Call, onInformational func(status int)) (*exchange.Response, error) {
	r := &exchange.Request{Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body, ExpectContinue: c.ExpectContinue,
		Match:           func(resp *http.Response) exchange.Match { return matchOutcome(resp, c.ID) },
		OnInformational: onInformational}
	if c.Idempotent {
		if pooled := pool.Get(t.now(), unlimited); pooled != nil {
			r.Header = t.header(c)
			a, err := pooled.Do(ctx, r)
			if !errors.Is(err, exchange.ErrNotSent) {
				return a, err
			}
		}
	}
	conn, err := exchange.Dial(ctx, string(to), connectTimeout)
	if err != nil {
		return nil, err
	}
	r.Header = t.header(c)
	return conn.Do(ctx, r)
}

func (t *Transport) header(c *Call) http.Header {
	h := make(http.Header, len(c.Header)+1)
	for name, values := range c.Header {
		h[name] = values
	}
	WriteCall(h, c, t.now())
	return h
}

// matchOutcome accepts a response with the call's id. Nodes send no stale responses, so any other one is unrelated.
func matchOutcome(resp *http.Response, id CallID) exchange.Match {
	var w wireOutcome
	if decode(resp.Header.Get(outcomeHeader), &w) != nil || w.ID != string(id) {
		return exchange.Unrelated
	}
	return exchange.Current
}

// failureOutcome maps an exchange that ended without a complete answer to an outcome.
func (t *Transport) failureOutcome(ctx context.Context, c *Call, err error) Outcome {
	notSent := errors.Is(err, exchange.ErrNotSent)
	switch {
	case errors.Is(context.Cause(ctx), errNoAck) && notSent, ctx.Err() == nil && notSent:
		return Refused{Cause: Unreachable}
	case errors.Is(context.Cause(ctx), errNoAck):
		return Failed{Cause: Silent}
	case ctx.Err() != nil && notSent:
		return Refused{Cause: Expired}
	case errors.Is(ctx.Err(), context.DeadlineExceeded), ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded):
		return Failed{Cause: TimedOut}
	case ctx.Err() != nil:
		return Failed{Cause: CallerGone}
	case errors.Is(err, exchange.ErrMalformed):
		return Failed{Cause: BadAnswer}
	}
	return Failed{Cause: Broken}
}
