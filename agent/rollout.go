package agent

import (
	"context"
	"reflect"
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/store"
	"github.com/cassialead/cassialead/upgrade"
)

const (
	silencePart     = 0.6                    // of the time for a rollback, after which a node without news of the store sends no calls to a version on trial
	defaultSilence  = 3 * time.Second        // where no time for a rollback is set
	silenceInterval = 250 * time.Millisecond // between two checks
)

// rollouts are the orders of new versions and the decisions on them, as this node knows them; Agent.mu guards them.
type rollouts struct {
	set     upgrade.Set
	changes uint64 // counts the changes of set's contents
	began   map[config.ServiceName]sighting
	tallied store.Revision // order for which the gate counts, or zero
	silent  bool           // set was last applied as a node without news of the store
}

// sighting is when an order was first seen, here or at another node.
type sighting struct {
	order upgrade.Order
	at    time.Time
}

// rolloutLimits returns the tolerances from the settings; without them no order is followed.
func (a *Agent) rolloutLimits() upgrade.Limits {
	cfg := a.cfg.Load()
	return upgrade.Limits{Share: cfg.ExposeShare, Slack: cfg.ExposeSlack}
}

// listRollouts applies the rollouts in a list of the store. The position of a stale list is not used; it may be from before a return.
func (a *Agent) listRollouts(items []store.Item, asOf store.Position, stale bool) {
	if !a.rolloutLimits().On() {
		return
	}
	var set upgrade.Set
	for _, i := range items {
		a.applyRolloutItem(&set, i)
	}
	// Later pages may hold changes after the position, which the watch returns again.
	set.Era, set.Revision = asOf.Era, asOf.Revision
	if stale {
		set.Era, set.Revision = 0, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyRollouts(withOrders(set), "store")
}

// applyRolloutItems applies the rollouts in changes of the store. The members in the same changes are applied later, so that a node knows
// an order before it knows targets of the version.
func (a *Agent) applyRolloutItems(items []store.Item, era store.Era) {
	if !a.rolloutLimits().On() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	set := a.rollouts.set
	set.Rollouts = slices.Clone(set.Rollouts)
	if set.Era > era {
		return // an answer from before the store's return
	}
	set.Era = era
	for _, i := range items {
		if i.Revision > a.rollouts.set.Revision || era > a.rollouts.set.Era {
			a.applyRolloutItem(&set, i)
		}
	}
	a.applyRollouts(withOrders(set), "store")
}

// applyRolloutItem applies an item to a set if it belongs to a rollout.
func (a *Agent) applyRolloutItem(set *upgrade.Set, i store.Item) {
	ordered, isOrder := platform.ParseOrderKey(i.Key)
	decided, isDecision := platform.ParseDecisionKey(i.Key)
	if !isOrder && !isDecision {
		return
	}
	set.Revision = max(set.Revision, i.Revision)
	at := set.Find(ordered + decided) // one of them is empty
	if at < 0 {
		at = len(set.Rollouts)
		set.Rollouts = append(set.Rollouts, upgrade.Rollout{Service: ordered + decided})
	}
	r := &set.Rollouts[at]
	var err error
	switch {
	case isOrder && i.Deleted:
		r.Order = upgrade.Order{}
	case isOrder:
		var o upgrade.Order
		if o, err = platform.ParseOrder(ordered, i); err == nil {
			r.Order = o
		}
	case i.Deleted:
		r.Revision = 0
		r.Decision = upgrade.Decision{}
	default:
		var d upgrade.Decision
		if d, err = platform.ParseDecision(i); err == nil {
			r.Decision, r.Revision, r.Lost = d, i.Revision, false
		}
	}
	if err != nil {
		a.deps.Log.Warn("rollout refused", "key", i.Key, "revision", i.Revision, "error", err)
	}
}

// withOrders removes rollouts of which neither order nor decision is left, and sorts the others.
func withOrders(s upgrade.Set) upgrade.Set {
	s.Rollouts = slices.DeleteFunc(s.Rollouts, func(r upgrade.Rollout) bool { return r.Order.Revision == 0 && r.Revision == 0 })
	slices.SortFunc(s.Rollouts, func(a, b upgrade.Rollout) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return s
}

// receiveRollouts applies the rollouts that another node has sent; nil means no news.
func (a *Agent) receiveRollouts(set *upgrade.Set, from string) {
	if set == nil || !a.rolloutLimits().On() {
		return
	}
	if !set.Valid() {
		a.deps.Log.Warn("rollouts refused", "from", from, "revision", set.Revision)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyRollouts(*set, from)
}

// rolloutsSince returns the rollouts for another node unless it has got them already; the caller holds mu.
func (a *Agent) rolloutsSince(sent *uint64) *upgrade.Set {
	if *sent == a.rollouts.changes {
		return nil
	}
	*sent = a.rollouts.changes
	set := a.rollouts.set
	set.Rollouts = slices.Clone(set.Rollouts)
	for i, r := range set.Rollouts {
		if s, ok := a.rollouts.began[r.Service]; ok {
			set.Rollouts[i].Age = max(a.deps.Now().Sub(s.at), 0)
		}
	}
	return &set
}

// applyRollouts puts a set into force if it is newer than the present one; the caller holds mu.
func (a *Agent) applyRollouts(set upgrade.Set, from string) {
	known := a.rollouts.set
	if c := set.Compare(known); c < 0 || c == 0 && (known.Era != 0 || known.Revision != 0) {
		return
	}
	now := a.deps.Now()
	set.Keep(known)
	began := map[config.ServiceName]sighting{}
	for i, r := range set.Rollouts {
		at := now.Add(-r.Age)
		s, known := a.rollouts.began[r.Service]
		known = known && s.order == r.Order
		switch d := r.Current(); {
		case known && s.at.Before(at):
			at = s.at
		case !known && r.Age == 0 && d.Began > 0:
			// The node has started during the rollout and reads it from the store.
			at = now.Add(-max(time.Duration(now.UnixMilli()-d.Began)*time.Millisecond, 0))
		}
		began[r.Service] = sighting{r.Order, at}
		set.Rollouts[i].Age = 0
	}
	same := reflect.DeepEqual(set.Rollouts, known.Rollouts) || len(set.Rollouts) == 0 && len(known.Rollouts) == 0
	a.rollouts.set, a.rollouts.began = set, began
	if same {
		return
	}
	a.rollouts.changes++
	for _, r := range set.Rollouts {
		d := r.Current()
		a.deps.Log.Info("rollout known", "service", r.Service, "version", r.Order.Version, "order", r.Order.Revision, "state", d.State, "share", d.Share, "reported", d.Reported, "from", from)
	}
	a.enforceRollouts()
	a.broadcastChange()
}

// enforceRollouts applies the set in force to the calls and to the tally of the target on this VM; the caller holds mu.
func (a *Agent) enforceRollouts() {
	applied := map[config.ServiceName]dispatch.Rollout{}
	tallied := store.Revision(0)
	for _, r := range a.rollouts.set.Rollouts {
		if r.Order.Revision == 0 {
			continue
		}
		d := r.Current()
		if a.rollouts.silent && d.State == upgrade.Running {
			d.Share = 0
		}
		applied[r.Service] = dispatch.Rollout{Version: d.Version, State: d.State, Share: d.Share, Old: d.Old, Refused: d.Refused}
		if r.Service == a.cfg.Load().Service && !d.State.Final() {
			tallied = r.Order.Revision
		}
	}
	a.peers.SetRollouts(applied)
	switch {
	case tallied == a.rollouts.tallied:
	case tallied != 0:
		a.gate.SetTally(upgrade.NewTally())
	default:
		a.gate.SetTally(nil)
	}
	a.rollouts.tallied = tallied
}

// watchSilence calls checkSilence until ctx ends, apart from the decisions, which wait for other nodes and for the store.
func (a *Agent) watchSilence(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, silenceInterval)
		if a.rolloutLimits().On() {
			a.checkSilence()
		}
	}
}

// checkSilence stops the trial of versions while the node has no news of the store: nobody could take them back.
func (a *Agent) checkSilence() {
	limit := defaultSilence
	if t := a.cfg.Load().RollbackTime; t > 0 {
		limit = time.Duration(silencePart * float64(t))
	}
	silent := a.storeAge() >= limit
	a.mu.Lock()
	defer a.mu.Unlock()
	if silent == a.rollouts.silent {
		return
	}
	a.rollouts.silent = silent
	if len(a.rollouts.set.Rollouts) > 0 {
		a.deps.Log.Info("news of the store for rollouts", "silent", silent)
		a.enforceRollouts()
	}
}

// oldVersions returns the distinct versions, sorted.
func oldVersions(vs []lifecycle.Version) []lifecycle.Version {
	slices.Sort(vs)
	return slices.Compact(vs)
}
