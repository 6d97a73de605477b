package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/store"
)

const (
	watchInterval     = 250 * time.Millisecond // between two watches, to limit store calls when changes are frequent
	bootstrapTime     = 3 * time.Second        // for the first nodes to write their entries, which happens after two heartbeats at the latest
	bootstrapInterval = 500 * time.Millisecond // mean time between two stale lists while no other node is listed
	minBackoff        = 200 * time.Millisecond // mean wait after the first failed store call, then doubled up to maxBackoff
	maxBackoff        = time.Second            // mean wait after repeated failures; entries have to be restored within two seconds of the store's return

	headCheckInterval = 100 * time.Millisecond // between two checks whether a head must step down

	maxParentFailures = 2 // in a row before the store is read directly; two failures take less than the time in which a change has to be in force
)

// syncState keeps configuration and members up to date, from a parent or, at the heads of a region, from the store. A node that
// has lost two parents in a row reads the store once for changes that it may have missed. A head that reaches the store neither
// directly nor through the other head steps down.
func (a *Agent) syncState(ctx context.Context) {
	backoff, failures := minBackoff, 0
	var failingSince time.Time
	for ctx.Err() == nil {
		parent := a.treePosition().Parent
		if parent != nil && a.membersLoaded.Load() && failures < maxParentFailures {
			if failures++; a.followParent(ctx, *parent) {
				failures = 0
			}
			continue
		}
		wait := a.times.watch
		if parent != nil || !a.membersLoaded.Load() {
			wait = 0
		}
		failures = 0
		a.syncMu.Lock()
		err := a.syncFromStore(ctx, wait)
		a.syncMu.Unlock()
		a.recordEra(a.deps.Store.Era())
		now := a.deps.Now()
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			a.storeFailing.Store(false)
			backoff, failingSince = minBackoff, time.Time{}
			switch {
			case a.bootstrapping():
				sleep(ctx, bootstrapInterval/2+rand.N(bootstrapInterval))
			case wait > 0:
				sleep(ctx, watchInterval)
			}
			continue
		case failingSince.IsZero():
			failingSince = now
		case now.Sub(failingSince) >= headFailureTime:
			a.storeFailing.Store(true)
		}
		a.logStoreConnection(err)
		a.backOff(ctx, backoff/2+rand.N(backoff), parent == nil)
		backoff = min(2*backoff, maxBackoff)
	}
}

// recordEra records the store's era, named in an answer or by a parent. If the store has returned from an older copy, the
// node's entry is checked; the first era that a node learns of is not a return.
func (a *Agent) recordEra(e store.Era) {
	for known := a.era.Load(); uint64(e) > known; known = a.era.Load() {
		if !a.era.CompareAndSwap(known, uint64(e)) {
			continue
		}
		if known > 0 {
			a.deps.Log.Warn("store returned from an older copy", "era", e, "before", known, "revision", a.position.Load().Revision, "plan", a.planVersion())
			a.registrar.reportReturn()
		}
		return
	}
}

// backOff waits after a failed store call. A head steps down as soon as mustStepDown holds, without another call.
func (a *Agent) backOff(ctx context.Context, d time.Duration, head bool) {
	end := a.deps.Now().Add(d)
	for ctx.Err() == nil {
		if head && a.mustStepDown() {
			a.exclude(a.cfg.Load().VM, disconnectedExclusion)
			return
		}
		remaining := end.Sub(a.deps.Now())
		if remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, headCheckInterval))
	}
}

// mustStepDown reports whether a head without store contact has to be replaced: the other head has no contact either, or sends
// nothing.
func (a *Agent) mustStepDown() bool {
	return a.storeFailing.Load() && (a.siblingStoreFailing.Load() || a.storeAge() > a.times.headStale) && a.membersLoaded.Load() && !a.storeOutage()
}

// recordStoreContact records a contact with the store at the given time, made by this node or reported by a parent.
func (a *Agent) recordStoreContact(at time.Time) {
	if since := int64(at.Sub(a.startedAt)); since > a.storeContact.Load() {
		a.storeContact.Store(since)
	}
	a.logStoreConnection(nil)
}

// storeAge returns the time since the last contact with the store.
func (a *Agent) storeAge() time.Duration {
	return a.deps.Now().Sub(a.startedAt) - time.Duration(a.storeContact.Load())
}

// storeConnected reports whether the last contact with the store is recent.
func (a *Agent) storeConnected() bool { return a.storeAge() < a.times.stale }

// logStoreConnection logs when contact with the store is lost or restored.
func (a *Agent) logStoreConnection(err error) {
	connected := a.storeConnected()
	if a.loggedConnected.Swap(connected) == connected {
		return
	}
	if connected {
		a.deps.Log.Info("store contact restored", "age", a.storeAge())
		return
	}
	a.deps.Log.Warn("store contact lost", "age", a.storeAge(), "error", err)
}

