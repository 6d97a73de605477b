package control_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// world simulates the network and the store around nodes in virtual time.
type world struct {
	now          time.Time
	rng          *rand.Rand
	queue        eventQueue
	lastSequence int
	members      map[fleet.NodeID]*member
	seeds        map[fleet.DataCentre][]fleet.Address
	store        fakeStore
	// blackholed reports whether messages between two nodes are dropped silently, unreachable whether new links fail.
	blackholed, unreachable func(a, b *member) bool
	// tamper may modify a message in flight, or drop it by returning nil.
	tamper  func(m control.Message) control.Message
	checker *checker
	trace   *strings.Builder
}

type member struct {
	core        *control.Core
	record      fleet.Record
	alive       bool
	paused      bool
	queued      []control.Event // events that arrived while paused
	ends        map[control.LinkID]*linkEnd
	lastInbound control.LinkID
}

// linkEnd is one end of a link.
type linkEnd struct {
	owner *member
	id    control.LinkID
	other *linkEnd
	open  bool
}

type scheduledEvent struct {
	at       time.Time
	sequence int
	to       *member
	event    control.Event
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].sequence, q[j].sequence)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// fakeStore holds the committed versions and the leases.
type fakeStore struct {
	down         bool
	extraLatency time.Duration // added to every response
	lineage      config.Lineage
	versions     []config.Document // by version, from 1
	deltas       []config.Delta
	leases       map[fleet.DataCentre]*fakeLease
	index        uint64
	calls        int
	watchers     []watcher
}

type fakeLease struct {
	record  fleet.Record
	term    fleet.Term
	expires time.Time
}

type watcher struct {
	m     *member
	core  *control.Core
	since control.ConfigRef
}

const (
	storeLatency       = 3 * time.Millisecond
	localLatency       = time.Millisecond
	interRegionLatency = 8 * time.Millisecond
)

func newWorld(seed uint64) *world {
	w := &world{now: time.UnixMilli(1_700_000_000_000), rng: rand.New(rand.NewPCG(seed, 1)),
		members: map[fleet.NodeID]*member{}, seeds: map[fleet.DataCentre][]fleet.Address{}}
	w.store.leases = map[fleet.DataCentre]*fakeLease{}
	w.store.lineage = "first"
	w.checker = newChecker()
	w.blackholed = func(*member, *member) bool { return false }
	w.unreachable = w.blackholed
	return w
}

func nodeName(dc fleet.DataCentre, i int) fleet.NodeID {
	return fleet.NodeID(fmt.Sprintf("%s-%03d", dc, i))
}

// start starts n nodes in each data centre; data centres are given as "region/name".
func (w *world) start(n int, dcs ...string) {
	for _, c := range dcs {
		region, dc, _ := strings.Cut(c, "/")
		for i := range n {
			w.startNode(nodeName(fleet.DataCentre(dc), i), fleet.DataCentre(dc), fleet.Region(region))
		}
	}
}

// startNode starts a node without state; it replaces a node of the same name.
func (w *world) startNode(id fleet.NodeID, dc fleet.DataCentre, region fleet.Region) *member {
	r := fleet.Record{Node: id, DataCentre: dc, Region: region, Incarnation: fleet.Incarnation(w.now.UnixMilli()), Sequence: 1,
		CallAddress: fleet.Address(id) + ":call", LinkAddress: fleet.Address(id) + ":link"}
	if len(w.seeds[dc]) < 3 {
		w.seeds[dc] = append(w.seeds[dc], r.LinkAddress)
	}
	m := &member{record: r, alive: true, ends: map[control.LinkID]*linkEnd{}, lastInbound: 1 << 32}
	m.core = control.New(control.Settings{Record: r, Seeds: slices.Clone(w.seeds[dc])}, w.now,
		rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())))
	w.members[id] = m
	w.scheduleTick(m, time.Duration(w.rng.Int64N(int64(control.TickInterval))))
	return m
}

func (w *world) deliverAfter(d time.Duration, to *member, e control.Event) {
	w.lastSequence++
	heap.Push(&w.queue, scheduledEvent{at: w.now.Add(d), sequence: w.lastSequence, to: to, event: e})
}

func (w *world) schedule(d time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.queue, scheduledEvent{at: w.now.Add(d), sequence: w.lastSequence, run: run})
}

func (w *world) scheduleTick(m *member, d time.Duration) {
	w.schedule(d, func() {
		if !m.alive {
			return
		}
		if !m.paused {
			w.step(m, control.Tick{})
		}
		w.scheduleTick(m, control.TickInterval)
	})
}

// run advances virtual time by d.
func (w *world) run(d time.Duration) { w.runUntil(d, func() bool { return false }) }

// runUntil advances virtual time until a condition holds, by at most d; it returns the elapsed time and whether it holds.
func (w *world) runUntil(d time.Duration, condition func() bool) (time.Duration, bool) {
	started := w.now
	deadline := w.now.Add(d)
	checked := time.Time{}
	for w.queue.Len() > 0 && !w.queue[0].at.After(deadline) {
		next := heap.Pop(&w.queue).(scheduledEvent)
		w.now = next.at
		if next.run != nil {
			next.run()
		} else if next.to.alive {
			w.step(next.to, next.event)
		}
		if w.now.Sub(checked) >= 5*time.Millisecond {
			checked = w.now
			if condition() {
				return w.now.Sub(started), true
			}
		}
	}
	w.now = deadline
	return d, condition()
}

