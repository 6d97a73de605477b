package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const minRelayed = 16 // data centres of at most this many nodes have no relays

// Order is the shape of one data centre, the same on every node that holds the same records.
type Order struct {
	// Ranked lists the live nodes by succession: the lead by term first, then by hash.
	Ranked []NodeID
	// Relays are the nodes between the lead and the others; it is empty in a small data centre.
	Relays []NodeID
}

// Order returns the shape of a data centre; the result is shared and must not be changed.
func (f *Fleet) Order(dc DataCentre) *Order {
	if o, ok := f.order[dc]; ok {
		return o
	}
	o := f.newOrder(dc)
	f.order[dc] = o
	return o
}

func (f *Fleet) newOrder(dc DataCentre) *Order {
	type ranked struct {
		id     NodeID
		term   Term
		state  State
		weight uint64
	}
	var live []ranked
	for _, r := range f.records {
		if r.DataCentre == dc && r.Live() {
			live = append(live, ranked{r.Node, r.Lead, r.State, xxhash.Sum64String(string(r.Node))})
		}
	}
	slices.SortFunc(live, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(b.term, a.term),
			cmp.Compare(a.weight, b.weight), cmp.Compare(a.id, b.id))
	})
	o := &Order{}
	for _, r := range live {
		o.Ranked = append(o.Ranked, r.id)
	}
	if n := len(live); n > minRelayed {
		relays := int(math.Ceil(math.Sqrt(float64(n))))
		o.Relays = o.Ranked[1 : 1+relays]
	}
	return o
}

// Rank returns a node's place in the succession, or the number of nodes if it is unknown.
func (o *Order) Rank(n NodeID) int {
	if i := slices.Index(o.Ranked, n); i >= 0 {
		return i
	}
	return len(o.Ranked)
}

// Parents returns the nodes that n should hang under, the best first; the lead has none.
func (o *Order) Parents(n NodeID) []NodeID {
	rank := o.Rank(n)
	if rank == 0 {
		return nil
	}
	above := o.Ranked[:min(rank, 3)]
	switch {
	case len(o.Relays) == 0:
		return above
	case slices.Contains(o.Relays, n):
		// Half of the relays have the third node as their spare, so that the second does not carry all of them.
		if len(above) == 3 && xxhash.Sum64String(string(n))%2 == 0 {
			return []NodeID{above[0], above[2], above[1]}
		}
		return above
	}
	byHash := slices.Clone(o.Relays)
	weights := make(map[NodeID]uint64, len(byHash))
	for _, r := range byHash {
		weights[r] = xxhash.Sum64String(string(r) + "\x00" + string(n))
	}
	slices.SortFunc(byHash, func(a, b NodeID) int { return cmp.Compare(weights[a], weights[b]) })
	return append(byHash[:min(len(byHash), 4)], o.Ranked[0])
}

// Centres returns the data centres with live nodes.
func (f *Fleet) Centres() []DataCentre {
	seen := map[DataCentre]bool{}
	for _, r := range f.records {
		if r.Live() {
			seen[r.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Leads returns the leading node of each data centre that has one; the result is shared and must not be changed.
func (f *Fleet) Leads() map[DataCentre]Record {
	if f.leads != nil && f.leadsAt == f.revision {
		return f.leads
	}
	f.leads, f.leadsAt = map[DataCentre]Record{}, f.revision
	for _, r := range f.records {
		if r.Lead == 0 || !r.Live() {
			continue
		}
		if old, ok := f.leads[r.DataCentre]; !ok || r.Lead > old.Lead || (r.Lead == old.Lead && r.Node < old.Node) {
			f.leads[r.DataCentre] = r
		}
	}
	return f.leads
}
