package rollout_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/rollout"
)

func TestRollout(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rollout")
}

func document(timeout string) config.Document {
	return config.Document{"defaults": {"timeout": timeout}, "service a": {}, "route a": {"path": "/a", "service": "a"}}
}

func documentUpdate(v config.Version, doc config.Document) rollout.Update {
	return rollout.Update{Lineage: "one", Version: v, Digest: doc.Digest(), Document: doc}
}

func deltaUpdate(from config.Version, a, b config.Document) rollout.Update {
	d := config.Diff(a, b)
	d.From, d.To = from, from+1
	return rollout.Update{Lineage: "one", Version: d.To, Digest: d.Digest, Deltas: []config.Delta{d}}
}

var _ = Describe("a node with version 5 in force", func() {
	invalid := document("1s")
	invalid["route b"] = config.Section{"path": "/b", "service": "absent"}
	corrupted := deltaUpdate(5, document("1s"), document("2s"))
	corrupted.Deltas[0].Set["defaults"] = config.Section{"timeout": "9s"}
	swapped := documentUpdate(6, document("2s"))
	swapped.Document = document("3s")
	otherLineage := documentUpdate(9, document("2s"))
	otherLineage.Lineage = "two"
	cases := map[string]struct {
		update rollout.Update
		want   error
	}{
		"an earlier version":                 {documentUpdate(4, document("2s")), rollout.ErrStale},
		"the same version":                   {documentUpdate(5, document("2s")), rollout.ErrStale},
		"a version with an invalid document": {documentUpdate(6, invalid), config.ErrInvalid},
		"a delta to an invalid document":     {deltaUpdate(5, document("1s"), invalid), config.ErrInvalid},
		"a corrupted delta":                  {corrupted, config.ErrDigestMismatch},
		"a document with another's digest":   {swapped, config.ErrDigestMismatch},
		"a delta from another version":       {deltaUpdate(7, document("1s"), document("2s")), rollout.ErrSnapshotRequired},
		"another lineage, however high":      {otherLineage, rollout.ErrLineageMismatch},
	}
	for name, c := range cases {
		It("keeps it unchanged when it receives "+name, func() {
			replica := rollout.NewReplica()
			Expect(replica.Apply(documentUpdate(5, document("1s")))).To(Succeed())
			before := replica.Config()
			Expect(replica.Apply(c.update)).To(MatchError(c.want))
			Expect(replica.Version()).To(Equal(config.Version(5)))
			Expect(replica.Config()).To(BeIdenticalTo(before))
			current, _ := replica.UpdateFor("", 0)
			Expect(current.Document).To(Equal(document("1s")))
		})
	}

	It("skips deltas up to the version in force and applies the following ones", func() {
		replica := rollout.NewReplica()
		Expect(replica.Apply(documentUpdate(5, document("1s")))).To(Succeed())
		first, second := deltaUpdate(5, document("1s"), document("2s")), deltaUpdate(6, document("2s"), document("3s"))
		Expect(replica.Apply(first)).To(Succeed())
		overlapping := second
		overlapping.Deltas = append(first.Deltas, second.Deltas...)
		Expect(replica.Apply(overlapping)).To(Succeed())
		Expect(replica.Version()).To(Equal(config.Version(7)))
	})

	It("is not ready without its minimum version and rejects earlier versions", func() {
		replica := rollout.NewReplica()
		replica.RaiseMinVersion(8)
		Expect(replica.Apply(documentUpdate(7, document("1s")))).To(MatchError(rollout.ErrBelowMinVersion))
		Expect(replica.Ready()).To(BeFalse())
		Expect(replica.Apply(documentUpdate(8, document("1s")))).To(Succeed())
		Expect(replica.Ready()).To(BeTrue())
	})
})

// TestSumIsIndependentOfTreeShape merges the same nodes' summaries at once and one by one.
func TestSumIsIndependentOfTreeShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 30).Draw(t, "versions")
		var flat []rollout.Summary
		nested := rollout.Summary{}
		for i, v := range versions {
			node := rollout.NodeSummary(string(rune('a'+i)), config.Version(v))
			flat = append(flat, node)
			nested = rollout.Sum(nested, node)
		}
		sum := rollout.Sum(flat...)
		for v := range config.Version(6) {
			if sum.AtLeast(v) != nested.AtLeast(v) {
				t.Fatalf("nodes at version %d or later: %d flat, %d nested", v, sum.AtLeast(v), nested.AtLeast(v))
			}
		}
		if sum.Nodes() != len(versions) {
			t.Fatalf("%d nodes, want %d", sum.Nodes(), len(versions))
		}
		highest := sum.Counts[len(sum.Counts)-1].Version
		if sum.AtLeast(highest) < len(versions) && sum.Laggards[0].Version == highest {
			t.Fatalf("a node is behind but no laggard is listed: %v", sum)
		}
	})
}
