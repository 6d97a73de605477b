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

// Distance is the network distance of a target from this node.
type Distance uint8

// The distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
	distanceCount
)

// distanceCost is the one-way network latency, by distance, that is added to the cost of a target.
var distanceCost = [distanceCount]time.Duration{0, 3 * time.Millisecond, 16 * time.Millisecond}

// ErrNoTarget means that no target of the service can be selected.
var ErrNoTarget = errors.New("no target available")

// Endpoint is one target of a service; calls reach it through the node on its VM.
type Endpoint struct {
	Node        fleet.NodeID
	Incarnation fleet.Incarnation
	Address     fleet.Address
	Slots       int
	Distance    Distance
	stats       *targetStats
}

// Table maps services to their targets, grouped by distance. The mapping is immutable; the statistics of the targets
// are shared with other tables.
type Table struct {
	Version  config.Version
	Config   *config.Config
	balancer Balancer
	spill    *SpillBudget
	services map[config.ServiceName]*[distanceCount][]*Endpoint
}

// TableBuilder builds tables and carries the statistics of each target over from one table to the next.
type TableBuilder struct {
	self     fleet.Record
	balancer Balancer
	spill    *SpillBudget
	mu       sync.Mutex
	stats    map[endpointKey]*targetStats
}

type endpointKey struct {
	node        fleet.NodeID
	incarnation fleet.Incarnation
	service     config.ServiceName
}

// NewTableBuilder returns a builder for the node with the given record.
func NewTableBuilder(self fleet.Record, balancer Balancer) *TableBuilder {
	return &TableBuilder{self: self, balancer: balancer, spill: &SpillBudget{}, stats: map[endpointKey]*targetStats{}}
}

