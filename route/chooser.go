package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Chooser is a way to choose among the targets of a group; the set is sealed.
type Chooser interface{ chooser() }

// TwoChoices takes the better of two random targets by load, reported queue and decayed latency peak.
type TwoChoices struct{}

// RoundRobin takes the targets in turn; it is a baseline for measurements.
type RoundRobin struct{ next *atomic.Uint64 }

// LeastInflight takes the target with the fewest own calls in flight; it is a baseline for measurements.
type LeastInflight struct{}

func (TwoChoices) chooser()    {}
func (RoundRobin) chooser()    {}
func (LeastInflight) chooser() {}

// NewRoundRobin returns a round robin that starts at the first target.
func NewRoundRobin() RoundRobin { return RoundRobin{next: &atomic.Uint64{}} }

// choose picks a target of a group; the last result says that the call is to probe it after an ejection.
func (t *Table) choose(es []*Endpoint, q Query, now time.Time, rng *rand.Rand) (*Endpoint, float64, bool) {
	switch c := t.chooser.(type) {
	case RoundRobin:
		return c.pick(es, q)
	case LeastInflight:
		return pickLeast(es, q, rng)
	}
	return pickTwo(es, q, now, rng)
}

func (c RoundRobin) pick(es []*Endpoint, q Query) (*Endpoint, float64, bool) {
	for range es {
		e := es[c.next.Add(1)%uint64(len(es))]
		if !slices.Contains(q.Tried, e.Node) {
			return e, 0, false
		}
	}
	return nil, 0, false
}

func pickLeast(es []*Endpoint, q Query, rng *rand.Rand) (*Endpoint, float64, bool) {
	var best *Endpoint
	least := 0
	offset := 0
	if len(es) > 0 {
		offset = rng.IntN(len(es))
	}
	for i := range es {
		e := es[(i+offset)%len(es)]
		if slices.Contains(q.Tried, e.Node) {
			continue
		}
		if n := e.inflight(); best == nil || n < least {
			best, least = e, n
		}
	}
	return best, float64(least), false
}

func (e *Endpoint) inflight() int {
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()
	return e.seen.inflight
}
