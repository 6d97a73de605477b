package agent_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// An order whose answer was lost at the target of the caller's own VM was answered a second after the route's timeout.
var _ = Describe("an order whose answer is lost", func() {
	It("is answered within half a second of its route's timeout, wherever its target runs", func() {
		const routeTimeout, late = 2 * time.Second, 500 * time.Millisecond
		s := newCluster("orders", "stock")
		s.nodes[0].target.fault.Store(func(_ http.ResponseWriter, r *http.Request) bool {
			<-r.Context().Done() // when the node closes the connection
			return true
		})
		for _, n := range s.nodes {
			begun := time.Now()
			status, _, _ := n.call(http.MethodPost, "/orders/1", "order")
			Expect(status).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(begun)).To(BeNumerically("<", routeTimeout+late), "through %s", n.cfg.VM)
		}
	})
})
