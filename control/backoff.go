package control

import (
	"math/rand/v2"
	"time"
)

// backoff spaces attempts with full jitter.
type backoff struct {
	tries int
	next  time.Time
}

func (b *backoff) due(now time.Time) bool { return !now.Before(b.next) }

func (b *backoff) fail(now time.Time, rng *rand.Rand) {
	limit := min(retryBase<<min(b.tries, 10), retryCap)
	b.tries++
	b.next = now.Add(retryBase/2 + time.Duration(rng.Int64N(int64(limit))))
}

func (b *backoff) reset() { *b = backoff{} }
