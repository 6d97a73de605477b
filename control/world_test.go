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

// world is a fake network and store around state machines, in virtual time.
type world struct {
	now     time.Time
	rng     *rand.Rand
	queue   deliveries
	order   int
	members map[fleet.NodeID]*member
	seeds   map[fleet.DataCentre][]fleet.Address
	store   fakeStore
	// silent drops what passes between two nodes without telling either; refused lets new links fail as well.
	silent, refused func(a, b *member) bool
	// mangle may change or drop a message on its way.
	mangle  func(m control.Message) control.Message
	checker *checker
	trace   *strings.Builder
}

type member struct {
	core   *control.Core
	record fleet.Record
	alive  bool
	paused bool
	held   []control.Event // what came while paused
	ends   map[control.LinkID]*end
	in     control.LinkID
}

// end is one end of a link.
type end struct {
	owner *member
	id    control.LinkID
	other *end
	open  bool
}

type delivery struct {
	at    time.Time
	order int
	to    *member
	event control.Event
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return cmp.Or(d[i].at.Compare(d[j].at), cmp.Compare(d[i].order, d[j].order)) < 0
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// fakeStore keeps the accepted versions and the leases.
type fakeStore struct {
	down     bool
	slow     time.Duration // added to every answer
	lineage  config.Lineage
	versions []config.Document // by version, from 1
	deltas   []config.Delta
	leases   map[fleet.DataCentre]*fakeLease
	index    uint64
	calls    int
	watchers []watcher
}

type fakeLease struct {
	record  fleet.Record
	term    fleet.Term
	expires time.Time
}

type watcher struct {
	m    *member
	core *control.Core
	held control.Held
}

const (
	storeLatency = 3 * time.Millisecond
	nearLatency  = time.Millisecond
	farLatency   = 8 * time.Millisecond
)

func newWorld(seed uint64) *world {
	w := &world{now: time.UnixMilli(1_700_000_000_000), rng: rand.New(rand.NewPCG(seed, 1)),
		members: map[fleet.NodeID]*member{}, seeds: map[fleet.DataCentre][]fleet.Address{}}
	w.store.leases = map[fleet.DataCentre]*fakeLease{}
	w.store.lineage = "first"
	w.checker = newChecker()
	w.silent = func(*member, *member) bool { return false }
	w.refused = w.silent
	return w
}

func nodeName(dc fleet.DataCentre, i int) fleet.NodeID {
	return fleet.NodeID(fmt.Sprintf("%s-%03d", dc, i))
}

// start runs n nodes in each of the data centres given as "region/name".
func (w *world) start(n int, centres ...string) {
	for _, c := range centres {
		region, dc, _ := strings.Cut(c, "/")
		for i := range n {
			w.boot(nodeName(fleet.DataCentre(dc), i), fleet.DataCentre(dc), fleet.Region(region))
		}
	}
}

// boot starts a node that holds nothing, or replaces one of the same name.
func (w *world) boot(id fleet.NodeID, dc fleet.DataCentre, region fleet.Region) *member {
	r := fleet.Record{Node: id, DataCentre: dc, Region: region, Incarnation: fleet.Incarnation(w.now.UnixMilli()), Sequence: 1,
		Call: fleet.Address(id) + ":call", Link: fleet.Address(id) + ":link"}
	if len(w.seeds[dc]) < 3 {
		w.seeds[dc] = append(w.seeds[dc], r.Link)
	}
	m := &member{record: r, alive: true, ends: map[control.LinkID]*end{}, in: 1 << 32}
	m.core = control.New(control.Settings{Record: r, Seeds: slices.Clone(w.seeds[dc])}, w.now,
		rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64())))
	w.members[id] = m
	w.tick(m, time.Duration(w.rng.Int64N(int64(control.TickInterval))))
	return m
}

func (w *world) after(d time.Duration, to *member, e control.Event) {
	w.order++
	heap.Push(&w.queue, delivery{at: w.now.Add(d), order: w.order, to: to, event: e})
}

func (w *world) later(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, delivery{at: w.now.Add(d), order: w.order, run: run})
}

func (w *world) tick(m *member, d time.Duration) {
	w.later(d, func() {
		if !m.alive {
			return
		}
		if !m.paused {
			w.step(m, control.Tick{})
		}
		w.tick(m, control.TickInterval)
	})
}

// run lets virtual time pass.
func (w *world) run(d time.Duration) { w.until(d, func() bool { return false }) }

