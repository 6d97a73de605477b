package link_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/rollout"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

func messages() map[string]control.Message {
	record := fleet.Record{Node: "n", Incarnation: 7, Sequence: 3, DataCentre: "norte", Region: "costa", CallAddress: "c:1", LinkAddress: "l:2",
		Targets: []fleet.Target{{Service: "orders", Slots: 9}}, LeaderTerm: 4}
	digests := fleet.Digests{1: 5}
	doc := config.Document{"defaults": {"timeout": "1s"}}
	many := control.Records{Digests: &digests}
	for range 100 {
		many.Records = append(many.Records, record)
	}
	return map[string]control.Message{
		"hello":          control.Hello{Role: control.RoleLeaderPeer, Record: record, ActiveConfig: control.ConfigRef{Lineage: "a", Version: 9}, Digests: digests},
		"welcome":        control.Welcome{Accepted: true, Record: record, MinVersion: 4, Distance: 2, Parents: []fleet.Record{record}},
		"beat":           control.Heartbeat{ActiveConfig: control.ConfigRef{Lineage: "a", Version: 9}, Distance: 1},
		"whole document": control.ConfigUpdate{Lineage: "a", Version: 9, Digest: doc.Digest(), Document: doc},
		"delta": control.ConfigUpdate{Lineage: "a", Version: 9, Digest: "d", Deltas: []config.Delta{{From: 8, To: 9, Digest: "d", Change: "c",
			Set: map[config.SectionName]config.Section{"defaults": {"timeout": "1s"}}}}},
		"request": control.SnapshotRequest{},
		"records": many,
		"digests": control.Digests{Digests: digests},
		"ack":     control.Ack{Summary: rollout.NodeSummary("n", 9)},
		"suspect": control.Suspect{Node: "n", Incarnation: 7, Sequence: 3},
	}
}

var _ = Describe("frame codec", func() {
	for name, m := range messages() {
		It("round-trips a "+name+" without loss", func() {
			frame, err := link.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			Expect(link.Decode(frame)).To(Equal(m))
		})
		It("decodes a truncated "+name+" or returns ErrMalformed or ErrUnknownKind", func() {
			frame, err := link.Encode(m)
			Expect(err).NotTo(HaveOccurred())
			for n := range min(len(frame), 300) {
				if _, err := link.Decode(frame[:n]); err != nil {
					Expect(errors.IsAny(err, link.ErrMalformed, link.ErrUnknownKind)).To(BeTrue())
				}
			}
		})
	}

	It("distinguishes an unknown message kind from a malformed frame", func() {
		_, err := link.Decode([]byte{200, 0, 0xa0})
		Expect(err).To(MatchError(link.ErrUnknownKind))
		_, err = link.Decode([]byte{1, 9, 0xa0})
		Expect(err).To(MatchError(link.ErrMalformed))
	})
})

func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		frame, err := link.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		if _, err := link.Decode(frame); err != nil && !errors.IsAny(err, link.ErrMalformed, link.ErrUnknownKind) {
			t.Fatalf("error %v is neither ErrMalformed nor ErrUnknownKind", err)
		}
	})
}
