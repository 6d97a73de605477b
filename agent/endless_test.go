package agent_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// longerThanBuffered is the length, in bytes, of a body that a node passes on before it has read it completely.
const longerThanBuffered = 3 << 20

// writeWithoutEnd writes a body until its connection is closed.
func writeWithoutEnd(w http.ResponseWriter) {
	for chunk := make([]byte, 16<<10); ; {
		if _, err := w.Write(chunk); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// A node cut a failure without end after its buffer's size and sent it to the caller as a complete answer of that length.
var _ = Describe("a failure that is longer than a node buffers", func() {
	It("never looks complete if it has no end or breaks off", func() {
		endless := func(w http.ResponseWriter, status int) {
			w.WriteHeader(status)
			writeWithoutEnd(w)
		}
		s := newCluster("orders", "stock")
		for name, fault := range map[string]func(http.ResponseWriter){
			"500 in chunks":     func(w http.ResponseWriter) { endless(w, 500) },
			"404 in chunks":     func(w http.ResponseWriter) { endless(w, 404) },
			"302 in chunks":     func(w http.ResponseWriter) { endless(w, 302) },
			"success in chunks": func(w http.ResponseWriter) { endless(w, 200) },
			"500 with a length": func(w http.ResponseWriter) {
				w.Header().Set("Content-Length", "9000000000")
				endless(w, 500)
			},
			"500 until the connection ends": func(w http.ResponseWriter) {
				w.Header().Set("Transfer-Encoding", "identity")
				endless(w, 500)
			},
			"500 with a signature": func(w http.ResponseWriter) {
				w.Header().Set("Response-Signature", "s")
				endless(w, 500)
			},
			"500 that breaks off": func(w http.ResponseWriter) {
				w.WriteHeader(500)
				_, _ = w.Write(make([]byte, longerThanBuffered))
				panic(http.ErrAbortHandler)
			},
		} {
			s.nodes[0].target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
				fault(w)
				return true
			})
			var callers sync.WaitGroup
			for _, n := range s.nodes {
				callers.Go(func() {
					defer GinkgoRecover()
					status, text, _ := n.call(http.MethodPost, "/orders/1", "order")
					Expect(status).To(BeElementOf(0, 502, 504), "%s through %s: %d bytes", name, n.cfg.VM, len(text))
				})
			}
			callers.Wait()
		}
	})
	It("reaches the caller whole if it has an end", func() {
		s := newCluster("orders", "stock")
		for _, length := range []bool{true, false} {
			s.nodes[0].target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
				if length {
					w.Header().Set("Content-Length", strconv.Itoa(longerThanBuffered))
				}
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, strings.Repeat("e", longerThanBuffered))
				return true
			})
			for _, n := range s.nodes {
				status, text, _ := n.call(http.MethodPost, "/orders/1", "order")
				Expect(status).To(Equal(http.StatusInternalServerError))
				Expect(text).To(HaveLen(longerThanBuffered))
			}
		}
	})
	It("does not keep a call that may run again from another target", func() {
		s := newCluster("stock", "stock", "orders")
		s.nodes[0].target.fault.Store(func(w http.ResponseWriter, _ *http.Request) bool {
			w.WriteHeader(http.StatusInternalServerError)
			writeWithoutEnd(w)
			return true
		})
		begun := time.Now()
		for range 10 {
			Expect(s.nodes[2].status("/stock/1")()).To(Equal(200))
		}
		Expect(time.Since(begun)).To(BeNumerically("<", 4*time.Second))
	})
})