// until lets virtual time pass until a condition holds; it reports how long that took and whether it did.
func (w *world) until(d time.Duration, holds func() bool) (time.Duration, bool) {
	started := w.now
	deadline := w.now.Add(d)
	checked := time.Time{}
	for w.queue.Len() > 0 && !w.queue[0].at.After(deadline) {
		x := heap.Pop(&w.queue).(delivery)
		w.now = x.at
		if x.run != nil {
			x.run()
		} else if x.to.alive {
			w.step(x.to, x.event)
		}
		if w.now.Sub(checked) >= 5*time.Millisecond {
			checked = w.now
			if holds() {
				return w.now.Sub(started), true
			}
		}
	}
	w.now = deadline
	return d, holds()
}

func (w *world) step(m *member, e control.Event) {
	if m.paused {
		m.held = append(m.held, e)
		return
	}
	actions := m.core.Step(w.now, e)
	if w.trace != nil {
		w.record(m, e, actions)
	}
	for _, a := range actions {
		w.act(m, a)
	}
	w.checker.check(w, m)
}

// resume lets a paused node see what came meanwhile.
func (w *world) resume(m *member) {
	m.paused = false
	held := m.held
	m.held = nil
	for _, e := range held {
		w.step(m, e)
	}
}

func (w *world) latency(a, b *member) time.Duration {
	switch {
	case a.record.Region != b.record.Region:
		return farLatency
	case a.record.DataCentre != b.record.DataCentre:
		return nearLatency + nearLatency/2
	}
	return nearLatency
}

func (w *world) act(m *member, a control.Action) {
	switch a := a.(type) {
	case control.Dial:
		w.dial(m, a)
	case control.Close:
		w.close(m.ends[a.Link], w.latencyOf(m.ends[a.Link]))
	case control.Send:
		w.send(m, a)
	case control.Probe:
		other := w.byAddress(a.Address)
		alive := other != nil && other.alive && !other.paused && !w.refused(m, other)
		w.after(2*nearLatency, m, control.ProbeResult{Node: a.Node, Incarnation: a.Incarnation, Sequence: a.Sequence, Alive: alive})
	default:
		w.actOnStore(m, a)
	}
}

func (w *world) latencyOf(e *end) time.Duration {
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
	if other == nil || !other.alive || w.refused(m, other) {
		w.after(nearLatency, m, control.LinkClosed{Link: d.Link})
		return
	}
	other.in++
	mine, theirs := &end{owner: m, id: d.Link, open: true}, &end{owner: other, id: other.in, open: true}
	mine.other, theirs.other = theirs, mine
	m.ends[mine.id], other.ends[theirs.id] = mine, theirs
	l := w.latency(m, other)
	w.after(2*l, other, control.LinkOpened{Link: theirs.id})
	w.after(2*l, m, control.LinkOpened{Link: mine.id})
}

func (w *world) send(m *member, s control.Send) {
	e := m.ends[s.Link]
	if e == nil || !e.open || w.silent(m, e.other.owner) {
		return
	}
	msg := s.Message
	if w.mangle != nil {
		if msg = w.mangle(msg); msg == nil {
			return
		}
	}
	w.later(w.latency(m, e.other.owner), func() {
		if e.other.open && e.other.owner.alive {
			w.step(e.other.owner, control.Received{Link: e.other.id, Message: msg})
		}
	})
}

func (w *world) close(e *end, d time.Duration) {
	if e == nil || !e.open {
		return
	}
	e.open = false
	if w.silent(e.owner, e.other.owner) {
		return
	}
	w.later(d, func() {
		if e.other.open && e.other.owner.alive {
			e.other.open = false
			w.step(e.other.owner, control.LinkClosed{Link: e.other.id})
		}
	})
}

// kill ends a node; quiet says that nobody is told by a closed connection.
func (w *world) kill(id fleet.NodeID, quiet bool) {
	m := w.members[id]
	m.alive = false
	for _, link := range slices.Sorted(maps.Keys(m.ends)) {
		e := m.ends[link]
		if !quiet {
			w.close(e, nearLatency)
		}
		e.open = false
	}
}

