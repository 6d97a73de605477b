package agent

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/feed"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/store"
)

const (
	keepaliveInterval     = 250 * time.Millisecond // between two keepalives of a parent
	parentTimeout         = 800 * time.Millisecond // two lost keepalives and a round trip between regions
	batchDelay            = 20 * time.Millisecond  // in which changes are collected into one message to the children
	unreachableExclusion  = 3 * time.Second        // of a parent or other head that can't be reached
	disconnectedExclusion = 8 * time.Second        // of a node that is disconnected from the store while others are not
	headFailureTime       = 300 * time.Millisecond // of failing store calls, after which a head may step down
	staleParentTime       = 300 * time.Millisecond // of stale updates, after which a child leaves a parent that is not a head
	parentCheckInterval   = time.Second            // between two checks whether the tree assigns another parent
	planInterval          = 300 * time.Millisecond // between two configurations on one connection; three levels of the tree stay within the two seconds for a change
)

var errParentDisconnected = errors.New("parent is disconnected from the store")

// broadcastChange wakes all goroutines that forward changes; the caller holds mu.
func (a *Agent) broadcastChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// treePosition returns the node's position in the distribution tree.
func (a *Agent) treePosition() member.Position {
	now := a.deps.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return member.Locate(a.view.Members(), a.cfg.Load().VM, func(n fleet.NodeID) bool { return !now.Before(a.excludedUntil[n]) })
}

// maxExcluded is the number of excluded nodes from which the store itself counts as down; changing the tree would not help
// then.
const maxExcluded = 3

// storeOutage reports whether so many nodes are excluded that the store itself must be down.
func (a *Agent) storeOutage() bool {
	now := a.deps.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, until := range a.excludedUntil {
		if now.Before(until) {
			n++
		}
	}
	return n >= maxExcluded
}

func (a *Agent) exclude(n fleet.NodeID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.excludedUntil[n] = a.deps.Now().Add(d)
}

// followParent applies the updates of a parent. It returns true when the tree assigns another parent, and false when this one
// has failed or is disconnected from the store.
func (a *Agent) followParent(ctx context.Context, parent member.Member) bool {
	conn, err := feed.Dial(ctx, parent.Node, parent.Address, feed.Hello{Child: a.registrar.current(), PlanVersion: a.planVersion()})
	if err != nil {
		a.exclude(parent.Node, unreachableExclusion)
		a.deps.Log.Info("parent unreachable", "parent", parent.Node, "error", err)
		return false
	}
	defer conn.Close()
	a.deps.Log.Info("parent connected", "parent", parent.Node)
	stop := context.AfterFunc(ctx, conn.Close)
	defer stop()
	err = a.receiveFromParent(ctx, conn, parent)
	switch {
	case ctx.Err() != nil:
		return true
	case err == nil:
		conn.Leave()
		return true
	case errors.Is(err, errParentDisconnected):
		conn.Leave()
		a.exclude(parent.Node, disconnectedExclusion)
		a.deps.Log.Info("switching parent", "parent", parent.Node, "error", err)
	default:
		a.exclude(parent.Node, unreachableExclusion)
		a.deps.Log.Info("parent connection lost", "parent", parent.Node, "error", err)
	}
	return false
}

// receiveFromParent applies a parent's updates; it returns nil when the tree assigns another parent.
func (a *Agent) receiveFromParent(ctx context.Context, conn *feed.Conn, parent member.Member) error {
	staleSince, parentChecked := time.Time{}, a.deps.Now()
	reports := reporter{to: parent.Node}
	for {
		update, err := conn.Receive(parentTimeout)
		if err != nil {
			return err
		}
		now := a.deps.Now()
		a.recordEra(update.Era)
		a.applyUpdate(update, string(parent.Node))
		if err := reports.exchange(a, conn, update); err != nil {
			return err
		}
		a.recordParentContact(update, now)
		a.logStoreConnection(errParentDisconnected)
		switch {
		case update.Disconnected:
			return errParentDisconnected
		case update.StoreAge < a.times.stale:
			staleSince = time.Time{}
			if update.Revision > 0 {
				a.advancePosition(store.Position{Era: update.Era, Revision: update.Revision})
			}
		case staleSince.IsZero():
			staleSince = now
		case now.Sub(staleSince) >= staleParentTime && !a.storeOutage():
			return errParentDisconnected
		}
		if now.Sub(parentChecked) < parentCheckInterval {
			continue
		}
		parentChecked = now
		if p := a.treePosition().Parent; p == nil || p.Node != parent.Node || p.Address != parent.Address {
			return nil
		}
	}
}

