package agent_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
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

// Nodes ended or no longer followed the list of nodes because of one odd entry in it.
var _ = Describe("agents with an odd entry of another writer among those of the nodes", func() {
	const entry = `{"node":"NODE","inc":1,"seq":1,"dc":"costa-norte","region":"costa","addr":"127.0.0.1:9","link":7,"target":{"id":"i-9","born":1,"service":"stock","slots":9,"state":"open","cold":1}}`
	entries := map[string]struct{ old, replacement string }{
		"that is deeply nested":            {entry, strings.Repeat(`{"node":`, 100_000)},
		"that is a deeply nested list":     {`7`, strings.Repeat("[", 100_000)},
		"whose incarnation is too large":   {`"inc":1`, `"inc":9223372036854775807`},
		"whose incarnation doesn't fit":    {`"inc":1`, `"inc":1e400`},
		"whose sequence is too large":      {`"seq":1`, `"seq":18446744073709551615`},
		"whose port is out of range":       {`127.0.0.1:9`, `127.0.0.1:70000`},
		"whose address is a name":          {`127.0.0.1:9`, `elsewhere:9`},
		"whose link is too wide":           {`"link":7`, `"link":1e300`},
		"whose slots are too many":         {`"slots":9`, `"slots":9223372036854775807`},
		"whose slots are negative":         {`"slots":9`, `"slots":-9`},
		"whose warm-up is too long":        {`"cold":1`, `"cold":9223372036854775807`},
		"whose state is unknown":           {`"open"`, `"asleep"`},
		"whose start time is out of range": {`"born":1`, `"born":-1`},
		"that has a field of another type": {`"costa"`, `[]`},
		"that names another node":          {`"NODE"`, `"vm-1"`},
	}
	odd := func(name, node string) []byte {
		c := entries[name]
		return []byte(strings.ReplaceAll(strings.Replace(entry, c.old, c.replacement, 1), "NODE", node))
	}
	It("follow the list and changes", func() {
		s := newCluster("stock", "orders")
		version := 1
		for name := range entries {
			for _, node := range []string{"vm-9", "vm-0"} { // one that does not exist, and a living one
				s.store.Put("open/"+node, odd(name, node))
				version++
				s.store.Put("op/config", plan(version, "/stock/", "stock"))
				for _, n := range s.nodes {
					Eventually(n.version).WithTimeout(changeTime).Should(Equal(version), "%s with an entry %s", n.cfg.VM, name)
				}
			}
			Consistently(func() []int {
				return []int{s.nodes[0].status("/stock/1")(), s.nodes[1].status("/stock/1")(), s.nodes[0].status("/orders/1")()}
			}).WithTimeout(200*time.Millisecond).Should(HaveEach(200), "with an entry "+name)
		}
	})
	It("follow the list and changes if another node sends it", func() {
		s := newCluster("stock", "orders")
		for _, name := range []string{"whose incarnation is too large", "whose slots are too many", "whose port is out of range"} {
			for _, n := range s.nodes {
				resp, err := http.Post("http://"+string(n.cfg.LinkAddress)+"/cassialead/view", "application/json",
					strings.NewReader(fmt.Sprintf(`{"records":[%s,%s]}`, odd(name, "vm-0"), odd(name, "vm-9"))))
				Expect(err).NotTo(HaveOccurred())
				Expect(resp.Body.Close()).To(Succeed())
			}
			Consistently(s.nodes[1].status("/stock/1")).WithTimeout(200*time.Millisecond).Should(Equal(200), name)
		}
	})
	for _, name := range []string{"that is deeply nested", "whose incarnation is too large", "whose port is out of range"} {
		It("start again with one "+name+" in their place", func() {
			s := newCluster("stock", "orders")
			n := s.nodes[0]
			n.stop()
			Eventually(n.done).WithTimeout(waitTimeout).Should(BeClosed())
			s.store.Put("open/vm-0", odd(name, "vm-0"))
			s.start(n)
			Eventually(n.ready).WithTimeout(waitTimeout).Should(BeTrue())
			Eventually(func() int { n.heartbeat("ready"); return s.nodes[1].status("/stock/1")() }).WithTimeout(waitTimeout).Should(Equal(200))
		})
	}
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

var _ = Describe("the target beside a node", func() {
	It("receives no call after its departure is acknowledged, even from a restarted node or after a late heartbeat", func() {
		s := newCluster("stock", "orders", "stock")
		n := s.nodes[0]
		Expect(n.heartbeat("draining")).To(Equal(200))
		runs := n.target.runs.Load()
		for range 20 {
			s.nodes[1].call(http.MethodGet, "/stock/1", "")
		}
		Expect(n.target.runs.Load()).To(Equal(runs))
		n.stop()
		<-n.done
		n.target.sequence.Store(0) // heartbeats from before the departure
		s.start(n)
		Eventually(n.ready).WithTimeout(waitTimeout).Should(BeTrue())
		n.heartbeat("ready")
		n.heartbeat("ready")
		for range 20 {
			s.nodes[1].call(http.MethodGet, "/stock/1", "")
		}
		Expect(n.target.runs.Load()).To(Equal(runs))
	})
	// A restarted node took the second of two late heartbeats as evidence that a target that had left was open.
	It("receives no call after late heartbeats that say it is open, while its health check says that it is not", func() {
		s := newCluster("stock", "orders", "stock")
		n := s.nodes[0]
		n.stop()
		Eventually(n.done).WithTimeout(waitTimeout).Should(BeClosed())
		s.store.RemovePrefix("open/" + string(n.cfg.VM)) // no node of the region remembers the departure either
		n.target.healthy.Store(false)
		n.target.startTime++
		n.target.runs.Store(0)
		s.start(n)
		Eventually(n.ready).WithTimeout(waitTimeout).Should(BeTrue())
		for range 3 {
			Expect(n.heartbeat("ready")).To(Equal(200))
			time.Sleep(propagationTime / 2)
			for range 10 {
				s.nodes[1].call(http.MethodGet, "/stock/1", "")
			}
		}
		Expect(n.target.runs.Load()).To(BeZero())
		n.target.healthy.Store(true)
		Expect(n.heartbeat("ready")).To(Equal(200))
		Eventually(n.targetState).WithTimeout(waitTimeout).Should(Equal(lifecycle.Open))
	})
	// A heartbeat of another writer raised the target's sequence, and the target's own draining was acknowledged and ignored.
	It("receives no call after its draining is acknowledged, although another writer has sent a heartbeat for it", func() {
		for _, foreign := range []string{
			`{"address":%q,"info":{"service":"unnamed","version":"v1","zone":"z","slots":9},"status":{"state":"ready","sequence":1000,"coldLeftS":0}}`,
			`{"address":%q,"info":{"service":"stock","version":"v1","zone":"z","slots":9},"status":{"state":"ready","sequence":1000,"coldLeftS":0}}`,
			`{"address":%q,"born":BORN,"info":{"service":"orders","version":"v1","zone":"z","slots":9},"status":{"state":"draining","sequence":1000,"coldLeftS":0}}`,
			`{"address":%q,"born":BORN,"info":{"service":"stock","version":"v1","zone":"z","slots":9},"status":{"state":"ready","sequence":1000,"coldLeftS":0}}`,
		} {
			s := newCluster("stock", "orders")
			n := s.nodes[0]
			n.post("/api/Instances.Heartbeat/"+n.target.id, fmt.Sprintf(strings.ReplaceAll(foreign, "BORN", fmt.Sprint(n.target.startTime)), n.target.address))
			Expect(s.nodes[1].status("/stock/1")()).To(Equal(200), "%s", foreign)
			Expect(n.heartbeat("draining")).To(Equal(200))
			n.target.runs.Store(0)
			for range 10 {
				s.nodes[1].call(http.MethodGet, "/stock/1", "")
			}
			Expect(n.target.runs.Load()).To(BeZero(), "%s", foreign)
		}
	})
	It("receives no more calls from all nodes together than the rate limit that it names, while targets with room serve the rest", func() {
		const perSecond, most, watched, interval = 5, 35, 4 * time.Second, 10 * time.Millisecond // most: one and a half times the limit in 4 s, and 5 more
		s := newCluster("stock", "orders", "stock", "orders")
		n := s.nodes[0]
		n.target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Server-Limit", strconv.Itoa(perSecond))
			return false
		})
		Eventually(func() int64 {
			s.nodes[1].call(http.MethodGet, "/stock/1", "")
			return n.target.runs.Load()
		}).WithTimeout(waitTimeout).Should(BeNumerically(">", 0))
		before := n.target.runs.Load()
		var wg sync.WaitGroup
		var calls, served atomic.Int64
		for begun := time.Now(); time.Since(begun) < watched; time.Sleep(interval) {
			wg.Go(func() {
				defer GinkgoRecover()
				if s.nodes[calls.Add(1)%int64(len(s.nodes))].status("/stock/1")() == 200 {
					served.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(n.target.runs.Load() - before).To(BeNumerically("<=", most))
		Expect(served.Load()).To(Equal(calls.Load()), "the other target has room for all")
	})
	It("receives no call from a node that passed on its leaving, although its own node restarts without the store", func() {
		s := newCluster("stock", "orders", "stock")
		n := s.nodes[0]
		n.target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
			w.Header().Set("Server-Leaving", "1")
			return false
		})
		s.store.SetFaults(standin.Faults{Status: 503})
		callManyAtOnce := func() { // so that no target is preferred
			var wg sync.WaitGroup
			for range 40 {
				wg.Go(func() {
					defer GinkgoRecover()
					s.nodes[1].call(http.MethodGet, "/stock/1", "")
				})
			}
			wg.Wait()
		}
		callManyAtOnce()
		runs := n.target.runs.Load()
		Expect(runs).To(BeNumerically(">", 0), "the node has passed on an answer with the announcement")
		n.stop()
		<-n.done
		s.start(n)
		for range 4 {
			n.heartbeat("ready")
			time.Sleep(200 * time.Millisecond)
		}
		callManyAtOnce()
		Expect(n.target.runs.Load()).To(Equal(runs))
	})
	It("is accepted by its heartbeat even if its node has just started", func() {
		s := newCluster("stock", "orders")
		n := s.nodes[0]
		n.stop()
		<-n.done
		s.start(n)
		Eventually(s.nodes[1].status("/stock/1")).WithTimeout(waitTimeout).Should(Equal(200))
	})
})

// dropConnection closes the connection without an answer.
func dropConnection(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }

// hijack takes over the connection of a request.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.ReadWriter) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	Expect(err).NotTo(HaveOccurred())
	return conn, buffered
}

// Callers were told that an order had not run, and came back with it, while the target ran it.
var _ = Describe("an order on a kept connection on which the target writes an earlier refusal once more", func() {
	const copyDelay, runTime, poolTime = 50 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond
	for name, c := range map[string]struct {
		id     bool // whether the refusal names its request
		status int  // of the order
	}{
		"with its id":   {true, 200},
		"without an id": {false, 502},
	} {
		It("is not answered by that refusal "+name, func() {
			s := newCluster("orders", "stock")
			time.Sleep(poolTime) // orders use no connection that has been idle for so long
			target := s.nodes[0].target
			var runs atomic.Int64
			target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
				id := ""
				if c.id {
					id = "Request-Id: " + r.Header.Get("Request-Id") + "\r\n"
				}
				refusal := "HTTP/1.1 503 Service Unavailable\r\n" + id + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
				conn, buffered := hijack(w)
				go func() {
					defer func() { _ = conn.Close() }()
					_, _ = io.WriteString(conn, refusal)
					order, err := http.ReadRequest(buffered.Reader)
					if err != nil {
						return
					}
					runs.Add(1)
					time.Sleep(copyDelay)
					_, _ = io.WriteString(conn, refusal)
					time.Sleep(runTime)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 2\r\nRequest-Id: "+order.Header.Get("Request-Id")+"\r\n\r\nok")
				}()
				return true
			})
			status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "first")
			Expect(status).To(Equal(503))
			status, _, _ = s.nodes[1].call(http.MethodPost, "/orders/1", "second")
			Expect(runs.Load()).To(Equal(int64(1)), "on the same connection")
			Expect(status).To(Equal(c.status))
		})
	}
})

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
