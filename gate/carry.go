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
	maxBuffered    = 1 << 20                // bytes of an answer read ahead, so that a broken one is never begun
	orderIdle      = time.Second            // longest idle time of a connection that an order is sent on
	staleAfter     = 50 * time.Millisecond  // idle time from which a reset of a kept connection may be the target's idle close
	staleWithin    = 100 * time.Millisecond // such a reset comes at once
	orderPatience  = time.Second            // after its deadline, in which a target answers that it has given an order up
	minServiceTime = time.Millisecond       // time left below which no call is started
	linkSlack      = 50 * time.Millisecond  // backlog of the link that never turns a call away
	sizeGain       = 0.1                    // weight of one answer in the mean size of a route's answers
	headBytes      = 600                    // what an answer's head and its packets take on a link besides the body
)

// Do admits a call and brings it to the target. Cancelling ctx gives up a call that waits or may be repeated; an order
// that has started goes on.
func (g *Gate) Do(ctx context.Context, c *hop.Call) hop.Outcome {
	o := g.do(ctx, c)
	g.meters.outcome(o)
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
		"running", o.Load.Running, "waiting", o.Load.Waiting, "limit", o.Load.Limit, "inbound", o.Load.Inbound, "expected_wait", o.RetryAfter)
}

func (g *Gate) do(ctx context.Context, c *hop.Call) hop.Outcome {
	s, refused := g.admit(ctx, c)
	if refused != nil {
		return *refused
	}
	o := g.run(ctx, c, s)
	if _, ok := o.(*hop.Answered); !ok {
		s.claim.Set(0)
	}
	return o
}

// ticket returns a call's ticket for the queue. The answer to a nested call is of full use as long as its parent waits.
func ticket(c *hop.Call) *Ticket {
	t := &Ticket{Route: c.Route, Rank: c.Rank, Aim: c.Aim, Deadline: c.Deadline, Patience: c.Patience}
	if c.Rank == hop.RankNested {
		t.Aim = c.Deadline
	}
	return t
}

// work is what the target does for a call.
type work struct {
	attempts int
	repeat   bool // an earlier attempt may have reached a target
}

// Runs reports whether the target works on a call, and whether that is a repeat.
func (g *Gate) Runs(id hop.CallID) (works, repeat bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w, ok := g.running[id]
	return ok, w.repeat
}

// slot is a held slot of the target.
type slot struct {
	g       *Gate
	call    hop.CallID
	route   config.RouteName
	since   time.Time
	waited  time.Duration
	at      lifecycle.Target
	pool    *exchange.Pool
	release sync.Once
	claim   *Reservation // of the VM's link
}

// end returns the slot; failed says that the target did not do its work.
func (s *slot) end(telling, failed bool) {
	s.release.Do(func() {
		now := s.g.deps.Now()
		held := now.Sub(s.since)
		s.g.meters.held(s.waited, held)
		s.g.mu.Lock()
		defer s.g.mu.Unlock()
		if telling {
			s.g.observe(now, failed)
		}
		if !telling || failed {
			held = 0
		} else {
			held = time.Duration(float64(held) / s.g.pace)
		}
		s.g.forget(s.call)
		s.g.queue.Done(now, s.route, held)
	})
}

// forget notes that the target has ended its work on a call; it is called with mu held.
func (g *Gate) forget(id hop.CallID) {
	w := g.running[id]
	if w.attempts--; w.attempts <= 0 {
		delete(g.running, id)
		return
	}
	g.running[id] = w
}

