package route

import "sync"

const (
	retryRatio   = 0.05 // retry tokens, for retries and hedges, that a call at depth 0 deposits
	rerouteRatio = 0.10 // tokens for attempts at another target after a refusal that each call deposits
	retryBurst   = 2    // maximum retry tokens; each node of a service has its own bucket
	rerouteBurst = 10   // maximum reroute tokens
)

// RetryBudget is a node's retry budget: two token buckets that limit its additional attempts to a fraction of its calls.
//
// Retrying a call that may have run also repeats all calls that it makes downstream. The deposit of a call decreases as
// 1/(1+depth), which keeps the extra load of a path 20 calls deep below the sum of 0.05/(1+i), 18 percent.
type RetryBudget struct {
	mu            sync.Mutex
	retryTokens   float64
	rerouteTokens float64
}

// NewRetryBudget returns a budget with full buckets.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{retryTokens: retryBurst, rerouteTokens: rerouteBurst}
}

// Deposit adds the tokens of one call; depth is the number of calls above it in its call path.
func (b *RetryBudget) Deposit(depth int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryTokens = min(b.retryTokens+retryRatio/float64(1+depth), retryBurst)
	b.rerouteTokens = min(b.rerouteTokens+rerouteRatio, rerouteBurst)
}

// TryWithdrawRetry withdraws the token for a hedge, or for a retry of a call that may have run; it reports false if there is
// none.
func (b *RetryBudget) TryWithdrawRetry() bool { return withdraw(&b.mu, &b.retryTokens) }

// TryWithdrawReroute withdraws the token for another attempt of a call that was refused before it ran; it reports false if there
// is none.
func (b *RetryBudget) TryWithdrawReroute() bool { return withdraw(&b.mu, &b.rerouteTokens) }

func withdraw(mu *sync.Mutex, tokens *float64) bool {
	mu.Lock()
	defer mu.Unlock()
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
