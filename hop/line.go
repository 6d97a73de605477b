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
	maxIdle        = 8                      // idle connections kept to one node
	connectTimeout = 500 * time.Millisecond // thirty times the longest round trip between regions, or one lost packet
	signAfter      = 120 * time.Millisecond // time without an answer after which a node says that it has the call
	silenceLimit   = 450 * time.Millisecond // time without a sign: signAfter, a round trip and one lost packet
	maxAhead       = 1 << 20                // bytes of an answer read ahead, so that a broken one is never begun
	unlimited      = time.Duration(1<<63 - 1)
)

// SignAfter returns how long a node may work on a call before it has to say that it has it.
func SignAfter() time.Duration { return signAfter }

var errSilent = errors.New("the node gave no sign that it has the call")

// Lines carries calls to other nodes over connections that it keeps.
type Lines struct {
	now   func() time.Time
	mu    sync.Mutex
	pools map[fleet.Address]*exchange.Pool
}

// NewLines returns lines without connections.
func NewLines(now func() time.Time) *Lines {
	return &Lines{now: now, pools: map[fleet.Address]*exchange.Pool{}}
}

func (l *Lines) pool(a fleet.Address) *exchange.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.pools[a]
	if p == nil {
		p = exchange.NewPool(maxIdle)
		l.pools[a] = p
	}
	return p
}

// Forget closes the connections to a node that has gone.
func (l *Lines) Forget(a fleet.Address) {
	l.mu.Lock()
	p := l.pools[a]
	delete(l.pools, a)
	l.mu.Unlock()
	if p != nil {
		p.Close()
	}
}

// Carry brings a call to the node at an address. An order goes over a new connection, since a kept one may have gone
// silent and nothing would tell whether the order arrived; for other calls silence is found out by a missing sign.
func (l *Lines) Carry(ctx context.Context, to fleet.Address, c *Call) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	o := l.carry(ctx, cancel, to, c)
	if a, ok := o.(*Answered); ok && a.Rest != nil {
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

func (l *Lines) carry(ctx context.Context, cancel context.CancelCauseFunc, to fleet.Address, c *Call) Outcome {
	pool := l.pool(to)
	var granted atomic.Bool
	silence := time.AfterFunc(silenceLimit, func() {
		// An announced call whose body has not been asked for can't have run.
		switch {
		case c.Announced && !granted.Load():
			cancel(errSilent)
		case c.Silent != nil:
			c.Silent()
		}
	})
	defer silence.Stop()
	a, err := l.send(ctx, pool, to, c, func(status int) {
		granted.Store(granted.Load() || status == http.StatusContinue)
		silence.Stop()
	})
	if err != nil {
		return l.failed(ctx, c, err)
	}
	silence.Stop()
	o, _, err := ReadOutcome(a.Response)
	if err != nil {
		a.Release(l.now())
		return Failed{Cause: BadAnswer}
	}
	answered, ok := o.(*Answered)
	body, more, err := a.ReadWhole(maxAhead)
	if err != nil {
		a.Release(l.now())
		return l.failed(ctx, c, err)
	}
	if !ok || !more {
		pool.Put(a.Release(l.now()))
		if ok {
			answered.Body, answered.Length, answered.Release = body, int64(len(body)), func() {}
		}
		return o
	}
	answered.Body, answered.Rest, answered.Release = body, a, func() { pool.Put(a.Release(l.now())) }
	return answered
}

func (l *Lines) send(ctx context.Context, pool *exchange.Pool, to fleet.Address, c *Call, sign func(status int)) (*exchange.Answer, error) {
	r := &exchange.Request{Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body, Announced: c.Announced,
		Match:   func(resp *http.Response) exchange.Match { return ownOutcome(resp, c.ID) },
		Interim: sign}
	if c.Repeatable {
		if kept := pool.Take(l.now(), unlimited); kept != nil {
			r.Header = l.header(c)
			a, err := kept.Do(ctx, r)
			if !errors.Is(err, exchange.ErrNotSent) {
				return a, err
			}
		}
	}
	conn, err := exchange.Dial(ctx, string(to), connectTimeout)
	if err != nil {
		return nil, err
	}
	r.Header = l.header(c)
	return conn.Do(ctx, r)
}

func (l *Lines) header(c *Call) http.Header {
	h := make(http.Header, len(c.Header)+1)
	for name, values := range c.Header {
		h[name] = values
	}
	WriteCall(h, c, l.now())
	return h
}

// ownOutcome accepts an answer that names the call; nodes never answer out of turn.
func ownOutcome(resp *http.Response, id CallID) exchange.Match {
	var w outcomeWire
	if decode(resp.Header.Get(outcomeHeader), &w) != nil || w.ID != string(id) {
		return exchange.Foreign
	}
	return exchange.Own
}

// failed judges an exchange without a whole answer.
func (l *Lines) failed(ctx context.Context, c *Call, err error) Outcome {
	notSent := errors.Is(err, exchange.ErrNotSent)
	switch {
	case errors.Is(context.Cause(ctx), errSilent) && notSent, ctx.Err() == nil && notSent:
		return Refused{Cause: Unreachable}
	case errors.Is(context.Cause(ctx), errSilent):
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
