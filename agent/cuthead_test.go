package agent_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A head that was cut anywhere could reach a caller as an answer with an empty or short body.
var _ = Describe("an answer whose head ends early", func() {
	heads := map[string]string{
		"with a length":      "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\n",
		"in chunks":          "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"without a length":   "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nConnection: close\r\n\r\n",
		"after a first line": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n",
	}
	for name, head := range heads {
		It("never reaches a caller as a success: "+name, func() {
			s := newCluster("orders", "stock")
			var cut atomic.Int64
			s.nodes[0].target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
				conn, _ := hijack(w)
				h := fmt.Sprintf(head, r.Header.Get("Request-Id"))
				_, _ = io.WriteString(conn, h[:min(int(cut.Load()), len(h)-1)])
				_ = conn.Close()
				return true
			})
			runs := s.nodes[0].target.runs.Load()
			for n := range len(head) + 6 {
				cut.Store(int64(n))
				for _, at := range s.nodes {
					for _, method := range []string{http.MethodGet, http.MethodPost} {
						status, body, _ := at.call(method, "/orders/1", "order")
						Expect(status).To(BeElementOf(502, 503, 504), "%s cut after %d bytes: %q", method, n, body)
					}
				}
			}
			Expect(s.nodes[0].target.runs.Load()-runs).To(BeNumerically(">=", len(head)), "few enough calls were refused unsent")
		})
	}
})
