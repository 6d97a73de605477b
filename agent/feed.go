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
	watchWait   = 25 * time.Second       // of one watch; each one is priced
	watchPace   = 250 * time.Millisecond // between two watches, so that a storm of changes costs few calls
	firstPause  = 200 * time.Millisecond // after the store failed
	longestStop = time.Second            // between two tries; entries are to be back within two seconds of the store's return
)

// feed follows the configuration and the members in the store.
func (a *Agent) feed(ctx context.Context) {
	pause := firstPause
	var after store.Revision
	read := false
	for ctx.Err() == nil {
		var err error
		if !read {
			after, err = a.readAll(ctx)
			read = err == nil
		} else {
			after, err = a.readChanges(ctx, after)
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, store.ErrCompacted):
			a.deps.Log.Info("store history compacted", "after", after)
			read = false
		case err != nil:
			a.storeState(false, err)
			sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, longestStop)
		default:
			a.storeState(true, nil)
			pause = firstPause
			sleep(ctx, watchPace)
		}
	}
}

// storeState logs when the store is lost or regained.
func (a *Agent) storeState(ok bool, err error) {
	if a.storeOK.Swap(ok) == ok {
		return
	}
	if ok {
		a.deps.Log.Info("store answers")
		return
	}
	a.deps.Log.Warn("store lost", "error", err)
}

func (a *Agent) readAll(ctx context.Context) (store.Revision, error) {
	items, asOf, err := a.deps.Store.Range(ctx, platform.WatchPrefix, false)
	if err != nil {
		return 0, err
	}
	var records []member.Record
	listed := false
	for _, i := range items {
		if i.Key == platform.PlanKey {
			a.takePlan(i.Value, "store")
		} else if r, ok := a.parseMember(i); ok {
			records = append(records, r)
			listed = listed || r.Node == a.cfg.Load().VM
		}
	}
	a.mu.Lock()
	a.publishMembers(a.view.Replace(a.withSelf(records), a.deps.Now()))
	a.mu.Unlock()
	a.loaded.Store(true)
	if !listed {
		a.registrar.lost()
	}
	return asOf, nil
}

// withSelf adds the node's own record, which the store may not list at the moment.
func (a *Agent) withSelf(records []member.Record) []member.Record {
	return append(records, a.registrar.current())
}

func (a *Agent) readChanges(ctx context.Context, after store.Revision) (store.Revision, error) {
	items, asOf, err := a.deps.Store.Changes(ctx, platform.WatchPrefix, after, watchWait)
	if err != nil {
		return after, err
	}
	for _, i := range items {
		a.takeItem(i)
	}
	return asOf, nil
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
