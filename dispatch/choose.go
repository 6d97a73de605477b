package dispatch

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
	defaultServiceTime = 150 * time.Millisecond // assumed until a target of the service has answered
	loadMaxAge         = 2 * time.Second        // age from which load figures are ignored
	warmUpFactor       = 2.0                    // slow-down of a target that has just started
	utilizationFactor  = 0.25                   // relative slow-down of a fully utilized target against an idle one
	failureExponent    = 3.0                    // exponent of the success rate by which a target's score is divided
	scoreJitter        = 0.15                   // relative; keeps nodes with the same load figures from choosing the same target
	maxDownlinkBacklog = 50 * time.Millisecond  // backlog of a VM's incoming link above which a large body is not sent to it at once
	explorationRate    = 0.05                   // share of calls that probe a target whose load figures are stale, if there is one
)

// criteria are the properties of a call by which its target is chosen.
type criteria struct {
	bodyBytes, answerBytes int
	excluded               func(*Peer) bool
}

func (c criteria) kilobytes() float64 { return float64(c.bodyBytes+c.answerBytes) / 1024 }

// cheapest returns the available peer with the lowest score, or nil. Some calls probe a peer with stale load figures instead.
// Peers whose rate limit leaves no room are left out: many nodes wait for the same few calls, so a place in their queue is worth
// less than a free slot elsewhere.
func cheapest(peers []*Peer, c criteria, now time.Time, rng *rand.Rand) *Peer {
	serviceTime, utilization := meanLoad(peers, now)
	probe := rng.Float64() < explorationRate
	var best *Peer
	lowest := math.Inf(1)
	for _, p := range peers {
		if c.excluded(p) || !p.Available(now) || p.waitsForRateLimit(now) {
			continue
		}
		s := p.score(now, serviceTime, utilization, c)
		if probe && p.Distance < OtherRegion && p.loadStale(now) {
			s = rng.Float64()
		}
		s *= 1 + scoreJitter*rng.Float64()
		if s < lowest {
			best, lowest = p, s
		}
	}
	return best
}

// cheapestQueue returns the available peer with the lowest score, or nil. Scores are jittered: nodes with the same load
// figures would otherwise all choose the same queue until their figures are updated.
func cheapestQueue(peers []*Peer, c criteria, now time.Time, rng *rand.Rand) *Peer {
	serviceTime, utilization := meanLoad(peers, now)
	var best *Peer
	lowest := math.Inf(1)
	for _, p := range peers {
		if !p.Available(now) || c.excluded(p) {
			continue
		}
		if s := p.score(now, serviceTime, utilization, c) * (1 + scoreJitter*rng.Float64()); s < lowest {
			best, lowest = p, s
		}
	}
	return best
}

// meanLoad returns the mean service time and the mean utilization of the peers with fresh load figures.
func meanLoad(peers []*Peer, now time.Time) (serviceTime time.Duration, utilization float64) {
	n := 0
	var sum time.Duration
	for _, p := range peers {
		p.mu.Lock()
		if !p.loadAt.IsZero() && now.Sub(p.loadAt) < loadMaxAge && p.load.Limit > 0 {
			n++
			sum += p.load.ServiceTime
			utilization += float64(p.load.Running+p.load.Waiting) / float64(p.load.Limit)
		}
		p.mu.Unlock()
	}
	if n == 0 {
		return defaultServiceTime, 0
	}
	return sum / time.Duration(n), utilization / float64(n)
}

// hasFreeSlot reports whether the load figures leave the peer a free slot and, for a large body, room on its VM's link; a peer
// without fresh figures counts as free.
func (p *Peer) hasFreeSlot(now time.Time, c criteria) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loadAt.IsZero() || now.Sub(p.loadAt) > loadMaxAge {
		return true
	}
	if c.bodyBytes >= hop.BulkSize && p.Distance != SameVM && p.load.DownlinkBacklog > maxDownlinkBacklog {
		return false
	}
	return p.load.Running+p.load.Waiting+p.inflight-p.counted < p.load.Limit
}

// waitsForRateLimit reports whether a call sent now would probably have to wait for the target's rate limit.
func (p *Peer) waitsForRateLimit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rateWait(now) > 0
}

// rateWait estimates how long a call sent now would wait for the target's rate limit; mu must be held.
func (p *Peer) rateWait(now time.Time) time.Duration {
	if p.load.RateLimit <= 0 {
		return 0
	}
	own := time.Duration(float64(p.inflight-p.counted) / float64(p.load.RateLimit) * float64(time.Second))
	return max(p.load.RateWait-now.Sub(p.loadAt)+own, 0)
}

// score estimates a call's cost at the peer in milliseconds. As the load figures age, its occupancy approaches
// the mean and its failure rate counts less.
func (p *Peer) score(now time.Time, meanServiceTime time.Duration, meanUtilization float64, c criteria) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := float64(max(p.Slots, 1))
	serviceTime, busy, failing := meanServiceTime, meanUtilization*limit, 0.0
	if !p.loadAt.IsZero() {
		l := p.load
		if l.Limit > 0 {
			limit = float64(l.Limit)
		}
		fresh := max(0, 1-now.Sub(p.loadAt).Seconds()/loadMaxAge.Seconds())
		busy = fresh*float64(l.Running+l.Waiting) + (1-fresh)*meanUtilization*limit
		if l.ServiceTime > 0 {
			serviceTime = l.ServiceTime
		}
		failing = float64(l.FailurePercent) / 100 * math.Sqrt(fresh)
	}
	busy = max(busy+float64(p.inflight-p.counted), 0)
	ms := serviceTime.Seconds() * 1000 * (1 + utilizationFactor*min(busy/limit, 1) + max(0, busy+1-limit)/limit)
	if now.Before(p.warmAt) {
		ms *= warmUpFactor
	}
	ms /= math.Pow(max(1-failing, 0.1), failureExponent)
	ms += 1000 * p.rateWait(now).Seconds()
	if c.answerBytes >= hop.BulkSize && p.Distance != SameVM {
		ms += 1000 * p.load.UplinkBacklog.Seconds()
	}
	if c.bodyBytes >= hop.BulkSize && p.Distance != SameVM {
		ms += 1000 * p.load.DownlinkBacklog.Seconds()
	}
	return ms + 1000*roundTripCost[p.Distance].Seconds() + c.kilobytes()*1000*transferCost[p.Distance].Seconds()
}

// loadStale reports whether the peer has no fresh load figures.
func (p *Peer) loadStale(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadAt.IsZero() || now.Sub(p.loadAt) > loadMaxAge
}

// lacksCapacity reports whether a cause means that the target lacks capacity.
func lacksCapacity(c hop.Cause) bool {
	return c == hop.Busy || c == hop.TooLate || c == hop.QueueFull
}
