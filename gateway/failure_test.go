package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/standin"
)

const waitTimeout = 10 * time.Second

var _ = Describe("idempotent calls", func() {
	cases := map[string]struct {
		fault  standin.TargetFaults
		broken []int
		path   string
		status int
		cause  string
		ran    string
	}{
		"one target closes connections before its responses": {standin.TargetFaults{DropResponse: true}, []int{0}, "/stock", 200, "", ""},
		"one target stalls":                                    {standin.TargetFaults{Stall: true}, []int{0}, "/stock", 200, "", ""},
		"one target returns wrong attempt IDs":                 {standin.TargetFaults{WrongAttemptID: true}, []int{0}, "/stock", 200, "", ""},
		"one target truncates short responses":                 {standin.TargetFaults{TruncateResponse: true}, []int{0}, "/stock", 200, "", ""},
		"every target closes connections before its responses": {standin.TargetFaults{DropResponse: true}, []int{0, 1, 2}, "/stock", 502, "target-broken", "unknown"},
		"every target returns wrong attempt IDs":               {standin.TargetFaults{WrongAttemptID: true}, []int{0, 1, 2}, "/stock", 502, "crossed-answer", "unknown"},
		"every target stalls":                                  {standin.TargetFaults{Stall: true}, []int{0, 1, 2}, "/stock", 504, "timeout", "unknown"},
		"one target sheds load":                                {standin.TargetFaults{Shed: true}, []int{0}, "/stock", 200, "", ""},
		"every target sheds load":                              {standin.TargetFaults{Shed: true}, []int{0, 1, 2}, "/stock", 503, "", ""},
		"no route matches the path":                            {standin.TargetFaults{}, nil, "/absent", 404, "no-route", "no"},
		"the call depth indicates a loop":                      {standin.TargetFaults{}, nil, "/stock?loop", 508, "too-deep", "no"},
	}
	for name, c := range cases {
		It("return the expected response when "+name, func() {
			cluster := newTestCluster(3, 0)
			cluster.setFaults(c.fault, c.broken...)
			depth := "0"
			if strings.Contains(c.path, "loop") {
				depth = "32"
			}
			for i := range 4 {
				r := cluster.nodes[i%3].call(http.MethodGet, c.path, "Cassialead-Depth", depth)
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.status).To(Equal(c.status), r.body)
				Expect(r.cause()).To(Equal(c.cause))
				Expect(r.executed()).To(Equal(c.ran))
				if c.status == http.StatusOK {
					Expect(r.body).To(HavePrefix("served 100 bytes"))
				}
			}
		})
	}

	It("fail with an unexpected EOF when a long response is truncated", func() {
		cluster := newTestCluster(1, 0)
		cluster.setFaults(standin.TargetFaults{TruncateResponse: true}, 0)
		r := cluster.nodes[0].call(http.MethodGet, "/downloads?bytes=4000000")
		Expect(r.err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("are not reported as not executed when an attempt before the refusal may have been executed", func() {
		cluster := newTestCluster(2, 0)
		cluster.setFaults(standin.TargetFaults{DropResponse: true}, 0)
		node := cluster.nodes[1]
		node.mu.Lock()
		for name, t := range node.localTargets {
			t.Draining = true
			node.localTargets[name] = t
		}
		node.mu.Unlock()
		ran := 0
		for i := range 8 {
			name := fmt.Sprintf("broken-then-refused-%d", i)
			r := cluster.nodes[i%2].call(http.MethodGet, "/stock?order="+name)
			if cluster.executions(name) > 0 {
				ran++
				Expect(r.executed()).To(Equal("unknown"), r.body)
			}
		}
		Expect(ran).To(BeNumerically(">", 0))
	})

	It("are sent to another target when one refuses connections", func() {
		cluster := newTestCluster(3, 0)
		cluster.nodes[1].target.Kill()
		for i := range 6 {
			Expect(cluster.nodes[i%3].call(http.MethodGet, "/stock").status).To(Equal(http.StatusOK))
		}
	})

	It("are refused as not executed when the service has no target", func() {
		cluster := newTestCluster(2, 0)
		for _, node := range cluster.nodes {
			node.gateway.Update(cluster.cfg, 2, []fleet.Record{})
		}
		r := cluster.nodes[0].call(http.MethodGet, "/stock")
		Expect([]any{r.status, r.cause(), r.executed()}).To(Equal([]any{503, "no-target", "no"}))
	})

	It("release the slot of a short response while its caller is still reading it", func() {
		cluster := newTestCluster(1, 0)
		conn, err := net.Dial("tcp", cluster.nodes[0].ingressServer.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET /stock?bytes=200000 HTTP/1.1\r\nHost: x\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReaderSize(conn, 16).ReadByte()
		Expect(err).NotTo(HaveOccurred())
		// All four slots must be free again.
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				defer GinkgoRecover()
				Expect(cluster.nodes[0].call(http.MethodGet, "/stock?work=100ms").status).To(Equal(http.StatusOK))
			})
		}
		wg.Wait()
	})

	It("are not executed when the request body is incomplete", func() {
		cluster := newTestCluster(1, 0)
		conn, err := net.Dial("tcp", cluster.nodes[0].ingressServer.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "POST /orders?order=half HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nonly this")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(SatisfyAny(BeEmpty(), ContainSubstring("400 Bad Request")))
		Expect(cluster.executions("half")).To(Equal(0))
	})

	It("are refused when two Content-Length headers contradict each other", func() {
		cluster := newTestCluster(1, 0)
		conn, err := net.Dial("tcp", cluster.nodes[0].ingressServer.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(conn, "GET /stock HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n12345")
		Expect(err).NotTo(HaveOccurred())
		line, err := bufio.NewReader(conn).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(line).To(ContainSubstring("400"))
	})
})

var _ = Describe("orders", func() {
	It("run once and succeed on several targets whose clocks are 5 s apart", func() {
		cluster := newTestCluster(3, 5*time.Second)
		for i := range 12 {
			name := fmt.Sprintf("order-%d", i)
			r := cluster.nodes[i%3].call(http.MethodPost, "/orders?order="+name)
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.status).To(Equal(http.StatusOK), r.body)
			Expect(cluster.executions(name)).To(Equal(1))
		}
	})

	It("are reported as unknown, and not run again, when the target closes the connection before its response", func() {
		cluster := newTestCluster(3, 0)
		cluster.setFaults(standin.TargetFaults{DropResponse: true}, 0, 1, 2)
		r := cluster.nodes[0].call(http.MethodPost, "/orders?order=broken")
		Expect([]any{r.status, r.cause(), r.executed()}).To(Equal([]any{502, "outcome-unknown", "unknown"}))
		Expect(cluster.executions("broken")).To(Equal(1))
	})

	It("are reported as unknown when the response has a wrong attempt ID", func() {
		cluster := newTestCluster(2, 0)
		cluster.setFaults(standin.TargetFaults{WrongAttemptID: true}, 0, 1)
		r := cluster.nodes[0].call(http.MethodPost, "/orders?order=crossed")
		Expect([]any{r.cause(), r.executed()}).To(Equal([]any{"outcome-unknown", "unknown"}))
		Expect(cluster.executions("crossed")).To(Equal(1))
	})

	It("are sent to another target when one refuses connections", func() {
		cluster := newTestCluster(2, 0)
		cluster.nodes[1].target.Kill()
		for i := range 6 {
			name := fmt.Sprintf("refused-%d", i)
			Expect(cluster.nodes[0].call(http.MethodPost, "/orders?order="+name).status).To(Equal(http.StatusOK))
			Expect(cluster.executions(name)).To(Equal(1))
		}
	})

	It("go to another node at once when the one they were meant for has died", Label("known-red"), func() {
		cluster := newTestCluster(3, 0)
		for i := range 6 {
			Expect(cluster.nodes[0].call(http.MethodPost, fmt.Sprintf("/orders?order=before-%d", i)).status).To(Equal(http.StatusOK))
		}
		_ = cluster.nodes[1].proxy.listener.Close()
		cluster.nodes[1].proxy.closeAll()
		for i := range 6 {
			name := fmt.Sprintf("after-%d", i)
			r := cluster.nodes[0].call(http.MethodPost, "/orders?order="+name)
			Expect(r.status).To(Equal(http.StatusOK), r.body)
			Expect(cluster.executions(name)).To(Equal(1))
		}
	})

	It("return their response over a new connection when the first one stalls during the run", func() {
		cluster := newTestCluster(2, 0)
		cluster.publish(1)
		ingress, remote := cluster.nodes[0], cluster.nodes[1]
		Expect(ingress.call(http.MethodPost, "/orders?order=warm").status).To(Equal(http.StatusOK))
		done := make(chan reply, 1)
		go func() { done <- ingress.call(http.MethodPost, "/orders?order=silent&work=800ms") }()
		Eventually(func() int { return cluster.executions("silent") }, waitTimeout).Should(Equal(1))
		remote.proxy.stallOpen()
		var r reply
		Eventually(done, waitTimeout).Should(Receive(&r))
		Expect(r.status).To(Equal(http.StatusOK), r.body)
		Expect(cluster.executions("silent")).To(Equal(1))
	})

	It("are proven not to have been executed when the connection stalled before they arrived, and never run later", func() {
		cluster := newTestCluster(3, 0)
		cluster.publish(1)
		ingress, remote := cluster.nodes[0], cluster.nodes[1]
		Expect(ingress.call(http.MethodPost, "/orders?order=warm").status).To(Equal(http.StatusOK))
		remote.proxy.stallOpen()
		cluster.publish(1, 2)
		served := 0
		for i := range 6 {
			name := fmt.Sprintf("swallowed-%d", i)
			r := ingress.call(http.MethodPost, "/orders?order="+name)
			Expect(r.err).NotTo(HaveOccurred())
			if r.status == http.StatusOK {
				served++
				Expect(cluster.executions(name)).To(Equal(1))
			} else {
				Expect(r.executed()).To(Equal("no"))
			}
		}
		Expect(served).To(BeNumerically(">", 0))
		// The stalled requests arrive late and must not be executed.
		remote.proxy.resumeAll()
		Expect(ingress.call(http.MethodPost, "/orders?order=after").status).To(Equal(http.StatusOK))
		Consistently(func() bool {
			for i := range 6 {
				if cluster.executions(fmt.Sprintf("swallowed-%d", i)) > 1 {
					return false
				}
			}
			return true
		}, "300ms").Should(BeTrue())
	})

	It("are answered as unknown when the node beside the target restarts during the run", Label("known-red"), func() {
		cluster := newTestCluster(2, 0)
		cluster.publish(1)
		ingress, remote := cluster.nodes[0], cluster.nodes[1]
		done := make(chan reply, 1)
		go func() { done <- ingress.call(http.MethodPost, "/orders?order=restart&work=1s") }()
		Eventually(func() int { return cluster.executions("restart") }, waitTimeout).Should(Equal(1))
		remote.peerServer.CloseClientConnections()
		_ = remote.peerServer.Listener.Close()
		restarted := newTestNode(1, 0, cluster.claims)
		remote.proxy.mu.Lock()
		remote.proxy.upstream = restarted.peerServer.Listener.Addr().String()
		remote.proxy.mu.Unlock()
		var r reply
		Eventually(done, waitTimeout).Should(Receive(&r))
		Expect([]any{r.cause(), r.executed()}).To(Equal([]any{"outcome-unknown", "unknown"}), r.body)
		Expect(cluster.executions("restart")).To(Equal(1))
	})

	It("that were meant for a node before its restart are refused as not run", Label("known-red"), func() {
		cluster := newTestCluster(2, 0)
		cluster.publish(1)
		ingress, remote := cluster.nodes[0], cluster.nodes[1]
		Expect(ingress.call(http.MethodPost, "/orders?order=first").status).To(Equal(http.StatusOK))
		time.Sleep(2 * time.Millisecond) // gives the restarted node a different incarnation
		restarted := newTestNode(1, 0, cluster.claims)
		remote.proxy.mu.Lock()
		remote.proxy.upstream = restarted.peerServer.Listener.Addr().String()
		remote.proxy.mu.Unlock()
		remote.peerServer.CloseClientConnections()
		r := ingress.call(http.MethodPost, "/orders?order=second")
		Expect(r.executed()).To(Equal("no"), r.body)
		Expect(restarted.target.Executions()["second"] + cluster.executions("second")).To(Equal(0))
	})
})

