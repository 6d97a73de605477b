package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/store"
)

const (
	leaseTTL          = 20 * time.Second       // of a node's entry; other nodes detect its failure by their own calls long before
	renewInterval     = 6 * time.Second        // renews three times within the lease
	startupHeartbeats = 2                      // heartbeats for which a starting node waits for its target, so that one write publishes both
	writeDelay        = 100 * time.Millisecond // in which changes of the record are collected into one write
	shutdownTimeout   = 150 * time.Millisecond // to write the leaving state to the store, and to end the lease
	recheckSpread     = time.Second            // over which nodes check their entries after a return of the store, to spread the reads of a large fleet
)

// registrar maintains the node's entry in the store.
type registrar struct {
	agent *Agent

	mu             sync.Mutex // guards the fields from record to waiters
	record         member.Record
	storedSequence fleet.Sequence // newest sequence that the store has acknowledged
	storedAt       time.Time      // time of that acknowledgement
	waiters        []chan struct{}

	wake          chan struct{}
	entryMissing  chan struct{}
	loaded        chan struct{} // closed once members are known
	loadedOnce    sync.Once     // guards closing loaded
	era           store.Era     // in which lease, revision and storedSequence were confirmed
	lease         store.LeaseNumber
	held          atomic.Pointer[heldLease] // current lease, read by endLease
	leaseDoubtful bool                      // the store has returned from an older copy since it confirmed the lease
	renewAt       time.Time
	revision      store.Revision
	revisionKnown bool // revision is that of the entry
}

// heldLease is a lease and the era in which the store confirmed it; in another era its number may be another client's.
type heldLease struct {
	era    store.Era
	number store.LeaseNumber
}

func newRegistrar(a *Agent) *registrar {
	r := &registrar{agent: a, wake: make(chan struct{}, 1), entryMissing: make(chan struct{}, 1), loaded: make(chan struct{})}
	r.record = a.localRecord()
	r.record.Incarnation = fleet.Incarnation(a.deps.Now().UnixMilli())
	r.record.Sequence = 1
	return r
}

// current returns the record as last published.
func (r *registrar) current() member.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// publish updates the record from the node's current state and schedules its write to the store.
func (r *registrar) publish() member.Record {
	next := r.agent.localRecord()
	r.mu.Lock()
	next.Incarnation, next.Sequence = r.record.Incarnation, r.record.Sequence+1
	r.record = next
	r.mu.Unlock()
	notify(r.wake)
	return next
}

// newEntryGrace is the time after a write in which an update without the node may still be older than that write.
const newEntryGrace = time.Second

// reportMissing schedules a new write because the store no longer lists the node.
func (r *registrar) reportMissing() {
	r.mu.Lock()
	age, written := r.agent.deps.Now().Sub(r.storedAt), !r.storedAt.IsZero()
	r.mu.Unlock()
	if !written {
		return
	}
	time.AfterFunc(max(newEntryGrace-age, 0), func() {
		notify(r.entryMissing)
		notify(r.wake)
	})
}

// waitStored waits until the store holds the current record, or until the time is up.
func (r *registrar) waitStored(timeout time.Duration) bool {
	r.mu.Lock()
	if r.storedSequence >= r.record.Sequence {
		r.mu.Unlock()
		return true
	}
	done := make(chan struct{})
	r.waiters = append(r.waiters, done)
	r.mu.Unlock()
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}

