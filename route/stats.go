package route

import (
	"math"
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
)

const (
	latencyDecay      = 2 * time.Second        // time constant: a latency peak decays by 63 percent in this time
	initialLatency    = 500 * time.Microsecond // assumed for a target that has not been called
	queueLengthMaxAge = time.Second            // age from which a reported queue length is ignored
	slowStartPeriod   = 3 * time.Second        // period over which the load of a new target is ramped up
	ejectionThreshold = 3                      // consecutive failures until ejection
	baseEjectionTime  = time.Second
	maxEjectionTime   = 30 * time.Second
	outlierFactor     = 5 // multiple of the group's median latency that ejects a target; abandoned calls count
)

// targetStats is this node's load, latency and failure statistics of one target.
type targetStats struct {
	mu                  sync.Mutex
	inflight            int
	longInflight        int
	peakLatency         float64 // in seconds, as of latencyAt; it decays from then on
	latencyAt           time.Time
	queueLength         int // calls queued at the target's node, as of its last response
	queueLengthAt       time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
	ejections           int  // since the start; each one doubles the next ejection time, up to maxEjectionTime
	probing             bool // a probe is in flight
	slowStartAt         time.Time
}

func newTargetStats(now time.Time) *targetStats {
	return &targetStats{peakLatency: initialLatency.Seconds(), latencyAt: now, slowStartAt: now}
}

// cost estimates the response time of a new call; mu must be held.
func (st *targetStats) cost(now time.Time, slots int) float64 {
	waiting := st.inflight
	if now.Sub(st.queueLengthAt) < queueLengthMaxAge {
		waiting += st.queueLength
	}
	load := float64(waiting+1) / float64(max(slots, 1))
	cost := st.decayedLatency(now) * (1 + load)
	if age := now.Sub(st.slowStartAt); age < slowStartPeriod {
		cost *= 1 + 4*(1-float64(age)/float64(slowStartPeriod))
	}
	return cost
}

func (st *targetStats) decayedLatency(now time.Time) float64 {
	age := now.Sub(st.latencyAt)
	return max(st.peakLatency*math.Exp(-age.Seconds()/latencyDecay.Seconds()), initialLatency.Seconds())
}

// recordLatency updates the peak latency: a higher latency replaces it, a lower one reduces it by a moving average. mu
// must be held.
func (st *targetStats) recordLatency(now time.Time, d time.Duration) {
	s := d.Seconds()
	old := st.decayedLatency(now)
	if s >= old {
		st.peakLatency = s
	} else {
		const weight = 0.1
		st.peakLatency = old + weight*(s-old)
	}
	st.latencyAt = now
}

func (st *targetStats) recordFailure(now time.Time) {
	st.consecutiveFailures++
	if st.consecutiveFailures >= ejectionThreshold {
		st.eject(now)
	}
}

func (st *targetStats) eject(now time.Time) {
	if now.Before(st.ejectedUntil) {
		return
	}
	duration := min(baseEjectionTime<<min(st.ejections, 6), maxEjectionTime)
	st.ejections++
	st.consecutiveFailures = 0
	st.probing = false
	st.ejectedUntil = now.Add(duration)
}

// Classifier classifies routes as short or long by the mean duration of their calls.
type Classifier struct {
	mu            sync.Mutex
	meanDurations map[config.RouteName]float64 // in seconds
}

const (
	longThreshold      = time.Second // mean duration above which a route's calls are classified as long
	meanDurationWeight = 0.05
)

// NewClassifier returns a classifier that classifies every route as short until calls have been observed.
func NewClassifier() *Classifier { return &Classifier{meanDurations: map[config.RouteName]float64{}} }

// Class returns the class of a route's calls: the declared one, or for config.ClassAuto the one derived from call
// durations.
func (c *Classifier) Class(r config.RouteName, declared config.Class) config.Class {
	if declared != config.ClassAuto {
		return declared
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.meanDurations[r] > longThreshold.Seconds() {
		return config.ClassLong
	}
	return config.ClassShort
}

// Observe adds the duration of one call to its route's moving average.
func (c *Classifier) Observe(r config.RouteName, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meanDurations[r] += meanDurationWeight * (d.Seconds() - c.meanDurations[r])
}