// Build builds the table for a configuration and membership records; without a configuration the table is empty.
func (b *TableBuilder) Build(cfg *config.Config, v config.Version, records []fleet.Record, now time.Time) *Table {
	t := &Table{Version: v, Config: cfg, balancer: b.balancer, spill: b.spill, services: map[config.ServiceName]*[distanceCount][]*Endpoint{}}
	if cfg == nil {
		return t
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	current := map[endpointKey]*targetStats{}
	regionNodes := 1
	for _, r := range records {
		if r.State != fleet.Serving {
			continue
		}
		if r.Region == b.self.Region && r.Node != b.self.Node {
			regionNodes++
		}
		d := b.distance(r)
		for _, target := range r.Targets {
			if cfg.Services[target.Service] == nil {
				continue
			}
			key := endpointKey{r.Node, r.Incarnation, target.Service}
			st := b.stats[key]
			if st == nil {
				st = newTargetStats(now)
			}
			current[key] = st
			groups := t.services[target.Service]
			if groups == nil {
				groups = &[distanceCount][]*Endpoint{}
				t.services[target.Service] = groups
			}
			groups[d] = append(groups[d], &Endpoint{Node: r.Node, Incarnation: r.Incarnation, Address: r.LinkAddress,
				Slots: target.Slots, Distance: d, stats: st})
		}
	}
	b.stats = current
	b.spill.setRate(float64(cfg.SpillBandwidth)/8/float64(regionNodes), now)
	return t
}

// SpillBudget returns the node's byte budget for calls to other regions.
func (t *Table) SpillBudget() *SpillBudget { return t.spill }

func (b *TableBuilder) distance(r fleet.Record) Distance {
	switch {
	case r.DataCentre == b.self.DataCentre:
		return SameDataCentre
	case r.Region == b.self.Region:
		return SameRegion
	}
	return OtherRegion
}

// Endpoints returns the targets of a service within a spill scope, nearest first.
func (t *Table) Endpoints(s config.ServiceName, scope config.SpillScope) []*Endpoint {
	groups := t.services[s]
	if groups == nil {
		return nil
	}
	var es []*Endpoint
	for d := range maxDistance(scope) + 1 {
		es = append(es, groups[d]...)
	}
	return es
}

func maxDistance(scope config.SpillScope) Distance {
	switch scope {
	case config.SpillNone:
		return SameDataCentre
	case config.SpillRegion:
		return SameRegion
	}
	return OtherRegion
}

// PickRequest is a request to select the target of one attempt.
type PickRequest struct {
	Service    config.ServiceName
	SpillScope config.SpillScope
	Class      config.Class
	// Excluded lists the nodes that must not be selected again.
	Excluded []fleet.NodeID
	// Idempotent reports whether the call may run more than once; only such a call may probe an ejected target.
	Idempotent bool
}

// Selection is the target selected for one attempt. It counts as a call in flight until Complete, which must be called
// once.
type Selection struct {
	Endpoint  *Endpoint
	class     config.Class
	startedAt time.Time
	probe     bool
}

// Pick selects a target from the nearest group of targets. If the call would have to queue there, farther groups are
// considered too, and the target with the lowest cost including the network latency wins. Once the spill budget is used
// up, calls go to another region only if there is no nearer target.
func (t *Table) Pick(req PickRequest, now time.Time, rng *rand.Rand) (Selection, error) {
	groups := t.services[req.Service]
	if groups == nil {
		return Selection{}, errors.Wrapf(ErrNoTarget, "service %q", req.Service)
	}
	var best *Endpoint
	bestCost := 0.0
	for d := range maxDistance(req.SpillScope) + 1 {
		if d == OtherRegion && best != nil && !t.spill.canSpill(now) {
			break
		}
		e, cost, probe := t.pickInGroup(groups[d], req, now, rng)
		if e == nil {
			continue
		}
		if probe {
			if d == OtherRegion {
				t.spill.reserve()
			}
			return newSelection(e, req.Class, now, true), nil
		}
		cost += distanceCost[d].Seconds()
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
		if saturated := best.saturated(now); !saturated {
			break
		}
	}
	if best == nil {
		return Selection{}, errors.Wrapf(ErrNoTarget, "service %q", req.Service)
	}
	if best.Distance == OtherRegion {
		t.spill.reserve()
	}
	return newSelection(best, req.Class, now, false), nil
}

// saturated reports whether a call would have to queue at the target.
func (e *Endpoint) saturated(now time.Time) bool {
	e.stats.mu.Lock()
	defer e.stats.mu.Unlock()
	return e.stats.inflight >= e.Slots || (now.Sub(e.stats.queueLengthAt) < queueLengthMaxAge && e.stats.queueLength > 0)
}

func newSelection(e *Endpoint, class config.Class, now time.Time, probe bool) Selection {
	e.stats.mu.Lock()
	defer e.stats.mu.Unlock()
	e.stats.inflight++
	if class == config.ClassLong {
		e.stats.longInflight++
	}
	return Selection{Endpoint: e, class: class, startedAt: now, probe: probe}
}

// pickBetterOfTwo returns the cheaper of two random targets that are not ejected, or an ejected one if there are no
// others. The last result reports whether the target is an ejected one that the call is to probe.
func pickBetterOfTwo(es []*Endpoint, req PickRequest, now time.Time, rng *rand.Rand) (*Endpoint, float64, bool) {
	if len(es) == 0 {
		return nil, 0, false
	}
	// A random permutation, by a stride coprime to the number of targets, is walked until two usable targets are found.
	// Unlike filtering, this does not visit every target.
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
		if slices.Contains(req.Excluded, e.Node) {
			continue
		}
		usable, probe := e.usable(req, now)
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
		return cheapestUntried(es, req, now)
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
	e.stats.mu.Lock()
	defer e.stats.mu.Unlock()
	return e.stats.cost(now, e.Slots)
}

// usable reports whether a target may be selected, and whether the call is to probe it after an ejection.
func (e *Endpoint) usable(req PickRequest, now time.Time) (usable, probe bool) {
	st := e.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ejectedUntil.IsZero() {
		return true, false
	}
	if now.Before(st.ejectedUntil) || st.probing || !req.Idempotent || req.Class == config.ClassLong {
		return false, false
	}
	st.probing = true
	return true, true
}

// cheapestUntried returns the untried target with the lowest cost, whether it is ejected or not: a service whose
// targets are all ejected is still tried.
func cheapestUntried(es []*Endpoint, req PickRequest, now time.Time) (*Endpoint, float64, bool) {
	untried := slices.DeleteFunc(slices.Clone(es), func(e *Endpoint) bool { return slices.Contains(req.Excluded, e.Node) })
	if len(untried) == 0 {
		return nil, 0, false
	}
	e := slices.MinFunc(untried, func(a, b *Endpoint) int { return cmp.Compare(a.cost(now), b.cost(now)) })
	return e, e.cost(now), false
}

// Outcome is the outcome of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Answered attempts received a response from the target.
	Answered Outcome = iota
	// Refused attempts were refused before they ran.
	Refused
	// Failed attempts lost their connection or timed out.
	Failed
	// Cancelled attempts were abandoned by this node.
	Cancelled
)

