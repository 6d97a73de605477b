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
	leaseTime  = 20 * time.Second       // of a node's entry; other nodes find out about its death by their own calls long before
	leaseRenew = 6 * time.Second        // three times within the lease
	firstBeats = 2                      // heartbeats for which a starting node waits for its target, so that one write tells both
	gatherWait = 100 * time.Millisecond // in which changes of the record are gathered into one write
	leaveWait  = 150 * time.Millisecond // for the store to take that the node leaves, and for the end of its lease
)

// registrar keeps the node's entry in the store.
type registrar struct {
	a *Agent

	mu       sync.Mutex // guards record, stored, waiters
	record   member.Record
	stored   fleet.Sequence // the newest sequence that the store has acknowledged
	storedAt time.Time      // when it did
	waiters  []chan struct{}

	wake     chan struct{}
	gone     chan struct{}
	started  chan struct{} // closed once a list of the store has been read
	once     sync.Once     // closes started
	lease    store.LeaseNumber
	held     atomic.Uint64 // the lease, for leave
	renewAt  time.Time
	revision store.Revision
	known    bool // revision is the entry's own
}

func newRegistrar(a *Agent) *registrar {
	r := &registrar{a: a, wake: make(chan struct{}, 1), gone: make(chan struct{}, 1), started: make(chan struct{})}
	r.record = a.record()
	r.record.Incarnation = fleet.Incarnation(a.deps.Now().UnixMilli())
	r.record.Sequence = 1
	return r
}

// current returns the record as it was last published.
func (r *registrar) current() member.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record
}

// publish takes the node's present state and has it written to the store.
func (r *registrar) publish() member.Record {
	next := r.a.record()
	r.mu.Lock()
	next.Incarnation, next.Sequence = r.record.Incarnation, r.record.Sequence+1
	r.record = next
	r.mu.Unlock()
	signal(r.wake)
	return next
}

// freshEntry is the time after a write in which news that do not name the node may still be older than it.
const freshEntry = time.Second

// lost notes that the store does not list the node any more.
func (r *registrar) lost() {
	r.mu.Lock()
	age, written := r.a.deps.Now().Sub(r.storedAt), !r.storedAt.IsZero()
	r.mu.Unlock()
	if !written {
		return
	}
	time.AfterFunc(max(freshEntry-age, 0), func() {
		signal(r.gone)
		signal(r.wake)
	})
}

