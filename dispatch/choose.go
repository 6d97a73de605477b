package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassialead/cassialead/hop"
)

// The costs of a call to a farther target, in the time that a caller would rather wait for a nearer one: the way there
// and back, and each kilobyte on a link that is paid by volume.
var (
	wayCost  = [...]time.Duration{SameVM: 0, SameDataCentre: 400 * time.Microsecond, SameRegion: 3 * time.Millisecond, OtherRegion: 17 * time.Millisecond}
	byteCost = [...]time.Duration{SameVM: 0, SameDataCentre: 0, SameRegion: 12 * time.Millisecond, OtherRegion: 45 * time.Millisecond} // a kilobyte
)

const (
	unknownHold   = 150 * time.Millisecond // time that a call holds a slot, before any target of a service has answered
	staleLoad     = 2 * time.Second        // age at which load figures say nothing any more
	coldFactor    = 2.0                    // slowness of a target that has just started
	fillFactor    = 0.25                   // slow-down of a full target against an idle one
	failureFactor = 3.0                    // exponent by which failures make a target dearer
	scoreNoise    = 0.15                   // spread that keeps nodes with the same figures from choosing the same target
	inboundSlack  = 50 * time.Millisecond  // backlog of a VM's link at which it is not free for a long body
	exploreShare  = 0.05                   // calls sent to a target without fresh figures, if there is one
)

// choice is what a call needs from its target.
type choice struct {
	body, answer int // bytes
	tried        func(*Peer) bool
}

func (c choice) kilobytes() float64 { return float64(c.body+c.answer) / 1024 }

// choose returns the cheapest available peer, or nil.
func choose(peers []*Peer, c choice, now time.Time, rng *rand.Rand) *Peer {
	hold, fill := typical(peers, now)
	explore := rng.Float64() < exploreShare
	var best *Peer
	least := math.Inf(1)
	for _, p := range peers {
		if c.tried(p) || !p.Available(now) {
			continue
		}
		s := p.score(now, hold, fill, c)
		if explore && p.Distance < OtherRegion && p.unheard(now) {
			s = rng.Float64()
		}
		s *= 1 + scoreNoise*rng.Float64()
		if s < least {
			best, least = p, s
		}
	}
	return best
}

// leastWait returns the available peer whose queue promises the shortest time to an answer, or nil. Nodes with the same figures
// would all choose the same queue until they hear of it.
func leastWait(peers []*Peer, c choice, now time.Time, rng *rand.Rand) *Peer {
	hold, fill := typical(peers, now)
	var best *Peer
	least := math.Inf(1)
	for _, p := range peers {
		if !p.Available(now) || c.tried(p) {
			continue
		}
		if s := p.score(now, hold, fill, c) * (1 + scoreNoise*rng.Float64()); s < least {
			best, least = p, s
		}
	}
	return best
}

// typical returns the mean hold and the mean share of slots in use of the peers with fresh figures.
func typical(peers []*Peer, now time.Time) (hold time.Duration, fill float64) {
	n := 0
	var sum time.Duration
	for _, p := range peers {
		p.mu.Lock()
		if !p.loadAt.IsZero() && now.Sub(p.loadAt) < staleLoad && p.load.Limit > 0 {
			n++
			sum += p.load.Hold
			fill += float64(p.load.Running+p.load.Waiting) / float64(p.load.Limit)
		}
		p.mu.Unlock()
	}
	if n == 0 {
		return unknownHold, 0
	}
	return sum / time.Duration(n), fill / float64(n)
}

// free reports whether the peer is believed to have a free slot.
func (p *Peer) free(now time.Time, c choice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loadAt.IsZero() || now.Sub(p.loadAt) > staleLoad {
		return true
	}
	if c.body >= hop.BulkSize && p.Distance != SameVM && p.load.Inbound > inboundSlack {
		return false
	}
	return p.load.Running+p.load.Waiting+p.inflight-p.base < p.load.Limit
}

// score estimates a call's cost at the peer in milliseconds.
func (p *Peer) score(now time.Time, typicalHold time.Duration, typicalFill float64, c choice) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := float64(max(p.Slots, 1))
	hold, busy, failing := typicalHold, typicalFill*limit, 0.0
	if !p.loadAt.IsZero() {
		l := p.load
		if l.Limit > 0 {
			limit = float64(l.Limit)
		}
		fresh := max(0, 1-now.Sub(p.loadAt).Seconds()/staleLoad.Seconds())
		busy = fresh*float64(l.Running+l.Waiting) + (1-fresh)*typicalFill*limit
		if l.Hold > 0 {
			hold = l.Hold
		}
		failing = float64(l.Failing) / 100 * math.Sqrt(fresh)
	}
	busy = max(busy+float64(p.inflight-p.base), 0)
	ms := hold.Seconds() * 1000 * (1 + fillFactor*min(busy/limit, 1) + max(0, busy+1-limit)/limit)
	if now.Before(p.warmAt) {
		ms *= coldFactor
	}
	ms /= math.Pow(max(1-failing, 0.1), failureFactor)
	if c.answer >= hop.BulkSize && p.Distance != SameVM {
		ms += 1000 * p.load.Link.Seconds()
	}
	if c.body >= hop.BulkSize && p.Distance != SameVM {
		ms += 1000 * p.load.Inbound.Seconds()
	}
	return ms + 1000*wayCost[p.Distance].Seconds() + c.kilobytes()*1000*byteCost[p.Distance].Seconds()
}

// unheard reports whether the peer has no fresh figures.
func (p *Peer) unheard(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loadAt.IsZero() || now.Sub(p.loadAt) > staleLoad
}

// fullCause reports whether a refusal only says that the target has no room at present.
func fullCause(c hop.Cause) bool {
	return c == hop.Busy || c == hop.TooLate || c == hop.QueueFull
}
