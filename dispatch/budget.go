package dispatch

import (
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
)

// RetryLimits limit the retries of all nodes of the fleet together.
type RetryLimits struct {
	Ratio  float64       // retries per call of a service
	Slack  float64       // retries per window, regardless of the number of calls
	Window time.Duration // length of the sliding window
}

// Shares of the fleet-wide limits that are distributed over the nodes; the remainder is a reserve for sliding windows and
// for uneven load of the nodes.
const (
	ratioShare = 0.6
	slackShare = 0.5
)

// RetryBudget is one node's part of the fleet's retry budget, with a token bucket for each service; all nodes together stay within
// the limits. A call made on behalf of a retry counts as a retry too: it can't be prevented and may overdraw the bucket, and
// no further retry is granted until new tokens have covered the debt.
type RetryBudget struct {
	limits       RetryLimits
	mu           sync.Mutex
	buckets      map[config.ServiceName]*tokenBucket
	nodes        int       // largest number of nodes that shared the limits within the last window; zero means unknown
	pendingNodes int       // smaller number of nodes that applies once a window has passed; zero if there is none
	pendingSince time.Time // when the number of nodes fell below nodes
	nodesSetAt   time.Time // when nodes was first set; a node that has just started has accrued no tokens yet
}

type tokenBucket struct {
	tokens        float64
	refilledAt    time.Time
	reservedUntil time.Time // for nested calls
}

// NewRetryBudget returns a budget within the limits.
func NewRetryBudget(l RetryLimits) *RetryBudget {
	return &RetryBudget{limits: l, buckets: map[config.ServiceName]*tokenBucket{}}
}

// SetNodes sets the number of nodes that share the limits. A decrease applies only after a window, since the retries of the
// departed nodes count until then.
func (b *RetryBudget) SetNodes(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == 0 {
		b.nodesSetAt = now
	}
	b.applyPendingNodes(now)
	switch {
	case n >= b.nodes:
		b.nodes, b.pendingNodes = n, 0
	case b.pendingNodes == 0:
		b.pendingNodes, b.pendingSince = n, now
	default:
		b.pendingNodes = n
	}
}

// applyPendingNodes applies a decrease of the number of nodes that is a window old; mu must be held.
func (b *RetryBudget) applyPendingNodes(now time.Time) {
	if b.pendingNodes > 0 && now.Sub(b.pendingSince) >= b.limits.Window {
		b.nodes, b.pendingNodes = b.pendingNodes, 0
	}
}

// Deposit adds the tokens that a call of a service accrues.
func (b *RetryBudget) Deposit(s config.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.bucket(s, now)
	tb.tokens = min(tb.tokens+b.limits.Ratio*ratioShare, b.capacity())
}

// Overdraw withdraws a token for a call made on behalf of a retry, even if the bucket is empty.
func (b *RetryBudget) Overdraw(s config.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(s, now).tokens--
}

// nestedReserve is the time for which only nested calls get tokens after one of them has got none.
const nestedReserve = time.Second

// TryWithdraw withdraws a token for a retry and reports whether there was one. While nested calls get too few, all others get none: a
// nested call that fails wastes the work of its parent, and its caller does not come back, as other callers do.
func (b *RetryBudget) TryWithdraw(s config.ServiceName, rank hop.Rank, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.bucket(s, now)
	if rank != hop.RankNested && now.Before(tb.reservedUntil) {
		return false
	}
	if tb.tokens < 1 {
		if rank == hop.RankNested {
			tb.reservedUntil = now.Add(nestedReserve)
		}
		return false
	}
	tb.tokens--
	return true
}

// Refund returns the token of a retry that has reached no target.
func (b *RetryBudget) Refund(s config.ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.bucket(s, now)
	tb.tokens = min(tb.tokens+1, b.capacity())
}

// nodeSlack returns this node's share of the retries that a window allows regardless of the number of calls.
func (b *RetryBudget) nodeSlack() float64 {
	if b.nodes == 0 {
		return 0
	}
	return b.limits.Slack * slackShare / float64(b.nodes)
}

// capacity returns the capacity of a bucket, which is at least one token: with less, no retry could ever be granted.
func (b *RetryBudget) capacity() float64 { return max(b.nodeSlack(), 1) }

func (b *RetryBudget) bucket(s config.ServiceName, now time.Time) *tokenBucket {
	b.applyPendingNodes(now)
	tb := b.buckets[s]
	if tb == nil {
		tb = &tokenBucket{refilledAt: now}
		if b.nodes > 0 {
			tb.refilledAt = b.nodesSetAt
		}
		b.buckets[s] = tb
	}
	accrued := b.nodeSlack() * now.Sub(tb.refilledAt).Seconds() / b.limits.Window.Seconds()
	tb.tokens, tb.refilledAt = min(tb.tokens+accrued, b.capacity()), now
	return tb
}
