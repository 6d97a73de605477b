package gate

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
)

const (
	maxBuffered          = 1 << 20                // bytes of a body read before forwarding; a body truncated within them is not forwarded
	nonIdempotentMaxIdle = time.Second            // longest idle time of a pooled connection for a non-idempotent call
	idleCloseMinIdle     = 50 * time.Millisecond  // idle time from which a reset of a pooled connection may be an idle timeout
	idleCloseMaxDelay    = 100 * time.Millisecond // longest time from the request to such a reset
	nonIdempotentGrace   = 400 * time.Millisecond // after a call's deadline, in which the target may report that it aborted the call; callers are answered within half a second
	minTimeLeft          = time.Millisecond       // no call is started with less time left before its deadline
	tolerableBacklog     = 50 * time.Millisecond  // backlog of the link up to which no call is refused
	sizeWeight           = 0.1                    // weight of one response in the moving average of a route's response size
	headerOverhead       = 600                    // bytes of a response's head and packet headers on the link
	maxUnsignedRemainder = 16 << 20               // bytes of an unsigned failure passed on beyond maxBuffered; a longer one is broken off
)

// Do admits a call and sends it to the target. Cancelling ctx aborts a call that is queued or idempotent; a non-idempotent
// call that has started continues.
func (g *Gate) Do(ctx context.Context, c *hop.Call) hop.Outcome {
	o := g.do(ctx, c)
	g.metrics.outcome(o)
	switch o := o.(type) {
	case hop.Refused:
		g.logRefusal(c, o)
	case hop.Failed:
		g.deps.Log.Info("call failed at the target", "call", c.ID, "cause", o.Cause, "service", c.Service, "instance", c.Instance,
			"left", c.Deadline.Sub(g.deps.Now()))
	}
	return o
}

func (g *Gate) logRefusal(c *hop.Call, o hop.Refused) {
	if o.Cause == hop.Busy {
		return
	}
	g.deps.Log.Info("call refused at the gate", "call", c.ID, "cause", o.Cause, "service", c.Service, "instance", c.Instance, "rank", c.Rank,
		"running", o.Load.Running, "waiting", o.Load.Waiting, "limit", o.Load.Limit, "rate_limit", o.Load.RateLimit, "inbound", o.Load.DownlinkBacklog, "expected_wait", o.RetryAfter)
}

func (g *Gate) do(ctx context.Context, c *hop.Call) hop.Outcome {
	g.endBeforeStop(c)
	s, refused := g.admit(ctx, c)
	if refused != nil {
		return *refused
	}
	o := g.execute(ctx, c, s)
	if _, ok := o.(*hop.Answered); !ok {
		s.reservation.Resize(0)
	}
	return o
}

// newTicket returns a call's ticket for the queue. A nested call's soft deadline is its deadline, as its response is of full
// value for as long as its parent waits.
func newTicket(c *hop.Call) *Ticket {
	t := &Ticket{Route: c.Route, Rank: c.Rank, SoftDeadline: c.SoftDeadline, Deadline: c.Deadline, QueuePolicy: c.QueuePolicy}
	if c.Rank == hop.RankNested {
		t.SoftDeadline = c.Deadline
	}
	return t
}

// execution describes the attempts of a call that the target is executing.
type execution struct {
	attempts int
	retry    bool // an earlier attempt may have reached a target
}

// Runs reports whether the target is executing a call, and whether that is a retry.
func (g *Gate) Runs(id hop.CallID) (running, retry bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.running[id]
	return ok, e.retry
}

// slot is one of the target's slots, held by a call.
type slot struct {
	g           *Gate
	call        hop.CallID
	route       config.RouteName
	acquired    time.Time
	waited      time.Duration
	target      lifecycle.Target
	pool        *exchange.Pool
	once        sync.Once
	reservation *Reservation // on the VM's uplink
}

