package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"github.com/cassialead/cassialead/door"
)

const (
	sendBuffer    = 128 << 10            // bytes of an answer that the kernel takes before its client reads
	receiveBuffer = 64 << 10             // bytes that the kernel takes before they are read
	bodyBuffer    = 256 << 10            // the same while a long body is read
	longBody      = 1 << 20              // bytes of a body from which it is
	remeasure     = 5 * time.Millisecond // between two measurements after buffers have grown
	remeasures    = 40                   // such measurements
	remeasureSlow = time.Second          // between two later ones, while the connections could exceed the limit
)

// buffers measures the kernel's memory for connections and closes those that hold too much.
type buffers struct {
	*door.Buffers
	guard     *Guard
	repeating atomic.Bool

	mu    sync.Mutex // guards conns
	conns map[*Conn]struct{}
}

func newBuffers(memory door.Bytes, g *Guard) *buffers {
	return &buffers{Buffers: door.NewBuffers(memory), guard: g, conns: map[*Conn]struct{}{}}
}

// admit follows a new connection. One from a known host is not expected to fill its buffers.
func (b *buffers) admit(c *Conn) {
	setBuffers(c, sendBuffer, receiveBuffer)
	b.mu.Lock()
	b.conns[c] = struct{}{}
	b.mu.Unlock()
	if !c.known && b.Admitted() {
		b.limit()
	}
}

// grew records that the buffers of a connection may have grown by n bytes.
func (b *buffers) grew(n int) {
	if b.Grew(n) {
		b.limit()
	}
}

func (b *buffers) remove(c *Conn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, c)
}

// limit measures the buffers at once, so that they grow no faster than they are measured, and again until the pressure is low.
func (b *buffers) limit() {
	if b.measure() == door.Low || !b.repeating.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer b.repeating.Store(false)
		for left := remeasures; ; left = max(left-1, 0) {
			if left > 0 {
				time.Sleep(remeasure)
			} else {
				time.Sleep(remeasureSlow)
			}
			switch p := b.measure(); {
			case p == door.High:
				left = remeasures
			case p == door.Low && left == 0:
				return
			}
		}
	}()
}

// measure closes the connections beyond the limit and returns the pressure before that.
func (b *buffers) measure() door.Pressure {
	b.Measuring()
	b.mu.Lock()
	all := make([]door.Buffered[*Conn], 0, len(b.conns))
	for c := range b.conns {
		all = append(all, door.Buffered[*Conn]{Conn: c, Known: c.known, Keeps: c.socket.Kept()})
	}
	b.mu.Unlock()
	for i := range all {
		all[i].Bytes = kernelMemory(all[i].Conn)
	}
	excess, p := door.Excess(b.Buffers, all)
	for _, c := range excess {
		b.guard.countClosed(`cassialead_requests_closed_total{held="buffers"}`, "connection closed, its client does not read or sends ahead", "from", c.RemoteAddr())
		c.abort()
	}
	return p
}

// control runs f on the descriptor of a connection, unless it has been closed.
func control(nc net.Conn, f func(fd int)) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

// setBuffers sets the sizes of a connection's buffers; where the kernel refuses, it keeps its own.
func setBuffers(c *Conn, send, receive int) {
	control(c.Conn, func(fd int) {
		if send > 0 {
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, send)
		}
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		if receive > receiveBuffer {
			// The window that was agreed with the first buffer would remain in force.
			_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, receive)
		}
	})
}

// Indices of the words of SO_MEMINFO, see sock_diag(7).
const (
	receivedWord = 0 // bytes received and not read
	sendingWord  = 2 // bytes handed to the network
	queuedWord   = 5 // bytes written and not acknowledged
	memoryWords  = 9
)

// kernelMemory returns the memory of a connection's buffers, or zero if it is not known.
func kernelMemory(c *Conn) door.Bytes {
	var words [memoryWords]uint32
	control(c.Conn, func(fd int) {
		size := uint32(unsafe.Sizeof(words))
		_, _, _ = unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO, uintptr(unsafe.Pointer(&words)), uintptr(unsafe.Pointer(&size)), 0)
	})
	return door.Bytes(words[receivedWord]) + door.Bytes(words[sendingWord]) + door.Bytes(words[queuedWord])
}