// settled waits until the store holds the present record, or until the time is up.
func (r *registrar) settled(most time.Duration) bool {
	r.mu.Lock()
	if r.stored >= r.record.Sequence {
		r.mu.Unlock()
		return true
	}
	done := make(chan struct{})
	r.waiters = append(r.waiters, done)
	r.mu.Unlock()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
		return false
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run writes the entry, renews its lease and writes it again when it is lost.
func (r *registrar) run(ctx context.Context) {
	r.start(ctx)
	pause := firstPause
	for ctx.Err() == nil {
		if err := r.step(ctx); err != nil && ctx.Err() == nil {
			r.a.deps.Log.Info("entry not written", "error", err)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longestStop)
			continue
		}
		pause = firstPause
		t := time.NewTimer(max(r.renewAt.Sub(r.a.deps.Now()), 0))
		select {
		case <-r.wake:
			sleep(ctx, gatherWait)
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// seen takes the node's own entry from a list of the store, or nil if it is not there. A stale list only tells of an
// earlier process.
func (r *registrar) seen(own *store.Item, stale bool) {
	switch {
	case stale:
		r.once.Do(func() {
			// A stale revision costs a refused write at most, which reads the entry anew.
			r.known = true
			if own != nil {
				r.take(*own)
			}
			close(r.started)
		})
	case own == nil:
		r.lost()
	}
}

// start waits until the list of the store has been read, so that an earlier process's departures are known, and for the
// target to be heard of.
func (r *registrar) start(ctx context.Context) {
	select {
	case <-r.started:
	case <-ctx.Done():
		return
	}
	t := time.NewTimer(firstBeats * r.a.cfg.Load().Heartbeat)
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

// take learns the entry's revision, and what an earlier process has written.
func (r *registrar) take(i store.Item) {
	r.revision, r.known = i.Revision, true
	r.restore(i)
}

// restore takes what an earlier process of this node has published: its departures stay in force and its incarnation is
// passed, whatever the clock says.
func (r *registrar) restore(i store.Item) {
	earlier, ok := r.a.parseMember(i)
	if !ok {
		return
	}
	r.mu.Lock()
	foreign := earlier.Incarnation != r.record.Incarnation
	if foreign && earlier.Incarnation > r.record.Incarnation {
		r.record.Incarnation = earlier.Incarnation + 1
	}
	r.mu.Unlock()
	if foreign {
		r.a.deps.Log.Info("earlier entry found", "incarnation", earlier.Incarnation, "instance", earlier.Target.ID, "state", earlier.Target.State)
		r.a.gate.Restore(earlier.Target.ID, earlier.Target.Born, earlier.Target.State)
	}
}

// step makes the one call that is due, if any.
func (r *registrar) step(ctx context.Context) error {
	select {
	case <-r.gone:
		r.mu.Lock()
		r.stored = 0
		r.mu.Unlock()
		r.known = false
	default:
	}
	now := r.a.deps.Now()
	if r.lease != 0 && !now.Before(r.renewAt) {
		err := r.a.deps.Store.Keep(ctx, r.lease)
		if errors.Is(err, store.ErrAbsent) {
			r.a.deps.Log.Warn("lease lost", "lease", r.lease)
			r.lease = 0
			r.mu.Lock()
			r.stored = 0
			r.mu.Unlock()
		} else if err != nil {
			return err
		}
		r.renewAt = now.Add(leaseRenew)
	}
	if r.lease == 0 {
		lease, ttl, err := r.a.deps.Store.Lease(ctx, max(leaseTime, r.a.cfg.Load().MinLease))
		if err != nil {
			return err
		}
		r.lease, r.renewAt = lease, now.Add(min(leaseRenew, ttl/3))
		r.held.Store(uint64(lease))
	}
	return r.write(ctx)
}

// write stores the present record unless it is stored.
func (r *registrar) write(ctx context.Context) error {
	if !r.known {
		i, err := r.a.deps.Store.Read(ctx, platform.MemberKey(r.record.Node))
		switch {
		case errors.Is(err, store.ErrAbsent):
			r.revision, r.known = 0, true
		case err != nil:
			return err
		default:
			r.take(i)
			if i.Lease != r.lease {
				break
			}
			var held member.Record
			if json.Unmarshal(i.Value, &held) == nil && held.Incarnation == r.current().Incarnation {
				r.acknowledge(held.Sequence)
			}
		}
	}
	record := r.current()
	r.mu.Lock()
	done := r.stored >= record.Sequence
	r.mu.Unlock()
	if done {
		return nil
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the node's record")
	}
	key := platform.MemberKey(record.Node)
	revision, err := r.a.deps.Store.Commit(ctx, store.Transaction{
		Expect: []store.Condition{{Key: key, Revision: r.revision}},
		Writes: []store.Write{{Key: key, Value: value, Lease: r.lease}},
	})
	switch {
	case err == nil:
		r.revision = revision
		r.acknowledge(record.Sequence)
		return nil
	case errors.Is(err, store.ErrAbsent):
		r.lease = 0
	}
	r.known = false
	return err
}

func (r *registrar) acknowledge(s fleet.Sequence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored, r.storedAt = max(r.stored, s), r.a.deps.Now()
	if r.stored < r.record.Sequence {
		return
	}
	for _, done := range r.waiters {
		close(done)
	}
	r.waiters = nil
}

// leave ends the lease, so that other nodes need not wait until it lapses.
func (r *registrar) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWait)
	defer cancel()
	lease := store.LeaseNumber(r.held.Load())
	if lease == 0 {
		return
	}
	if err := r.a.deps.Store.End(ctx, lease); err != nil {
		r.a.deps.Log.Info("lease not ended", "error", err)
	}
}
