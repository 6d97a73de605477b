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
	p := &singleNode{now: time.UnixMilli(1_700_000_000_000), dials: map[fleet.Address]control.LinkID{}}
	self := fleet.Record{Node: "x", DataCentre: "norte", Region: "costa", Incarnation: 5, Sequence: 1, Link: "x:link"}
	p.core = control.New(control.Settings{Record: self, Seeds: seeds}, p.now, rand.New(rand.NewPCG(1, 1)))
	return p
}

func (p *singleNode) step(e control.Event) []control.Action {
	p.now = p.now.Add(time.Millisecond)
	actions := p.core.Step(p.now, e)
	for _, a := range actions {
		if d, ok := a.(control.Dial); ok {
			p.dials[d.Address] = d.Link
		}
	}
	return actions
}

// answerHello opens the link dialled to a node and responds to its Hello.
func (p *singleNode) answerHello(r fleet.Record, w control.Welcome) {
	GinkgoHelper()
	id, ok := p.dials[r.Link]
	Expect(ok).To(BeTrue(), "dialled %s", r.Link)
	p.step(control.LinkOpened{Link: id})
	w.Record = r
	p.step(control.Received{Link: id, Message: w})
}

func neighbourRecord(id fleet.NodeID) fleet.Record {
	return fleet.Record{Node: id, DataCentre: "norte", Region: "costa", Incarnation: 1, Sequence: 1, Link: fleet.Address(id) + ":link"}
}

func snapshot(v config.Version) control.Offer {
	doc := document(int(v))
	return control.Offer{Lineage: "first", Version: v, Digest: doc.Digest(), Document: doc}
}

var _ = Describe("restarted node under a parent with an older version", func() {
	It("does not serve the parent's older version", func() {
		p := newSingleNode("p:link")
		lagging, current := neighbourRecord("p"), neighbourRecord("s")
		lagging.Lead = 3
		p.step(control.Tick{})
		p.answerHello(lagging, control.Welcome{Parents: []fleet.Record{lagging, current}})
		p.step(control.Tick{})
		p.answerHello(lagging, control.Welcome{Accepted: true, ActiveConfig: control.Held{Lineage: "first", Version: 1}, MinVersion: 1})
		p.step(control.Received{Link: p.dials["p:link"], Message: snapshot(1)})
		Expect(p.core.Ready()).To(BeFalse(), "the second neighbour has not sent its minimum version yet")
		p.answerHello(current, control.Welcome{Accepted: true, ActiveConfig: control.Held{Lineage: "first", Version: 2}, MinVersion: 2})
		for range 50 {
			p.step(control.Tick{})
			p.now = p.now.Add(100 * time.Millisecond)
			p.step(control.Received{Link: p.dials["p:link"], Message: control.Beat{Held: control.Held{Lineage: "first", Version: 1}}})
			p.step(control.Received{Link: p.dials["s:link"], Message: control.Beat{Held: control.Held{Lineage: "first", Version: 2}}})
			Expect(p.core.Ready()).To(BeFalse(), "version 1 is below the minimum version 2")
		}
		p.step(control.Received{Link: p.dials["s:link"], Message: snapshot(2)})
		Expect(p.core.Ready()).To(BeTrue())
		_, held := p.core.Config()
		Expect(held.Version).To(Equal(config.Version(2)))
	})
})
