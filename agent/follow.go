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
	alivePeriod   = 250 * time.Millisecond // between two signs of a parent
	parentSilence = 800 * time.Millisecond // two lost signs, and a round trip between regions
	gatherTime    = 20 * time.Millisecond  // in which changes are gathered before children hear of them
	avoidFailed   = 3 * time.Second        // a parent that can't be reached
	avoidDeaf     = 8 * time.Second        // a parent that is cut off from the store while this node is not
	deafTime      = 300 * time.Millisecond // without an answer of the store, after which a head may give up its place
	relayTime     = 300 * time.Millisecond // without the store, after which a child leaves a parent that is no head
	parentPeriod  = time.Second            // between two looks at whether another parent has come
	planPace      = 300 * time.Millisecond // between two configurations on one line; three levels stay within the two seconds of a change
)

var errDeaf = errors.New("the parent is cut off from the store")

// announce wakes those that pass changes on; it is called with mu held.
func (a *Agent) announce() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// place returns the node's place in the tree.
func (a *Agent) place() member.Place {
	now := a.deps.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return member.Locate(a.view.Members(), a.cfg.Load().VM, func(n fleet.NodeID) bool { return !now.Before(a.avoided[n]) })
}

// maxAvoided is how many nodes are avoided at the same time for being cut off from the store; if more are, the store itself
// is out and another shape of the tree would not help.
const maxAvoided = 3

// outage reports whether so many nodes are cut off from the store that it must be the store's fault.
func (a *Agent) outage() bool {
	now := a.deps.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, until := range a.avoided {
		if now.Before(until) {
			n++
		}
	}
	return n >= maxAvoided
}

func (a *Agent) avoid(n fleet.NodeID, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.avoided[n] = a.deps.Now().Add(d)
}

// follow takes news from a parent; it reports true when another parent has to be followed, and false when this one has
// failed or is cut off from the store.
func (a *Agent) follow(ctx context.Context, parent member.Member) bool {
	l, err := feed.Dial(ctx, parent.Node, parent.Address, feed.Hello{Child: a.registrar.current(), Plan: a.version()})
	if err != nil {
		a.avoid(parent.Node, avoidFailed)
		a.deps.Log.Info("parent not reached", "parent", parent.Node, "error", err)
		return false
	}
	defer l.Close()
	a.deps.Log.Info("following", "parent", parent.Node)
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	err = a.listenTo(ctx, l, parent)
	switch {
	case ctx.Err() != nil, err == nil:
		return true
	case errors.Is(err, errDeaf):
		a.avoid(parent.Node, avoidDeaf)
		a.deps.Log.Info("parent left", "parent", parent.Node, "error", err)
	default:
		a.avoid(parent.Node, avoidFailed)
		a.deps.Log.Info("parent lost", "parent", parent.Node, "error", err)
	}
	return false
}

// listenTo takes a parent's news; without an error another parent has to be followed.
func (a *Agent) listenTo(ctx context.Context, l *feed.Line, parent member.Member) error {
	deafSince, looked := time.Time{}, a.deps.Now()
	for {
		n, err := l.Receive(parentSilence)
		if err != nil {
			return err
		}
		now := a.deps.Now()
		a.takeFeed(n, string(parent.Node))
		a.hear(now.Add(-n.Age))
		a.lookAtStore(errDeaf)
		switch {
		case n.Deaf:
			return errDeaf
		case n.Age < freshTime:
			deafSince = time.Time{}
			if n.Revision > 0 {
				a.revision.Store(uint64(n.Revision))
			}
		case deafSince.IsZero():
			deafSince = now
		case now.Sub(deafSince) >= relayTime && !a.outage():
			return errDeaf
		}
		if now.Sub(looked) < parentPeriod {
			continue
		}
		looked = now
		if p := a.place().Parent; p == nil || p.Node != parent.Node || p.Address != parent.Address {
			return nil
		}
	}
}

// exchangeNews keeps a head in touch with the other head of its region, so that either may lose the store alone.
func (a *Agent) exchangeNews(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, parentPeriod/2)
		s := a.place().Sibling
		if s == nil || !a.listed.Load() {
			continue
		}
		if err := a.listenToSibling(ctx, *s); err != nil && ctx.Err() == nil {
			a.deps.Log.Info("other head not heard", "head", s.Node, "error", err)
			a.avoid(s.Node, avoidFailed)
		}
	}
}

