package agent_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

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
