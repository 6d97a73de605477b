package gate

import (
	"context"
	"time"

	"github.com/cassialead/cassialead/hop"
)

// intake decides which announced bodies a VM's link can still bring in time. On a link that is full a body that comes too late
// takes the time of one that would not. It is not safe for concurrent use.
type intake struct {
	link    *Link
	pressed time.Time // when a body that could have been in time was last refused
}

// offer decides on a body: Admitted lets it wait for its turn on the link. run is how long its call takes from its arrival to
// its answer.
func (i *intake) offer(now time.Time, t *Ticket, bytes int, run time.Duration) Decision {
	backlog := i.link.Backlog()
	needs := i.link.Time(bytes) + run
	end := now.Add(backlog + needs)
	late := now.Add(needs).After(t.Aim)
	switch {
	case end.After(t.Deadline), late && backlog > lateWait:
		return Turned{hop.TooLate, backlog}
	case late && now.Sub(i.pressed) < pressTime:
		return Turned{hop.TooLate, i.pressed.Add(pressTime).Sub(now)}
	case backlog > linkSlack && t.Patience == hop.Elsewhere:
		return Turned{hop.Busy, backlog}
	case !late && end.After(t.Aim):
		i.pressed = now
		return Turned{hop.TooLate, max(end.Sub(t.Aim), i.link.Time(bytes))}
	}
	return Admitted{}
}

// Receive decides whether the body of an announced call may come, and waits for its turn on the VM's link. gone is asked then
// whether the caller's node has given the call up. A refused call has not run.
func (g *Gate) Receive(ctx context.Context, c *hop.Call, bytes int, gone func() bool) *hop.Refused {
	refused := g.receive(ctx, c, bytes, gone)
	if refused != nil {
		g.meters.outcome(*refused)
		g.logRefusal(c, *refused)
	}
	return refused
}

func (g *Gate) receive(ctx context.Context, c *hop.Call, bytes int, gone func() bool) *hop.Refused {
	claim, refused := g.announce(c, bytes)
	if refused != nil {
		return refused
	}
	defer claim.Set(0)
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(-minServiceTime))
	defer cancel()
	stop := context.AfterFunc(g.leaving, cancel)
	defer stop()
	if !g.deps.Downlink.Wait(ctx, claim, bytes) {
		cause := hop.Expired
		if g.leaving.Err() != nil {
			cause = hop.Closed
		}
		return &hop.Refused{Cause: cause, RetryAfter: g.deps.Downlink.Backlog(), Load: g.loadFor(c)}
	}
	if gone() {
		g.deps.Downlink.Return(bytes)
		return &hop.Refused{Cause: hop.CallerGone, Load: g.loadFor(c)}
	}
	return nil
}

// announce decides on an announced body and counts it as expected.
func (g *Gate) announce(c *hop.Call, bytes int) (*Reservation, *hop.Refused) {
	now := g.deps.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused := g.turnAway(now, c); refused != nil {
		return nil, refused
	}
	t := ticket(c)
	if d, ok := g.intake.offer(now, t, bytes, g.queue.Wait(now, t)+g.queue.holdOf(c.Route)).(Turned); ok {
		return nil, &hop.Refused{Cause: d.Cause, RetryAfter: d.Wait, Load: g.load(now, c)}
	}
	return g.deps.Downlink.Reserve(bytes, c.Aim), nil
}
