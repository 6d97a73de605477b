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
	watchWait   = time.Second            // of one watch; a watch that hears nothing any more is replaced soon
	watchPace   = 250 * time.Millisecond // between two watches, so that a storm of changes costs few calls
	loneTime    = 3 * time.Second        // for the first nodes to write their entries, after two heartbeats at the latest
	lonePace    = 500 * time.Millisecond // between two stale lists of a node that knows no other one
	firstPause  = 200 * time.Millisecond // after the store failed
	longestStop = time.Second            // between two tries; entries are to be back within two seconds of the store's return

	headAge = 1800 * time.Millisecond // of the store's last word, at which a head is cut off: a watch, the pause after it, two signs of the other head

	headPoll = 100 * time.Millisecond // between two looks of a head at whether the other one is cut off too

	maxLostParents = 2 // in a row, before the store is asked; two take less than the time in which a change has to be in force
)

// feed follows the configuration and the members: from a parent, or from the store at the heads of a region. A node that
// has lost two parents in a row asks the store for what it may have missed; a head that is cut off from the store, and does
// not hear of it through the other head, gives up its place.
func (a *Agent) feed(ctx context.Context) {
	pause, lost := firstPause, 0
	var cutOff time.Time
	for ctx.Err() == nil {
		parent := a.place().Parent
		if parent != nil && a.listed.Load() && lost < maxLostParents {
			if lost++; a.follow(ctx, *parent) {
				lost = 0
			}
			continue
		}
		wait := watchWait
		if parent != nil || !a.listed.Load() {
			wait = 0
		}
		lost = 0
		err := a.readStore(ctx, wait)
		now := a.deps.Now()
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			a.hear(now)
			a.cut.Store(false)
			pause, cutOff = firstPause, time.Time{}
			switch {
			case a.alone():
				sleep(ctx, lonePace/2+rand.N(lonePace))
			case wait > 0:
				sleep(ctx, watchPace)
			}
			continue
		case cutOff.IsZero():
			cutOff = now
		case now.Sub(cutOff) >= deafTime:
			a.cut.Store(true)
		}
		a.lookAtStore(err)
		a.pause(ctx, pause/2+rand.N(pause), parent == nil)
		pause = min(2*pause, longestStop)
	}
}

// pause waits after the store failed. A head gives up its place as soon as it is replaceable, without another call.
func (a *Agent) pause(ctx context.Context, d time.Duration, head bool) {
	end := a.deps.Now().Add(d)
	for ctx.Err() == nil {
		if head && a.replaceable() {
			a.avoid(a.cfg.Load().VM, avoidDeaf)
			return
		}
		left := end.Sub(a.deps.Now())
		if left <= 0 {
			return
		}
		sleep(ctx, min(left, headPoll))
	}
}

// replaceable reports whether a head that is cut off from the store has to give up its place: the other head is cut off too,
// or says nothing.
func (a *Agent) replaceable() bool {
	return a.cut.Load() && (a.otherCut.Load() || a.age() > headAge) && a.listed.Load() && !a.outage()
}

// freshTime is the age from which the store counts as out of touch: a watch, the pause after it, and the signs of three
// parents.
const freshTime = 2200 * time.Millisecond

// hear notes that the store was heard of at a time, here or on the way of a parent's news.
func (a *Agent) hear(at time.Time) {
	if since := int64(at.Sub(a.born)); since > a.heard.Load() {
		a.heard.Store(since)
	}
	a.lookAtStore(nil)
}

// age returns how long ago the store was heard of.
func (a *Agent) age() time.Duration { return a.deps.Now().Sub(a.born) - time.Duration(a.heard.Load()) }

// inTouch reports whether the store was heard of recently.
func (a *Agent) inTouch() bool { return a.age() < freshTime }

// lookAtStore logs when the touch with the store is lost or regained.
func (a *Agent) lookAtStore(err error) {
	now := a.inTouch()
	if a.touching.Swap(now) == now {
		return
	}
	if now {
		a.deps.Log.Info("store answers", "age", a.age())
		return
	}
	a.deps.Log.Warn("store lost", "age", a.age(), "error", err)
}

