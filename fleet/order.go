package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const maxWithoutRelays = 16 // data centres of at most this many nodes have no relays

// Topology is the tree layout of one data centre; nodes with equal records compute equal topologies.
type Topology struct {
	// Ranked lists the live nodes by state, descending leader term and hash; the first is the preferred root.
	Ranked []NodeID
	// Relays are the inner nodes between the root and the leaves; empty in a small data centre.
	Relays []NodeID
}

// Topology returns the tree layout of a data centre; the result is shared and must not be modified.
func (f *Fleet) Topology(dc DataCentre) *Topology {
	if t, ok := f.topologies[dc]; ok {
		return t
	}
	t := f.computeTopology(dc)
	f.topologies[dc] = t
	return t
}

func (f *Fleet) computeTopology(dc DataCentre) *Topology {
	type candidate struct {
		id    NodeID
		term  Term
		state State
		hash  uint64
	}
	var live []candidate
	for _, r := range f.records {
		if r.DataCentre == dc && r.Live() {
			live = append(live, candidate{r.Node, r.LeaderTerm, r.State, xxhash.Sum64String(string(r.Node))})
		}
	}
	slices.SortFunc(live, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.state, b.state), cmp.Compare(b.term, a.term),
			cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	t := &Topology{}
	for _, r := range live {
		t.Ranked = append(t.Ranked, r.id)
	}
	if n := len(live); n > maxWithoutRelays {
		relays := int(math.Ceil(math.Sqrt(float64(n))))
		t.Relays = t.Ranked[1 : 1+relays]
	}
	return t
}

// Rank returns a node's index in Ranked, or the number of ranked nodes if it is not among them.
func (t *Topology) Rank(n NodeID) int {
	if i := slices.Index(t.Ranked, n); i >= 0 {
		return i
	}
	return len(t.Ranked)
}

// Parents returns the preferred parents of n, the best first; the first-ranked node has none.
func (t *Topology) Parents(n NodeID) []NodeID {
	rank := t.Rank(n)
	if rank == 0 {
		return nil
	}
	higherRanked := t.Ranked[:min(rank, 3)]
	switch {
	case len(t.Relays) == 0:
		return higherRanked
	case slices.Contains(t.Relays, n):
		// Half of the relays use the third node as backup parent; otherwise the second would have to serve all of them.
		if len(higherRanked) == 3 && xxhash.Sum64String(string(n))%2 == 0 {
			return []NodeID{higherRanked[0], higherRanked[2], higherRanked[1]}
		}
		return higherRanked
	}
	byHash := slices.Clone(t.Relays)
	hashes := make(map[NodeID]uint64, len(byHash))
	for _, r := range byHash {
		hashes[r] = xxhash.Sum64String(string(r) + "\x00" + string(n))
	}
	slices.SortFunc(byHash, func(a, b NodeID) int { return cmp.Compare(hashes[a], hashes[b]) })
	return append(byHash[:min(len(byHash), 4)], t.Ranked[0])
}

// DataCentres returns the data centres that have live nodes, sorted.
func (f *Fleet) DataCentres() []DataCentre {
	centres := map[DataCentre]bool{}
	for _, r := range f.records {
		if r.Live() {
			centres[r.DataCentre] = true
		}
	}
	return slices.Sorted(maps.Keys(centres))
}

// Leaders returns the leader of each data centre that has one; the result is shared and must not be modified.
func (f *Fleet) Leaders() map[DataCentre]Record {
	if f.leaders != nil && f.leadersRevision == f.revision {
		return f.leaders
	}
	f.leaders, f.leadersRevision = map[DataCentre]Record{}, f.revision
	for _, r := range f.records {
		if r.LeaderTerm == 0 || !r.Live() {
			continue
		}
		if old, ok := f.leaders[r.DataCentre]; !ok || r.LeaderTerm > old.LeaderTerm || (r.LeaderTerm == old.LeaderTerm && r.Node < old.Node) {
			f.leaders[r.DataCentre] = r
		}
	}
	return f.leaders
}
