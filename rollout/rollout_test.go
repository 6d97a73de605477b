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

func whole(v config.Version, doc config.Document) rollout.Offer {
	return rollout.Offer{Lineage: "one", Version: v, Digest: doc.Digest(), Document: doc}
}

func delta(from config.Version, a, b config.Document) rollout.Offer {
	d := config.Diff(a, b)
	d.From, d.To = from, from+1
	return rollout.Offer{Lineage: "one", Version: d.To, Digest: d.Digest, Deltas: []config.Delta{d}}
}

var _ = Describe("a node that follows version 5", func() {
	invalid := document("1s")
	invalid["route b"] = config.Section{"path": "/b", "service": "absent"}
	corrupted := delta(5, document("1s"), document("2s"))
	corrupted.Deltas[0].Set["defaults"] = config.Section{"timeout": "9s"}
	swapped := whole(6, document("2s"))
	swapped.Document = document("3s")
	other := whole(9, document("2s"))
	other.Lineage = "two"
	cases := map[string]struct {
		offer rollout.Offer
		want  error
	}{
		"an older version":                     {whole(4, document("2s")), rollout.ErrStale},
		"the same version":                     {whole(5, document("2s")), rollout.ErrStale},
		"a version that fails its checks":      {whole(6, invalid), config.ErrInvalid},
		"a delta that fails its checks":        {delta(5, document("1s"), invalid), config.ErrInvalid},
		"a corrupted delta":                    {corrupted, config.ErrDigestMismatch},
		"a document under another's digest":    {swapped, config.ErrDigestMismatch},
		"a delta from a version that it lacks": {delta(7, document("1s"), document("2s")), rollout.ErrNeedSnapshot},
		"another lineage, however high":        {other, rollout.ErrLineage},
	}
	for name, c := range cases {
		It("keeps it whole when it is offered "+name, func() {
			h := rollout.New()
			Expect(h.Put(whole(5, document("1s")))).To(Succeed())
			before := h.Config()
			Expect(h.Put(c.offer)).To(MatchError(c.want))
			Expect(h.Version()).To(Equal(config.Version(5)))
			Expect(h.Config()).To(BeIdenticalTo(before))
			kept, _ := h.Offer("", 0)
			Expect(kept.Document).To(Equal(document("1s")))
		})
	}

	It("takes deltas that repeat what it has and go on from there", func() {
		h := rollout.New()
		Expect(h.Put(whole(5, document("1s")))).To(Succeed())
		first, second := delta(5, document("1s"), document("2s")), delta(6, document("2s"), document("3s"))
		Expect(h.Put(first)).To(Succeed())
		both := second
		both.Deltas = append(first.Deltas, second.Deltas...)
		Expect(h.Put(both)).To(Succeed())
		Expect(h.Version()).To(Equal(config.Version(7)))
	})

	It("is not ready below its floor, and does not put anything below it in force", func() {
		h := rollout.New()
		h.RaiseFloor(8)
		Expect(h.Put(whole(7, document("1s")))).To(MatchError(rollout.ErrBelowFloor))
		Expect(h.Ready()).To(BeFalse())
		Expect(h.Put(whole(8, document("1s")))).To(Succeed())
		Expect(h.Ready()).To(BeTrue())
	})
})

// TestSumDoesNotDependOnTheShapeOfTheTree adds the same nodes up in two ways.
func TestSumDoesNotDependOnTheShapeOfTheTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 30).Draw(t, "versions")
		var flat []rollout.Summary
		nested := rollout.Summary{}
		for i, v := range versions {
			own := rollout.Own(string(rune('a'+i)), config.Version(v))
			flat = append(flat, own)
			nested = rollout.Sum(nested, own)
		}
		sum := rollout.Sum(flat...)
		for v := range config.Version(6) {
			if sum.AtLeast(v) != nested.AtLeast(v) {
				t.Fatalf("at least %d: %d flat, %d nested", v, sum.AtLeast(v), nested.AtLeast(v))
			}
		}
		if sum.Nodes() != len(versions) {
			t.Fatalf("%d nodes, want %d", sum.Nodes(), len(versions))
		}
		highest := sum.Counts[len(sum.Counts)-1].Version
		if sum.AtLeast(highest) < len(versions) && sum.Laggards[0].Version == highest {
			t.Fatalf("a node is behind and none is named: %v", sum)
		}
	})
}