// recordParentContact records the store contact that a parent or the other head reports on a connection whose first update was
// full. The contact vouches for the state in force here only if the update leaves nothing out.
func (a *Agent) recordParentContact(update feed.Update, now time.Time) {
	if update.Incomplete {
		return
	}
	a.recordStoreContact(now.Add(-update.StoreAge))
	if update.StoreAge < a.times.stale {
		a.synced.Store(true)
	}
}

// followSibling keeps a head connected to the other head of its region, so that one that loses the store alone still gets updates.
func (a *Agent) followSibling(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, parentCheckInterval/2)
		sibling := a.treePosition().Sibling
		if sibling == nil || !a.membersLoaded.Load() {
			continue
		}
		if err := a.receiveFromSibling(ctx, *sibling); err != nil && ctx.Err() == nil {
			a.deps.Log.Info("other head unreachable", "head", sibling.Node, "error", err)
			a.exclude(sibling.Node, unreachableExclusion)
		}
	}
}

// receiveFromSibling applies the other head's updates as long as both are heads.
func (a *Agent) receiveFromSibling(ctx context.Context, sibling member.Member) error {
	conn, err := feed.Dial(ctx, sibling.Node, sibling.Address, feed.Hello{Child: a.registrar.current(), PlanVersion: a.planVersion()})
	if err != nil {
		return err
	}
	defer conn.Close()
	a.deps.Log.Info("other head connected", "head", sibling.Node)
	defer a.siblingStoreFailing.Store(false)
	reports := reporter{to: sibling.Node}
	for ctx.Err() == nil {
		update, err := conn.Receive(parentTimeout)
		if err != nil {
			return err
		}
		a.recordEra(update.Era)
		a.applyUpdate(update, string(sibling.Node))
		if err := reports.exchange(a, conn, update); err != nil {
			return err
		}
		a.siblingStoreFailing.Store(update.StoreFailing)
		a.recordParentContact(update, a.deps.Now())
		if current := a.treePosition().Sibling; current == nil || current.Node != sibling.Node {
			conn.Leave()
			return nil
		}
	}
	return nil
}

// applyUpdate merges an update from a parent or from the other head.
func (a *Agent) applyUpdate(update feed.Update, from string) {
	a.applyCompressedPlan(update.Plan, update.PlanVersion, from)
	a.receiveRollouts(update.Rollouts, from)
	if !update.Full && len(update.Members) == 0 && len(update.Removed) == 0 {
		return
	}
	now, self := a.deps.Now(), a.cfg.Load().VM
	listed := !update.Full
	var changes []member.Change
	var own []member.Record
	a.mu.Lock()
	listedNodes := map[fleet.NodeID]bool{self: true}
	for _, e := range update.Members {
		if !a.acceptRecord(e.Record, from) {
			continue
		}
		listedNodes[e.Record.Node] = true
		if e.Record.Node == self {
			listed, own = !e.Unlisted, append(own, e.Record)
			continue
		}
		changes = append(changes, a.view.Merge(e.Record, !e.Unlisted, now)...)
		if e.Unlisted {
			changes = append(changes, a.view.Unlist(e.Record.Node, now)...)
		}
	}
	for _, r := range update.Removed {
		if !a.acceptRecord(r, from) {
			continue
		}
		if r.Node == self {
			listed, own = false, append(own, r)
			continue
		}
		changes = append(changes, a.view.Remove(r, now)...)
	}
	if update.Full {
		for _, m := range a.view.Members() {
			if !listedNodes[m.Node] {
				changes = append(changes, a.view.Unlist(m.Node, now)...)
			}
		}
	}
	a.publishMembers(changes)
	a.mu.Unlock()
	a.registrar.restoreFromPeers(own)
	if !listed {
		a.registrar.reportMissing()
	}
}

