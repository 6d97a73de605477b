package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// Distance says how far a target is from this node.
type Distance uint8

// The distances, nearest first.
const (
	SameCentre Distance = iota
	SameRegion
	OtherRegion
	distances
)

// The one-way costs that a farther target must make up for, by distance.
var linkCost = [distances]time.Duration{0, 3 * time.Millisecond, 16 * time.Millisecond}

// ErrNoTarget says that no target of the service can take the call.
var ErrNoTarget = errors.New("no target of the service is known")

// Endpoint is one target of a service, reached through the node on its VM.
type Endpoint struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Address     fleet.Address
	Slots       int
	Distance    Distance
	seen        *observed
}

// Table is an immutable view of which targets serve which service.
type Table struct {
	Version  config.Version
	Config   *config.Config
	chooser  Chooser
	spill    *ByteBudget
	services map[config.ServiceName]*[distances][]*Endpoint
}

// Board builds tables and keeps what was observed of each target between them.
type Board struct {
	self    fleet.Record
	chooser Chooser
	spill   *ByteBudget
	mu      sync.Mutex
	seen    map[endpointKey]*observed
}

type endpointKey struct {
	node        fleet.NodeID
	incarnation fleet.Incarnation
	service     config.ServiceName
}

// NewBoard returns a board for the node with the given record.
func NewBoard(self fleet.Record, chooser Chooser) *Board {
	return &Board{self: self, chooser: chooser, spill: &ByteBudget{}, seen: map[endpointKey]*observed{}}
}

