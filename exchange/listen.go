package exchange

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	writePiece = 32 << 10        // bytes written under one deadline
	writeStall = 3 * time.Second // for the kernel to take a piece: a peer that takes none for so long counts as gone
)

// Listen opens a TCP listener whose connections fail a write that the peer does not take in time. Without that bound a silent
// connection would keep whatever its writer holds.
func Listen(address string) (net.Listener, error) {
	network := "tcp4"
	if strings.HasPrefix(address, "[") {
		network = "tcp6"
	}
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return listener{l}, nil
}

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &acceptedConn{TCPConn: nc.(*net.TCPConn)}, nil
}

// acceptedConn bounds each write by writeStall, or by the deadline that its user has set if that is earlier.
type acceptedConn struct {
	*net.TCPConn
	deadline atomic.Pointer[time.Time] // set by the user; nil or zero means none
}

// SetDeadline sets the deadlines of reads and writes.
func (c *acceptedConn) SetDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.TCPConn.SetDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *acceptedConn) SetWriteDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.TCPConn.SetWriteDeadline(t)
}

func (c *acceptedConn) Write(p []byte) (int, error) {
	sent := 0
	for {
		end := time.Now().Add(writeStall)
		if d := c.deadline.Load(); d != nil && !d.IsZero() && d.Before(end) {
			end = *d
		}
		if err := c.TCPConn.SetWriteDeadline(end); err != nil {
			return sent, err
		}
		n, err := c.TCPConn.Write(p[sent:min(len(p), sent+writePiece)])
		sent += n
		if err != nil || sent == len(p) {
			return sent, err
		}
	}
}

// ReadFrom hides the method of TCPConn, which would bypass Write.
func (c *acceptedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