// bootstrapping reports whether the node has just started and no other member is listed yet. All nodes of a new system start at
// about the same time; watching the store would cost each of them several calls before it finds a parent.
func (a *Agent) bootstrapping() bool {
	if a.deps.Now().Sub(a.startedAt) >= bootstrapTime {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Len() <= 1
}

// syncFromStore lists the whole state or waits for changes after the last applied position. A watch delivers every
// configuration of a burst although only the last one is needed, so the state is listed instead until the burst ends, and by a
// head that has missed changes for long. The caller holds syncMu.
func (a *Agent) syncFromStore(ctx context.Context, wait time.Duration) error {
	after := *a.position.Load()
	if after.Revision == 0 || a.bootstrapping() || wait > 0 && a.storeAge() >= a.times.history {
		return a.syncFromList(ctx)
	}
	contact := a.deps.Now()
	asOf, plans, err := a.watchStore(ctx, after, wait)
	switch {
	case errors.Is(err, store.ErrCompacted), errors.Is(err, store.ErrReturned), errors.Is(err, store.ErrTooLong):
		a.deps.Log.Info("changes unavailable, full state will be listed", "era", after.Era, "after", after.Revision, "error", err)
		a.position.Store(&store.Position{})
		return a.syncFromList(ctx)
	case err != nil:
		return err
	}
	if wait > 0 {
		contact = a.deps.Now() // the store answers when the watch ends
	}
	a.recordStoreContact(contact)
	if a.planBurst = plans > 1; a.planBurst {
		asOf = store.Position{}
	}
	a.position.Store(&asOf)
	a.synced.Store(true)
	return nil
}

// syncFromList lists the whole state.
func (a *Agent) syncFromList(ctx context.Context) error {
	// The first lists may be stale, which costs a tenth of a consistent list; later changes come from the parent or the
	// next read. A stale list may be from before a return of the store, so its position is not used.
	stale := a.bootstrapping() || !a.membersLoaded.Load()
	previous, contact := a.planVersion(), a.deps.Now()
	asOf, err := a.listStore(ctx, stale)
	if err != nil {
		return err
	}
	a.planBurst = a.planBurst && a.planVersion() > previous
	a.membersLoaded.Store(true)
	if stale {
		return nil
	}
	a.recordStoreContact(contact)
	if !a.planBurst {
		a.position.Store(&asOf)
	}
	a.synced.Store(true)
	return nil
}

func (a *Agent) listStore(ctx context.Context, stale bool) (store.Position, error) {
	items, asOf, err := a.deps.Store.Range(ctx, platform.WatchPrefix, stale)
	if err != nil {
		return store.Position{}, err
	}
	a.listRollouts(items, asOf, stale)
	var records []member.Record
	var own *store.Item
	for _, i := range items {
		if i.Key == platform.PlanKey {
			a.applyPlan(i.Value, "store")
		} else if r, ok := a.parseRecord(i); ok {
			records = append(records, r)
			if r.Node == a.cfg.Load().VM {
				own = &i
			}
		}
	}
	a.mu.Lock()
	a.publishMembers(a.view.Replace(a.withSelf(records), a.deps.Now()))
	a.mu.Unlock()
	a.registrar.reportListed(own, stale)
	return asOf, nil
}

// withSelf appends the node's own record, which the store may not list yet or no longer.
func (a *Agent) withSelf(records []member.Record) []member.Record {
	return append(records, a.registrar.current())
}

// watchStore applies the changes after a position and returns how many configurations they contained.
func (a *Agent) watchStore(ctx context.Context, after store.Position, wait time.Duration) (asOf store.Position, plans int, err error) {
	items, asOf, err := a.deps.Store.Changes(ctx, platform.WatchPrefix, after, wait)
	if err != nil {
		return after, 0, err
	}
	var newest store.Revision
	for _, i := range items {
		if i.Key == platform.PlanKey && !i.Deleted {
			newest, plans = max(newest, i.Revision), plans+1
		}
	}
	a.applyRolloutItems(items, asOf.Era)
	for _, i := range items {
		if i.Key == platform.PlanKey && i.Revision < newest {
			continue // superseded by a later configuration in the same batch
		}
		a.applyItem(i)
	}
	return asOf, plans, nil
}

// applyItem applies one changed item of the store.
func (a *Agent) applyItem(i store.Item) {
	n, isMember := platform.ParseMemberKey(i.Key)
	switch {
	case i.Key == platform.PlanKey && !i.Deleted:
		a.applyPlan(i.Value, "store")
	case !isMember:
	case n == a.cfg.Load().VM:
		if i.Deleted {
			a.registrar.reportMissing()
		}
	case i.Deleted:
		a.mu.Lock()
		a.publishMembers(a.view.Unlist(n, a.deps.Now()))
		a.mu.Unlock()
	default:
		if r, ok := a.parseRecord(i); ok {
			a.mergeRecords([]member.Record{r}, true)
		}
	}
}

// parseRecord decodes a member's record and rejects records that another writer has corrupted.
func (a *Agent) parseRecord(i store.Item) (member.Record, bool) {
	n, ok := platform.ParseMemberKey(i.Key)
	if !ok {
		return member.Record{}, false
	}
	var r member.Record
	err := json.Unmarshal(i.Value, &r)
	if err == nil && r.Node != n {
		err = errors.Newf("record of node %q", r.Node)
	}
	if err != nil {
		a.deps.Log.Warn("malformed member record", "key", i.Key, "revision", i.Revision, "error", err)
		return member.Record{}, false
	}
	return r, a.acceptRecord(r, string(i.Key))
}

// acceptRecord reports whether a record from the store or from another node is one that a node may have published.
func (a *Agent) acceptRecord(r member.Record, from string) bool {
	if err := r.Validate(); err != nil {
		a.deps.Log.Warn("member record refused", "from", from, "node", r.Node, "error", err)
		a.deps.Metrics.GetOrCreateCounter("cassialead_refused_records_total").Inc()
		return false
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