// listenToSibling takes the other head's news as long as both are heads.
func (a *Agent) listenToSibling(ctx context.Context, s member.Member) error {
	l, err := feed.Dial(ctx, s.Node, s.Address, feed.Hello{Child: a.registrar.current(), Plan: a.version()})
	if err != nil {
		return err
	}
	defer l.Close()
	a.deps.Log.Info("hearing the other head", "head", s.Node)
	defer a.otherCut.Store(false)
	for ctx.Err() == nil {
		n, err := l.Receive(parentSilence)
		if err != nil {
			return err
		}
		a.takeFeed(n, string(s.Node))
		a.otherCut.Store(n.Cut)
		a.hear(a.deps.Now().Add(-n.Age))
		if now := a.place().Sibling; now == nil || now.Node != s.Node {
			return nil
		}
	}
	return nil
}

// takeFeed takes news from a parent.
func (a *Agent) takeFeed(n feed.News, from string) {
	a.takePacked(n.Plan, n.Version, from)
	if !n.Full && len(n.Members) == 0 && len(n.Gone) == 0 {
		return
	}
	now, self := a.deps.Now(), a.cfg.Load().VM
	listed := !n.Full
	var changes []member.Change
	a.mu.Lock()
	named := map[fleet.NodeID]bool{self: true}
	for _, e := range n.Members {
		named[e.Record.Node] = true
		if e.Record.Node == self {
			listed = !e.Unlisted
			continue
		}
		changes = append(changes, a.view.Merge(e.Record, !e.Unlisted, now)...)
		if e.Unlisted {
			changes = append(changes, a.view.Unlist(e.Record.Node, now)...)
		}
	}
	for _, r := range n.Gone {
		if r.Node == self {
			listed = false
			continue
		}
		changes = append(changes, a.view.Remove(r, now)...)
	}
	if n.Full {
		for _, m := range a.view.Members() {
			if !named[m.Node] {
				changes = append(changes, a.view.Unlist(m.Node, now)...)
			}
		}
	}
	a.publishMembers(changes)
	a.mu.Unlock()
	if n.Full && n.Age < freshTime {
		a.loaded.Store(true)
	}
	if !listed {
		a.registrar.lost()
	}
}

// serveChild passes news on to a child as long as it reads them.
func (a *Agent) serveChild(w http.ResponseWriter, r *http.Request) {
	l, hello, err := feed.Accept(w, r)
	if err != nil {
		a.deps.Log.Info("child not taken", "from", r.RemoteAddr, "error", err)
		return
	}
	defer l.Close()
	a.merge([]member.Record{hello.Child}, false)
	a.deps.Log.Info("child", "child", hello.Child.Node, "plan", hello.Plan)
	plan, revision, full := hello.Plan, uint64(0), true
	var planSent time.Time
	for !a.stopping.Load() {
		due := a.deps.Now().Sub(planSent) >= planPace
		n, changed := a.newsSince(&revision, &plan, full, due)
		full = false
		if len(n.Plan) > 0 {
			planSent = a.deps.Now()
		}
		if err := l.Send(n); err != nil {
			a.deps.Log.Info("child lost", "child", hello.Child.Node, "error", err)
			return
		}
		select {
		case <-changed:
			sleep(r.Context(), gatherTime)
		case <-time.After(alivePeriod):
		}
	}
}

// newsSince returns what a child does not know, and a channel that is closed at the next change. A configuration is among
// the news only if one is due.
func (a *Agent) newsSince(revision *uint64, plan *config.Version, full, due bool) (feed.News, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	self := a.cfg.Load().VM
	n := feed.News{Deaf: a.deps.Now().Before(a.avoided[self]), Cut: a.cut.Load(), Full: full, From: self, Age: a.age(), Revision: store.Revision(a.revision.Load())}
	var changed []member.Member
	changed, n.Gone, *revision = a.view.Since(*revision)
	if full {
		n.Gone = nil
	}
	for _, m := range changed {
		n.Members = append(n.Members, feed.Entry{Record: m.Record, Unlisted: m.Unlisted})
	}
	switch v := a.version(); {
	case v <= *plan:
	case due:
		n.Plan, n.Version, *plan = a.pack(), v, v
	default:
		n.Revision = 0
	}
	return n, a.changed
}

// pack returns the configuration as other nodes get it, compressed once a version; it is called with mu held.
func (a *Agent) pack() []byte {
	if a.packed == nil {
		packed, err := feed.Compress(a.rawPlan)
		if err != nil {
			a.deps.Log.Error("configuration not packed", "version", a.version(), "error", err)
		}
		a.packed = packed
	}
	return a.packed
}

// takePacked takes a configuration that another node has packed, if there is one and it is newer.
func (a *Agent) takePacked(packed []byte, v config.Version, from string) {
	if len(packed) == 0 || v <= a.version() {
		return
	}
	plan, err := feed.Expand(packed)
	if err != nil {
		a.deps.Log.Warn("configuration not unpacked", "from", from, "error", err)
		return
	}
	a.takePlan(plan, from)
}
