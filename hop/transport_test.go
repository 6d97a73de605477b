package hop_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
)

// A node that ends while it writes the head of an answer must not make the call look answered or refused.
var _ = Describe("the outcome of a call whose node ends within the head of its answer", func() {
	outcomes := map[string]hop.Outcome{
		"answered": &hop.Answered{Status: http.StatusOK},
		"refused":  hop.Refused{Cause: hop.Busy},
	}
	framings := map[string]string{"with a length": "Content-Length: 2\r\n\r\n", "in chunks": "Transfer-Encoding: chunked\r\n\r\n"}
	for outcome, o := range outcomes {
		for framing, tail := range framings {
			It("is a failure: "+outcome+" "+framing, func() {
				h := http.Header{}
				status := hop.WriteOutcome(h, "call-1", o)
				head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
				for name := range h {
					head += name + ": " + h.Get(name) + "\r\n"
				}
				head += tail
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				defer func() { _ = l.Close() }()
				var cut atomic.Int64
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						_, _ = http.ReadRequest(bufio.NewReader(c))
						_, _ = io.WriteString(c, head[:cut.Load()])
						_ = c.Close()
					}
				}()
				t := hop.NewTransport(time.Now)
				for n := range len(head) + 1 {
					cut.Store(int64(n))
					c := &hop.Call{ID: "call-1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Idempotent: n%2 == 0, Deadline: time.Now().Add(time.Second)}
					Expect(t.RoundTrip(context.Background(), fleet.Address(l.Addr().String()), c)).To(BeAssignableToTypeOf(hop.Failed{}), "cut after %d of %d bytes", n, len(head))
				}
			})
		}
	}
})
