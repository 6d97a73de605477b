package dispatch

import (
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
)

// RepeatBounds are the bounds that the whole fleet keeps on repeats of calls.
type RepeatBounds struct {
	Ratio  float64       // repeats for each call of a service
	Slack  float64       // repeats in a window whatever the calls
	Window time.Duration // length of the window
}

// The shares of the fleet's bounds that its nodes use together; the rest covers windows that slide, and nodes whose load
// differs from the others'.
const (
	ratioShare = 0.6
	slackShare = 0.5
)

// Budget holds one node's repeats for each service, so that all nodes together stay within the bounds. Calls that a repeated
// run makes are repeats too: they can't be prevented, so they are owed, and no repeat is granted until the debt is earned.
type Budget struct {
	bounds RepeatBounds
	mu     sync.Mutex
	purses map[config.ServiceName]*purse
	nodes  int // the most that have shared the bounds within a window; zero means unknown
	fewer  int // how many there are since a time, when there were more before
	since  time.Time
	known  time.Time // when nodes was first known; a node that has just started has earned nothing yet
}

type purse struct {
	tokens float64
	at     time.Time
}

// NewBudget returns a budget within the bounds.
func NewBudget(b RepeatBounds) *Budget {
	return &Budget{bounds: b, purses: map[config.ServiceName]*purse{}}
}

// SetNodes sets how many nodes share the bounds. What nodes that have just gone used up stays used for a window.
func (b *Budget) SetNodes(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == 0 {
		b.known = now
	}
	b.age(now)
	switch {
	case n >= b.nodes:
		b.nodes, b.fewer = n, 0
	case b.fewer == 0:
		b.fewer, b.since = n, now
	default:
		b.fewer = n
	}
}

// age lets nodes that went a window ago count no more; it is called with mu held.
func (b *Budget) age(now time.Time) {
	if b.fewer > 0 && now.Sub(b.since) >= b.bounds.Window {
		b.nodes, b.fewer = b.fewer, 0
	}
}

// Deposit counts a call of a service.
func (b *Budget) Deposit(s config.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.purse(s, now)
	p.tokens = min(p.tokens+b.bounds.Ratio*ratioShare, b.most())
}

// Overdraw counts a call that a repeated run has made.
func (b *Budget) Overdraw(s config.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.purse(s, now).tokens--
}

// TryWithdraw takes one repeat, or reports false when none is left.
func (b *Budget) TryWithdraw(s config.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.purse(s, now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Refund gives back a repeat that was spent and has reached no target.
func (b *Budget) Refund(s config.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.purse(s, now)
	p.tokens = min(p.tokens+1, b.most())
}

// slack is this node's part of the repeats that a window allows whatever the calls.
func (b *Budget) slack() float64 {
	if b.nodes == 0 {
		return 0
	}
	return b.bounds.Slack * slackShare / float64(b.nodes)
}

// most is what a purse holds at most; less than one repeat could never be spent.
func (b *Budget) most() float64 { return max(b.slack(), 1) }

func (b *Budget) purse(s config.ServiceName, now time.Time) *purse {
	b.age(now)
	p := b.purses[s]
	if p == nil {
		p = &purse{at: now}
		if b.nodes > 0 {
			p.at = b.known
		}
		b.purses[s] = p
	}
	earned := b.slack() * now.Sub(p.at).Seconds() / b.bounds.Window.Seconds()
	p.tokens, p.at = min(p.tokens+earned, b.most()), now
	return p
}
