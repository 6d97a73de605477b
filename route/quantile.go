package route

import (
	"sync"
	"time"
)

const (
	hedgeQuantile = 0.95
	quantileStep  = 0.05 // relative step by which the estimate is adjusted
	minHedgeDelay = 2 * time.Millisecond
)

// LatencyQuantile estimates the 95th percentile of the latency of short calls by stochastic approximation: each sample moves
// the estimate a small step up or down.
type LatencyQuantile struct {
	mu       sync.Mutex
	estimate float64 // in seconds
	samples  int
}

const minQuantileSamples = 50 // number of samples from which the estimate is used

// Observe adds one latency sample.
func (q *LatencyQuantile) Observe(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := d.Seconds()
	q.samples++
	if q.estimate == 0 {
		q.estimate = 2 * s
		return
	}
	if s > q.estimate {
		q.estimate *= 1 + quantileStep*hedgeQuantile
	} else {
		q.estimate *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// HedgeDelay returns the time after which an unanswered first attempt is hedged, or false while there are too few
// samples.
func (q *LatencyQuantile) HedgeDelay() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.samples < minQuantileSamples {
		return 0, false
	}
	return max(time.Duration(q.estimate*float64(time.Second)), minHedgeDelay), true
}
