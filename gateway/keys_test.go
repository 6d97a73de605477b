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

// order sends an order named by its key to a place.
func (p *place) order(key string) reply {
	return p.call(http.MethodPost, "/orders?order="+key, gateway.HeaderIdempotencyKey, key)
}

// holders returns the places that hold a key of the default tenant, the owner first, and the others.
func (s *site) holders(key string) (held, others []int) {
	var nodes []fleet.NodeID
	for _, p := range s.places {
		nodes = append(nodes, p.record.Node)
	}
	for _, n := range ledger.Holders(ledger.KeyID("orders/default/"+key), nodes) {
		held = append(held, slices.Index(nodes, n))
	}
	for i := range nodes {
		if !slices.Contains(held, i) {
			others = append(others, i)
		}
	}
	return held, others
}

// lose takes places off the fleet at once.
func (s *site) lose(lost ...int) {
	var left []int
	for i, p := range s.places {
		if slices.Contains(lost, i) {
			p.peers.CloseClientConnections()
			_ = p.wire.listener.Close()
			p.lost = true
		} else {
			left = append(left, i)
		}
	}
	s.publish(left...)
}

var _ = Describe("a key that a caller repeats", func() {
	It("brings the first answer again, through any node", func() {
		s := newSite(4, 0)
		first := s.places[0].order("roof-1")
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		for _, p := range s.places {
			again := p.order("roof-1")
			Expect(again.status).To(Equal(http.StatusOK), again.body)
			Expect(again.body).To(Equal(first.body))
		}
		Expect(s.runs("roof-1")).To(Equal(1))
	})

	It("runs once when many callers send it at the same time", Label("known-red"), func() {
		s := newSite(4, 0)
		Expect(s.places[0].order("warm").status).To(Equal(http.StatusOK))
		var wg sync.WaitGroup
		var answered atomic.Int64
		for i := range 12 {
			wg.Go(func() {
				defer GinkgoRecover()
				r := s.places[i%4].call(http.MethodPost, "/orders?order=rush&work=100ms", gateway.HeaderIdempotencyKey, "rush")
				if r.status == http.StatusOK {
					answered.Add(1)
					return
				}
				Expect(r.cause()).To(SatisfyAny(Equal("key-in-progress"), Equal("key-unverified")), r.body)
			})
		}
		wg.Wait()
		Expect(s.runs("rush")).To(BeNumerically("<=", 1))
		Expect(s.places[0].order("rush").status).To(Equal(http.StatusOK))
		Expect(s.runs("rush")).To(Equal(1))
	})

	It("is not run again after its owner was lost", func() {
		s := newSite(4, 0)
		for i := range 8 {
			key := fmt.Sprintf("lost-owner-%d", i)
			Expect(s.places[0].order(key).status).To(Equal(http.StatusOK))
		}
		held, _ := s.holders("lost-owner-0")
		s.lose(held[0])
		for i := range 8 {
			key := fmt.Sprintf("lost-owner-%d", i)
			for j, p := range s.places {
				if j != held[0] {
					Expect(p.order(key).status).To(Equal(http.StatusOK))
				}
			}
			Expect(s.runs(key)).To(Equal(1))
		}
	})

	It("is refused as not run, and not run again, when both of its holders were lost together", func() {
		s := newSite(4, 0)
		Expect(s.places[0].order("both").status).To(Equal(http.StatusOK))
		held, others := s.holders("both")
		s.lose(held...)
		for _, i := range others {
			r := s.places[i].order("both")
			Expect([]any{r.cause(), r.ran()}).To(Equal([]any{"key-unverified", "no"}), r.body)
		}
		Expect(s.runs("both")).To(Equal(1))
	})

	It("is refused as not run while a holder that may know it can't be reached", func() {
		s := newSite(4, 0)
		Expect(s.places[0].order("parted").status).To(Equal(http.StatusOK))
		held, others := s.holders("parted")
		p := s.places[held[0]]
		p.peers.CloseClientConnections()
		_ = p.wire.listener.Close()
		r := s.places[others[0]].order("parted")
		Expect(r.status).To(Equal(http.StatusOK), "the other holder knows it: %s", r.body)
		fresh := ""
		for i := range 100 {
			key := fmt.Sprintf("fresh-%d", i)
			if h, _ := s.holders(key); slices.Contains(h, held[0]) {
				fresh = key
				break
			}
		}
		r = s.places[others[0]].order(fresh)
		Expect([]any{r.cause(), r.ran()}).To(Equal([]any{"key-unverified", "no"}), r.body)
		Expect(s.runs(fresh)).To(Equal(0))
	})

	It("may be used again when its call is proven not to have run", func() {
		s := newSite(1, 0)
		s.places[0].target.Kill()
		r := s.places[0].order("refused")
		Expect(r.ran()).To(Equal("no"), r.body)
		t, err := standin.NewTarget(standin.TargetSettings{Service: "orders", Slots: 4})
		Expect(err).NotTo(HaveOccurred())
		s.places[0].replaceTarget(t)
		Expect(s.places[0].order("refused").status).To(Equal(http.StatusOK))
	})

	It("tells that the outcome is unknown when the run before it broke off", func() {
		s := newSite(3, 0)
		s.faults(standin.TargetFaults{BreakAfterRun: true}, 0, 1, 2)
		Expect(s.places[0].order("broken").cause()).To(Equal("outcome-unknown"))
		s.faults(standin.TargetFaults{}, 0, 1, 2)
		for _, p := range s.places {
			Expect(p.order("broken").cause()).To(Equal("outcome-unknown"))
		}
		Expect(s.runs("broken")).To(Equal(1))
	})

	It("is refused when every node of its service started anew", func() {
		s := newSite(3, 0)
		Expect(s.places[0].order("before").status).To(Equal(http.StatusOK))
		runs := s.runs("before")
		anew := &site{cfg: s.cfg, claims: s.claims}
		for i := range 3 {
			anew.places = append(anew.places, newPlace(i+10, 0, s.claims))
		}
		DeferCleanup(anew.close)
		anew.publish()
		r := anew.places[0].order("before")
		Expect([]any{r.cause(), r.ran()}).To(Equal([]any{"key-unverified", "no"}), r.body)
		Expect(runs + anew.runs("before")).To(Equal(1))
	})
})
