package agent_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform/standin"
	"github.com/cassialead/cassialead/settings"
)

var _ = Describe("agents with the platform's store", func() {
	It("forward a request to a target on another VM with the caller's own service name", func() {
		s := newCluster("stock", "orders")
		Eventually(s.nodes[1].status("/stock/1")).WithTimeout(waitTimeout).Should(Equal(200))
		_, body, h := s.nodes[1].call(http.MethodGet, "/stock/1", "")
		Expect(body).To(HavePrefix("i-0 orders"))
		Expect(h.Get("Response-Signature")).To(Equal("s"))
		Expect(s.nodes[1].status("/nowhere/")()).To(Equal(404))
	})
	It("receive changes in time while the store refuses calls of one or both heads", func() {
		const maxDelay, interval = 1500 * time.Millisecond, 100 * time.Millisecond // half a second of the two seconds for a change is reserved for narrow links
		s := newClusterWith(func(cfg *settings.Agent) {
			if cfg.VM == "vm-2" || cfg.VM == "vm-3" {
				cfg.DataCentre = "costa-sur"
			}
		}, "stock", "orders", "stock", "orders")
		version := 10
		written := map[int]time.Time{}
		names := func(n ...*node) map[string]bool {
			set := map[string]bool{}
			for _, n := range n {
				set[string(n.cfg.VM)] = true
			}
			return set
		}
		n := s.nodes
		for _, refused := range []map[string]bool{names(n[0]), names(n[1]), names(n[2]), names(n[3]),
			names(n[0], n[2]), names(n[0], n[3]), names(n[1], n[2]), names(n[1], n[3])} { // one of these pairs is both heads
			s.store.SetFaults(standin.Faults{Status: 429, AppliesTo: func(n string) bool { return refused[n] }})
			for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(interval) {
				version++
				s.store.Put("op/config", plan(version, "/stock/", "stock"))
				written[version] = time.Now()
				for _, n := range s.nodes {
					if next, ok := written[n.version()+1]; ok {
						Expect(time.Since(next)).To(BeNumerically("<", maxDelay), "%s lags while the store refuses %v", n.cfg.VM, refused)
					}
				}
			}
			s.store.SetFaults(standin.Faults{})
			time.Sleep(propagationTime)
		}
	})
	It("read only the newest of many configurations in quick succession", func() {
		s := newCluster("stock", "orders")
		const versions, gap = 40, 20 * time.Millisecond
		before := s.store.SendCount("op/config")
		for v := range versions {
			s.store.Put("op/config", plan(10+v, fmt.Sprintf("/v%d/", v), "stock"))
			time.Sleep(gap)
		}
		for _, n := range s.nodes {
			Eventually(n.status(fmt.Sprintf("/v%d/1", versions-1))).WithTimeout(2 * time.Second).Should(Equal(200))
		}
		Expect(s.store.SendCount("op/config")-before).To(BeNumerically("<", versions), "otherwise both heads would receive every version")
		s.store.Put("op/config", plan(100, "/after/", "stock"))
		for _, n := range s.nodes {
			Eventually(n.status("/after/1")).WithTimeout(2 * time.Second).Should(Equal(200))
		}
	})
	It("wait for a long answer that is queued for a narrow link, and run its call once", func() {
		const size, calls = 50_000, 3 // each answer takes 0.6 s; at least two share a link, and three still end within the timeout
		s := newClusterWith(func(cfg *settings.Agent) { cfg.LinkBandwidth = 800e3 }, "stock", "stock", "orders")
		body := strings.Repeat("x", size)
		for _, n := range s.nodes {
			n.target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
				w.Header().Set("Response-Signature", "s")
				_, _ = io.WriteString(w, body)
				return true
			})
		}
		var wg sync.WaitGroup
		for range calls {
			wg.Go(func() {
				defer GinkgoRecover()
				status, got, _ := s.nodes[2].call(http.MethodGet, "/stock/1", "")
				Expect(status).To(Equal(200))
				Expect(got).To(HaveLen(size))
			})
		}
		wg.Wait()
		Expect(s.nodes[0].target.runs.Load() + s.nodes[1].target.runs.Load()).To(Equal(int64(calls)))
	})
	It("admit long bodies at the rate of the target's narrow link, refuse the rest unsent, and run each once", func() {
		const size, calls = 50_000, 8 // each takes 0.6 s on the link
		s := newClusterWith(func(cfg *settings.Agent) { cfg.LinkBandwidth = 800e3 }, "orders", "stock")
		body := strings.Repeat("x", size)
		var wg sync.WaitGroup
		var served atomic.Int64
		for range calls {
			wg.Go(func() {
				defer GinkgoRecover()
				status, got, h := s.nodes[1].call(http.MethodPost, "/orders/1", body)
				if status == 200 {
					served.Add(1)
					Expect(got).To(HaveSuffix(body))
					return
				}
				Expect(status).To(Equal(503), got)
				Expect(h.Get("Retry-After")).NotTo(BeEmpty())
			})
		}
		begun := time.Now()
		status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "small")
		Expect(status).To(Equal(200))
		Expect(time.Since(begun)).To(BeNumerically("<", 300*time.Millisecond), "a small call does not queue behind large bodies")
		wg.Wait()
		Expect(served.Load()).To(BeNumerically(">", 0))
		Expect(served.Load()).To(BeNumerically("<", calls))
		Expect(s.nodes[0].target.runs.Load()).To(Equal(served.Load() + 1))
	})
	It("apply a new configuration on all nodes and never an older or malformed one", func() {
		s := newCluster("stock", "orders", "stock", "orders")
		s.store.Put("op/config", plan(5, "/new/", "stock"))
		for _, n := range s.nodes {
			Eventually(n.status("/new/1")).WithTimeout(2 * time.Second).Should(Equal(200))
		}
		s.store.Put("op/config", plan(4, "/old/", "stock"))
		s.store.Put("op/config", []byte(`{"version":9,"routes":`))
		Consistently(s.nodes[2].status("/new/1")).WithTimeout(time.Second).Should(Equal(200))
	})
	It("apply a new configuration although the store refuses both heads", func() {
		s := newCluster("stock", "orders", "stock", "orders", "stock")
		heads := s.heads()
		Expect(heads).To(HaveLen(2))
		s.store.SetFaults(standin.Faults{Status: 503, AppliesTo: func(n string) bool { return heads[n] }})
		time.Sleep(propagationTime + propagationTime/2) // pending watches have ended
		s.store.Put("op/config", plan(5, "/new/", "stock"))
		for _, n := range s.nodes {
			if !heads[string(n.cfg.VM)] {
				Eventually(n.status("/new/1")).WithTimeout(4*time.Second).Should(Equal(200), string(n.cfg.VM))
			}
		}
	})
	It("receive changes although the store's history is compacted while watches deliver no events", func() {
		s := newCluster("stock", "orders", "stock")
		s.store.SetFaults(standin.Faults{SuppressEvents: true})
		s.store.Put("op/config", plan(5, "/new/", "stock"))
		time.Sleep(300 * time.Millisecond)
		s.store.Compact()
		s.store.SetFaults(standin.Faults{})
		for _, n := range s.nodes {
			Eventually(n.status("/new/1")).WithTimeout(3 * time.Second).Should(Equal(200))
		}
	})
	// A node that others had removed meanwhile stayed unknown to them, as they reject what they know of a removed node.
	It("rewrite revoked entries as newer ones than before", func() {
		s := newCluster("stock", "orders")
		stored := func(n *node) (r member.Record) {
			v, _ := s.store.Get("open/" + string(n.cfg.VM))
			_ = json.Unmarshal(v, &r)
			return r
		}
		for _, n := range s.nodes {
			before := stored(n)
			s.store.RemovePrefix("open/" + string(n.cfg.VM))
			Eventually(func() fleet.Sequence { return stored(n).Sequence }).WithTimeout(3 * time.Second).Should(BeNumerically(">", before.Sequence))
			Expect(stored(n).Incarnation).To(Equal(before.Incarnation))
		}
	})
	It("rewrite revoked entries and keep serving meanwhile", func() {
		s := newCluster("stock", "orders", "stock")
		s.store.RemovePrefix("open/")
		Consistently(s.nodes[1].status("/stock/1")).WithTimeout(time.Second).Should(Equal(200))
		for _, n := range s.nodes {
			Eventually(func() bool { _, ok := s.store.Get("open/" + string(n.cfg.VM)); return ok }).WithTimeout(3 * time.Second).Should(BeTrue())
		}
	})
	It("ignore store entries that another writer has corrupted", func() {
		s := newCluster("stock", "orders")
		s.store.Put("open/odd", []byte("\x00\x01"))
		s.store.Put("open/vm-9", []byte(`{"node":"vm-9","addr":7}`))
		Consistently(s.nodes[1].status("/stock/1")).WithTimeout(time.Second).Should(Equal(200))
	})
})

