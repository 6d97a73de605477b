package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/upgrade"
)

// Rollout is what applies to the calls of a service for which a new version is ordered.
type Rollout struct {
	Version lifecycle.Version
	State   upgrade.State
	Share   float64             // of the calls that go to Version while it is Running
	Old     []lifecycle.Version // versions that Version has replaced once it is Completed
	Refused []lifecycle.Version // versions of earlier orders, which get no calls
}

// versionSplit divides the peers of a service by a rollout.
type versionSplit struct {
	stable  []*Peer // for all calls but those of the share, and for all retries
	exposed []*Peer // for the calls of the share
	spare   []*Peer // further peers of the new version, while no exposed one is available
	share   float64
}

// SetRollouts replaces the rollouts that apply.
func (t *PeerTable) SetRollouts(r map[config.ServiceName]Rollout) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rollouts = r
	t.publish(*t.byService.Load())
}

// publish makes the peers visible to readers; it is called with mu held. A reader that finds new peers finds their split as well.
func (t *PeerTable) publish(byService map[config.ServiceName][]*Peer) {
	if len(t.rollouts) == 0 {
		t.splits.Store(nil)
	} else {
		splits := map[config.ServiceName]*versionSplit{}
		for s, r := range t.rollouts {
			splits[s] = newVersionSplit(byService[s], r)
		}
		t.splits.Store(&splits)
	}
	t.byService.Store(&byService)
}

// split returns the division of a service's peers, or nil if no rollout applies to it.
func (t *PeerTable) split(s config.ServiceName) *versionSplit {
	splits := t.splits.Load()
	if splits == nil {
		return nil
	}
	return (*splits)[s]
}

// retryPeers returns the peers of a service that further attempts may be sent to.
func (t *PeerTable) retryPeers(s config.ServiceName) []*Peer {
	if split := t.split(s); split != nil {
		return split.stable
	}
	return t.Peers(s)
}

// newVersionSplit divides peers by a rollout. A target whose version is unknown may be of the new one, so it is only used if there is no
// other. If no peer would remain, calls are not refused: all peers serve them.
func newVersionSplit(peers []*Peer, r Rollout) *versionSplit {
	v := &versionSplit{}
	var unknown, fresh []*Peer
	for _, p := range peers {
		switch {
		case slices.Contains(r.Refused, p.Version):
		case r.State == upgrade.Completed && !slices.Contains(r.Old, p.Version):
			v.stable = append(v.stable, p)
		case r.State == upgrade.Completed:
		case p.Version == "":
			unknown = append(unknown, p)
		case p.Version == r.Version:
			fresh = append(fresh, p)
		default:
			v.stable = append(v.stable, p)
		}
	}
	if len(v.stable) == 0 {
		v.stable = unknown
	}
	if len(v.stable) == 0 {
		v.stable = peers
		return v
	}
	if r.State != upgrade.Running || r.Share <= 0 || len(fresh) == 0 {
		return v
	}
	// All nodes expose the same targets, and no more of them than get as many calls as an old one: a version may be bad under load only.
	slices.SortFunc(fresh, func(a, b *Peer) int { return CompareExposure(a.Instance, b.Instance) })
	n := math.Round(r.Share / max(1-r.Share, 0.01) * float64(len(v.stable)))
	k := min(max(int(n), 1), len(fresh))
	v.exposed, v.spare, v.share = fresh[:k], fresh[k:], r.Share
	return v
}

// CompareExposure orders the targets of a new version in the order in which they are exposed.
func CompareExposure(a, b lifecycle.ID) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// nextTargetOf chooses the target of the next attempt for a service with a rollout. Only the first attempt goes to the new version, so a
// call is at most one exposure of it. It does not wait in a queue there.
func (d *delivery) nextTargetOf(split *versionSplit, now time.Time) *Peer {
	if !d.versionDrawn {
		d.versionDrawn = true
		d.canary = split.share > 0 && d.rng.Float64() < split.share
	}
	if d.canary && d.targetsTried == 0 {
		for _, peers := range [][]*Peer{split.exposed, split.spare} {
			if p := d.chooseSlot(peers, func(p *Peer) bool { return contains(d.excluded, p) }, now); p != nil {
				d.call.QueuePolicy = hop.FailFast
				return p
			}
		}
	}
	return d.nextTargetAmong(split.stable, now)
}
