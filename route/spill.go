package route

import (
	"sync"
	"time"
)

const (
	spillBurst       = 100 * time.Millisecond // capacity of the token bucket, as a time at its rate
	meanBytesWeight  = 0.1                    // weight of one call in the moving average of bytes per call
	initialMeanBytes = 16 << 10               // assumed mean before the first call has been settled
)

// SpillBudget is a token bucket that limits the bytes of a node's spilled calls to its share of the bandwidth between
// regions. The size of a call is known only when its response has arrived; the mean size is reserved when the call is
// sent.
type SpillBudget struct {
	mu         sync.Mutex
	rate       float64 // bytes per second
	tokens     float64
	meanBytes  float64 // moving average of bytes per call
	refilledAt time.Time
}

// setRate sets the refill rate.
func (b *SpillBudget) setRate(bytesPerSecond float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate == 0 {
		b.meanBytes, b.refilledAt = initialMeanBytes, now
	}
	b.rate = bytesPerSecond
}

// canSpill refills the bucket and reports whether it covers the mean size of a call.
func (b *SpillBudget) canSpill(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), max(b.rate*spillBurst.Seconds(), b.meanBytes))
	b.refilledAt = now
	return b.tokens >= b.meanBytes
}

// reserve withdraws the mean size of a call.
func (b *SpillBudget) reserve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= b.meanBytes
}

// Settle replaces a call's reservation by the bytes known to be transferred; a long response may overdraw the bucket
// until it has been refilled.
func (b *SpillBudget) Settle(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens += b.meanBytes - float64(n)
	b.meanBytes += meanBytesWeight * (float64(n) - b.meanBytes)
}

// Charge withdraws bytes that are transferred after the call has been settled.
func (b *SpillBudget) Charge(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= float64(n)
}