// admit waits for a slot.
func (g *Gate) admit(ctx context.Context, c *hop.Call) (*slot, *hop.Refused) {
	now := g.deps.Now()
	decided := make(chan Decision, 1)
	t := ticket(c)
	t.Decided = func(d Decision) { decided <- d }
	g.mu.Lock()
	if refused := g.turnAway(now, c); refused != nil {
		g.mu.Unlock()
		return nil, refused
	}
	d := g.queue.Offer(now, t)
	if _, ok := d.(Queued); ok {
		g.expireLoop()
	}
	g.mu.Unlock()
	if _, ok := d.(Queued); ok {
		select {
		case d = <-decided:
		case <-ctx.Done():
			g.mu.Lock()
			cancelled := g.queue.Cancel(t)
			g.mu.Unlock()
			d = Turned{Cause: hop.CallerGone}
			if !cancelled {
				d = <-decided
			}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch d := d.(type) {
	case Admitted:
		s := &slot{g: g, call: c.ID, route: c.Route, since: g.deps.Now(), waited: d.Waited, at: g.life.Target(), pool: g.pool}
		if refused := g.turnAwayRun(c, s); refused != nil {
			g.queue.Done(s.since, c.Route, 0)
			return nil, refused
		}
		w := g.running[c.ID]
		g.running[c.ID] = work{w.attempts + 1, w.repeat || c.Repeat}
		if size := g.sizes[c.Route]; !c.Here && size >= hop.BulkSize {
			s.claim = g.deps.Uplink.Reserve(int(size), c.Aim)
		}
		return s, nil
	case Turned:
		return nil, &hop.Refused{Cause: d.Cause, RetryAfter: d.Wait, Load: g.load(now, c)}
	}
	panic("the queue left a call undecided")
}

// turnAway refuses calls that can't have a place here; it is called with mu held.
func (g *Gate) turnAway(now time.Time, c *hop.Call) *hop.Refused {
	o := g.life.Target()
	cause := hop.Cause("")
	switch {
	case g.closed || o.State == lifecycle.Leaving:
		cause = hop.Closed
	case o.ID == "" || o.ID != c.Instance || o.Service != c.Service:
		cause = hop.NotHere
	case o.State != lifecycle.Open:
		cause = hop.TargetDown
	case c.Deadline.Sub(now) < minServiceTime, g.linkFull(now, c):
		cause = hop.TooLate
	default:
		return nil
	}
	return &hop.Refused{Cause: cause, RetryAfter: g.deps.Uplink.Backlog(), Load: g.load(now, c)}
}

// linkFull reports whether a long answer to another VM could not leave within the call's aim; it is called with mu held.
func (g *Gate) linkFull(now time.Time, c *hop.Call) bool {
	size := g.sizes[c.Route]
	if c.Here || size < hop.BulkSize {
		return false
	}
	backlog := g.deps.Uplink.Backlog()
	return backlog > linkSlack && now.Add(backlog+g.deps.Uplink.Time(int(size))+g.queue.holdOf(c.Route)).After(c.Aim)
}

// measure takes the size of a route's answer.
func (g *Gate) measure(r config.RouteName, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	mean, ok := g.sizes[r]
	if !ok {
		mean = float64(bytes)
	}
	g.sizes[r] = mean + sizeGain*(float64(bytes)-mean)
}

// turnAwayRun refuses a call whose target has changed while it waited; it is called with mu held.
func (g *Gate) turnAwayRun(c *hop.Call, s *slot) *hop.Refused {
	o := s.at
	switch {
	case o.State == lifecycle.Open && o.ID == c.Instance && o.Service == c.Service:
		if s.since.Before(c.Deadline) {
			return nil
		}
		return &hop.Refused{Cause: hop.Expired, Load: g.load(s.since, c)}
	case o.State == lifecycle.Down:
		return &hop.Refused{Cause: hop.TargetDown, Load: g.load(s.since, c)}
	}
	return &hop.Refused{Cause: hop.Closed, Load: g.load(s.since, c)}
}

// run brings an admitted call to the target.
func (g *Gate) run(ctx context.Context, c *hop.Call, s *slot) hop.Outcome {
	if !c.Repeatable {
		ctx = context.WithoutCancel(ctx)
	}
	deadline := c.Deadline
	if !c.Repeatable {
		deadline = deadline.Add(orderPatience)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	most := time.Duration(1<<63 - 1)
	if !c.Repeatable {
		most = orderIdle
	}
	a, err := g.send(ctx, c, s, s.pool.Take(s.since, most))
	if err != nil {
		defer cancel()
		return g.sendFailed(ctx, c, s, err)
	}
	v := g.deps.Dialect.Judge(a.Response)
	g.note(v.Load)
	body, more, err := a.ReadWhole(maxBuffered)
	if err != nil {
		defer cancel()
		a.Release(g.deps.Now())
		return g.sendFailed(ctx, c, s, err)
	}
	if more && v.Genuine {
		return g.stream(c, s, a, body, cancel)
	}
	s.pool.Put(a.Release(g.deps.Now()))
	cancel()
	return g.judge(c, s, a, v, body)
}

// send makes the exchange with the target. A kept connection that turns out to be closed before anything was sent is replaced
// by a new one. One that is reset afterwards is not: the target may have had the call, and a target that resets when it is full
// would get it twice; the caller's node decides within its budget.
func (g *Gate) send(ctx context.Context, c *hop.Call, s *slot, kept *exchange.Conn) (*exchange.Answer, error) {
	r := &exchange.Request{Method: c.Method, URI: c.URI, Host: c.Host, Body: c.Body,
		Match: func(resp *http.Response) exchange.Match {
			m := g.deps.Dialect.Match(c, resp)
			if m == exchange.Earlier {
				g.meters.crossed.Inc()
				g.deps.Log.Info("answer of an earlier call skipped", "call", c.ID, "instance", s.at.ID, "status", resp.StatusCode)
			}
			return m
		}}
	if kept != nil {
		now := g.deps.Now()
		idle := kept.IdleTime(now)
		r.Header = g.deps.Dialect.Headers(c, s.at.ID, c.Deadline.Sub(now))
		a, err := kept.Do(ctx, r)
		took := g.deps.Now().Sub(now)
		dropped := errors.Is(err, exchange.ErrBroken) && took < staleWithin && idle > staleAfter && ctx.Err() == nil
		if dropped {
			s.pool.ReportDropped(now, idle)
			g.deps.Log.Info("kept connection was dropped by the target", "call", c.ID, "instance", s.at.ID, "idle", idle)
		}
		if !errors.Is(err, exchange.ErrNotSent) {
			return a, err
		}
	}
	conn, err := exchange.Dial(ctx, string(s.at.Address), connectTimeout)
	if err != nil {
		return nil, err
	}
	g.meters.connections.Inc()
	r.Header = g.deps.Dialect.Headers(c, s.at.ID, c.Deadline.Sub(g.deps.Now()))
	return conn.Do(ctx, r)
}

// sendFailed judges an exchange without a whole answer.
func (g *Gate) sendFailed(ctx context.Context, c *hop.Call, s *slot, err error) hop.Outcome {
	now := g.deps.Now()
	if ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		late := !now.Before(c.Deadline) || errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil
		s.end(late, late)
		if late {
			return hop.Failed{Cause: hop.TimedOut, Load: g.loadFor(c)}
		}
		if errors.Is(err, exchange.ErrNotSent) {
			return hop.Refused{Cause: hop.CallerGone, Load: g.loadFor(c)}
		}
		return hop.Failed{Cause: hop.CallerGone, Load: g.loadFor(c)}
	}
	g.deps.Log.Info("exchange with the target failed", "call", c.ID, "instance", s.at.ID, "error", err)
	s.end(true, true)
	switch {
	case errors.Is(err, exchange.ErrNotSent):
		g.change("no connection", func(l *lifecycle.Tracker) bool { return l.MarkDown(s.at.ID) })
		return hop.Refused{Cause: hop.TargetDown, Load: g.loadFor(c)}
	case errors.Is(err, exchange.ErrMalformed):
		return hop.Failed{Cause: hop.BadAnswer, Load: g.loadFor(c)}
	}
	return hop.Failed{Cause: hop.Broken, Load: g.loadFor(c)}
}

// judge turns a whole answer into an outcome.
func (g *Gate) judge(c *hop.Call, s *slot, a *exchange.Answer, v Verdict, body []byte) hop.Outcome {
	switch {
	case v.OtherTarget:
		s.end(false, false)
		g.change("another target answered", func(l *lifecycle.Tracker) bool { return l.MarkReplaced(s.at.ID) })
		g.ask("another target answered")
		return hop.Refused{Cause: hop.NotHere, Load: g.loadFor(c)}
	case v.NotRun:
		s.end(true, true)
		return hop.Refused{Cause: hop.TargetShed, RetryAfter: g.loadFor(c).Hold, Load: g.loadFor(c)}
	case a.StatusCode/100 == 2 && !v.Genuine:
		s.end(true, true)
		return hop.Failed{Cause: hop.BadAnswer, Load: g.loadFor(c)}
	}
	s.end(true, a.StatusCode >= http.StatusInternalServerError)
	g.measure(c.Route, int64(len(body)))
	out := &hop.Answered{Status: a.StatusCode, Header: a.Header, Body: body, Length: int64(len(body)), Load: g.loadFor(c), Release: func() {}}
	g.order(c, s, out)
	return out
}

// stream passes on an answer that is too long to be read ahead; its slot is held until it has been read.
func (g *Gate) stream(c *hop.Call, s *slot, a *exchange.Answer, body []byte, cancel context.CancelFunc) hop.Outcome {
	g.measure(c.Route, max(a.ContentLength, int64(len(body))))
	out := &hop.Answered{Status: a.StatusCode, Header: a.Header, Body: body, Rest: a, Length: a.ContentLength, Load: g.loadFor(c), Release: func() {
		s.pool.Put(a.Release(g.deps.Now()))
		cancel()
		s.end(false, false)
	}}
	g.order(c, s, out)
	return out
}

// order gives an answer to another VM its turn on the link; its claim ends with its release.
func (g *Gate) order(c *hop.Call, s *slot, out *hop.Answered) {
	size := max(int(out.Length), len(out.Body))
	switch {
	case c.Here:
	case size < hop.BulkSize:
		g.deps.Uplink.Note(size + headBytes)
		s.claim.Set(0)
	default:
		if s.claim == nil {
			s.claim = g.deps.Uplink.Reserve(size, c.Aim)
		}
		s.claim.Set(size)
		out.Send = func(ctx context.Context, bytes int) { g.deps.Uplink.Wait(ctx, s.claim, bytes) }
		release := out.Release
		out.Release = func() {
			release()
			s.claim.Set(0)
		}
	}
}

// note takes what the target says of its load.
func (g *Gate) note(l TargetLoad) {
	if l.Slots <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.Pace > 0 {
		g.pace = l.Pace
	}
}

func (g *Gate) loadFor(c *hop.Call) hop.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(g.deps.Now(), c)
}