func (w *world) step(m *member, e control.Event) {
	if m.paused {
		m.queued = append(m.queued, e)
		return
	}
	actions := m.core.Step(w.now, e)
	if w.trace != nil {
		w.traceStep(m, e, actions)
	}
	for _, a := range actions {
		w.handleAction(m, a)
	}
	w.checker.check(w, m)
}

// resume unpauses a node and delivers the queued events.
func (w *world) resume(m *member) {
	m.paused = false
	queued := m.queued
	m.queued = nil
	for _, e := range queued {
		w.step(m, e)
	}
}

func (w *world) latency(a, b *member) time.Duration {
	switch {
	case a.record.Region != b.record.Region:
		return interRegionLatency
	case a.record.DataCentre != b.record.DataCentre:
		return localLatency + localLatency/2
	}
	return localLatency
}

func (w *world) handleAction(m *member, a control.Action) {
	switch a := a.(type) {
	case control.Dial:
		w.dial(m, a)
	case control.Close:
		w.close(m.ends[a.Link], w.linkLatency(m.ends[a.Link]))
	case control.Send:
		w.send(m, a)
	case control.Probe:
		other := w.byAddress(a.Address)
		alive := other != nil && other.alive && !other.paused && !w.unreachable(m, other)
		w.deliverAfter(2*localLatency, m, control.ProbeResult{Node: a.Node, Incarnation: a.Incarnation, Sequence: a.Sequence,
			Alive: alive})
	default:
		w.handleStoreAction(m, a)
	}
}

func (w *world) linkLatency(e *linkEnd) time.Duration {
	if e == nil {
		return 0
	}
	return w.latency(e.owner, e.other.owner)
}

func (w *world) byAddress(a fleet.Address) *member {
	return w.members[fleet.NodeID(strings.TrimSuffix(string(a), ":link"))]
}

func (w *world) dial(m *member, d control.Dial) {
	other := w.byAddress(d.Address)
	if other == nil || !other.alive || w.unreachable(m, other) {
		w.deliverAfter(localLatency, m, control.LinkClosed{Link: d.Link})
		return
	}
	other.lastInbound++
	local, remote := &linkEnd{owner: m, id: d.Link, open: true}, &linkEnd{owner: other, id: other.lastInbound, open: true}
	local.other, remote.other = remote, local
	m.ends[local.id], other.ends[remote.id] = local, remote
	l := w.latency(m, other)
	w.deliverAfter(2*l, other, control.LinkOpened{Link: remote.id})
	w.deliverAfter(2*l, m, control.LinkOpened{Link: local.id})
}

func (w *world) send(m *member, s control.Send) {
	e := m.ends[s.Link]
	if e == nil || !e.open || w.blackholed(m, e.other.owner) {
		return
	}
	msg := s.Message
	if w.tamper != nil {
		if msg = w.tamper(msg); msg == nil {
			return
		}
	}
	w.schedule(w.latency(m, e.other.owner), func() {
		if e.other.open && e.other.owner.alive {
			w.step(e.other.owner, control.Received{Link: e.other.id, Message: msg})
		}
	})
}

func (w *world) close(e *linkEnd, d time.Duration) {
	if e == nil || !e.open {
		return
	}
	e.open = false
	if w.blackholed(e.owner, e.other.owner) {
		return
	}
	w.schedule(d, func() {
		if e.other.open && e.other.owner.alive {
			e.other.open = false
			w.step(e.other.owner, control.LinkClosed{Link: e.other.id})
		}
	})
}

// kill stops a node; if silent is set, the other ends of its links are not notified.
func (w *world) kill(id fleet.NodeID, silent bool) {
	m := w.members[id]
	m.alive = false
	for _, link := range slices.Sorted(maps.Keys(m.ends)) {
		e := m.ends[link]
		if !silent {
			w.close(e, localLatency)
		}
		e.open = false
	}
}

