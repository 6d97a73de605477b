package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/balance"
	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
)

// Peer is this node's view of a node and its target: address, load and back-off state. It is kept when the node's record
// changes.
type Peer struct {
	Node     fleet.NodeID
	Address  fleet.Address
	Service  config.ServiceName
	Instance lifecycle.ID
	Version  lifecycle.Version
	*balance.Target

	startTime lifecycle.StartTime // of the target

	mu       sync.Mutex
	failures atomic.Int32 // consecutive failures of the node
	retryAt  time.Time    // end of the back-off after failures
}

const (
	firstBackoff = 250 * time.Millisecond // after the first failure
	maxBackoff   = 2 * time.Second        // well below the time within which a recovered node has to receive calls
)

// newPeer returns a peer for a member; it has no load figures yet.
func newPeer(m member.Member, d balance.Distance) *Peer {
	return &Peer{Node: m.Node, Address: m.Address, Service: m.Target.Service, Instance: m.Target.ID, Version: m.Target.Version, startTime: m.Target.StartTime,
		Target: balance.New(d, m.Target.Slots, m.ReceivedAt.Add(m.Target.WarmUp))}
}

// Estimate returns the state by which the peer's target is chosen.
func (p *Peer) Estimate() *balance.Target { return p.Target }

// Available reports whether the peer's node is responsive, or its back-off has ended.
func (p *Peer) Available(now time.Time) bool {
	if p.failures.Load() == 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.retryAt)
}

// Unreachable reports whether the last call or ping to the peer's node failed.
func (p *Peer) Unreachable() bool {
	return p.failures.Load() > 0
}

// attemptEnded updates the load figures from an outcome, or backs off if the peer's node is unreachable or failed.
func (p *Peer) attemptEnded(o hop.Outcome, now time.Time) {
	p.Ended()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := hop.LoadOf(o)
	switch o := o.(type) {
	case hop.Refused:
		if o.Cause == hop.Unreachable {
			p.backOff(now)
			return
		}
	case hop.Failed:
		if o.Cause == hop.Silent || (o.Cause == hop.Broken && l == (hop.Load{})) {
			p.backOff(now)
			return
		}
	}
	if l == (hop.Load{}) {
		return
	}
	p.failures.Store(0)
	r, refused := o.(hop.Refused)
	p.Report(l, refused && r.Cause == hop.Busy, now)
}

// backOff doubles the back-off with each consecutive failure; mu must be held.
func (p *Peer) backOff(now time.Time) {
	backoff := firstBackoff << min(p.failures.Add(1)-1, 8)
	p.retryAt = now.Add(min(backoff, maxBackoff))
}

// MarkResponsive records a successful ping of the peer's node and ends its back-off.
func (p *Peer) MarkResponsive() {
	p.failures.Store(0)
}

// MarkUnresponsive records that the peer's node did not respond and starts or extends its back-off.
func (p *Peer) MarkUnresponsive(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backOff(now)
}