// Compile builds the table for a configuration and the records held; services without targets stay empty.
func (b *Board) Compile(cfg *config.Config, v config.Version, records []fleet.Record, now time.Time) *Table {
	t := &Table{Version: v, Config: cfg, chooser: b.chooser, spill: b.spill, services: map[config.ServiceName]*[distances][]*Endpoint{}}
	if cfg == nil {
		return t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := map[endpointKey]*observed{}
	neighbours := 1
	for _, r := range records {
		if r.State != fleet.Serving {
			continue
		}
		if r.Region == b.self.Region && r.Node != b.self.Node {
			neighbours++
		}
		d := b.distance(r)
		for _, target := range r.Targets {
			if cfg.Services[target.Service] == nil {
				continue
			}
			key := endpointKey{r.Node, r.Incarnation, target.Service}
			o := b.seen[key]
			if o == nil {
				o = newObserved(now)
			}
			kept[key] = o
			groups := t.services[target.Service]
			if groups == nil {
				groups = &[distances][]*Endpoint{}
				t.services[target.Service] = groups
			}
			groups[d] = append(groups[d], &Endpoint{Node: r.Node, Incarnation: r.Incarnation, Address: r.Link,
				Slots: target.Slots, Distance: d, seen: o})
		}
	}
	b.seen = kept
	b.spill.setRate(float64(cfg.SpillBandwidth)/8/float64(neighbours), now)
	return t
}

// Spill returns the node's budget of bytes between regions.
func (t *Table) Spill() *ByteBudget { return t.spill }

func (b *Board) distance(r fleet.Record) Distance {
	switch {
	case r.DataCentre == b.self.DataCentre:
		return SameCentre
	case r.Region == b.self.Region:
		return SameRegion
	}
	return OtherRegion
}

// Endpoints returns the targets of a service within reach, nearest first.
func (t *Table) Endpoints(s config.ServiceName, reach config.SpillScope) []*Endpoint {
	groups := t.services[s]
	if groups == nil {
		return nil
	}
	var es []*Endpoint
	for d := range farthest(reach) + 1 {
		es = append(es, groups[d]...)
	}
	return es
}

func farthest(reach config.SpillScope) Distance {
	switch reach {
	case config.SpillNone:
		return SameCentre
	case config.SpillRegion:
		return SameRegion
	}
	return OtherRegion
}

// Query asks for the target of one attempt.
type Query struct {
	Service config.ServiceName
	Reach   config.SpillScope
	Class   config.Class
	// Tried holds the nodes that must not be chosen again.
	Tried []fleet.NodeID
	// Repeatable says that the call may serve as the probe of an ejected target.
	Repeatable bool
}

// Lease is one attempt's hold on a target's observation; it must be ended once.
type Lease struct {
	Endpoint *Endpoint
	class    config.Class
	started  time.Time
	probe    bool
}

// Pick chooses a target: the better of two at random in the nearest group, unless that one would make the call wait and
// a farther group's is better by more than the way there costs. Calls that another region could take wait here once the
// node's share of the link is used up; calls that have no nearer target go there all the same.
func (t *Table) Pick(q Query, now time.Time, rng *rand.Rand) (Lease, error) {
	groups := t.services[q.Service]
	if groups == nil {
		return Lease{}, errors.Wrapf(ErrNoTarget, "service %q", q.Service)
	}
	var best *Endpoint
	bestCost := 0.0
	for d := range farthest(q.Reach) + 1 {
		if d == OtherRegion && best != nil && !t.spill.allows(now) {
			break
		}
		e, cost, probe := t.choose(groups[d], q, now, rng)
		if e == nil {
			continue
		}
		if probe {
			if d == OtherRegion {
				t.spill.reserve()
			}
			return take(e, q.Class, now, true), nil
		}
		cost += linkCost[d].Seconds()
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
		if saturated := best.saturated(now); !saturated {
			break
		}
	}
	if best == nil {
		return Lease{}, errors.Wrapf(ErrNoTarget, "service %q", q.Service)
	}
	if best.Distance == OtherRegion {
		t.spill.reserve()
	}
	return take(best, q.Class, now, false), nil
}

// saturated reports whether a call would have to wait at the target.
func (e *Endpoint) saturated(now time.Time) bool {
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()
	return e.seen.inflight >= e.Slots || (now.Sub(e.seen.reported) < reportLife && e.seen.queue > 0)
}

func take(e *Endpoint, class config.Class, now time.Time, probe bool) Lease {
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()
	e.seen.inflight++
	if class == config.ClassLong {
		e.seen.long++
	}
	return Lease{Endpoint: e, class: class, started: now, probe: probe}
}

// pickTwo returns the better of two random targets that are not ejected; with too many ejected all count. The last
// result says that the target is an ejected one whose time has come to be probed.
func pickTwo(es []*Endpoint, q Query, now time.Time, rng *rand.Rand) (*Endpoint, float64, bool) {
	if len(es) == 0 {
		return nil, 0, false
	}
	// Drawing instead of filtering keeps the choice independent of the number of targets.
	var first, second *Endpoint
	offset := rng.IntN(len(es))
	stride := 1
	if len(es) > 2 {
		stride = 1 + rng.IntN(len(es)-1)
		for gcd(stride, len(es)) != 1 {
			stride = 1 + rng.IntN(len(es)-1)
		}
	}
	for i := range len(es) {
		e := es[(offset+i*stride)%len(es)]
		if slices.Contains(q.Tried, e.Node) {
			continue
		}
		usable, probe := e.usable(q, now)
		if probe {
			return e, 0, true
		}
		if !usable {
			continue
		}
		if first == nil {
			first = e
			continue
		}
		second = e
		break
	}
	if first == nil {
		return leastEjected(es, q, now)
	}
	a := first.cost(now)
	if second != nil {
		if b := second.cost(now); b < a {
			return second, b, false
		}
	}
	return first, a, false
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (e *Endpoint) cost(now time.Time) float64 {
	e.seen.mu.Lock()
	defer e.seen.mu.Unlock()
	return e.seen.cost(now, e.Slots)
}

// usable reports whether a target may be chosen, and whether the call is to probe it after an ejection.
func (e *Endpoint) usable(q Query, now time.Time) (usable, probe bool) {
	o := e.seen
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ejected.IsZero() {
		return true, false
	}
	if now.Before(o.ejected) || o.probing || !q.Repeatable || q.Class == config.ClassLong {
		return false, false
	}
	o.probing = true
	return true, true
}

// leastEjected chooses among ejected targets, so that a service whose targets all failed is still tried.
func leastEjected(es []*Endpoint, q Query, now time.Time) (*Endpoint, float64, bool) {
	left := slices.DeleteFunc(slices.Clone(es), func(e *Endpoint) bool { return slices.Contains(q.Tried, e.Node) })
	if len(left) == 0 {
		return nil, 0, false
	}
	e := slices.MinFunc(left, func(a, b *Endpoint) int { return cmp.Compare(a.cost(now), b.cost(now)) })
	return e, e.cost(now), false
}

// Outcome says how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered attempts brought the target's answer.
	Answered Outcome = iota
	// Refused attempts were turned away before they ran.
	Refused
	// Failed attempts broke or timed out.
	Failed
	// Cancelled attempts were given up by this node.
	Cancelled
)

// End folds an attempt's outcome into the observation; queue is the target's queue length, or -1 if not told.
func (l Lease) End(t *Table, service config.ServiceName, outcome Outcome, queue int, now time.Time) {
	o := l.Endpoint.seen
	o.mu.Lock()
	defer o.mu.Unlock()
	o.inflight--
	if l.class == config.ClassLong {
		o.long--
	}
	if queue >= 0 {
		o.queue, o.reported = queue, now
	}
	took := now.Sub(l.started)
	switch outcome {
	case Answered:
		o.failures = 0
		if l.class != config.ClassLong {
			o.observe(now, took)
		}
		if l.probe {
			o.ejected, o.probing = time.Time{}, false
			o.since = now
		}
	case Refused:
		o.failures = 0
		o.probing = false
	case Cancelled:
		// A call given up is at least as slow as the time it was given.
		if l.class != config.ClassLong && took.Seconds() > o.decayed(now) {
			o.observe(now, took)
		}
		if l.probe {
			o.eject(now)
		}
	case Failed:
		o.fail(now)
		if l.probe {
			o.eject(now)
		}
	}
	if _, ejects := t.chooser.(TwoChoices); ejects && l.class != config.ClassLong && outcome != Refused {
		t.ejectOutlier(l.Endpoint, service, now)
	}
}

// ejectOutlier takes a target out that is many times slower than its group's median, but never more than a third.
func (t *Table) ejectOutlier(e *Endpoint, s config.ServiceName, now time.Time) {
	groups := t.services[s]
	if groups == nil || !e.seen.ejected.IsZero() && now.Before(e.seen.ejected) {
		return
	}
	group := groups[e.Distance]
	if len(group) < 3 || e.seen.decayed(now) < 10*initialLatency.Seconds() {
		return
	}
	costs := make([]float64, 0, len(group))
	out := 0
	for _, other := range group {
		if other == e || other.seen == e.seen {
			continue
		}
		if !other.seen.mu.TryLock() {
			continue
		}
		costs = append(costs, other.seen.decayed(now))
		if now.Before(other.seen.ejected) {
			out++
		}
		other.seen.mu.Unlock()
	}
	if len(costs) == 0 || (out+1)*3 > len(group) {
		return
	}
	slices.Sort(costs)
	if e.seen.decayed(now) > outlierFactor*costs[len(costs)/2] {
		e.seen.eject(now)
	}
}

// Started returns when the attempt began.
func (l Lease) Started() time.Time { return l.started }
