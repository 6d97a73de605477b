package agent

import (
	"context"
	"net/http"
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/store"
	"github.com/cassialead/cassialead/upgrade"
)

const (
	decideInterval   = 250 * time.Millisecond // between two looks at the orders
	evidenceInterval = time.Second            // between two requests for evidence on an order
	candidateCheck   = time.Second            // between two checks whether an earlier candidate answers
	commitRetry      = time.Second            // after a failed write of a decision
	deliveryTime     = 3 * time.Second        // in which the store's watch returns a written decision, else it is written again
)

// decider holds what the deciding node remembers of the orders that it decides on. It is lost with the node: the next one starts from the
// stored decisions and asks for the counts from the beginning.
type decider struct {
	deciding  bool // as last checked
	checkedAt time.Time
	orders    map[config.ServiceName]*decidedOrder
}

// decidedOrder is an order that this node decides on.
type decidedOrder struct {
	machine       *upgrade.Machine
	collector     collector
	retryAt       time.Time
	written       store.Revision // of the decision, as last written by this node
	writtenAt     time.Time
	status        store.Revision // of the reported state
	statusMatches func(upgrade.Decision) bool
	statusKnown   bool
}

// decideRollouts decides on orders while this node is the one to do so, until ctx ends.
func (a *Agent) decideRollouts(ctx context.Context) {
	d := decider{orders: map[config.ServiceName]*decidedOrder{}}
	for ctx.Err() == nil {
		sleep(ctx, decideInterval)
		if !a.rolloutLimits().On() {
			continue
		}
		open := a.openRollouts()
		if len(open) == 0 {
			clear(d.orders)
			continue
		}
		if now := a.deps.Now(); now.Sub(d.checkedAt) >= candidateCheck {
			d.deciding, d.checkedAt = a.isDecider(ctx), now
		}
		if !d.deciding {
			clear(d.orders)
			continue
		}
		for _, o := range open {
			a.decide(ctx, &d, o)
		}
	}
}

// openRollout is a rollout on which there is something left to decide or to report.
type openRollout struct {
	upgrade.Rollout
	began time.Time
}

func (a *Agent) openRollouts() []openRollout {
	a.mu.Lock()
	defer a.mu.Unlock()
	var open []openRollout
	for _, r := range a.rollouts.set.Rollouts {
		if d := r.Current(); r.Order.Revision != 0 && (!d.State.Final() || d.Reported != d.State || r.Lost) {
			open = append(open, openRollout{r, a.rollouts.began[r.Service].at})
		}
	}
	return open
}

// candidates returns the heads of all regions in the order in which they decide. All nodes with the same members compute the same order.
func (a *Agent) candidates() []member.Member {
	members := a.members()
	var regions []fleet.Region
	for _, m := range members {
		regions = append(regions, m.Region)
	}
	slices.Sort(regions)
	var all []member.Member
	for _, r := range slices.Compact(regions) {
		all = append(all, a.heads(members, r)...)
	}
	return all
}

// isDecider reports whether this node is the first candidate that answers and can write. Two nodes may both be for a while if they can't
// reach each other; the store accepts the write of one.
func (a *Agent) isDecider(ctx context.Context) bool {
	if !a.canDecide() {
		return false
	}
	for _, c := range a.candidates() {
		if c.Node == a.cfg.Load().VM {
			return true
		}
		var m evidenceMessage
		if err := a.requestPeer(ctx, http.MethodGet, c.Address, evidencePath, nil, &m); err == nil && m.Node == c.Node && m.Decides {
			return false
		}
	}
	return false
}

// decide takes the next step on an order.
func (a *Agent) decide(ctx context.Context, d *decider, r openRollout) {
	now := a.deps.Now()
	o := d.orders[r.Service]
	if o == nil || o.machine.Order() != r.Order {
		o = &decidedOrder{machine: upgrade.NewMachine(r.Order, a.rolloutLimits(), r.began), collector: newCollector()}
		d.orders[r.Service] = o
	}
	if o.written > r.Revision && now.Sub(o.writtenAt) < deliveryTime || now.Before(o.retryAt) {
		return
	}
	current := r.Current()
	t := a.targetsOf(r.Service, current)
	switch {
	case current.State == upgrade.Waiting && len(t.fresh) > 0:
		o.collector.collect(ctx, a, t) // what was counted before the trial is not compared
	case current.State == upgrade.Running && now.Sub(o.collector.at) >= evidenceInterval:
		o.machine.Observe(o.collector.collect(ctx, a, t))
	}
	next := o.machine.Next(a.deps.Now(), current, upgrade.Facts{New: len(t.fresh), Old: t.versions})
	if reflect.DeepEqual(next, current) && !(r.Lost && next.State.Final()) {
		return
	}
	err := a.commitDecision(ctx, o, r.Rollout, next)
	if err != nil {
		o.statusKnown, o.retryAt = false, a.deps.Now().Add(commitRetry)
	}
	a.deps.Log.Info("rollout decided", "service", r.Service, "version", next.Version, "state", next.State, "share", next.Share, "reported", next.Reported, "evidence", o.machine.String(), "error", err)
}

// commitDecision writes a decision, and the state for the operator if that changes, if nobody else has written the decision since.
func (a *Agent) commitDecision(ctx context.Context, o *decidedOrder, r upgrade.Rollout, next upgrade.Decision) error {
	if !o.statusKnown {
		i, err := a.deps.Store.Read(ctx, platform.StatusKey(r.Service))
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		o.status, o.statusKnown = i.Revision, true
		o.statusMatches = func(d upgrade.Decision) bool { return err == nil && platform.ReportsSame(i.Value, d) }
	}
	tx := store.Transaction{Conditions: []store.Condition{{Key: platform.DecisionKey(r.Service), Revision: r.Revision}},
		Writes: []store.Write{{Key: platform.DecisionKey(r.Service), Value: platform.FormatDecision(next)}}}
	reports := next.Reported != r.Current().Reported || r.Lost
	if reports && !o.statusMatches(next) {
		tx.Conditions = append(tx.Conditions, store.Condition{Key: platform.StatusKey(r.Service), Revision: o.status})
		tx.Writes = append(tx.Writes, store.Write{Key: platform.StatusKey(r.Service), Value: platform.FormatStatus(next)})
	}
	revision, err := a.deps.Store.Commit(ctx, tx)
	if err != nil {
		return err
	}
	o.written, o.writtenAt = revision, a.deps.Now()
	if len(tx.Writes) > 1 {
		o.status = revision
		o.statusMatches = func(d upgrade.Decision) bool { return d.Reported == next.Reported && d.Version == next.Version }
	}
	return nil
}
