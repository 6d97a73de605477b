package fleet_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/fleet"
)

func randomRecord(t *rapid.T) fleet.Record {
	return fleet.Record{
		Node: fleet.NodeID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")), DataCentre: "norte",
		Incarnation: fleet.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
		Sequence:    fleet.Sequence(rapid.IntRange(1, 3).Draw(t, "sequence")),
		State:       rapid.SampledFrom([]fleet.State{fleet.Serving, fleet.Gone}).Draw(t, "state"),
	}
}

// TestMergeDoesNotDependOnOrderOrRepetition merges the same records into two fleets, in different orders and twice in one.
func TestMergeDoesNotDependOnOrderOrRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "records")
		records := make([]fleet.Record, n)
		for i := range records {
			records[i] = randomRecord(t)
		}
		order := rapid.Permutation(append(append([]fleet.Record(nil), records...), records...)).Draw(t, "order")
		once, shuffled := fleet.New(), fleet.New()
		for _, r := range records {
			once.Merge(r)
		}
		for _, r := range order {
			shuffled.Merge(r)
		}
		if once.Digests() != shuffled.Digests() || fmt.Sprint(once.All()) != fmt.Sprint(shuffled.All()) {
			t.Fatalf("fleets differ after merging the same records: %v and %v", once.All(), shuffled.All())
		}
		if d := once.Differing(shuffled.Digests()); len(d) > 0 {
			t.Fatalf("Differing returned %v for equal fleets", d)
		}
	})
}

// TestLossOfARelayMovesOnlyItsOwnChildren removes one relay from a data centre of 490 nodes.
func TestLossOfARelayMovesOnlyItsOwnChildren(t *testing.T) {
	f := fleet.New()
	const nodes = 490
	for i := range nodes {
		f.Merge(fleet.Record{Node: fleet.NodeID(fmt.Sprintf("vm-%03d", i)), DataCentre: "norte", Incarnation: 1, Sequence: 1})
	}
	before := f.Topology("norte")
	parents := map[fleet.NodeID]fleet.NodeID{}
	for _, n := range before.Ranked[1:] {
		parents[n] = before.Parents(n)[0]
	}
	lost := before.Relays[7]
	f.Merge(fleet.Record{Node: lost, DataCentre: "norte", Incarnation: 1, Sequence: 1, State: fleet.Gone})
	after := f.Topology("norte")
	moved := 0
	for n, p := range parents {
		if n == lost {
			continue
		}
		if now := after.Parents(n)[0]; now != p {
			moved++
			if p != lost && now != after.Relays[len(after.Relays)-1] && n != after.Relays[len(after.Relays)-1] {
				t.Errorf("%s moved from parent %s, which is still live, to %s", n, p, now)
			}
		}
	}
	if moved > nodes/5 {
		t.Errorf("%d of %d nodes changed parent, want at most a fifth", moved, nodes)
	}
}
