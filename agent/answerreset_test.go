package agent_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// An answer without a length that a target reset while the request's body was still being sent reached callers as a complete one.
var _ = Describe("an answer that a target resets while it gets a long body", func() {
	const (
		runs   = 8
		answer = 3000
	)
	It("is never complete for the caller", func() {
		s := newCluster("orders", "stock")
		s.nodes[0].target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
			conn, _ := hijack(w)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\n%s", r.Header.Get("Request-Id"), strings.Repeat("x", answer))
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			return true
		})
		body := strings.Repeat("b", 900<<10)
		for _, at := range s.nodes {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for range runs {
					status, got, _ := at.call(method, "/orders/1", body)
					Expect(status).NotTo(Equal(http.StatusOK), "%d of %d bytes", len(got), answer)
				}
			}
		}
	})
	It("is complete if the target ends it in order", func() {
		s := newCluster("orders", "stock")
		s.nodes[0].target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
			conn, buffered := hijack(w)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\n%s", r.Header.Get("Request-Id"), strings.Repeat("x", answer))
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, buffered)
			_ = conn.Close()
			return true
		})
		body := strings.Repeat("b", 900<<10)
		for _, at := range s.nodes {
			for range runs {
				status, got, _ := at.call(http.MethodPost, "/orders/1", body)
				Expect(status).To(Equal(http.StatusOK))
				Expect(got).To(HaveLen(answer))
			}
		}
	})
})