// reportReturn schedules a check of the entry after the store has returned from an older copy.
func (r *registrar) reportReturn() {
	time.AfterFunc(rand.N(recheckSpread), func() { notify(r.wake) })
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run writes the entry, renews its lease and rewrites it if it is lost.
func (r *registrar) run(ctx context.Context) {
	r.waitForTarget(ctx)
	backoff := minBackoff
	for ctx.Err() == nil {
		if err := r.syncEntry(ctx); err != nil && ctx.Err() == nil {
			r.agent.deps.Log.Info("registration in the store failed", "error", err)
			sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		t := time.NewTimer(max(r.renewAt.Sub(r.agent.deps.Now()), 0))
		select {
		case <-r.wake:
			sleep(ctx, writeDelay)
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// reportListed handles the node's own entry in a list of the store, or nil if there is none. A stale list is only used to find
// the entry of an earlier process.
func (r *registrar) reportListed(own *store.Item, stale bool) {
	switch {
	case stale:
		r.loadedOnce.Do(func() {
			// A stale revision costs at most one refused write, after which the entry is read again.
			r.revisionKnown = true
			if own != nil {
				r.adoptEntry(*own)
			}
			close(r.loaded)
		})
	case own == nil:
		r.reportMembers()
		r.reportMissing()
	default:
		r.reportMembers()
	}
}

// reportMembers ends the wait for the first list: members are known from another node or from a list that is not stale, so no stale
// one may follow. The entry of an earlier process is read before this one writes its own.
func (r *registrar) reportMembers() { r.loadedOnce.Do(func() { close(r.loaded) }) }

// waitForTarget waits until members are known, so that most departures of an earlier process are, too, and then for the first
// heartbeat of the target.
func (r *registrar) waitForTarget(ctx context.Context) {
	select {
	case <-r.loaded:
	case <-ctx.Done():
		return
	}
	t := time.NewTimer(startupHeartbeats * r.agent.cfg.Load().HeartbeatInterval)
	defer t.Stop()
	for r.current().Target.State == lifecycle.Unknown {
		select {
		case <-r.wake:
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// adoptEntry sets the entry's revision and restores the state that an earlier process has written.
func (r *registrar) adoptEntry(i store.Item) {
	r.revision, r.revisionKnown = i.Revision, true
	r.restoreTarget(i)
}

// restoreTarget restores the state that an earlier process of this node has written to the store.
func (r *registrar) restoreTarget(i store.Item) {
	if earlier, ok := r.agent.parseRecord(i); ok {
		r.restoreRecord(earlier)
	}
}

// restoreRecord restores the state that an earlier process of this node has published, as the store or another node holds it:
// its departures stay in force, and the new incarnation is higher, even if the clock has been set back.
func (r *registrar) restoreRecord(earlier member.Record) {
	r.mu.Lock()
	previous := earlier.Incarnation != r.record.Incarnation
	if previous && earlier.Incarnation > r.record.Incarnation {
		r.record.Incarnation = earlier.Incarnation + 1
	}
	r.mu.Unlock()
	if previous {
		r.agent.deps.Log.Info("record of an earlier process found", "incarnation", earlier.Incarnation, "instance", earlier.Target.ID, "state", earlier.Target.State)
		r.agent.gate.Restore(earlier.Target.ID, earlier.Target.StartTime, earlier.Target.State)
	}
}

// restoreFromPeers restores what other nodes remember of an earlier process of this node, which the store may have lost.
func (r *registrar) restoreFromPeers(records []member.Record) {
	for _, earlier := range records {
		before := r.current().Incarnation
		if r.restoreRecord(earlier); r.current().Incarnation != before {
			r.agent.targetChanged() // records under the lower incarnation are ignored
		}
	}
}

// currentEra returns the highest era of the store that the node knows of.
func (r *registrar) currentEra() store.Era {
	r.agent.recordEra(r.agent.deps.Store.Era())
	return store.Era(r.agent.era.Load())
}

// forgetStored makes the record count as not stored.
func (r *registrar) forgetStored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedSequence = 0
}

// dropLease gives up the lease without ending it.
func (r *registrar) dropLease() {
	r.lease, r.leaseDoubtful = 0, false
	r.held.Store(nil)
}

// enterEra handles a return of the store from an older copy, which may lack the entry, hold an earlier one, or have given the
// lease's number to another client.
func (r *registrar) enterEra(e store.Era) {
	r.era, r.leaseDoubtful = e, r.lease != 0
	r.forgetStored()
}

// checkLease keeps a lease of an earlier era only if the store still holds the last write that it confirmed under that lease.
func (r *registrar) checkLease(ctx context.Context) error {
	i, err := r.agent.deps.Store.Read(ctx, platform.MemberKey(r.record.Node))
	survived := err == nil && r.revisionKnown && i.Revision == r.revision && i.Lease == r.lease
	switch {
	case errors.Is(err, store.ErrNotFound):
		r.reissue()
	case err != nil:
		return err
	default:
		r.adoptEntry(i)
	}
	r.agent.deps.Log.Info("entry checked after the store's return", "era", r.era, "lease", r.lease, "survived", survived)
	if !survived {
		r.dropLease()
		return nil
	}
	r.leaseDoubtful, r.renewAt = false, r.agent.deps.Now()
	r.held.Store(&heldLease{r.era, r.lease})
	r.markStoredAs(i)
	return nil
}

// syncEntry renews the lease or requests a new one if necessary, and writes the entry.
func (r *registrar) syncEntry(ctx context.Context) error {
	if e := r.currentEra(); e != r.era {
		r.enterEra(e)
	}
	select {
	case <-r.entryMissing:
		r.forgetStored()
		r.revisionKnown = false
	default:
	}
	if r.leaseDoubtful {
		if err := r.checkLease(ctx); err != nil {
			return err
		}
	}
	now := r.agent.deps.Now()
	if r.lease != 0 && !now.Before(r.renewAt) {
		err := r.agent.deps.Store.Renew(ctx, r.lease)
		if errors.Is(err, store.ErrNotFound) {
			r.agent.deps.Log.Warn("lease lost", "lease", r.lease)
			r.dropLease()
			r.forgetStored()
		} else if err != nil {
			return err
		}
		r.renewAt = now.Add(renewInterval)
	}
	if r.lease == 0 {
		lease, ttl, err := r.agent.deps.Store.Grant(ctx, max(leaseTTL, r.agent.cfg.Load().MinLease))
		if err != nil {
			return err
		}
		r.lease, r.renewAt = lease, now.Add(min(renewInterval, ttl/3))
		r.held.Store(&heldLease{r.era, lease})
	}
	if err := r.writeEntry(ctx); err != nil {
		return err
	}
	if e := r.currentEra(); e != r.era {
		// The returned store may have accepted the entry under a lease number that is another client's there.
		r.dropLease()
		r.revisionKnown = false
		return errors.Wrapf(store.ErrReturned, "entry written in era %d or %d", r.era, e)
	}
	return nil
}

// writeEntry stores the current record unless it is stored already.
func (r *registrar) writeEntry(ctx context.Context) error {
	if !r.revisionKnown {
		i, err := r.agent.deps.Store.Read(ctx, platform.MemberKey(r.record.Node))
		switch {
		case errors.Is(err, store.ErrNotFound):
			r.reissue()
		case err != nil:
			return err
		default:
			r.adoptEntry(i)
			if i.Lease == r.lease {
				r.markStoredAs(i)
			}
		}
	}
	record := r.current()
	r.mu.Lock()
	done := r.storedSequence >= record.Sequence
	r.mu.Unlock()
	if done {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode node record")
	}
	key := platform.MemberKey(record.Node)
	revision, err := r.agent.deps.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: key, Revision: r.revision}},
		Writes:     []store.Write{{Key: key, Value: value, Lease: r.lease}},
	})
	switch {
	case err == nil:
		r.revision = revision
		r.markStored(record.Sequence)
		return nil
	case errors.Is(err, store.ErrNotFound):
		r.dropLease()
	}
	r.revisionKnown = false
	return err
}

// reissue prepares the record to be written where the store has no entry. Other nodes may have learned of this one from each other
// and removed it since, and reject what they knew of it, so the record gets a new sequence.
func (r *registrar) reissue() {
	r.revision, r.revisionKnown = 0, true
	r.mu.Lock()
	r.record.Sequence++
	r.mu.Unlock()
	r.agent.mergeRecords([]member.Record{r.current()}, false)
}

// markStoredAs marks the record as stored up to what the entry holds, if this process has written it.
func (r *registrar) markStoredAs(i store.Item) {
	var stored member.Record
	if json.Unmarshal(i.Value, &stored) == nil && stored.Incarnation == r.current().Incarnation {
		r.markStored(stored.Sequence)
	}
}

func (r *registrar) markStored(s fleet.Sequence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storedSequence, r.storedAt = max(r.storedSequence, s), r.agent.deps.Now()
	if r.storedSequence < r.record.Sequence {
		return
	}
	for _, done := range r.waiters {
		close(done)
	}
	r.waiters = nil
}

// endLease ends the lease, so that other nodes do not have to wait for its expiry.
func (r *registrar) endLease() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	held := r.held.Load()
	if held == nil {
		return
	}
	if e := r.currentEra(); e != held.era {
		r.agent.deps.Log.Info("lease not revoked, the store has returned from an older copy since", "lease", held.number, "era", held.era, "now", e)
		return
	}
	if err := r.agent.deps.Store.Revoke(ctx, held.number); err != nil {
		r.agent.deps.Log.Info("lease not revoked", "error", err)
	}
}
