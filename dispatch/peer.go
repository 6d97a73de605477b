package dispatch

import (
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
)

// Distance says how far a target's node is from this one.
type Distance uint8

// The distances, nearest first.
const (
	SameVM Distance = iota
	SameDataCentre
	SameRegion
	OtherRegion
)

// Peer is a node with its target as this node sees it; it outlives changes of its record.
type Peer struct {
	Node     fleet.NodeID
	Address  fleet.Address
	Distance Distance
	Service  config.ServiceName
	Instance lifecycle.ID
	Slots    int

	mu       sync.Mutex
	warmAt   time.Time
	load     hop.Load
	loadAt   time.Time // zero until the target has answered
	inflight int       // calls that this node has under way
	base     int       // of them, those that the load figures count
	failures int       // in a row, of the node
	retryAt  time.Time // not before this after failures
}

const (
	firstBackoff = 250 * time.Millisecond // after a node did not answer
	maxBackoff   = 2 * time.Second        // well within the time in which a returned node has to get calls
)

// newPeer returns a peer for a member's record.
func newPeer(m member.Member, d Distance) *Peer {
	return &Peer{Node: m.Node, Address: m.Address, Distance: d, Service: m.Target.Service, Instance: m.Target.ID, Slots: m.Target.Slots,
		warmAt: m.Since.Add(m.Target.Cold)}
}

// Available reports whether the peer's node has answered of late, or may be tried again.
func (p *Peer) Available(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures == 0 || !now.Before(p.retryAt)
}

// Unreachable reports whether the peer's node did not answer the last time.
func (p *Peer) Unreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures > 0
}

func (p *Peer) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inflight++
}

// end takes an outcome's figures.
func (p *Peer) end(o hop.Outcome, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inflight--
	var l hop.Load
	switch o := o.(type) {
	case *hop.Answered:
		l = o.Load
	case hop.Refused:
		l = o.Load
		if o.Cause == hop.Unreachable {
			p.fail(now)
			return
		}
	case hop.Failed:
		l = o.Load
		if o.Cause == hop.Silent || (o.Cause == hop.Broken && l == (hop.Load{})) {
			p.fail(now)
			return
		}
	}
	if l == (hop.Load{}) {
		return
	}
	p.load, p.loadAt, p.base, p.failures = l, now, p.inflight, 0
}

func (p *Peer) fail(now time.Time) {
	p.failures++
	backoff := firstBackoff << min(p.failures-1, 8)
	p.retryAt = now.Add(min(backoff, maxBackoff))
}

// Answered notes that the peer's node has answered a question.
func (p *Peer) Answered() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = 0
}

// Silent notes that the peer's node did not answer a question.
func (p *Peer) Silent(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fail(now)
}