var _ = Describe("a graceful shutdown", func() {
	It("completes the calls in flight, and refuses later ones as not executed", func() {
		cluster := newTestCluster(2, 0)
		cluster.publish(1)
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() {
				defer GinkgoRecover()
				r := cluster.nodes[0].call(http.MethodGet, "/downloads?bytes=3000000&work=4s")
				Expect(r.err).NotTo(HaveOccurred())
				Expect(r.body).To(HaveLen(3000000))
			})
		}
		Eventually(func() int { return cluster.nodes[1].target.PeakConcurrency() }, waitTimeout).Should(Equal(3))
		drained := make(chan struct{})
		go func() {
			cluster.nodes[1].gateway.Drain(GinkgoT().Context())
			close(drained)
		}()
		Eventually(func() string {
			return cluster.nodes[0].call(http.MethodPost, "/orders?order=late").cause()
		}, waitTimeout, "200ms").Should(Equal("draining"))
		wg.Wait()
		Eventually(drained, waitTimeout).Should(BeClosed())
	})

	It("sends no new calls to a draining target", func() {
		cluster := newTestCluster(2, 0)
		node := cluster.nodes[1]
		node.mu.Lock()
		for name, t := range node.localTargets {
			t.Draining = true
			node.localTargets[name] = t
		}
		node.mu.Unlock()
		for range 6 {
			Expect(cluster.nodes[0].call(http.MethodGet, "/stock").status).To(Equal(http.StatusOK))
		}
		Expect(node.target.Served()).To(Equal(0))
	})
})