func (w *world) handleStoreAction(m *member, a control.Action) {
	switch a.(type) {
	case control.AcquireLease, control.RenewLease, control.WatchHead, control.ListLeaders, control.ReleaseLease:
		w.store.calls++
	default:
		return
	}
	core := m.core
	respond := func(e control.Event) {
		w.schedule(storeLatency+w.store.extraLatency, func() {
			if m.alive && m.core == core {
				w.step(m, e)
			}
		})
	}
	if w.store.down {
		switch a.(type) {
		case control.AcquireLease, control.RenewLease:
			respond(control.LeaseResult{Unavailable: true})
		case control.WatchHead:
			respond(control.HeadResult{Unavailable: true})
		}
		return
	}
	switch a := a.(type) {
	case control.AcquireLease:
		respond(w.acquire(m, a))
	case control.RenewLease:
		l := w.store.leases[m.record.DataCentre]
		renewed := l != nil && l.record.Node == m.record.Node && l.record.Incarnation == m.record.Incarnation &&
			w.now.Before(l.expires)
		if renewed {
			l.expires = w.now.Add(10 * time.Second)
		}
		respond(control.LeaseResult{Held: renewed})
	case control.ReleaseLease:
		if l := w.store.leases[m.record.DataCentre]; l != nil && l.record.Node == m.record.Node {
			delete(w.store.leases, m.record.DataCentre)
		}
	case control.WatchHead:
		w.store.watchers = append(w.store.watchers, watcher{m, core, a.Since})
		w.notifyWatchers()
	case control.ListLeaders:
		var leaders []fleet.Record
		for _, dc := range slices.Sorted(maps.Keys(w.store.leases)) {
			l := w.store.leases[dc]
			if w.now.Before(l.expires) && l.record.Node != m.record.Node {
				r := l.record
				r.LeaderTerm = l.term
				leaders = append(leaders, r)
			}
		}
		respond(control.LeadersResult{Leaders: leaders})
	}
}

func (w *world) acquire(m *member, a control.AcquireLease) control.LeaseResult {
	dc := m.record.DataCentre
	if l := w.store.leases[dc]; l != nil && w.now.Before(l.expires) &&
		(l.record.Node != m.record.Node || l.record.Incarnation != m.record.Incarnation) {
		r := l.record
		r.LeaderTerm = l.term
		return control.LeaseResult{Holder: &r}
	}
	w.store.index++
	l := &fakeLease{record: a.Record, term: fleet.Term(w.store.index), expires: w.now.Add(a.TTL)}
	w.store.leases[dc] = l
	return control.LeaseResult{Held: true, Term: l.term}
}

// commit stores a document as the next version, like an operator's compare-and-swap.
func (w *world) commit(doc config.Document) config.Version {
	old := config.Document{}
	if n := len(w.store.versions); n > 0 {
		old = w.store.versions[n-1]
	}
	d := config.Diff(old, doc)
	d.From = config.Version(len(w.store.versions))
	d.To = d.From + 1
	w.store.versions = append(w.store.versions, doc)
	w.store.deltas = append(w.store.deltas, d)
	w.checker.committed[w.store.lineage] = append(w.checker.committed[w.store.lineage], doc.Digest())
	w.notifyWatchers()
	return d.To
}

// notifyWatchers responds to the watches whose version differs from the stored one.
func (w *world) notifyWatchers() {
	if w.store.down {
		return
	}
	stillWaiting := w.store.watchers[:0]
	version := config.Version(len(w.store.versions))
	for _, watch := range w.store.watchers {
		if version == 0 || (watch.since.Lineage == w.store.lineage && version == watch.since.Version) {
			stillWaiting = append(stillWaiting, watch)
			continue
		}
		result := control.HeadResult{Version: version}
		if version > watch.since.Version || watch.since.Lineage != w.store.lineage {
			update := rollout.Update{Lineage: w.store.lineage, Version: version, Digest: w.store.versions[version-1].Digest()}
			if watch.since.Version > 0 && watch.since.Lineage == w.store.lineage {
				update.Deltas = w.store.deltas[watch.since.Version:]
			} else {
				update.Document = w.store.versions[version-1]
			}
			result.Update = &update
		}
		w.schedule(storeLatency+w.store.extraLatency, func() {
			if watch.m.alive && watch.m.core == watch.core {
				w.step(watch.m, result)
			}
		})
	}
	w.store.watchers = stillWaiting
}

// setStoreDown starts or ends a store outage; its start fails all watches.
func (w *world) setStoreDown(down bool) {
	w.store.down = down
	if !down {
		w.notifyWatchers()
		return
	}
	for _, watch := range w.store.watchers {
		w.deliverAfter(storeLatency, watch.m, control.HeadResult{Unavailable: true})
	}
	w.store.watchers = nil
}

// live returns the running nodes, ordered by name.
func (w *world) live() []*member {
	var ms []*member
	for _, id := range slices.Sorted(maps.Keys(w.members)) {
		if m := w.members[id]; m.alive {
			ms = append(ms, m)
		}
	}
	return ms
}

// inForce returns a condition that holds if version v or a later one is active on all running nodes that match filter.
func (w *world) inForce(v config.Version, filter func(*member) bool) func() bool {
	return func() bool {
		for _, m := range w.members {
			if m.alive && (filter == nil || filter(m)) {
				if _, held := m.core.Config(); held.Version < v || !m.core.Ready() {
					return false
				}
			}
		}
		return true
	}
}

// leaseHolder returns the node that holds a data centre's lease, or nil.
func (w *world) leaseHolder(dc fleet.DataCentre) *member {
	if l := w.store.leases[dc]; l != nil {
		return w.members[l.record.Node]
	}
	return nil
}

// document returns a valid document whose content depends on n.
func document(n int) config.Document {
	return config.Document{
		"defaults":       {"timeout": fmt.Sprintf("%dms", 1000+n)},
		"service orders": {"calls": "at-most-once"},
		"route orders":   {"path": "/orders", "service": "orders"},
	}
}