// release returns the slot. conclusive tells whether the outcome counts towards the target's failure rate and service time;
// failed tells that the target failed to serve the call.
func (s *slot) release(conclusive, failed bool) {
	s.once.Do(func() {
		now := s.g.deps.Now()
		held := now.Sub(s.acquired)
		s.g.metrics.slotReleased(s.waited, held)
		s.g.mu.Lock()
		defer s.g.mu.Unlock()
		if conclusive {
			s.g.recordResult(now, failed)
		}
		if conclusive && !failed {
			s.g.durations.Record(s.route, held, now)
		}
		if !conclusive || failed {
			held = 0
		} else {
			held = time.Duration(float64(held) / s.g.slowdown)
		}
		s.g.endExecution(s.call)
		s.g.queue.Release(now, s.route, held)
	})
}

// endExecution records that the target has ended one attempt of a call; it is called with mu held.
func (g *Gate) endExecution(id hop.CallID) {
	e := g.running[id]
	if e.attempts--; e.attempts <= 0 {
		delete(g.running, id)
		return
	}
	g.running[id] = e
}

// admit waits until the call gets a slot or is refused.
func (g *Gate) admit(ctx context.Context, c *hop.Call) (*slot, *hop.Refused) {
	now := g.deps.Now()
	decided := make(chan Decision, 1)
	t := newTicket(c)
	t.OnDecision = func(d Decision) { decided <- d }
	g.mu.Lock()
	if refused := g.rejectEarly(now, c); refused != nil {
		g.mu.Unlock()
		return nil, refused
	}
	d := g.queue.Offer(now, t)
	if _, ok := d.(Queued); ok {
		g.scheduleRefresh()
	}
	g.mu.Unlock()
	if _, ok := d.(Queued); ok {
		select {
		case d = <-decided:
		case <-ctx.Done():
			g.mu.Lock()
			cancelled := g.queue.Cancel(t)
			g.mu.Unlock()
			d = Rejected{Cause: hop.CallerGone}
			if !cancelled {
				d = <-decided
			}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch d := d.(type) {
	case Admitted:
		s := &slot{g: g, call: c.ID, route: c.Route, acquired: g.deps.Now(), waited: d.Waited, target: g.tracker.Target(), pool: g.pool}
		if refused := g.rejectAdmitted(c, s); refused != nil {
			g.queue.ReleaseUnsent(s.acquired)
			return nil, refused
		}
		e := g.running[c.ID]
		g.running[c.ID] = execution{e.attempts + 1, e.retry || c.Retry}
		if size := g.responseSizes[c.Route]; !c.SameVM && size >= hop.BulkSize {
			s.reservation = g.deps.Uplink.Reserve(int(size), c.SoftDeadline)
		}
		return s, nil
	case Rejected:
		return nil, &hop.Refused{Cause: d.Cause, RetryAfter: d.Wait, Load: g.load(g.deps.Now(), c)}
	}
	panic("queue returned no decision on a call")
}

// rejectEarly refuses a call that can't be served here, before it is queued; it is called with mu held.
func (g *Gate) rejectEarly(now time.Time, c *hop.Call) *hop.Refused {
	t := g.tracker.Target()
	cause := hop.Cause("")
	switch {
	case g.closed || t.State == lifecycle.Leaving || g.endsTooLate(now.Add(g.queue.ExpectedWait(now, newTicket(c))), c):
		cause = hop.Closed
	case t.ID == "" || t.ID != c.Instance || t.Service != c.Service:
		cause = hop.NotHere
	case t.State != lifecycle.Open:
		cause = hop.TargetDown
	case c.Deadline.Sub(now) < minTimeLeft, g.uplinkFull(now, c):
		cause = hop.TooLate
	default:
		return nil
	}
	return &hop.Refused{Cause: cause, RetryAfter: g.deps.Uplink.Backlog(), Load: g.load(now, c)}
}

// uplinkFull reports whether a bulk response to another VM could not be sent by the call's soft deadline; it is called with mu
// held.
func (g *Gate) uplinkFull(now time.Time, c *hop.Call) bool {
	size := g.responseSizes[c.Route]
	if c.SameVM || size < hop.BulkSize {
		return false
	}
	backlog := g.deps.Uplink.Backlog()
	return backlog > tolerableBacklog && now.Add(backlog+g.deps.Uplink.TransmitTime(int(size))+g.queue.routeServiceTime(c.Route)).After(c.SoftDeadline)
}

// recordSize updates the mean response size of a route.
func (g *Gate) recordSize(r config.RouteName, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mean, ok := g.responseSizes[r]
	if !ok {
		mean = float64(bytes)
	}
	g.responseSizes[r] = mean + sizeWeight*(float64(bytes)-mean)
}

// rejectAdmitted refuses an admitted call if its target has changed or its deadline has passed while it was queued; it is called
// with mu held.
func (g *Gate) rejectAdmitted(c *hop.Call, s *slot) *hop.Refused {
	t := s.target
	switch {
	case g.endsTooLate(s.acquired, c): // the wait took longer than expected
	case t.State == lifecycle.Open && t.ID == c.Instance && t.Service == c.Service:
		if s.acquired.Before(c.Deadline) {
			return nil
		}
		return &hop.Refused{Cause: hop.Expired, Load: g.load(s.acquired, c)}
	case t.State == lifecycle.Down:
		return &hop.Refused{Cause: hop.TargetDown, Load: g.load(s.acquired, c)}
	}
	return &hop.Refused{Cause: hop.Closed, Load: g.load(s.acquired, c)}
}

// execute sends an admitted call to the target and returns its outcome.
func (g *Gate) execute(ctx context.Context, c *hop.Call, s *slot) hop.Outcome {
	if !c.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	deadline := c.Deadline
	if !c.Idempotent {
		deadline = deadline.Add(nonIdempotentGrace)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	maxIdleTime := time.Duration(1<<63 - 1)
	if !c.Idempotent {
		maxIdleTime = nonIdempotentMaxIdle
	}
	g.metrics.callSent(c.Retry)
	resp, err := g.send(ctx, c, s, s.pool.Get(s.acquired, maxIdleTime))
	if err != nil {
		defer cancel()
		return g.sendFailure(ctx, c, s, err)
	}
	h := g.deps.Dialect.ReadHead(c, resp.Response)
	claim := h.Facts.Claim()
	g.recordLoad(h.Load)
	g.recordNotices(c, s, h)
	body, more, err := resp.ReadBody(maxBuffered)
	if err != nil {
		defer cancel()
		resp.Release(g.deps.Now())
		return g.sendFailure(ctx, c, s, err)
	}
	if more {
		switch claim {
		case Genuine:
			return g.stream(c, s, resp, body, cancel)
		case Unsigned:
			resp.Bound(maxUnsignedRemainder)
			return g.stream(c, s, resp, body, cancel)
		}
		claim = Inconclusive
	}
	s.pool.Put(resp.Release(g.deps.Now()))
	cancel()
	return g.outcomeOf(c, s, resp, claim, body)
}

// send sends a call to the target and reads the response head. A pooled connection that turns out to be closed before anything
// was sent is replaced by a new one. After a later reset the call is not sent again: the target may have received it, and a
// target that resets connections under overload would receive it twice; the caller's node decides within its retry budget.
func (g *Gate) send(ctx context.Context, c *hop.Call, s *slot, pooled *exchange.Conn) (*exchange.Response, error) {
	if c.ID == "" {
		// No response on a connection that has carried other calls could be told from a late one to those.
		s.pool.Put(pooled)
		pooled = nil
	}
	reused := pooled != nil
	r := &exchange.Request{Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body,
		Match: func(resp *http.Response) exchange.Match {
			m := g.deps.Dialect.Match(c, resp, reused)
			if m == exchange.Stale {
				g.metrics.staleResponses.Inc()
				g.deps.Log.Info("skipped stale response of an earlier call", "call", c.ID, "instance", s.target.ID, "status", resp.StatusCode)
			}
			return m
		}}
	if pooled != nil {
		now := g.deps.Now()
		idle := pooled.IdleTime(now)
		r.Header = g.deps.Dialect.Headers(c, s.target.ID, c.Deadline.Sub(now))
		resp, err := pooled.Do(ctx, r)
		elapsed := g.deps.Now().Sub(now)
		dropped := errors.Is(err, exchange.ErrBroken) && elapsed < idleCloseMaxDelay && idle > idleCloseMinIdle && ctx.Err() == nil
		if dropped {
			s.pool.ReportDropped(now, idle)
			g.deps.Log.Info("target dropped a pooled connection", "call", c.ID, "instance", s.target.ID, "idle", idle)
		}
		if !errors.Is(err, exchange.ErrNotSent) {
			return resp, err
		}
	}
	conn, err := exchange.Dial(ctx, string(s.target.Address), connectTimeout)
	if err != nil {
		return nil, err
	}
	reused = false
	g.metrics.connections.Inc()
	r.Header = g.deps.Dialect.Headers(c, s.target.ID, c.Deadline.Sub(g.deps.Now()))
	return conn.Do(ctx, r)
}

// sendFailure returns the outcome of an exchange that failed before a complete response was received.
func (g *Gate) sendFailure(ctx context.Context, c *hop.Call, s *slot, err error) hop.Outcome {
	now := g.deps.Now()
	if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		timedOut := !now.Before(c.Deadline) || errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil
		s.release(timedOut, timedOut)
		if timedOut {
			s.count(true)
		}
		if timedOut {
			return hop.Failed{Cause: hop.TimedOut, Load: g.currentLoad(c)}
		}
		if errors.Is(err, exchange.ErrNotSent) {
			return hop.Refused{Cause: hop.CallerGone, Load: g.currentLoad(c)}
		}
		return hop.Failed{Cause: hop.CallerGone, Load: g.currentLoad(c)}
	}
	g.deps.Log.Info("exchange with the target failed", "call", c.ID, "instance", s.target.ID, "error", err)
	s.release(true, true)
	if !errors.Is(err, exchange.ErrNotSent) {
		s.count(true)
	}
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		g.transition("connection failed", func(t *lifecycle.Tracker) bool { return t.MarkDown(s.target.ID) })
		return hop.Refused{Cause: hop.TargetDown, Load: g.currentLoad(c)}
	case errors.Is(err, exchange.ErrMalformed):
		return hop.Failed{Cause: hop.BadAnswer, Load: g.currentLoad(c)}
	}
	return hop.Failed{Cause: hop.Broken, Load: g.currentLoad(c)}
}

// outcomeOf returns the outcome of a call whose response was read completely, or of an inconclusive one.
func (g *Gate) outcomeOf(c *hop.Call, s *slot, resp *exchange.Response, claim Claim, body []byte) hop.Outcome {
	switch claim {
	case WrongTarget:
		s.release(false, false)
		g.transition("another target answered", func(t *lifecycle.Tracker) bool { return t.MarkReplaced(s.target.ID, g.deps.Now()) })
		g.startHealthCheck("another target answered")
		return hop.Refused{Cause: hop.NotHere, Load: g.currentLoad(c)}
	case NotExecuted:
		s.release(true, true)
		s.count(true)
		return hop.Refused{Cause: hop.TargetShed, RetryAfter: g.currentLoad(c).ServiceTime, Load: g.currentLoad(c)}
	case Inconclusive:
		s.release(true, true)
		s.count(true)
		g.deps.Log.Info("response states nothing about its call", "call", c.ID, "instance", s.target.ID, "status", resp.StatusCode, "read", len(body))
		return hop.Failed{Cause: hop.Unstated, Load: g.currentLoad(c)}
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	s.release(true, failed)
	s.count(failed)
	g.recordSize(c.Route, int64(len(body)))
	out := &hop.Answered{Status: resp.StatusCode, Header: resp.Header, Body: body, Length: int64(len(body)), Load: g.currentLoad(c), Release: func() {}}
	g.scheduleSend(c, s, out)
	return out
}

// stream forwards a response that exceeds maxBuffered; the slot is held until its body has been read.
func (g *Gate) stream(c *hop.Call, s *slot, resp *exchange.Response, body []byte, cancel context.CancelFunc) hop.Outcome {
	g.recordSize(c.Route, max(resp.ContentLength, int64(len(body))))
	failed := resp.StatusCode >= http.StatusInternalServerError
	s.count(failed) // without the rest of the body, whose time depends on the caller
	out := &hop.Answered{Status: resp.StatusCode, Header: resp.Header, Body: body, Remainder: resp, Length: resp.ContentLength, Load: g.currentLoad(c), Release: func() {
		s.pool.Put(resp.Release(g.deps.Now()))
		cancel()
		s.release(failed, failed)
	}}
	g.scheduleSend(c, s, out)
	return out
}

// scheduleSend accounts for a response to another VM on the uplink: a bulk response waits there for its chunks to be granted,
// and its reservation ends when it is released.
func (g *Gate) scheduleSend(c *hop.Call, s *slot, out *hop.Answered) {
	size := max(int(out.Length), len(out.Body))
	switch {
	case c.SameVM:
	case size < hop.BulkSize:
		g.deps.Uplink.RecordSent(size + headerOverhead)
		s.reservation.Resize(0)
	default:
		if s.reservation == nil {
			s.reservation = g.deps.Uplink.Reserve(size, c.SoftDeadline)
		}
		s.reservation.Resize(size)
		out.WaitToSend = func(ctx context.Context, bytes int) { g.deps.Uplink.Wait(ctx, s.reservation, bytes) }
		release := out.Release
		out.Release = func() {
			release()
			s.reservation.Resize(0)
		}
	}
}

// recordLoad applies the load that the target reported.
func (g *Gate) recordLoad(l TargetLoad) {
	if l.Slots <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.Slowdown > 0 {
		g.slowdown = l.Slowdown
	}
}

// nameRateLimit applies a limit that the target has named; it is called with mu held.
func (g *Gate) nameRateLimit(now time.Time, l RateLimit) {
	g.limitNamedAt = now
	g.queue.SetRateLimit(now, l)
}

// recordNotices applies the rate limit and the leaving that a target announces in its answer.
func (g *Gate) recordNotices(c *hop.Call, s *slot, h Head) {
	if !h.Facts.Own() {
		return
	}
	now := g.deps.Now()
	g.mu.Lock()
	if t := g.tracker.Target(); !t.SameStart(s.target.ID, s.target.StartTime) {
		g.mu.Unlock()
		return
	}
	g.answered = true
	switch {
	case h.RateLimit.Named:
		g.nameRateLimit(now, h.RateLimit)
	case !s.acquired.Before(g.limitNamedAt):
		// An answer to an earlier call may be older than the one that named the limit.
		g.queue.SetRateLimit(now, RateLimit{})
	}
	g.updateSlots(now)
	limit, before := g.queue.RateLimit(), g.loggedLimit
	changed := limit.differs(before)
	if changed {
		g.loggedLimit = limit
	}
	g.mu.Unlock()
	g.metrics.rateLimitNamed(limit)
	if changed {
		g.deps.Log.Info("target changed its rate limit", "call", c.ID, "instance", s.target.ID, "limit", limit.String(), "before", before.String())
	}
	if h.Leaving {
		g.transition("answer", func(t *lifecycle.Tracker) bool { return t.MarkLeaving(s.target.ID, s.target.StartTime, g.deps.Now()) })
	}
}

func (g *Gate) currentLoad(c *hop.Call) hop.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(g.deps.Now(), c)
}
