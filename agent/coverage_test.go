package agent_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/settings"
)

// counted returns the number of nodes whose demand a node knows.
func (n *node) counted() int {
	return int(n.set.GetOrCreateGauge("cassialead_demand_nodes", nil).Get())
}

// A node that had excluded its parent followed another one, whose own tree had it elsewhere and which dropped its reports: the demand of half a
// region was in no total for seconds, and a tenant got more than its limit.
var _ = Describe("the demand of all nodes", func() {
	const (
		exclusion = 8 * time.Second
		settle    = 4 * time.Second // for the nodes to find new parents, with the time for which earlier ones keep their figures
		watched   = 3 * time.Second // ends within the exclusion
		poll      = 20 * time.Millisecond
	)
	It("is known to each of them while children exclude the heads of their data centres, which the heads do not know", func() {
		s := newClusterWith(func(cfg *settings.Agent) {
			twoCentres(cfg)
			cfg.QuotaWindow, cfg.QuotaOver, cfg.QuotaSlack = 5*time.Second, 0.1, 5
		}, "stock", "orders", "stock", "orders", "stock", "orders")
		s.store.Put("op/config", withTenants(plan(2, "/stock/", "stock"), `[["a",["key-a"],1,20,10]]`))
		for _, n := range s.nodes {
			Eventually(n.counted).WithTimeout(waitTimeout).Should(Equal(len(s.nodes)), string(n.cfg.VM))
		}
		heads := s.heads()
		for _, head := range s.nodes {
			for _, n := range s.without(heads) {
				if heads[string(head.cfg.VM)] && n.cfg.DataCentre == head.cfg.DataCentre {
					n.agent.Exclude(head.cfg.VM, exclusion)
				}
			}
		}
		time.Sleep(settle)
		missing := map[string]int{}
		for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(poll) {
			for _, n := range s.nodes {
				if n.counted() != len(s.nodes) {
					missing[string(n.cfg.VM)]++
				}
			}
		}
		Expect(missing).To(BeEmpty(), "times that a node did not count each of the %d nodes once", len(s.nodes))
	})
})