func (w *world) actOnStore(m *member, a control.Action) {
	switch a.(type) {
	case control.AcquireLease, control.RenewLease, control.WatchHead, control.ListLeads, control.ReleaseLease:
		w.store.calls++
	default:
		return
	}
	core := m.core
	answer := func(e control.Event) {
		w.later(storeLatency+w.store.slow, func() {
			if m.alive && m.core == core {
				w.step(m, e)
			}
		})
	}
	if w.store.down {
		switch a.(type) {
		case control.AcquireLease, control.RenewLease:
			answer(control.LeaseResult{Unavailable: true})
		case control.WatchHead:
			answer(control.HeadSeen{Unavailable: true})
		}
		return
	}
	switch a := a.(type) {
	case control.AcquireLease:
		answer(w.acquire(m, a))
	case control.RenewLease:
		l := w.store.leases[m.record.DataCentre]
		held := l != nil && l.record.Node == m.record.Node && l.record.Incarnation == m.record.Incarnation && w.now.Before(l.expires)
		if held {
			l.expires = w.now.Add(10 * time.Second)
		}
		answer(control.LeaseResult{Held: held})
	case control.ReleaseLease:
		if l := w.store.leases[m.record.DataCentre]; l != nil && l.record.Node == m.record.Node {
			delete(w.store.leases, m.record.DataCentre)
		}
	case control.WatchHead:
		w.store.watchers = append(w.store.watchers, watcher{m, core, a.Held})
		w.notify()
	case control.ListLeads:
		var leads []fleet.Record
		for _, dc := range slices.Sorted(maps.Keys(w.store.leases)) {
			l := w.store.leases[dc]
			if w.now.Before(l.expires) && l.record.Node != m.record.Node {
				r := l.record
				r.Lead = l.term
				leads = append(leads, r)
			}
		}
		answer(control.LeadsSeen{Leads: leads})
	}
}

func (w *world) acquire(m *member, a control.AcquireLease) control.LeaseResult {
	dc := m.record.DataCentre
	if l := w.store.leases[dc]; l != nil && w.now.Before(l.expires) &&
		(l.record.Node != m.record.Node || l.record.Incarnation != m.record.Incarnation) {
		r := l.record
		r.Lead = l.term
		return control.LeaseResult{Holder: &r}
	}
	w.store.index++
	l := &fakeLease{record: a.Record, term: fleet.Term(w.store.index), expires: w.now.Add(a.TTL)}
	w.store.leases[dc] = l
	return control.LeaseResult{Held: true, Term: l.term}
}

// apply makes a document the next accepted version, as an operator's compare-and-swap does.
func (w *world) apply(doc config.Document) config.Version {
	old := config.Document{}
	if n := len(w.store.versions); n > 0 {
		old = w.store.versions[n-1]
	}
	d := config.Diff(old, doc)
	d.From = config.Version(len(w.store.versions))
	d.To = d.From + 1
	w.store.versions = append(w.store.versions, doc)
	w.store.deltas = append(w.store.deltas, d)
	w.checker.accepted[w.store.lineage] = append(w.checker.accepted[w.store.lineage], doc.Digest())
	w.notify()
	return d.To
}

// notify answers the watches that have something to say.
func (w *world) notify() {
	if w.store.down {
		return
	}
	waiting := w.store.watchers[:0]
	version := config.Version(len(w.store.versions))
	for _, x := range w.store.watchers {
		if version == 0 || (x.held.Lineage == w.store.lineage && version == x.held.Version) {
			waiting = append(waiting, x)
			continue
		}
		seen := control.HeadSeen{Version: version}
		if version > x.held.Version || x.held.Lineage != w.store.lineage {
			o := rollout.Offer{Lineage: w.store.lineage, Version: version, Digest: w.store.versions[version-1].Digest()}
			if x.held.Version > 0 && x.held.Lineage == w.store.lineage {
				o.Deltas = w.store.deltas[x.held.Version:]
			} else {
				o.Document = w.store.versions[version-1]
			}
			seen.Offer = &o
		}
		w.later(storeLatency+w.store.slow, func() {
			if x.m.alive && x.m.core == x.core {
				w.step(x.m, seen)
			}
		})
	}
	w.store.watchers = waiting
}

// outage takes the store away or brings it back.
func (w *world) outage(down bool) {
	w.store.down = down
	if !down {
		w.notify()
		return
	}
	for _, x := range w.store.watchers {
		w.after(storeLatency, x.m, control.HeadSeen{Unavailable: true})
	}
	w.store.watchers = nil
}

// live returns the nodes that run, by name.
func (w *world) live() []*member {
	var ms []*member
	for _, id := range slices.Sorted(maps.Keys(w.members)) {
		if m := w.members[id]; m.alive {
			ms = append(ms, m)
		}
	}
	return ms
}

// inForce reports whether a version is in force on every node that runs and that a filter takes.
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

// lead returns the node that holds a data centre's lease.
func (w *world) lead(dc fleet.DataCentre) *member {
	if l := w.store.leases[dc]; l != nil {
		return w.members[l.record.Node]
	}
	return nil
}

// document returns a valid document that differs by n.
func document(n int) config.Document {
	return config.Document{
		"defaults":       {"timeout": fmt.Sprintf("%dms", 1000+n)},
		"service orders": {"calls": "at-most-once"},
		"route orders":   {"path": "/orders", "service": "orders"},
	}
}
