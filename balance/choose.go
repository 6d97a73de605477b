package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassialead/cassialead/hop"
)

// Costs of a call by the target's distance: of the round trip, and of each kilobyte sent over a link that is billed by volume.
// A nearer target is preferred until its extra wait exceeds the difference in cost.
var (
	roundTripCost = [...]time.Duration{SameVM: 0, SameDataCentre: 400 * time.Microsecond, SameRegion: 3 * time.Millisecond, OtherRegion: 17 * time.Millisecond}
	transferCost  = [...]time.Duration{SameVM: 0, SameDataCentre: 0, SameRegion: 12 * time.Millisecond, OtherRegion: 45 * time.Millisecond} // per kilobyte
)

const (
	maxFailing         = 0.9                   // higher failure rates count as this
	maxDownlinkBacklog = 50 * time.Millisecond // backlog of a VM's incoming link above which a large body is not sent to it at once
	explorationRate    = 0.05                  // share of calls that probe a target whose load figures are stale, if there is one
	distanceScale      = 15 * time.Millisecond // extra cost of distance at which a target gets 1/e of the calls
	spread             = 0.1                   // extra cost, in mean service times, at which a target gets 1/e of the calls
	fullCost           = 1.0                   // cost of a refusal for lack of a free slot, in mean service times
	maxFull            = 0.18                  // probability that all slots are taken, from which a call rather waits than fails fast
	minVariance        = 0.25                  // of the estimated number of calls at a target, for fresh figures
	excessVariance     = 0.64                  // share of the variance that gives a normal distribution around 0 the mean of its positive part, 0.4 deviations
	probeScore         = -1e6                  // below all others
)

// Candidate is a target that a node may choose.
type Candidate interface {
	Estimate() *Target
	Available(now time.Time) bool
}

// Call holds the properties of a call by which its target is chosen.
type Call struct {
	BodyBytes, AnswerBytes int
}

// basis is what the scores of all targets of a choice are computed from.
type basis struct {
	call     Call
	now      time.Time
	rng      *rand.Rand
	mean     average    // of the targets
	scale    float64    // cost, in seconds, at which a target gets 1/e of the calls
	distance [4]float64 // cost of each distance, in seconds
}

func newBasis[C Candidate](cs []C, call Call, now time.Time, rng *rand.Rand) *basis {
	b := &basis{call: call, now: now, rng: rng, mean: meanOf(cs, now)}
	b.scale = spread * b.mean.serviceTime
	kilobytes := float64(call.BodyBytes+call.AnswerBytes) / 1024
	for d := range b.distance {
		b.distance[d] = (roundTripCost[d].Seconds() + kilobytes*transferCost[d].Seconds()) * max(b.scale/distanceScale.Seconds(), 1)
	}
	return b
}

// Slot chooses a target for a call that fails fast; ok is false if it probably has no free slot. Calls are spread over the targets in
// proportion to slots and speed, with fewer for those that are probably full, far or failing; some calls probe one with stale figures.
// Targets whose rate limit leaves no room are left out: many nodes wait for the same few calls, so a place in their queue is worth less
// than a free slot elsewhere.
func Slot[C Candidate](cs []C, call Call, excluded func(C) bool, now time.Time, rng *rand.Rand) (chosen C, ok bool) {
	b := newBasis(cs, call, now, rng)
	probe := rng.Float64() < explorationRate
	lowest := math.Inf(1)
	for _, c := range cs {
		if excluded(c) || !c.Available(now) {
			continue
		}
		if score, free := c.Estimate().slotScore(b, probe); score < lowest {
			chosen, ok, lowest = c, free, score
		}
	}
	return chosen, ok
}

// Queue chooses a target at which a call may wait; ok is false if there is none. Calls are spread as by Slot, with the expected wait in
// place of the probability that the target is full.
func Queue[C Candidate](cs []C, call Call, excluded func(C) bool, now time.Time, rng *rand.Rand) (chosen C, ok bool) {
	b := newBasis(cs, call, now, rng)
	lowest := math.Inf(1)
	for _, c := range cs {
		if excluded(c) || !c.Available(now) {
			continue
		}
		if score := c.Estimate().queueScore(b); score < lowest {
			chosen, ok, lowest = c, true, score
		}
	}
	return chosen, ok
}

// slotScore returns the target's score for a call that fails fast, and whether a slot is probably free.
func (t *Target) slotScore(b *basis, probe bool) (score float64, free bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rateWait(b.now) > 0 {
		return math.Inf(1), false
	}
	e := t.estimate(b.now, b.mean)
	if probe && e.stale && t.Distance < OtherRegion {
		return probeScore * b.rng.Float64(), true
	}
	room := (e.limit - 0.5 - e.busy) / e.deviation
	full := 0.5 - 0.5*room/math.Sqrt(1+room*room) // close to the normal distribution, without its cost
	free = full < maxFull
	if b.call.BodyBytes >= hop.BulkSize && t.Distance != SameVM && t.load.DownlinkBacklog > maxDownlinkBacklog && !e.stale {
		free = false
	}
	return e.score(b, t.cost(b, e)+full*fullCost*b.mean.serviceTime), free
}

// queueScore returns the target's score for a call that may wait.
func (t *Target) queueScore(b *basis) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.estimate(b.now, b.mean)
	ahead := e.busy + 1 - e.limit
	ahead = 0.5 * (ahead + math.Sqrt(ahead*ahead+excessVariance*e.deviation*e.deviation)) // mean of the positive part
	return e.score(b, t.cost(b, e)+ahead/e.limit*e.serviceTime+t.rateWait(b.now).Seconds())
}

// score returns a random score. The target with the lowest one is chosen: each with a probability in proportion to its capacity and to
// exp(-cost / spread).
func (e estimate) score(b *basis, cost float64) float64 {
	return cost/b.scale + math.Log(b.rng.ExpFloat64()*e.serviceTime/e.limit)
}

// cost returns the cost of a call at the target in seconds, without waiting; mu must be held. Slow targets are avoided while the service
// has idle slots; a service near its capacity needs all of them. The service time counts as longer by the cube of the success rate.
func (t *Target) cost(b *basis, e estimate) float64 {
	cost := b.distance[t.Distance] + max(1-b.mean.occupancy, 0)*(e.serviceTime-b.mean.serviceTime)
	if e.failing > 0 {
		succeeding := 1 - min(e.failing, maxFailing)
		cost += b.mean.serviceTime * (1/(succeeding*succeeding*succeeding) - 1)
	}
	if b.call.AnswerBytes >= hop.BulkSize && t.Distance != SameVM {
		cost += t.load.UplinkBacklog.Seconds()
	}
	if b.call.BodyBytes >= hop.BulkSize && t.Distance != SameVM {
		cost += t.load.DownlinkBacklog.Seconds()
	}
	return cost
}
