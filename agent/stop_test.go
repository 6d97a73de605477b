package agent_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	longTimeout   = 6 // seconds that callers of these specs wait, as the route's timeout
	orderWork     = 3600 * time.Millisecond
	stopInterval  = 100 * time.Millisecond  // between two orders
	stopLoad      = 2600 * time.Millisecond // for which callers go on after the stop has begun; a node takes new calls for 2.2 s of it
	learningCalls = 12
)

// longPlan is the usual configuration with routes that wait for long work.
func longPlan() []byte {
	return bytes.ReplaceAll(plan(2, "/stock/", "stock"), []byte(`,2,0.6,2,2,`), fmt.Appendf(nil, `,%d,0.6,2,2,`, longTimeout))
}

// workFor answers after a time, or with 504 at the end of the time that the call may take, as the platform's targets do.
func workFor(w http.ResponseWriter, r *http.Request, d time.Duration) {
	ms, err := strconv.Atoi(r.Header.Get("Timeout-Ms"))
	Expect(err).NotTo(HaveOccurred())
	left := time.Duration(ms) * time.Millisecond
	time.Sleep(min(d, left))
	if d > left {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("Response-Signature", "s")
	_, _ = io.WriteString(w, "done")
}

// slowOrders makes the targets of a cluster work for orderWork and remember which orders they ran.
func slowOrders(s *cluster, ran *sync.Map) {
	for _, n := range s.nodes {
		n.target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
			ran.Store(r.Header.Get("Request-Id"), n)
			workFor(w, r, orderWork)
			return true
		})
	}
	s.store.Put("op/config", longPlan())
	for _, n := range s.nodes {
		Eventually(n.version).WithTimeout(waitTimeout).Should(Equal(2))
	}
}

// stopUnder stops a node while orders come through another or the same one, and returns what became of those that ran without being
// answered with success, and how many were served.
func stopUnder(stopping, through *node, ran *sync.Map) (lost []string, served int64) {
	var callers sync.WaitGroup
	var mu sync.Mutex
	var done atomic.Int64
	order := func() {
		id := fmt.Sprintf("order-%d", requests.Add(1))
		r, err := http.NewRequest(http.MethodPost, "http://"+string(through.cfg.CallAddress)+"/orders/1", bytes.NewReader([]byte("order")))
		Expect(err).NotTo(HaveOccurred())
		r.Host = "a.example"
		r.Header.Set("Request-Id", id)
		r.Header.Set("Timeout-Ms", strconv.Itoa(longTimeout*1000))
		status := 0
		if resp, err := http.DefaultClient.Do(r); err == nil {
			if _, err := io.ReadAll(resp.Body); err == nil {
				status = resp.StatusCode
			}
			_ = resp.Body.Close()
		}
		at, hasRun := ran.Load(id)
		select {
		case <-stopping.done:
			if through == stopping || at == stopping {
				status = 0 // the process would have ended before the answer
			}
		default:
		}
		if status == http.StatusOK {
			done.Add(1)
			return
		}
		if hasRun {
			mu.Lock()
			defer mu.Unlock()
			lost = append(lost, fmt.Sprintf("%s: %d", id, status))
		}
	}
	for range learningCalls {
		callers.Go(order)
	}
	callers.Wait()
	stopping.stop()
	for end := time.Now().Add(stopLoad); time.Now().Before(end); time.Sleep(stopInterval) {
		callers.Go(order)
	}
	callers.Wait()
	return lost, done.Load()
}

// Orders that came late in the grace were passed on and cut at its end, without an answer.
var _ = Describe("a planned stop of a node under load", func() {
	It("loses no order that it has passed on for its callers", func() {
		s := newCluster("stock", "orders", "orders", "orders", "orders", "orders")
		var ran sync.Map
		slowOrders(s, &ran)
		lost, served := stopUnder(s.nodes[0], s.nodes[0], &ran)
		Expect(lost).To(BeEmpty())
		Expect(served).To(BeNumerically(">", learningCalls+10))
	})
	It("loses no order that it has passed on to its target", Label("known-red"), func() {
		s := newCluster("orders", "stock", "orders", "orders", "orders", "orders")
		var ran sync.Map
		slowOrders(s, &ran)
		lost, served := stopUnder(s.nodes[0], s.nodes[1], &ran)
		Expect(lost).To(BeEmpty())
		Expect(served).To(BeNumerically(">", learningCalls+10))
	})
	It("lets its target end the calls that those in progress depend on", func() {
		s := newCluster("orders", "stock")
		n := s.nodes[0]
		var status atomic.Int64
		begun := make(chan struct{})
		n.target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
			close(begun)
			time.Sleep(2500 * time.Millisecond)
			nested, err := http.NewRequest(http.MethodGet, "http://"+string(n.cfg.CallAddress)+"/stock/1", nil)
			Expect(err).NotTo(HaveOccurred())
			nested.Host = "a.example"
			nested.Header.Set("Request-Id", r.Header.Get("Request-Id")+".1")
			resp, err := http.DefaultClient.Do(nested)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			status.Store(int64(resp.StatusCode))
			return false
		})
		s.store.Put("op/config", longPlan())
		Eventually(s.nodes[1].version).WithTimeout(waitTimeout).Should(Equal(2))
		Eventually(n.version).WithTimeout(waitTimeout).Should(Equal(2))
		answered := make(chan int)
		go func() {
			status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
			answered <- status
		}()
		<-begun
		n.stop()
		Expect(<-answered).To(Equal(http.StatusOK))
		Expect(status.Load()).To(Equal(int64(http.StatusOK)))
	})
	It("refuses an order whose body arrives too late for it to end", func() {
		s := newCluster("stock", "orders")
		var ran sync.Map
		slowOrders(s, &ran)
		n := s.nodes[0]
		conn, err := net.Dial("tcp4", string(n.cfg.CallAddress))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		order := func(id string) {
			_, err := fmt.Fprintf(conn, "POST /orders/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nTimeout-Ms: 6000\r\nContent-Length: 5\r\n\r\nor", id)
			Expect(err).NotTo(HaveOccurred())
		}
		end := func() {
			_, err := io.WriteString(conn, "der")
			Expect(err).NotTo(HaveOccurred())
		}
		order("first")
		end()
		Expect(readStatus(conn)).To(Equal(http.StatusOK))
		order("second")
		time.Sleep(stopInterval)
		n.stop()
		time.Sleep(stopLoad)
		end()
		Expect(readStatus(conn)).To(Equal(http.StatusServiceUnavailable))
		_, hasRun := ran.Load("second")
		Expect(hasRun).To(BeFalse())
	})
})