// serveChild streams updates to a child until the connection breaks or the node stops.
func (a *Agent) serveChild(w http.ResponseWriter, r *http.Request) {
	conn, hello, err := feed.Accept(w, r)
	if err != nil {
		a.deps.Log.Info("child not accepted", "from", r.RemoteAddr, "error", err)
		return
	}
	defer conn.Close()
	a.mu.Lock()
	earlier, known := a.view.Last(hello.Child.Node)
	a.mu.Unlock()
	a.mergePeerRecords([]member.Record{hello.Child}, r.RemoteAddr)
	a.deps.Log.Info("child connected", "child", hello.Child.Node, "plan", hello.PlanVersion)
	plan, revision, rollouts, full := hello.PlanVersion, uint64(0), uint64(0), true
	var planSent, totalsDue time.Time
	go a.receiveReports(conn, hello.Child)
	for !a.stopping.Load() {
		due := a.deps.Now().Sub(planSent) >= planInterval
		update, changed := a.updateSince(&revision, &rollouts, &plan, full, due)
		if full && known && earlier.Incarnation != hello.Child.Incarnation {
			// Tells the child of a departure that it may not know. The child's present entry follows and decides whether it is listed.
			update.Members = append([]feed.Entry{{Record: earlier}}, update.Members...)
		}
		full = false
		if now := a.deps.Now(); a.limited() && !now.Before(totalsDue) {
			update.Totals, update.TakesReports = a.demandTotals(), true
			totalsDue = now.Add(reportInterval(tenantsIn(update.Totals)))
		}
		if len(update.Plan) > 0 {
			planSent = a.deps.Now()
		}
		if err := conn.Send(update); err != nil {
			a.deps.Log.Info("child connection lost", "child", hello.Child.Node, "error", err)
			return
		}
		select {
		case <-changed:
			sleep(r.Context(), batchDelay)
		case <-time.After(keepaliveInterval):
		}
	}
}

// updateSince returns what has changed for a child, and a channel that is closed at the next change. A configuration is
// included only if due is set.
func (a *Agent) updateSince(revision, rollouts *uint64, plan *config.Version, full, due bool) (feed.Update, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	self, position := a.cfg.Load().VM, a.position.Load()
	update := feed.Update{Disconnected: a.deps.Now().Before(a.excludedUntil[self]), StoreFailing: a.storeFailing.Load(), Full: full, From: self, StoreAge: a.storeAge(),
		Revision: position.Revision, Era: position.Era}
	update.Rollouts = a.rolloutsSince(rollouts)
	var changed []member.Member
	changed, update.Removed, *revision = a.view.ChangedSince(*revision)
	if full {
		update.Removed = nil
	}
	for _, m := range changed {
		update.Members = append(update.Members, feed.Entry{Record: m.Record, Unlisted: m.Unlisted})
	}
	switch v := a.planVersion(); {
	case v <= *plan:
	case due:
		update.Plan, update.PlanVersion, *plan = a.compressPlan(), v, v
	default:
		update.Revision, update.Incomplete = 0, true
	}
	return update, a.changed
}

// compressPlan returns the compressed configuration, which is computed once per version; the caller holds mu.
func (a *Agent) compressPlan() []byte {
	if a.compressedPlan == nil {
		compressed, err := feed.Compress(a.rawPlan)
		if err != nil {
			a.deps.Log.Error("configuration not compressed", "version", a.planVersion(), "error", err)
		}
		a.compressedPlan = compressed
	}
	return a.compressedPlan
}

// applyCompressedPlan decompresses and applies a configuration from another node if it is newer than the current one.
func (a *Agent) applyCompressedPlan(compressed []byte, v config.Version, from string) {
	if len(compressed) == 0 || v <= a.planVersion() {
		return
	}
	plan, err := feed.Decompress(compressed)
	if err != nil {
		a.deps.Log.Warn("configuration not decompressed", "from", from, "error", err)
		return
	}
	a.applyPlan(plan, from)
}
