package listener

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	lingerStall  = time.Second           // in which the client has to take a byte of the answer
	lingerTotal  = 5 * time.Second       // for all of it
	lingerPoll   = 10 * time.Millisecond // between two looks at what the client has taken
	lingerUnread = 256 << 10             // bytes of further requests that are discarded meanwhile
)

// Close closes the connection. If the client has sent requests ahead, the kernel would reset the connection and discard what the client has
// not taken of the last answer; Close then returns at once, and the connection is closed in the background when the answer has been delivered.
func (c *Conn) Close() error {
	if c.kept.Load() || !c.cutsAnswer() || !c.lingering.CompareAndSwap(false, true) {
		return c.close()
	}
	c.guard.lingering.Add(1)
	go func() {
		defer c.guard.lingering.Add(-1)
		c.linger()
		_ = c.close() // a connection that has been reset meanwhile needs no further handling
	}()
	return nil
}

// close closes the connection at once.
func (c *Conn) close() error {
	c.guard.buffers.remove(c)
	c.socket.Remove()
	return c.Conn.Close()
}

// cutsAnswer reports whether closing the connection would discard a part of an answer.
func (c *Conn) cutsAnswer() bool {
	return c.undelivered() > 0 && (c.sentAhead.Load() || c.queued(unix.SIOCINQ) > 0)
}

// undelivered returns the bytes that the client has not acknowledged.
func (c *Conn) undelivered() int { return c.queued(unix.SIOCOUTQ) }

// queued returns the length of one of the socket's queues, or zero if it is not known.
func (c *Conn) queued(request uint) (n int) {
	control(c.Conn, func(fd int) {
		if v, err := unix.IoctlGetInt(fd, request); err == nil {
			n = v
		}
	})
	return n
}

// linger waits until the client has taken the answer, discarding what it sends, until it has closed the connection, or until it makes no
// progress. Meanwhile the connection may be closed for a new one, as any whose answer waits for its client.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	end, discarded := time.Now().Add(lingerTotal), 0
	left, stalled := c.undelivered(), time.Now().Add(lingerStall)
	p := make([]byte, 4<<10)
	for discarded < lingerUnread {
		now := time.Now()
		if n := c.undelivered(); n < left {
			left, stalled = n, now.Add(lingerStall)
			c.socket.Progress()
		}
		if left == 0 || now.After(stalled) || now.After(end) {
			return
		}
		if c.Conn.SetReadDeadline(now.Add(lingerPoll)) != nil {
			return
		}
		n, err := c.Conn.Read(p)
		discarded += n
		if err == io.EOF || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// Lingering returns the number of connections whose last answer is being delivered.
func (g *Guard) Lingering() int { return int(g.lingering.Load()) }
