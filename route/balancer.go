package route

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Balancer is a load-balancing policy: it selects a target within a group of targets at the same distance. No other
// package can implement it.
type Balancer interface{ balancer() }

// PowerOfTwoChoices selects the cheaper of two random targets; the cost is estimated from the calls in flight, the reported
// queue length and the decayed peak latency.
type PowerOfTwoChoices struct{}

// RoundRobin cycles through the targets; it is a baseline for measurements.
type RoundRobin struct{ next *atomic.Uint64 }

// LeastInflight selects the target with the fewest calls in flight from this node; it is a baseline for measurements.
type LeastInflight struct{}

func (PowerOfTwoChoices) balancer() {}
func (RoundRobin) balancer()        {}
func (LeastInflight) balancer()     {}

// NewRoundRobin returns a round-robin policy with its counter at zero.
func NewRoundRobin() RoundRobin { return RoundRobin{next: &atomic.Uint64{}} }

// pickInGroup returns a target of a group, its cost, and whether the call is to probe the target after an ejection. The
// target is nil if none can be selected.
func (t *Table) pickInGroup(es []*Endpoint, req PickRequest, now time.Time, rng *rand.Rand) (*Endpoint, float64, bool) {
	switch c := t.balancer.(type) {
	case RoundRobin:
		return c.pick(es, req)
	case LeastInflight:
		return pickLeastInflight(es, req, rng)
	}
	return pickBetterOfTwo(es, req, now, rng)
}

func (c RoundRobin) pick(es []*Endpoint, req PickRequest) (*Endpoint, float64, bool) {
	for range es {
		e := es[c.next.Add(1)%uint64(len(es))]
		if !slices.Contains(req.Excluded, e.Node) {
			return e, 0, false
		}
	}
	return nil, 0, false
}

func pickLeastInflight(es []*Endpoint, req PickRequest, rng *rand.Rand) (*Endpoint, float64, bool) {
	var best *Endpoint
	least := 0
	offset := 0
	if len(es) > 0 {
		offset = rng.IntN(len(es))
	}
	for i := range es {
		e := es[(i+offset)%len(es)]
		if slices.Contains(req.Excluded, e.Node) {
			continue
		}
		if n := e.inflight(); best == nil || n < least {
			best, least = e, n
		}
	}
	return best, float64(least), false
}

func (e *Endpoint) inflight() int {
	e.stats.mu.Lock()
	defer e.stats.mu.Unlock()
	return e.stats.inflight
}
