package control_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
)

// singleNode drives one state machine step by step, without the simulated network.
type singleNode struct {
	now   time.Time
	core  *control.Core
	dials map[fleet.Address]control.LinkID
}

func newSingleNode(seeds ...fleet.Address) *singleNode {
	n := &singleNode{now: time.UnixMilli(1_700_000_000_000), dials: map[fleet.Address]control.LinkID{}}
	self := fleet.Record{Node: "x", DataCentre: "norte", Region: "costa", Incarnation: 5, Sequence: 1, LinkAddress: "x:link"}
	n.core = control.New(control.Settings{Record: self, Seeds: seeds}, n.now, rand.New(rand.NewPCG(1, 1)))
	return n
}

func (n *singleNode) step(e control.Event) []control.Action {
	n.now = n.now.Add(time.Millisecond)
	actions := n.core.Step(n.now, e)
	for _, a := range actions {
		if d, ok := a.(control.Dial); ok {
			n.dials[d.Address] = d.Link
		}
	}
	return actions
}

// answerHello opens the link dialled to a node and responds to its Hello.
func (n *singleNode) answerHello(r fleet.Record, reply control.Welcome) {
	GinkgoHelper()
	id, ok := n.dials[r.LinkAddress]
	Expect(ok).To(BeTrue(), "dialled %s", r.LinkAddress)
	n.step(control.LinkOpened{Link: id})
	reply.Record = r
	n.step(control.Received{Link: id, Message: reply})
}

func neighbourRecord(id fleet.NodeID) fleet.Record {
	return fleet.Record{Node: id, DataCentre: "norte", Region: "costa", Incarnation: 1, Sequence: 1, LinkAddress: fleet.Address(id) + ":link"}
}

func snapshotUpdate(v config.Version) control.ConfigUpdate {
	doc := document(int(v))
	return control.ConfigUpdate{Lineage: "first", Version: v, Digest: doc.Digest(), Document: doc}
}

var _ = Describe("restarted node under a parent with an older version", func() {
	It("does not serve the parent's older version", func() {
		n := newSingleNode("p:link")
		lagging, current := neighbourRecord("p"), neighbourRecord("s")
		lagging.LeaderTerm = 3
		n.step(control.Tick{})
		n.answerHello(lagging, control.Welcome{Parents: []fleet.Record{lagging, current}})
		n.step(control.Tick{})
		n.answerHello(lagging, control.Welcome{Accepted: true, ActiveConfig: control.ConfigRef{Lineage: "first", Version: 1}, MinVersion: 1})
		n.step(control.Received{Link: n.dials["p:link"], Message: snapshotUpdate(1)})
		Expect(n.core.Ready()).To(BeFalse(), "the second neighbour has not sent its minimum version yet")
		n.answerHello(current, control.Welcome{Accepted: true, ActiveConfig: control.ConfigRef{Lineage: "first", Version: 2}, MinVersion: 2})
		for range 50 {
			n.step(control.Tick{})
			n.now = n.now.Add(100 * time.Millisecond)
			n.step(control.Received{Link: n.dials["p:link"], Message: control.Heartbeat{ActiveConfig: control.ConfigRef{Lineage: "first", Version: 1}}})
			n.step(control.Received{Link: n.dials["s:link"], Message: control.Heartbeat{ActiveConfig: control.ConfigRef{Lineage: "first", Version: 2}}})
			Expect(n.core.Ready()).To(BeFalse(), "version 1 is below the minimum version 2")
		}
		n.step(control.Received{Link: n.dials["s:link"], Message: snapshotUpdate(2)})
		Expect(n.core.Ready()).To(BeTrue())
		_, held := n.core.Config()
		Expect(held.Version).To(Equal(config.Version(2)))
	})
})
