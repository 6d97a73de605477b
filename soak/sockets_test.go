package soak_test

import (
	"encoding/binary"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	sockDiag         = 4  // netlink protocol of socket statistics
	sockDiagByFamily = 20 // type of its messages
	diagMemory       = 7  // attribute with the memory of a socket
	diagHead         = 72 // bytes of a message before its attributes
	diagInode        = 68 // offset of the socket's inode
	diagPort         = 4  // offset of its own port
)

// socketMemory returns the kernel memory of TCP sockets, in bytes, by inode, and by own port for those that are closed and not yet empty.
func socketMemory() (map[string]int, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, sockDiag)
	if err != nil {
		return nil, err
	}
	defer func() { _ = syscall.Close(fd) }()
	memory := map[string]int{}
	for _, family := range []byte{syscall.AF_INET, syscall.AF_INET6} {
		request := make([]byte, syscall.NLMSG_HDRLEN+56)
		binary.NativeEndian.PutUint32(request, uint32(len(request)))
		binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
		binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP)
		request[16], request[17], request[18] = family, syscall.IPPROTO_TCP, 1<<(diagMemory-1)
		binary.NativeEndian.PutUint32(request[20:], ^uint32(0)) // all states
		if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
			return nil, err
		}
		for done := false; !done; {
			b := make([]byte, 1<<17)
			n, _, err := syscall.Recvfrom(fd, b, 0)
			if err != nil {
				return nil, err
			}
			messages, err := syscall.ParseNetlinkMessage(b[:n])
			if err != nil {
				return nil, err
			}
			for _, m := range messages {
				switch m.Header.Type {
				case syscall.NLMSG_DONE:
					done = true
				case syscall.NLMSG_ERROR:
					return nil, fmt.Errorf("socket statistics refused: %x", m.Data)
				default:
					addSocketMemory(memory, m.Data)
				}
			}
		}
	}
	return memory, nil
}

func addSocketMemory(memory map[string]int, data []byte) {
	if len(data) < diagHead {
		return
	}
	key := fmt.Sprint(binary.NativeEndian.Uint32(data[diagInode:]))
	if key == "0" {
		key = portKey(binary.BigEndian.Uint16(data[diagPort:]))
	}
	for a := data[diagHead:]; len(a) >= 4; {
		size := int(binary.NativeEndian.Uint16(a))
		if size < 4 || size > len(a) {
			return
		}
		if binary.NativeEndian.Uint16(a[2:]) == diagMemory && size >= 4+6*4 {
			figure := func(i int) int { return int(binary.NativeEndian.Uint32(a[4+4*i:])) }
			memory[key] += figure(0) + figure(2) + figure(5) // received, being sent, queued to be sent
		}
		a = a[min((size+3)&^3, len(a)):]
	}
}

func portKey(port uint16) string { return fmt.Sprintf(":%d", port) }

// sockets returns the kernel memory of the process's TCP sockets, in bytes.
func (p *process) sockets() (int, error) {
	memory, err := socketMemory()
	if err != nil {
		return 0, err
	}
	dir := fmt.Sprintf("/proc/%d/fd/", p.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir)
	sum := 0
	for _, port := range p.ports {
		sum += memory[portKey(port)]
	}
	for _, e := range entries {
		if name, err := os.Readlink(dir + e.Name()); err == nil {
			if inode, ok := strings.CutPrefix(name, "socket:["); ok {
				sum += memory[strings.TrimSuffix(inode, "]")]
			}
		}
	}
	return sum, nil
}

// footprint is the memory that a process has used at one moment: its own and that of its sockets.
type footprint struct{ resident, sockets int }

func (f footprint) total() int { return f.resident + f.sockets }

// watchFootprint samples the memory of a process until stop is called, which returns the largest sum.
func (p *process) watchFootprint(t *testing.T) (stop func() footprint) {
	t.Helper()
	var worst footprint
	var failed error
	end, wait := make(chan struct{}), sync.WaitGroup{}
	wait.Go(func() {
		for {
			sockets, err := p.sockets()
			if err != nil {
				failed = err
				return
			}
			if f := (footprint{p.status("VmRSS"), sockets}); f.total() > worst.total() {
				worst = f
			}
			select {
			case <-end:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	})
	return func() footprint {
		close(end)
		wait.Wait()
		if failed != nil {
			t.Fatalf("the memory of sockets is not known: %v", failed)
		}
		return worst
	}
}