// alone reports whether a starting node knows no other one yet. All nodes start at about the same time then; to watch the store
// would take each of them several calls before it finds a parent.
func (a *Agent) alone() bool {
	if a.deps.Now().Sub(a.born) >= loneTime {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Len() <= 1
}

// readStore reads everything, or waits for what comes after the revision that this node has heard of. A watch brings each
// configuration of a storm, and all but the last of them for nothing; the state is read in its place until the storm is over.
func (a *Agent) readStore(ctx context.Context, wait time.Duration) error {
	after := store.Revision(a.revision.Load())
	alone := a.alone()
	if after == 0 || alone {
		// The first lists may be stale, which costs a tenth: what has changed since comes from the parent or is asked for next.
		stale := alone || !a.listed.Load()
		before := a.version()
		asOf, err := a.readAll(ctx, stale)
		if err != nil {
			return err
		}
		if a.storm = a.storm && a.version() > before; !a.storm {
			a.revision.Store(uint64(asOf))
		}
		a.listed.Store(true)
		if !stale {
			a.loaded.Store(true)
		}
		return nil
	}
	asOf, plans, err := a.readChanges(ctx, after, wait)
	switch {
	case errors.Is(err, store.ErrCompacted):
		a.deps.Log.Info("store history compacted", "after", after)
		a.revision.Store(0)
		return nil
	case err != nil:
		return err
	}
	if a.storm = plans > 1; a.storm {
		asOf = 0
	}
	a.revision.Store(uint64(asOf))
	a.loaded.Store(true)
	return nil
}

func (a *Agent) readAll(ctx context.Context, stale bool) (store.Revision, error) {
	items, asOf, err := a.deps.Store.Range(ctx, platform.WatchPrefix, stale)
	if err != nil {
		return 0, err
	}
	var records []member.Record
	var own *store.Item
	for _, i := range items {
		if i.Key == platform.PlanKey {
			a.takePlan(i.Value, "store")
		} else if r, ok := a.parseMember(i); ok {
			records = append(records, r)
			if r.Node == a.cfg.Load().VM {
				own = &i
			}
		}
	}
	a.mu.Lock()
	a.publishMembers(a.view.Replace(a.withSelf(records), a.deps.Now()))
	a.mu.Unlock()
	a.registrar.seen(own, stale)
	return asOf, nil
}

// withSelf adds the node's own record, which the store may not list at the moment.
func (a *Agent) withSelf(records []member.Record) []member.Record {
	return append(records, a.registrar.current())
}

// readChanges takes the changes after a revision and returns how many configurations were among them.
func (a *Agent) readChanges(ctx context.Context, after store.Revision, wait time.Duration) (asOf store.Revision, plans int, err error) {
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
	for _, i := range items {
		if i.Key == platform.PlanKey && i.Revision < newest {
			continue // a later one is here already
		}
		a.takeItem(i)
	}
	return asOf, plans, nil
}

// takeItem takes one change.
func (a *Agent) takeItem(i store.Item) {
	n, isMember := platform.MemberOf(i.Key)
	switch {
	case i.Key == platform.PlanKey && !i.Deleted:
		a.takePlan(i.Value, "store")
	case !isMember:
	case n == a.cfg.Load().VM:
		if i.Deleted {
			a.registrar.lost()
		}
	case i.Deleted:
		a.mu.Lock()
		a.publishMembers(a.view.Unlist(n, a.deps.Now()))
		a.mu.Unlock()
	default:
		if r, ok := a.parseMember(i); ok {
			a.merge([]member.Record{r}, true)
		}
	}
}

// parseMember reads a member's record; one that another writer has spoilt names no member.
func (a *Agent) parseMember(i store.Item) (member.Record, bool) {
	n, ok := platform.MemberOf(i.Key)
	if !ok {
		return member.Record{}, false
	}
	var r member.Record
	if err := json.Unmarshal(i.Value, &r); err != nil || r.Node != n || r.Address == "" || r.Incarnation == 0 {
		a.deps.Log.Warn("malformed member", "key", i.Key, "revision", i.Revision, "error", err)
		return member.Record{}, false
	}
	return r, true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
