package exchange

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errNoDescriptor is returned for a connection that is not a socket of the operating system.
var errNoDescriptor = errors.New("connection has no descriptor")

// PeerClosed reports whether the peer has closed or reset a connection, even if data from before that has not been read.
func PeerClosed(nc net.Conn) bool {
	raw, err := rawConn(nc)
	if err != nil {
		return !errors.Is(err, errNoDescriptor)
	}
	closed := false
	if err := raw.Control(func(fd uintptr) { closed = hungUp(fd) }); err != nil {
		return true
	}
	return closed
}

// WaitPeerClosed waits until the peer has closed or reset a connection, and reads nothing. It returns an error if the connection's read
// deadline passes before, or if the connection can't be watched.
func WaitPeerClosed(nc net.Conn) error {
	raw, err := rawConn(nc)
	if err != nil {
		return err
	}
	return raw.Read(hungUp)
}

func rawConn(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}

// hungUp reports whether the peer of a socket will send nothing more.
func hungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err == nil && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	}
}
