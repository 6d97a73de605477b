package exchange_test

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/exchange"
)

// A write to a connection that had gone silent never returned, and its writer kept the target's slot.
var _ = Describe("a connection that a node has accepted", func() {
	const long, stall = 16 << 20, 3 * time.Second
	pair := func() (server, client net.Conn) {
		l, err := exchange.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		client, err = net.Dial("tcp4", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		server, err = l.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = server.Close() }) // a spec may have closed it
		return server, client
	}
	It("fails a write whose peer takes nothing any more", func() {
		server, _ := pair()
		begun := time.Now()
		_, err := server.Write(make([]byte, long))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
		Expect(time.Since(begun)).To(BeNumerically("<", stall+time.Second))
	})
	It("fails a write at the deadline of its user if that is earlier", func() {
		server, _ := pair()
		begun := time.Now()
		Expect(server.SetWriteDeadline(begun.Add(stall / 6))).To(Succeed())
		_, err := server.Write(make([]byte, long))
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeTrue(), "%v", err)
		Expect(time.Since(begun)).To(BeNumerically("<", stall/2))
	})
	It("delivers a long answer to a peer that reads at a fair pace for longer than one write may take", func() {
		server, client := pair()
		written := make(chan error, 1)
		go func() {
			_, err := server.Write(make([]byte, long))
			written <- err
			_ = server.Close()
		}()
		begun, read := time.Now(), 0
		for piece := make([]byte, 256<<10); ; time.Sleep(80 * time.Millisecond) {
			n, err := io.ReadFull(client, piece)
			if read += n; err != nil {
				break
			}
		}
		Expect(<-written).To(Succeed())
		Expect(read).To(Equal(long))
		Expect(time.Since(begun)).To(BeNumerically(">", stall))
	})
})
