package route

import (
	"sync"
	"time"
)

const (
	hedgeQuantile = 0.95
	quantileStep  = 0.05 // relative step of the estimate
	minHedgeDelay = 2 * time.Millisecond
)

// Quantile estimates the 95th percentile of short calls' latency by small steps up and down.
type Quantile struct {
	mu    sync.Mutex
	value float64 // seconds
	seen  int
}

const quantileWarmup = 50 // samples before the estimate is used

// Observe folds one latency in.
func (q *Quantile) Observe(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := d.Seconds()
	q.seen++
	if q.value == 0 {
		q.value = 2 * s
		return
	}
	if s > q.value {
		q.value *= 1 + quantileStep*hedgeQuantile
	} else {
		q.value *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

// HedgeDelay returns how long to wait for a first attempt, or false while too little has been seen.
func (q *Quantile) HedgeDelay() (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.seen < quantileWarmup {
		return 0, false
	}
	return max(time.Duration(q.value*float64(time.Second)), minHedgeDelay), true
}