// heads returns the nodes that watch the store.
func (s *cluster) heads() map[string]bool {
	var members []member.Member
	for _, n := range s.nodes {
		members = append(members, member.Member{Record: member.Record{Node: n.cfg.VM, DataCentre: n.cfg.DataCentre, Region: n.cfg.Region}})
	}
	heads := map[string]bool{}
	for _, m := range members {
		if member.Locate(members, m.Node, func(fleet.NodeID) bool { return true }).Parent == nil {
			heads[string(m.Node)] = true
		}
	}
	return heads
}

// dropConnection closes the connection without an answer.
func dropConnection(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

var _ = Describe("the answer to a caller", func() {
	type fault = func(http.ResponseWriter, *http.Request) bool
	unsigned := func(w http.ResponseWriter, _ *http.Request) bool { _, _ = io.WriteString(w, "x"); return true }
	encoded := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, "x")
		return true
	}
	shed := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	crossed := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Request-Id", "another")
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "another's")
		return true
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	}
	cases := map[string]struct {
		fault  fault
		status []int // of an order, which must not run again
		runs   int64
	}{
		"an order whose answer is lost":           {dropConnection, []int{502}, 1},
		"an order with an unsigned answer":        {unsigned, []int{502}, 1},
		"an order with an encoded answer":         {encoded, []int{502}, 1},
		"an order with another request's answer":  {crossed, []int{502, 504}, 1},
		"an order whose answer is truncated":      {truncated, []int{502}, 1},
		"an order that the target sheds, not run": {shed, []int{503}, 1},
	}
	for name, c := range cases {
		It("reports the true outcome of "+name, func() {
			s := newCluster("orders", "stock")
			Eventually(s.nodes[1].status("/stock/1")).WithTimeout(waitTimeout).Should(Equal(200))
			s.nodes[0].target.fault.Store(c.fault)
			status, _, h := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
			Expect(c.status).To(ContainElement(status))
			Expect(s.nodes[0].target.runs.Load()).To(Equal(c.runs))
			Expect(h.Get("Retry-After") != "").To(Equal(status == 503), "only a refusal has a Retry-After header")
		})
	}
	It("is a valid one from another target if the request may be retried", func() {
		s := newCluster("stock", "orders", "stock")
		for _, f := range []fault{dropConnection, unsigned, encoded, shed, crossed, truncated} {
			s.nodes[0].target.fault.Store(f)
			for range 3 {
				status, body, _ := s.nodes[1].call(http.MethodGet, "/stock/1", "")
				Expect(status).To(Equal(200))
				Expect(body).To(HavePrefix("i-2"))
			}
			s.nodes[0].target.fault.Store(fault(nil))
		}
	})
	It("is a refusal, without running the call, if the request exceeds a limit of size or time", func() {
		s := newClusterWith(func(cfg *settings.Agent) { cfg.MemoryLimitBytes = 1 << 20 }, "orders", "stock") // 128 KB for bodies
		sendRaw := func(head, body string) int {
			c, err := net.Dial("tcp4", string(s.nodes[1].cfg.CallAddress))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nTimeout-Ms: 400\r\n"+head+"\r\n\r\n"+body)
			Expect(err).NotTo(HaveOccurred())
			_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			return resp.StatusCode
		}
		Expect(sendRaw("Content-Length: 300000", "")).To(Equal(503), "before the body is sent")
		Expect(sendRaw("Content-Length: 2000000", "")).To(Equal(413))
		Expect(sendRaw("Content-Length: 10", "part")).To(Equal(408), "the caller's timeout has expired")
		Expect(sendRaw("Transfer-Encoding: chunked", "4\r\npart\r\n")).To(Equal(408))
		Expect(sendRaw("Transfer-Encoding: chunked", "249f0\r\n"+strings.Repeat("x", 150_000)+"\r\n0\r\n\r\n")).To(Equal(503))
		Expect(sendRaw("X: "+strings.Repeat("y", 20_000), "")).To(Equal(431))
		Expect(s.nodes[0].target.runs.Load()).To(BeZero())
		status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", strings.Repeat("x", 100_000))
		Expect(status).To(Equal(200), "the memory of refused bodies is released")
	})
	It("leaves the connection open unless it is a refusal", func() {
		s := newCluster("orders", "stock")
		staysOpen := func() bool {
			c, err := net.Dial("tcp4", string(s.nodes[1].cfg.CallAddress))
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			Expect(err).NotTo(HaveOccurred())
			return !resp.Close
		}
		Expect(staysOpen()).To(BeTrue())
		s.nodes[0].target.fault.Store(fault(shed))
		Expect(staysOpen()).To(BeFalse())
	})
	It("is not from a second run after the target has reset a kept-alive connection", func() {
		s := newCluster("stock", "orders")
		n := s.nodes[0]
		Expect(s.nodes[1].status("/stock/1")()).To(Equal(200))
		time.Sleep(200 * time.Millisecond) // lets the connection to the target become idle
		n.target.runs.Store(0)
		n.target.fault.Store(fault(dropConnection))
		s.nodes[1].call(http.MethodGet, "/stock/1", "")
		Expect(n.target.runs.Load()).To(Equal(int64(1)), "the target received the call, and there is no other target")
	})
	It("is complete although the node that accepted the request is stopping", func() {
		s := newCluster("stock", "orders")
		Eventually(s.nodes[1].status("/stock/1")).WithTimeout(waitTimeout).Should(Equal(200))
		s.nodes[0].target.fault.Store(fault(func(http.ResponseWriter, *http.Request) bool {
			time.Sleep(time.Second)
			return false
		}))
		got := make(chan int, 1)
		go func() { got <- s.nodes[1].status("/stock/1")() }()
		time.Sleep(200 * time.Millisecond)
		s.nodes[1].stop()
		Eventually(got).WithTimeout(waitTimeout).Should(Receive(Equal(200)))
		Eventually(s.nodes[1].ready).WithTimeout(time.Second).Should(BeFalse())
		Eventually(s.nodes[1].done).WithTimeout(6 * time.Second).Should(BeClosed())
	})
})
