package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gateway"
	"github.com/cassialead/cassialead/ledger"
	"github.com/cassialead/cassialead/standin"
)

// sendOrder sends an order to a node, with its name as the idempotency key.
func (n *testNode) sendOrder(key string) reply {
	return n.call(http.MethodPost, "/orders?order="+key, gateway.HeaderIdempotencyKey, key)
}

// replicas returns the indexes of the nodes that store a key of the default tenant, by rank, and those of the others.
func (c *testCluster) replicas(key string) (replicas, others []int) {
	var nodes []fleet.NodeID
	for _, n := range c.nodes {
		nodes = append(nodes, n.record.Node)
	}
	for _, n := range ledger.Replicas(ledger.KeyID("orders/default/"+key), nodes) {
		replicas = append(replicas, slices.Index(nodes, n))
	}
	for i := range nodes {
		if !slices.Contains(replicas, i) {
			others = append(others, i)
		}
	}
	return replicas, others
}

// removeNodes stops nodes and removes them from the records of the others.
func (c *testCluster) removeNodes(lost ...int) {
	var left []int
	for i, n := range c.nodes {
		if slices.Contains(lost, i) {
			n.peerServer.CloseClientConnections()
			_ = n.proxy.listener.Close()
			n.lost = true
		} else {
			left = append(left, i)
		}
	}
	c.publish(left...)
}

var _ = Describe("a key that a caller repeats", func() {
	It("returns the first response again, from any node", func() {
		cluster := newTestCluster(4, 0)
		first := cluster.nodes[0].sendOrder("roof-1")
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		for _, node := range cluster.nodes {
			again := node.sendOrder("roof-1")
			Expect(again.status).To(Equal(http.StatusOK), again.body)
			Expect(again.body).To(Equal(first.body))
		}
		Expect(cluster.executions("roof-1")).To(Equal(1))
	})

	It("runs once when many callers send it at the same time", Label("known-red"), func() {
		cluster := newTestCluster(4, 0)
		Expect(cluster.nodes[0].sendOrder("warm").status).To(Equal(http.StatusOK))
		var wg sync.WaitGroup
		var answered atomic.Int64
		for i := range 12 {
			wg.Go(func() {
				defer GinkgoRecover()
				r := cluster.nodes[i%4].call(http.MethodPost, "/orders?order=rush&work=100ms", gateway.HeaderIdempotencyKey, "rush")
				if r.status == http.StatusOK {
					answered.Add(1)
					return
				}
				Expect(r.cause()).To(SatisfyAny(Equal("key-in-progress"), Equal("key-unverified")), r.body)
			})
		}
		wg.Wait()
		Expect(cluster.executions("rush")).To(BeNumerically("<=", 1))
		Expect(cluster.nodes[0].sendOrder("rush").status).To(Equal(http.StatusOK))
		Expect(cluster.executions("rush")).To(Equal(1))
	})

	It("is not run again after its first replica was lost", func() {
		cluster := newTestCluster(4, 0)
		for i := range 8 {
			key := fmt.Sprintf("lost-owner-%d", i)
			Expect(cluster.nodes[0].sendOrder(key).status).To(Equal(http.StatusOK))
		}
		replicas, _ := cluster.replicas("lost-owner-0")
		cluster.removeNodes(replicas[0])
		for i := range 8 {
			key := fmt.Sprintf("lost-owner-%d", i)
			for j, node := range cluster.nodes {
				if j != replicas[0] {
					Expect(node.sendOrder(key).status).To(Equal(http.StatusOK))
				}
			}
			Expect(cluster.executions(key)).To(Equal(1))
		}
	})

	It("is refused as not executed, and not run again, when both of its replicas were lost together", func() {
		cluster := newTestCluster(4, 0)
		Expect(cluster.nodes[0].sendOrder("both").status).To(Equal(http.StatusOK))
		replicas, others := cluster.replicas("both")
		cluster.removeNodes(replicas...)
		for _, i := range others {
			r := cluster.nodes[i].sendOrder("both")
			Expect([]any{r.cause(), r.executed()}).To(Equal([]any{"key-unverified", "no"}), r.body)
		}
		Expect(cluster.executions("both")).To(Equal(1))
	})

	It("is refused as not executed while a replica that may store it is unreachable", func() {
		cluster := newTestCluster(4, 0)
		Expect(cluster.nodes[0].sendOrder("parted").status).To(Equal(http.StatusOK))
		replicas, others := cluster.replicas("parted")
		node := cluster.nodes[replicas[0]]
		node.peerServer.CloseClientConnections()
		_ = node.proxy.listener.Close()
		r := cluster.nodes[others[0]].sendOrder("parted")
		Expect(r.status).To(Equal(http.StatusOK), "the other replica stores the key: %s", r.body)
		unusedKey := ""
		for i := range 100 {
			key := fmt.Sprintf("fresh-%d", i)
			if h, _ := cluster.replicas(key); slices.Contains(h, replicas[0]) {
				unusedKey = key
				break
			}
		}
		r = cluster.nodes[others[0]].sendOrder(unusedKey)
		Expect([]any{r.cause(), r.executed()}).To(Equal([]any{"key-unverified", "no"}), r.body)
		Expect(cluster.executions(unusedKey)).To(Equal(0))
	})

	It("may be used again when its call is proven not to have been executed", func() {
		cluster := newTestCluster(1, 0)
		cluster.nodes[0].target.Kill()
		r := cluster.nodes[0].sendOrder("refused")
		Expect(r.executed()).To(Equal("no"), r.body)
		t, err := standin.NewTarget(standin.TargetSettings{Service: "orders", Slots: 4})
		Expect(err).NotTo(HaveOccurred())
		cluster.nodes[0].replaceTarget(t)
		Expect(cluster.nodes[0].sendOrder("refused").status).To(Equal(http.StatusOK))
	})

	It("returns an unknown outcome when the connection failed during the first run", func() {
		cluster := newTestCluster(3, 0)
		cluster.setFaults(standin.TargetFaults{DropResponse: true}, 0, 1, 2)
		Expect(cluster.nodes[0].sendOrder("broken").cause()).To(Equal("outcome-unknown"))
		cluster.setFaults(standin.TargetFaults{}, 0, 1, 2)
		for _, node := range cluster.nodes {
			Expect(node.sendOrder("broken").cause()).To(Equal("outcome-unknown"))
		}
		Expect(cluster.executions("broken")).To(Equal(1))
	})

	It("is refused when every node of its service has restarted", func() {
		cluster := newTestCluster(3, 0)
		Expect(cluster.nodes[0].sendOrder("before").status).To(Equal(http.StatusOK))
		executions := cluster.executions("before")
		restarted := &testCluster{cfg: cluster.cfg, claims: cluster.claims}
		for i := range 3 {
			restarted.nodes = append(restarted.nodes, newTestNode(i+10, 0, cluster.claims))
		}
		DeferCleanup(restarted.close)
		restarted.publish()
		r := restarted.nodes[0].sendOrder("before")
		Expect([]any{r.cause(), r.executed()}).To(Equal([]any{"key-unverified", "no"}), r.body)
		Expect(executions + restarted.executions("before")).To(Equal(1))
	})
})