// Complete records an attempt's outcome in the target's statistics; queueLength is the one reported by the target, or -1
// if none was reported.
func (s Selection) Complete(t *Table, service config.ServiceName, outcome Outcome, queueLength int, now time.Time) {
	st := s.Endpoint.stats
	st.mu.Lock()
	defer st.mu.Unlock()
	st.inflight--
	if s.class == config.ClassLong {
		st.longInflight--
	}
	if queueLength >= 0 {
		st.queueLength, st.queueLengthAt = queueLength, now
	}
	elapsed := now.Sub(s.startedAt)
	switch outcome {
	case Answered:
		st.consecutiveFailures = 0
		if s.class != config.ClassLong {
			st.recordLatency(now, elapsed)
		}
		if s.probe {
			st.ejectedUntil, st.probing = time.Time{}, false
			st.slowStartAt = now
		}
	case Refused:
		st.consecutiveFailures = 0
		st.probing = false
	case Cancelled:
		// The latency of an abandoned call is at least the time until it was abandoned.
		if s.class != config.ClassLong && elapsed.Seconds() > st.decayedLatency(now) {
			st.recordLatency(now, elapsed)
		}
		if s.probe {
			st.eject(now)
		}
	case Failed:
		st.recordFailure(now)
		if s.probe {
			st.eject(now)
		}
	}
	if _, ejects := t.balancer.(PowerOfTwoChoices); ejects && s.class != config.ClassLong && outcome != Refused {
		t.ejectOutlier(s.Endpoint, service, now)
	}
}

// ejectOutlier ejects a target whose latency is above outlierFactor times its group's median, unless more than a third
// of the group would be ejected then.
func (t *Table) ejectOutlier(e *Endpoint, s config.ServiceName, now time.Time) {
	groups := t.services[s]
	if groups == nil || !e.stats.ejectedUntil.IsZero() && now.Before(e.stats.ejectedUntil) {
		return
	}
	group := groups[e.Distance]
	if len(group) < 3 || e.stats.decayedLatency(now) < 10*initialLatency.Seconds() {
		return
	}
	costs := make([]float64, 0, len(group))
	ejected := 0
	for _, other := range group {
		if other == e || other.stats == e.stats {
			continue
		}
		if !other.stats.mu.TryLock() {
			continue
		}
		costs = append(costs, other.stats.decayedLatency(now))
		if now.Before(other.stats.ejectedUntil) {
			ejected++
		}
		other.stats.mu.Unlock()
	}
	if len(costs) == 0 || (ejected+1)*3 > len(group) {
		return
	}
	slices.Sort(costs)
	if e.stats.decayedLatency(now) > outlierFactor*costs[len(costs)/2] {
		e.stats.eject(now)
	}
}

// Started returns the time at which the target was selected.
func (s Selection) Started() time.Time { return s.startedAt }
