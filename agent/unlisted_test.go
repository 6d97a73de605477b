package agent_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform/standin"
)

const (
	turnedAway   = 5 * time.Second // for which the store turns a node away; a node reads stale lists for 3 s after its start
	registerTime = 2 * time.Second // for a node's entry to be in the store once that serves the node
)

var _ = Describe("a node that starts while the store turns it away", func() {
	// The node waited for a list of the store that it read no more, and never wrote its entry.
	It("has its entry in the store as soon as that serves it, although it got its members from another node", func() {
		s := newCluster("stock", "orders", "stock", "stock")
		heads := s.heads()
		n := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.cfg.Service == "stock" && !heads[string(n.cfg.VM)] })]
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			s.store.SetFaults(standin.Faults{Status: status, AppliesTo: func(name string) bool { return name == string(n.cfg.VM) }})
			n.stop()
			<-n.done
			key := "open/" + string(n.cfg.VM)
			s.store.RemovePrefix(key)
			s.start(n)
			Eventually(n.ready).WithTimeout(waitTimeout).Should(BeTrue())
			n.heartbeat("ready")
			time.Sleep(turnedAway)
			learned := n.ping().Record // by other nodes, which may have removed it since
			s.store.SetFaults(standin.Faults{})
			Eventually(func() bool {
				_, listed := s.store.Get(key)
				return listed
			}).WithTimeout(registerTime).Should(BeTrue(), "after status %d", status)
			var written member.Record
			Expect(json.Unmarshal(s.entry(n).Value, &written)).To(Succeed())
			Expect(written.Compare(learned)).To(BeNumerically(">", 0), "after status %d", status)
		}
	})
})
