package agent_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
)

const (
	silentReaders = 12              // more than the target has slots
	longAnswer    = 16 << 20        // bytes, more than the buffers of a connection hold
	slotReturn    = 6 * time.Second // the timeout of the route, the longest wait for a write, and a margin
)

// Answers on connections that had gone silent kept the slots of their target until its node restarted.
var _ = Describe("the slots of a target", func() {
	for name, address := range map[string]func(*node) fleet.Address{
		"nodes":   func(n *node) fleet.Address { return n.cfg.LinkAddress },
		"callers": func(n *node) fleet.Address { return n.cfg.CallAddress },
	} {
		It("are given back although "+name+" take nothing of the answers any more", func() {
			s := newCluster("orders", "stock")
			n := s.nodes[0]
			n.target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
				w.Header().Set("Response-Signature", "s")
				_, _ = w.Write(make([]byte, longAnswer))
				return true
			})
			for i := range silentReaders {
				conn, err := net.Dial("tcp4", string(address(n)))
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(conn.Close)
				r, err := http.NewRequest(http.MethodGet, "http://a.example/orders/1", nil)
				Expect(err).NotTo(HaveOccurred())
				id := fmt.Sprintf("silent-%s-%d", name, i)
				r.Header.Set("Request-Id", id)
				hop.WriteCall(r.Header, &hop.Call{ID: hop.CallID(id), Route: "o", Service: "orders", Instance: "i-0", Deadline: time.Now().Add(2 * time.Second),
					SoftDeadline: time.Now().Add(time.Second), QueuePolicy: hop.AllowQueueing}, time.Now())
				Expect(r.Write(conn)).To(Succeed())
			}
			time.Sleep(slotReturn)
			n.target.fault.Store(func(http.ResponseWriter, *http.Request) bool { return false })
			status, body, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
			Expect(status).To(Equal(http.StatusOK), body)
		})
	}
	It("stay taken by an answer that its caller still reads, which arrives whole", func() {
		s := newCluster("orders", "stock")
		s.nodes[0].target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("Response-Signature", "s")
			_, _ = w.Write(make([]byte, longAnswer))
			return true
		})
		for _, n := range s.nodes {
			r, err := http.NewRequest(http.MethodGet, "http://"+string(n.cfg.CallAddress)+"/orders/1", nil)
			Expect(err).NotTo(HaveOccurred())
			r.Host = "a.example"
			r.Header.Set("Request-Id", fmt.Sprintf("slow-%d", requests.Add(1)))
			resp, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			read := 0
			for piece := make([]byte, 1<<20); err == nil; time.Sleep(60 * time.Millisecond) {
				var got int
				got, err = io.ReadFull(resp.Body, piece)
				read += got
			}
			_ = resp.Body.Close()
			Expect(read).To(Equal(longAnswer))
		}
	})
})
