package route

import "sync"

const (
	repeatShare  = 0.05 // of calls at the top of a call path that may be repeated or hedged
	refusalShare = 0.10 // of calls that may be sent elsewhere after a refusal
	repeatBurst  = 2    // repeats in hand at most; each node of a service has its own
	refusalBurst = 10   // attempts elsewhere in hand at most
)

// Budget bounds the extra attempts of a node as a share of its calls.
//
// A repeat of a call that may have run repeats everything below it as well. With the share falling as 1/(1+depth),
// the extra load of a path 20 deep stays under the sum of 0.05/(1+i), which is 18 percent.
type Budget struct {
	mu       sync.Mutex
	repeats  float64
	refusals float64
}

// NewBudget returns a budget that starts with a burst in hand.
func NewBudget() *Budget { return &Budget{repeats: repeatBurst, refusals: refusalBurst} }

// Earn adds the share of one call at a depth; the top of a path has depth 0.
func (b *Budget) Earn(depth int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeats = min(b.repeats+repeatShare/float64(1+depth), repeatBurst)
	b.refusals = min(b.refusals+refusalShare, refusalBurst)
}

// Repeat takes a hedge or a repeat of a call that may have run; it reports false when the budget is spent.
func (b *Budget) Repeat() bool { return spend(&b.mu, &b.repeats) }

// Elsewhere takes another attempt of a call that was refused before it ran.
func (b *Budget) Elsewhere() bool { return spend(&b.mu, &b.refusals) }

func spend(mu *sync.Mutex, tokens *float64) bool {
	mu.Lock()
	defer mu.Unlock()
	if *tokens < 1 {
		return false
	}
	*tokens--
	return true
}
