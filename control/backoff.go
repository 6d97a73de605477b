package control

import (
	"math/rand/v2"
	"time"
)

// backoff is an exponential back-off with full jitter.
type backoff struct {
	failures int
	retryAt  time.Time
}

func (b *backoff) due(now time.Time) bool { return !now.Before(b.retryAt) }

func (b *backoff) recordFailure(now time.Time, rng *rand.Rand) {
	limit := min(backoffBase<<min(b.failures, 10), backoffCap)
	b.failures++
	b.retryAt = now.Add(backoffBase/2 + time.Duration(rng.Int64N(int64(limit))))
}

func (b *backoff) reset() { *b = backoff{} }
