package route

import (
	"math"
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
)

const (
	latencyDecay   = 2 * time.Second        // time in which a latency peak loses 63 percent
	initialLatency = 500 * time.Microsecond // assumed of a target never called
	reportLife     = time.Second            // a queue report counts this long
	rampTime       = 3 * time.Second        // a new target's share grows over this
	ejectAfter     = 3                      // failures in a row
	ejectBase      = time.Second
	ejectCap       = 30 * time.Second
	outlierFactor  = 5 // an unanswered or decayed latency above this many medians ejects
)

// observed is what this node has seen of one target.
type observed struct {
	mu       sync.Mutex
	inflight int
	long     int
	latency  float64 // decayed peak, seconds
	updated  time.Time
	queue    int // calls waiting at the target's node when it last answered
	reported time.Time
	failures int
	ejected  time.Time // until when
	spells   int       // ejections in a row
	probing  bool
	since    time.Time
}

func newObserved(now time.Time) *observed {
	return &observed{latency: initialLatency.Seconds(), updated: now, since: now}
}

// cost estimates the wait for a new call; the caller holds mu.
func (o *observed) cost(now time.Time, slots int) float64 {
	waiting := o.inflight
	if now.Sub(o.reported) < reportLife {
		waiting += o.queue
	}
	load := float64(waiting+1) / float64(max(slots, 1))
	cost := o.decayed(now) * (1 + load)
	if age := now.Sub(o.since); age < rampTime {
		cost *= 1 + 4*(1-float64(age)/float64(rampTime))
	}
	return cost
}

func (o *observed) decayed(now time.Time) float64 {
	age := now.Sub(o.updated)
	return max(o.latency*math.Exp(-age.Seconds()/latencyDecay.Seconds()), initialLatency.Seconds())
}

// observe folds a latency in: a peak counts at once, lower values bring it down slowly; the caller holds mu.
func (o *observed) observe(now time.Time, d time.Duration) {
	s := d.Seconds()
	old := o.decayed(now)
	if s >= old {
		o.latency = s
	} else {
		const weight = 0.1
		o.latency = old + weight*(s-old)
	}
	o.updated = now
}

func (o *observed) fail(now time.Time) {
	o.failures++
	if o.failures >= ejectAfter {
		o.eject(now)
	}
}

func (o *observed) eject(now time.Time) {
	if now.Before(o.ejected) {
		return
	}
	span := min(ejectBase<<min(o.spells, 6), ejectCap)
	o.spells++
	o.failures = 0
	o.probing = false
	o.ejected = now.Add(span)
}

// Classifier learns whether a route's calls are short or long.
type Classifier struct {
	mu    sync.Mutex
	means map[config.RouteName]float64 // seconds
}

const (
	longAbove      = time.Second // mean duration from which a route's calls are long
	classifyWeight = 0.05
)

// NewClassifier returns a classifier that takes every route for short at first.
func NewClassifier() *Classifier { return &Classifier{means: map[config.RouteName]float64{}} }

// Class returns the class of a route's calls: the declared one, or what durations have shown.
func (c *Classifier) Class(r config.RouteName, declared config.Class) config.Class {
	if declared != config.ClassAuto {
		return declared
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.means[r] > longAbove.Seconds() {
		return config.ClassLong
	}
	return config.ClassShort
}

// Observe folds the duration of one call into its route's mean.
func (c *Classifier) Observe(r config.RouteName, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.means[r] += classifyWeight * (d.Seconds() - c.means[r])
}
