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

// The shares of the fleet's bounds that its nodes use together; the rest covers the calls that a repeated call makes again,
// and windows that slide.
const (
	ratioShare = 0.6
	slackShare = 0.5
)

// Budget holds one node's repeats for each service, so that all nodes together stay within the bounds.
type Budget struct {
	bounds RepeatBounds
	mu     sync.Mutex
	purses map[config.ServiceName]*purse
	nodes  int
}

type purse struct {
	tokens float64
	at     time.Time
}

// NewBudget returns a budget within the bounds.
func NewBudget(b RepeatBounds) *Budget {
	return &Budget{bounds: b, purses: map[config.ServiceName]*purse{}, nodes: 1}
}

// SetNodes sets how many nodes share the bounds.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(n, 1)
}

// Earn counts a call of a service.
func (b *Budget) Earn(s config.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.purse(s, now)
	p.tokens = min(p.tokens+b.bounds.Ratio*ratioShare, b.most())
}

// Spend takes one repeat, or reports false when none is left.
func (b *Budget) Spend(s config.ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.purse(s, now)
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// slack is this node's part of the repeats that a window allows whatever the calls.
func (b *Budget) slack() float64 { return b.bounds.Slack * slackShare / float64(b.nodes) }

func (b *Budget) most() float64 { return max(b.slack(), 1) + 1 }

func (b *Budget) purse(s config.ServiceName, now time.Time) *purse {
	p := b.purses[s]
	if p == nil {
		p = &purse{tokens: min(b.slack(), b.most()), at: now}
		b.purses[s] = p
	}
	earned := b.slack() * now.Sub(p.at).Seconds() / b.bounds.Window.Seconds()
	p.tokens, p.at = min(p.tokens+earned, b.most()), now
	return p
}
