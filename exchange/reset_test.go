package exchange_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/exchange"
)

// endings are the ways in which a server ends a connection whose request it has not read.
var endings = map[string]func(c *net.TCPConn){
	"a reset": func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	"a close with unread bytes": func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1)) // waits for the body; a close before it has begun would be an end in order
		_ = c.Close()
	},
	"an end in order": func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(200 * time.Millisecond)
		_ = c.Close()
	},
}

// serveEarly starts a server that answers before it has read a request's body, without a length, and then ends the connection.
func serveEarly(answer int, pause time.Duration, end func(*net.TCPConn)) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
					return
				}
				_, _ = c.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), make([]byte, answer)...))
				time.Sleep(pause)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

// The kernel reports a reset once. If the goroutine that sent the request body was told of it, the end of the connection was taken for the
// end of an answer without a length, and the part of it that had come was passed on as complete.
var _ = Describe("an answer without a length to a request that is still being sent", func() {
	const (
		runs  = 20
		whole = 8 << 20 // bytes of the request's body
	)
	for name, end := range endings {
		for _, answer := range []int{0, 100, 70_000} {
			for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
				It("is complete only after an end in order: "+name, func() {
					address := serveEarly(answer, pause, end)
					complete := 0
					for range runs {
						c, err := exchange.Dial(context.Background(), address, timeout)
						Expect(err).NotTo(HaveOccurred())
						r := &exchange.Request{Method: http.MethodPost, URI: "/", Host: "a", Body: make([]byte, whole),
							Match: func(*http.Response) exchange.Match { return exchange.Current }}
						resp, err := c.Do(context.Background(), r)
						if err != nil {
							Expect(errors.Is(err, exchange.ErrBroken)).To(BeTrue(), "%v", err)
							continue
						}
						body, more, err := resp.ReadBody(1 << 20)
						if err == nil && !more {
							complete++
							Expect(body).To(HaveLen(answer))
						}
						resp.Release(time.Now())
					}
					if name == "an end in order" {
						Expect(complete).To(Equal(runs))
					} else {
						Expect(complete).To(BeZero())
					}
				})
			}
		}
	}
})
