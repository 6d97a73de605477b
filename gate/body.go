package gate

import (
	"context"
	"time"

	"github.com/cassialead/cassialead/hop"
)

// bodyAdmission decides which request bodies a VM's downlink can receive in time. On a full link a late body would use link time
// that a body on time needs. It is not safe for concurrent use.
type bodyAdmission struct {
	link         *Link
	overloadedAt time.Time // when a body that could have been on time was last refused
}

// offer decides on a body; an admitted body may wait to be granted on the link. callTime is how long its call takes from the
// arrival of the body to the response.
func (a *bodyAdmission) offer(now time.Time, t *Ticket, bytes int, callTime time.Duration) Decision {
	backlog := a.link.Backlog()
	minTime := a.link.TransmitTime(bytes) + callTime
	end := now.Add(backlog + minTime)
	late := now.Add(minTime).After(t.SoftDeadline)
	switch {
	case end.After(t.Deadline), late && backlog > maxLateWait:
		return Rejected{hop.TooLate, backlog}
	case late && now.Sub(a.overloadedAt) < overloadPeriod:
		return Rejected{hop.TooLate, a.overloadedAt.Add(overloadPeriod).Sub(now)}
	case backlog > tolerableBacklog && t.QueuePolicy == hop.FailFast:
		return Rejected{hop.Busy, backlog}
	case !late && end.After(t.SoftDeadline):
		a.overloadedAt = now
		return Rejected{hop.TooLate, max(end.Sub(t.SoftDeadline), a.link.TransmitTime(bytes))}
	}
	return Admitted{}
}

// AdmitBody decides whether the body of a call with Expect: 100-continue may be sent, and waits until the VM's downlink grants it.
// callerGone then reports whether the caller's node has abandoned the call. A refused call is not executed.
func (g *Gate) AdmitBody(ctx context.Context, c *hop.Call, bytes int, callerGone func() bool) *hop.Refused {
	refused := g.admitBody(ctx, c, bytes, callerGone)
	if refused != nil {
		g.metrics.outcome(*refused)
		g.logRefusal(c, *refused)
	}
	return refused
}

func (g *Gate) admitBody(ctx context.Context, c *hop.Call, bytes int, callerGone func() bool) *hop.Refused {
	reservation, refused := g.reserveBody(c, bytes)
	if refused != nil {
		return refused
	}
	defer reservation.Resize(0)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(-minTimeLeft))
	defer cancel()
	stop := context.AfterFunc(g.lifetime, cancel)
	defer stop()
	if !g.deps.Downlink.Wait(ctx, reservation, bytes) {
		cause := hop.Expired
		if g.lifetime.Err() != nil {
			cause = hop.Closed
		}
		return &hop.Refused{Cause: cause, RetryAfter: g.deps.Downlink.Backlog(), Load: g.currentLoad(c)}
	}
	if callerGone() {
		g.deps.Downlink.Refund(bytes)
		return &hop.Refused{Cause: hop.CallerGone, Load: g.currentLoad(c)}
	}
	return nil
}

// reserveBody admits a request body and reserves its bytes on the downlink.
func (g *Gate) reserveBody(c *hop.Call, bytes int) (*Reservation, *hop.Refused) {
	now := g.deps.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused := g.rejectEarly(now, c); refused != nil {
		return nil, refused
	}
	t := newTicket(c)
	if d, ok := g.bodies.offer(now, t, bytes, g.queue.ExpectedWait(now, t)+g.queue.routeServiceTime(c.Route)).(Rejected); ok {
		return nil, &hop.Refused{Cause: d.Cause, RetryAfter: d.Wait, Load: g.load(now, c)}
	}
	return g.deps.Downlink.Reserve(bytes, c.SoftDeadline), nil
}
