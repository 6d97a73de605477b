package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpClosed is the state of a socket that has failed or been reset; one whose peer has only ended its side is in another state.
const tcpClosed = 7

// DialContext returns a function that dials as d does. If a connection is reset while one goroutine writes to it, reads of others fail too.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tc, ok := nc.(*net.TCPConn); ok {
			return &dialedConn{TCPConn: tc}, nil
		}
		return nc, nil
	}
}

// dialedConn is a connection that remembers the failure which a write was told of. The kernel reports a failure of a socket once; a read
// after that looks as if the peer had ended the connection in order.
type dialedConn struct {
	*net.TCPConn
	mu     sync.Mutex // held during a write
	failed error      // of the socket, as a write has reported it
}

// Write writes p and remembers a failure of the socket.
func (c *dialedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.TCPConn.Write(p)
	var errno syscall.Errno
	// EPIPE is reported of a peer that ended its side before the reset, and after another failure.
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failed = err
	}
	return n, err
}

// Read reads into p. At the end of the connection it returns the failure that a write was told of, if there was one.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err == io.EOF && c.closed() {
		if failure := c.writeFailure(); failure != nil {
			return n, fmt.Errorf("connection ended by a failure: %w", failure)
		}
	}
	return n, err
}

// closed reports whether the socket has failed or been reset.
func (c *dialedConn) closed() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return true
	}
	var state uint8
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state == tcpClosed
}

// writeFailure returns the failure that a write was told of. A present write to a closed socket ends at once.
func (c *dialedConn) writeFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// ReadFrom hides the method of TCPConn, which would bypass Write.
func (c *dialedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// WriteTo hides the method of TCPConn, which would bypass Read.
func (c *dialedConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}
