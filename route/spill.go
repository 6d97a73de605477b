package route

import (
	"sync"
	"time"
)

// ByteBudget bounds the bytes that a node's spilled calls send between regions, as its share of the link.
type ByteBudget struct {
	mu     sync.Mutex
	rate   float64 // bytes per second
	tokens float64
	filled time.Time
}

// setRate changes the bytes per second; at most one second's worth is kept in hand.
func (b *ByteBudget) setRate(bytesPerSecond float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate == 0 {
		b.tokens, b.filled = bytesPerSecond, now
	}
	b.rate = bytesPerSecond
}

// allows reports whether a call may be spilled now.
func (b *ByteBudget) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.filled).Seconds(), b.rate)
	b.filled = now
	return b.tokens > 0
}

// Spend takes bytes that have crossed; a long answer may leave the budget overdrawn for a while.
func (b *ByteBudget) Spend(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= float64(n)
}
