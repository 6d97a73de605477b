package feed_test

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/feed"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/member"
)

// The demand of a child that had moved to another parent counted at both for two seconds, as that of a child that is lost.
var _ = Describe("a parent", func() {
	const wait = 2 * time.Second
	for name, c := range map[string]struct {
		end  func(*feed.Conn)
		left bool
	}{
		"a child that follows another node":     {(*feed.Conn).Leave, true},
		"a child whose connection has been cut": {(*feed.Conn).Close, false},
	} {
		It("tells "+name+" from others", func() {
			ends := make(chan error, 1)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := feed.Accept(w, r)
				if err == nil {
					_, err = conn.ReceiveReport(wait)
					conn.Close()
				}
				ends <- err
			})}
			go func() { _ = server.Serve(l) }()
			DeferCleanup(server.Close)
			conn, err := feed.Dial(context.Background(), "vm-1", fleet.Address(l.Addr().String()), feed.Hello{Child: member.Record{Node: "vm-2"}})
			Expect(err).NotTo(HaveOccurred())
			c.end(conn)
			Eventually(ends).WithTimeout(wait).Should(Receive(&err))
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, feed.ErrLeft)).To(Equal(c.left), "%v", err)
		})
	}
})
