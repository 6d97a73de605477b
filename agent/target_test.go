package agent_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/platform/standin"
)

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
	// One such heartbeat replaced the target, whose own heartbeats were then ignored as those of an earlier start.
	It("stays in use after a heartbeat of another writer that lacks a field or has one of another type", func() {
		const complete = `{"born":BORN,"address":"127.0.0.1:9","info":{"service":"orders","version":"v1","zone":"z","slots":9},"status":{"state":"ready","sequence":1000,"coldLeftS":0}}`
		s := newCluster("orders", "stock")
		n := s.nodes[0]
		for name, c := range map[string]struct{ old, replacement string }{
			"no zone":                     {`"zone":"z",`, ``},
			"a zone of another type":      {`"zone":"z"`, `"zone":7`},
			"no zone but null":            {`"zone":"z"`, `"zone":null`},
			"no version":                  {`"version":"v1",`, ``},
			"a version of another type":   {`"v1"`, `[]`},
			"no warm-up":                  {`,"coldLeftS":0`, ``},
			"a warm-up of another type":   {`"coldLeftS":0`, `"coldLeftS":"0"`},
			"no start time":               {`"born":BORN,`, ``},
			"a start time that is broken": {`BORN`, `BORN.5`},
		} {
			for _, id := range []string{"i-other", n.target.id} {
				born := fmt.Sprint(time.Now().UnixMilli())
				body := strings.ReplaceAll(strings.Replace(complete, c.old, c.replacement, 1), "BORN", born)
				Expect(n.post("/api/Instances.Heartbeat/"+id, body)).To(Equal(http.StatusBadRequest), "%s from %s", name, id)
				Expect(n.heartbeat("ready")).To(Equal(http.StatusOK))
				status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
				Expect(status).To(Equal(http.StatusOK), "%s from %s", name, id)
			}
		}
	})
	// Such a heartbeat set the target's address for good.
	It("stays in use after a heartbeat of another writer that names another address for it", func() {
		s := newCluster("orders", "stock")
		n := s.nodes[0]
		body := fmt.Sprintf(`{"born":%d,"address":"127.0.0.1:9","info":{"service":"orders","version":"v1","zone":"z","slots":9},"status":{"state":"ready","sequence":1000,"coldLeftS":0}}`, n.target.startTime)
		Expect(n.post("/api/Instances.Heartbeat/"+n.target.id, body)).To(Equal(http.StatusBadRequest))
		Expect(n.heartbeat("ready")).To(Equal(http.StatusOK))
		status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
		Expect(status).To(Equal(http.StatusOK))
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
