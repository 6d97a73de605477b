package balance

import (
	"math"
	"sync"
	"time"

	"github.com/cassialead/cassialead/hop"
)

// Distance is the distance between this node and a target's node.
type Distance uint8

// The distances, nearest first.
const (
	SameVM Distance = iota
	SameDataCentre
	SameRegion
	OtherRegion
)

const (
	defaultServiceTime = 150 * time.Millisecond // assumed until a target of the service has answered
	loadMaxAge         = 2 * time.Second        // age from which load figures are ignored
	warmUpFactor       = 2.0                    // slow-down of a target that has just started
	decay              = 2.0                    // speed at which reported occupancy returns to the average, relative to the speed at which calls end; above 1 since other nodes choose by the same report
	averageMaxAge      = 30 * time.Second       // age from which a target's average occupancy and service time are ignored
	averageWeight      = 0.2                    // least weight of one report in a target's average occupancy and service time
	maxOccupancy       = 4.0                    // calls per slot above which a report counts as this; bounds what one false report does
	maxDecay           = 4.0                    // decay from which 2% of the reported occupancy would be left, and none is used
	maxSpeed           = 4.0                    // relative to the mean of the service; bounds the calls that a false service time attracts
	minServiceTime     = time.Millisecond       // shorter reported service times count as this
)

// Target is what a node knows of a target: its load, the age of that, and the node's own calls to it. It is safe for concurrent use.
type Target struct {
	Distance Distance
	Slots    int

	mu        sync.Mutex
	warmAt    time.Time // end of the target's warm-up
	load      hop.Load
	loadAt    time.Time // time of the load figures; zero until the first ones arrive
	limit     float64   // slots
	occupancy float64   // in the load figures, in calls per slot
	average   average
	reports   int
	inflight  int // attempts of this node that have not ended
	counted   int // those of them that the load figures include
}

// average is the moving average of reports. A single one shows little of a target: calls come and go within a service time.
type average struct {
	occupancy   float64 // calls per slot
	serviceTime float64 // in seconds
}

// New returns a target without load figures.
func New(d Distance, slots int, warmAt time.Time) *Target {
	return &Target{Distance: d, Slots: slots, warmAt: warmAt, limit: float64(max(slots, 1))}
}

// Started records that an attempt of this node has begun.
func (t *Target) Started() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inflight++
}

// Ended records that an attempt of this node has ended.
func (t *Target) Ended() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inflight--
}

// Report records load figures of the target. A target that has refused a call for lack of a free slot (full) had none, whatever it
// reports, unless it has a rate limit. It has at most the slots that the record of its node names.
func (t *Target) Report(l hop.Load, full bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = float64(max(t.Slots, 1))
	if l.Limit > 0 && (l.Limit < t.Slots || t.Slots <= 0) {
		t.limit = float64(l.Limit)
	}
	calls := float64(l.Running + l.Waiting)
	if full && l.RateLimit <= 0 {
		calls = max(calls, t.limit)
	}
	t.occupancy = min(max(calls/t.limit, 0), maxOccupancy)
	t.reports++
	weight := max(averageWeight, 1/float64(t.reports)) // the first reports count alike
	t.average.occupancy += weight * (t.occupancy - t.average.occupancy)
	if l.ServiceTime > 0 {
		serviceTime := max(l.ServiceTime, minServiceTime).Seconds()
		if t.average.serviceTime == 0 {
			t.average.serviceTime = serviceTime
		}
		t.average.serviceTime += weight * (serviceTime - t.average.serviceTime)
	}
	t.load, t.loadAt, t.counted = l, now, t.inflight
}

// rateWait estimates how long a call sent now would wait for the target's rate limit; mu must be held.
func (t *Target) rateWait(now time.Time) time.Duration {
	if t.load.RateLimit <= 0 {
		return 0
	}
	own := time.Duration(float64(t.inflight-t.counted) / float64(t.load.RateLimit) * float64(time.Second))
	return max(t.load.RateWait-now.Sub(t.loadAt)+own, 0)
}

// meanOf returns the mean of the targets whose average is known.
func meanOf[C Candidate](cs []C, now time.Time) average {
	n, s := 0, average{}
	for _, c := range cs {
		t := c.Estimate()
		t.mu.Lock()
		if t.average.serviceTime > 0 && now.Sub(t.loadAt) < averageMaxAge {
			n++
			s.serviceTime += t.average.serviceTime
			s.occupancy += t.average.occupancy
		}
		t.mu.Unlock()
	}
	if n == 0 {
		return average{serviceTime: defaultServiceTime.Seconds()}
	}
	return average{s.occupancy / float64(n), s.serviceTime / float64(n)}
}

// estimate is a target's probable state at the moment.
type estimate struct {
	serviceTime float64 // in seconds
	limit       float64 // slots
	busy        float64 // calls that run or wait
	deviation   float64 // standard deviation of busy
	failing     float64 // share of calls that fail
	stale       bool    // there are no fresh load figures
}

// estimate returns the probable state; mu must be held. The occupancy in the last report returns to the average within about the time
// in which the calls counted there end; calls that other nodes have sent since are part of the average.
func (t *Target) estimate(now time.Time, s average) estimate {
	e := estimate{serviceTime: s.serviceTime, limit: t.limit, stale: true}
	occupancy, keep := s.occupancy, 0.0
	if age := float64(max(now.Sub(t.loadAt), 0)) / float64(time.Second); !t.loadAt.IsZero() && age < averageMaxAge.Seconds() {
		if t.average.serviceTime > 0 {
			e.serviceTime = max(t.average.serviceTime, s.serviceTime/maxSpeed)
		}
		occupancy += (1 - age/averageMaxAge.Seconds()) * (t.average.occupancy - occupancy)
		if fresh := 1 - age/loadMaxAge.Seconds(); fresh > 0 {
			e.stale = false
			if x := decay * age / (max(t.occupancy, 1) * e.serviceTime); x < maxDecay {
				keep = math.Exp(-x)
			}
			occupancy += keep * (t.occupancy - occupancy)
			if t.load.FailurePercent > 0 {
				e.failing = float64(t.load.FailurePercent) / 100 * math.Sqrt(fresh)
			}
		}
	}
	e.busy = max(occupancy*e.limit+float64(t.inflight-t.counted), 0)
	e.deviation = math.Sqrt(minVariance + min(e.busy, e.limit)*(1-keep*keep))
	if now.Before(t.warmAt) {
		e.serviceTime *= warmUpFactor
	}
	return e
}
