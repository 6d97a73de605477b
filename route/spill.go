package route

import (
	"sync"
	"time"
)

const (
	spillBurst      = 100 * time.Millisecond // of the rate kept in hand
	spillMeanWeight = 0.1                    // of a new call's bytes in the mean
	firstSpillBytes = 16 << 10               // assumed of a call before any has been seen
)

// ByteBudget bounds the bytes that a node's spilled calls send between regions, as its share of the link. A call's bytes
// are known only once its answer has come, so that the mean is reserved when it is sent.
type ByteBudget struct {
	mu     sync.Mutex
	rate   float64 // bytes per second
	tokens float64
	mean   float64 // bytes of a call
	filled time.Time
}

// setRate changes the bytes per second.
func (b *ByteBudget) setRate(bytesPerSecond float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate == 0 {
		b.mean, b.filled = firstSpillBytes, now
	}
	b.rate = bytesPerSecond
}

// allows reports whether a call may be spilled now.
func (b *ByteBudget) allows(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.filled).Seconds(), max(b.rate*spillBurst.Seconds(), b.mean))
	b.filled = now
	return b.tokens >= b.mean
}

// reserve takes the mean bytes of a call that is sent.
func (b *ByteBudget) reserve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= b.mean
}

// Settle replaces a call's reservation by the bytes that it has sent so far; a long answer may leave the budget
// overdrawn for a while.
func (b *ByteBudget) Settle(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += b.mean - float64(n)
	b.mean += spillMeanWeight * (float64(n) - b.mean)
}

// Spend takes bytes beyond those settled.
func (b *ByteBudget) Spend(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= float64(n)
}
