package agent_test

import (
	"fmt"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Callers were told that an order had not run, by the status of a target that had run it, and came back with it.
var _ = Describe("a status that promises that a call has not run", func() {
	It("reaches no caller unless the target states it, and no signature stands beside another status", func() {
		s := newCluster("orders", "stock")
		for name, c := range map[string]struct {
			status int
			header http.Header // an empty value removes what the target sends otherwise
			want   int
		}{
			"503":                                    {503, nil, 502},
			"429":                                    {429, nil, 502},
			"408":                                    {408, nil, 502},
			"421 of the addressed target":            {421, nil, 502},
			"421 of nobody":                          {421, http.Header{"Instance-Id": {""}}, 502},
			"503 with a signature":                   {503, http.Header{"Response-Signature": {"s"}}, 502},
			"429 with a signature":                   {429, http.Header{"Response-Signature": {"s"}}, 502},
			"408 with a signature":                   {408, http.Header{"Response-Signature": {"s"}}, 502},
			"success that says it has not run":       {200, http.Header{"Response-Signature": {"s"}, "Not-Executed": {"1"}}, 502},
			"503 with a retry time":                  {503, http.Header{"Retry-After": {"0.1"}}, 502},
			"500 with a signature, which is no such": {500, http.Header{"Response-Signature": {"s"}}, 500},
			"504, which is no such":                  {504, nil, 504},
			"503 with the statement":                 {503, http.Header{"Not-Executed": {"1"}}, 503},
			"429 with the statement":                 {429, http.Header{"Not-Executed": {"1"}}, 503},
		} {
			s.nodes[0].target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
				for k, v := range c.header {
					if w.Header().Del(k); v[0] != "" {
						w.Header()[k] = v
					}
				}
				w.WriteHeader(c.status)
				return true
			})
			for _, n := range s.nodes {
				s.nodes[0].target.runs.Store(0)
				status, _, header := n.call(http.MethodPost, "/orders/1", "order")
				Expect(status).To(Equal(c.want), "%s through %s", name, n.cfg.VM)
				Expect(s.nodes[0].target.runs.Load()).To(Equal(int64(1)), "%s through %s", name, n.cfg.VM)
				if c.want != c.status {
					Expect(header).NotTo(HaveKey("Response-Signature"), "%s through %s", name, n.cfg.VM)
				}
				if c.want == http.StatusBadGateway {
					Expect(header).NotTo(HaveKey("Retry-After"), "%s through %s", name, n.cfg.VM)
				}
			}
		}
	})
	It("reaches no caller either of a call that may run again, if all its targets have run it", func() {
		s := newCluster("stock", "stock", "orders")
		for _, n := range s.nodes[:2] {
			n.target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
		}
		Expect(s.nodes[2].status("/stock/1")()).To(Equal(http.StatusBadGateway))
	})
	// Such an answer took the target out of use until its next start.
	It("does not take the target for one that has been replaced", func() {
		s := newCluster("orders", "stock")
		s.nodes[0].target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return true
		})
		s.nodes[1].call(http.MethodPost, "/orders/1", "order")
		s.nodes[0].target.fault.Store(func(http.ResponseWriter, *http.Request) bool { return false })
		status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
		Expect(status).To(Equal(http.StatusOK))
	})
})

// A caller's connection was closed without an answer, or switched to a protocol that it had not asked for.
var _ = Describe("a response whose status is none of a final response", func() {
	It("reaches the caller as a failure", func() {
		s := newCluster("orders", "stock")
		for _, status := range []string{"099", "000", "101", "600", "999"} {
			s.nodes[0].target.fault.Store(func(w http.ResponseWriter, r *http.Request) bool {
				conn, _ := hijack(w)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Status\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Request-Id"))
				_ = conn.Close()
				return true
			})
			for _, n := range s.nodes {
				got, _, _ := n.call(http.MethodPost, "/orders/1", "order")
				Expect(got).To(Equal(http.StatusBadGateway), "%s through %s", status, n.cfg.VM)
			}
		}
	})
})
