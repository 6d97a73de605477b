package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The tree of one data centre does not depend on the size of the others, so that one of full size stands for all twelve.
const fullCentre = 490

func fullSize(seed uint64) *world {
	w := newWorld(seed)
	for region := range 3 {
		for dc := range 4 {
			n := 3
			if region == 2 && dc == 3 {
				n = fullCentre
			}
			w.start(n, fmt.Sprintf("region-%d/dc-%d%d", region, region, dc))
		}
	}
	w.apply(document(0))
	w.run(settleTime)
	Expect(w.inForce(1, nil)()).To(BeTrue(), stragglers(w, 1, nil))
	return w
}

var _ = Describe("a data centre of full size", func() {
	It("has a change in force within the bound, and bounded fan-out", func() {
		w := fullSize(1)
		reaches(w, 1, nil)
		most, deepest := 0, 0
		for _, m := range w.live() {
			s := m.core.Status()
			most, deepest = max(most, s.Children), max(deepest, s.Distance)
		}
		AddReportEntry(fmt.Sprintf("at most %d children, %d links below the root", most, deepest))
		Expect(most).To(BeNumerically("<=", 48))
		Expect(deepest).To(BeNumerically("<=", 3))
	})

	It("has a change in force within the bound when its lead dies in the middle", func() {
		w := fullSize(2)
		v := w.apply(document(1))
		w.run(time.Millisecond) // the store's answer is on its way to the lead
		w.kill(w.lead("dc-23").record.Node, true)
		took, ok := w.until(inForceBound, w.inForce(v, nil))
		Expect(ok).To(BeTrue(), stragglers(w, v, nil))
		AddReportEntry(fmt.Sprintf("in force after %s", took))
	})

	It("comes back at once within the bound", func() {
		w := fullSize(3)
		reaches(w, 1, nil)
		for _, m := range w.live() {
			if m.record.DataCentre == "dc-23" {
				w.kill(m.record.Node, true)
			}
		}
		w.run(2 * time.Second)
		calls := w.store.calls
		for i := range fullCentre {
			w.boot(nodeName("dc-23", i), "dc-23", "region-2")
		}
		took, ok := w.until(inForceBound, w.inForce(2, nil))
		Expect(ok).To(BeTrue(), stragglers(w, 2, nil))
		AddReportEntry(fmt.Sprintf("in force after %s with %d store calls", took, w.store.calls-calls))
		Expect(w.checker.failures).To(BeEmpty())
	})
})
