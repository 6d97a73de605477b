package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The tree of a data centre does not depend on the size of other data centres, so only one of the twelve has full size.
const fullSizeNodes = 490

func newFullSizeWorld(seed uint64) *world {
	w := newWorld(seed)
	for region := range 3 {
		for dc := range 4 {
			n := 3
			if region == 2 && dc == 3 {
				n = fullSizeNodes
			}
			w.start(n, fmt.Sprintf("region-%d/dc-%d%d", region, region, dc))
		}
	}
	w.commit(document(0))
	w.run(settleTime)
	Expect(w.inForce(1, nil)()).To(BeTrue(), describeLagging(w, 1, nil))
	return w
}

var _ = Describe("data centre of full size", func() {
	It("activates a change within the limit, with bounded fan-out and tree depth", func() {
		w := newFullSizeWorld(1)
		expectInForce(w, 1, nil)
		maxChildren, maxDistance := 0, 0
		for _, m := range w.live() {
			s := m.core.Status()
			maxChildren, maxDistance = max(maxChildren, s.Children), max(maxDistance, s.Distance)
		}
		AddReportEntry(fmt.Sprintf("at most %d children per node, at most %d links to the root", maxChildren, maxDistance))
		Expect(maxChildren).To(BeNumerically("<=", 48))
		Expect(maxDistance).To(BeNumerically("<=", 3))
	})

	It("activates a change within the limit if its leader fails during propagation", func() {
		w := newFullSizeWorld(2)
		v := w.commit(document(1))
		w.run(time.Millisecond) // the store's response is still in flight to the leader
		w.kill(w.leaseHolder("dc-23").record.Node, true)
		elapsed, ok := w.runUntil(inForceLimit, w.inForce(v, nil))
		Expect(ok).To(BeTrue(), describeLagging(w, v, nil))
		AddReportEntry(fmt.Sprintf("active after %s", elapsed))
	})

	It("recovers within the limit when all its nodes restart at once", func() {
		w := newFullSizeWorld(3)
		expectInForce(w, 1, nil)
		for _, m := range w.live() {
			if m.record.DataCentre == "dc-23" {
				w.kill(m.record.Node, true)
			}
		}
		w.run(2 * time.Second)
		callsBefore := w.store.calls
		for i := range fullSizeNodes {
			w.startNode(nodeName("dc-23", i), "dc-23", "region-2")
		}
		elapsed, ok := w.runUntil(inForceLimit, w.inForce(2, nil))
		Expect(ok).To(BeTrue(), describeLagging(w, 2, nil))
		AddReportEntry(fmt.Sprintf("active after %s with %d store calls", elapsed, w.store.calls-callsBefore))
		Expect(w.checker.failures).To(BeEmpty())
	})
})
