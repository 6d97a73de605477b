package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cassialead/cassialead/store"
)

const (
	maxTreeDepth      = 3                      // of a node in a region of the largest size planned for
	ageCheckInterval  = 50 * time.Millisecond  // between two checks of the state's age
	readReserve       = 350 * time.Millisecond // for a check, a read of the store and applying the changes
	ageSlack          = 250 * time.Millisecond // between the usual age of a node's state and a read of the store
	staleSlack        = 200 * time.Millisecond // between the usual age of a node's state and leaving its parent
	headStaleSlack    = 50 * time.Millisecond  // between the usual age of the other head's state and stepping down
	minWatch          = 200 * time.Millisecond // of one watch
	maxWatch          = time.Second            // of one watch; short, so that a watch that no longer delivers anything is soon replaced
	directReadSpacing = 2 * time.Millisecond   // between the direct reads of any two nodes while the store is away
)

// syncTimes are the times that follow from the time within which a change has to be in force. A node's state is as old as its
// last contact with the store, direct or through its parents; a change that it lacks was acknowledged after that contact.
type syncTimes struct {
	watch     time.Duration // of one watch by a head
	headStale time.Duration // age from which a head counts as disconnected from the store
	stale     time.Duration // age from which any node counts as disconnected from the store
	history   time.Duration // age from which a head reads the newest state in place of the changes since
	latest    time.Duration // age at which a node at the greatest depth reads the store
}

// newSyncTimes returns the times for a bound on the age of the state in force.
func newSyncTimes(apply time.Duration) syncTimes {
	t := syncTimes{latest: max(apply-readReserve, apply/2), history: apply + apply/2}
	t.watch = min(max(t.latest-maxTreeDepth*keepaliveInterval-watchInterval-ageSlack, minWatch), maxWatch)
	t.headStale = t.watch + watchInterval + 2*keepaliveInterval + headStaleSlack
	t.stale = t.watch + watchInterval + maxTreeDepth*keepaliveInterval + staleSlack
	return t
}

// readAge returns the age of the state at which a node reads the store although it has a parent. Nodes near the head read first,
// and what they learn reaches the nodes below them before those read.
func (t syncTimes) readAge(depth int) time.Duration {
	return max(t.latest-time.Duration(maxTreeDepth-min(max(depth, 1), maxTreeDepth))*keepaliveInterval, t.latest/2)
}

// limitAge reads the store as soon as the state that a node receives from its parent is so old that a change could be in force
// late, whatever the cause. Heads read the store in syncState.
func (a *Agent) limitAge(ctx context.Context) {
	var retryAt time.Time
	backoff := minBackoff
	for ctx.Err() == nil {
		sleep(ctx, ageCheckInterval)
		now, age := a.deps.Now(), a.storeAge()
		if age < a.times.readAge(1) {
			retryAt, backoff = time.Time{}, minBackoff
			continue
		}
		if now.Before(retryAt) || !a.synced.Load() || a.joining(now) {
			continue
		}
		position := a.treePosition()
		if position.Parent == nil || age < a.times.readAge(position.Depth) {
			continue
		}
		if !a.syncMu.TryLock() {
			continue // syncState is reading the store
		}
		err := a.syncFromStore(ctx, 0)
		a.syncMu.Unlock()
		a.recordEra(a.deps.Store.Era())
		a.deps.Metrics.GetOrCreateCounter(`cassialead_direct_reads_total{outcome="` + directReadOutcome(err) + `"}`).Inc()
		a.deps.Log.Info("store read without the parent", "age", age, "depth", position.Depth, "parent", position.Parent.Node, "plan", a.planVersion(), "error", err)
		if err == nil {
			continue
		}
		retryAt = now.Add(backoff/2 + rand.N(backoff))
		backoff = min(2*backoff, max(maxBackoff, time.Duration(a.memberCount())*directReadSpacing))
	}
}

// joining reports whether the node has just started and still looks for its parent.
func (a *Agent) joining(now time.Time) bool {
	return a.storeContact.Load() < 0 && now.Sub(a.startedAt) < bootstrapTime
}

// directReadOutcome returns the label of a direct read's outcome.
func directReadOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

// memberCount returns the number of known nodes.
func (a *Agent) memberCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Len()
}

// advancePosition records the position up to which changes have been applied unless a later one is known.
func (a *Agent) advancePosition(p store.Position) {
	for {
		known := a.position.Load()
		if known.Era > p.Era || known.Era == p.Era && known.Revision >= p.Revision {
			return
		}
		if a.position.CompareAndSwap(known, &p) {
			return
		}
	}
}
