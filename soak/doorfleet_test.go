package soak_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/platform/standin"
)

// secondHost is the address of a second VM, from which its connections to others come.
const secondHost = "127.0.0.1"

// launchSecondNode starts a node on another address, whose target is of another service.
func launchSecondNode(t *testing.T, n *doorNode) *doorNode {
	return launchDoorNode(t, doorOptions{memoryMB: doorMemoryMB, descriptors: doorDescriptors, maxBody: doorBody, store: n.store, vm: "vm-door-2",
		service: "orders", host: secondHost})
}

// elsewhere returns addresses of VMs without a node.
func elsewhere(i int) net.IP { return net.IPv4(127, 200, byte(i>>8), byte(1+i%250)) }

// forgedCalls returns calls of a node that doesn't exist.
func forgedCalls(n *doorNode, count int) string {
	h := http.Header{}
	now := time.Now()
	hop.WriteCall(h, &hop.Call{ID: "forged", Route: "r", Service: "stock", Instance: "i-0", Origin: "stock", Idempotent: true, Deadline: now.Add(time.Minute),
		SoftDeadline: now.Add(time.Minute)}, now)
	var b bytes.Buffer
	for range count {
		b.WriteString("GET /stock/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: forged\r\n")
		_ = h.Write(&b)
		b.WriteString("\r\n")
	}
	return b.String()
}

// A client that forged calls of nodes filled the share of connections of the other nodes, which were refused from then on.
func TestDoorForgedCalls(t *testing.T) {
	for name, calls := range map[string]int{"answered": 1, "unread": 5000} {
		t.Run(name, func(t *testing.T) {
			n := startDoorNode(t)
			n.crowdFrom(elsewhere, doorCrowd, n.cfg.LinkAddress, forgedCalls(n, calls))
			second := launchSecondNode(t, n)
			second.check(second.request)
			n.check(n.request)
		})
	}
}

// Each form guards against a process that misbehaving clients reach at another moment, from elsewhere or in another way than those
// of TestDoorMisbehaviour.
func TestDoorCircumstances(t *testing.T) {
	stopped := withLength("/stock/1", doorBody, doorBody-1)
	for name, run := range map[string]func(*testing.T){
		"while a node starts": func(t *testing.T) {
			n := launchDoorNode(t, doorOptions{memoryMB: doorMemoryMB, descriptors: doorDescriptors, maxBody: doorBody})
			for opened := false; !opened; time.Sleep(time.Millisecond) {
				conn, err := net.Dial("tcp4", string(n.cfg.CallAddress))
				if opened = err == nil; opened {
					_ = conn.Close()
				}
			}
			n.crowd(doorCrowd, n.cfg.CallAddress, stopped)
			n.crowd(doorCrowd, n.cfg.LinkAddress, withLength("/cassialead/view", 4<<20, 1<<20))
			n.awaitServing()
			n.check(n.request)
		},
		"at all nodes at once": func(t *testing.T) {
			n := startDoorNode(t)
			second := launchSecondNode(t, n)
			second.awaitServing()
			for _, node := range []*doorNode{n, second} {
				node.crowd(doorCrowd, node.cfg.CallAddress, stopped)
				node.crowd(doorCrowd, node.cfg.LinkAddress, inChunks("/cassialead/demand", 900<<10))
			}
			n.check(n.request)
			second.check(second.request)
		},
		"through another node": func(t *testing.T) {
			n := startDoorNode(t)
			second := launchSecondNode(t, n)
			second.awaitServing()
			second.crowd(doorCrowd, second.cfg.CallAddress, pipeline("/stock/big", "Request-Id: m\r\n", 2000))
			n.check(n.request)
			second.check(second.request)
		},
		"beside a store that is away": func(t *testing.T) {
			n := startDoorNode(t)
			n.store.SetFaults(standin.Faults{NoResponse: true})
			n.crowd(doorCrowd, n.cfg.CallAddress, stopped)
			n.check(n.request)
		},
		"while a node catches up": func(t *testing.T) {
			n := startDoorNode(t)
			n.store.SetFaults(standin.Faults{Reset: true})
			n.crowd(doorCrowd, n.cfg.CallAddress, stopped)
			n.store.Put("op/config", bytes.Replace(doorPlan(t, doorBody), []byte(`"version":1`), []byte(`"version":2`), 1))
			n.crowd(doorCrowd, n.cfg.LinkAddress, withLength("/cassialead/view", 4<<20, 1<<20))
			n.store.SetFaults(standin.Faults{})
			n.check(n.request)
		},
		"by readers of a byte at a time": func(t *testing.T) {
			n := startDoorNode(t)
			n.slowReaders(doorCrowd, n.cfg.CallAddress, pipeline("/stock/big", "Request-Id: m\r\n", 100))
			for address, path := range n.listeners() {
				n.slowReaders(doorCrowd/6, address, pipeline(path, "", 1000))
			}
			n.check(n.request)
		},
		"a stop beside a crowd": func(t *testing.T) {
			n := startDoorNode(t)
			n.crowd(doorCrowd, n.cfg.CallAddress, stopped)
			n.crowd(doorCrowd, n.cfg.CallAddress, pipeline("/stock/big", "Request-Id: m\r\n", 2000))
			if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			select {
			case <-n.exited:
				if code := n.cmd.ProcessState.ExitCode(); code != 0 {
					t.Errorf("exit code %d, want 0", code)
				}
			case <-time.After(doorEnd):
				t.Error("the process has not ended")
			}
		},
		"from many addresses": func(t *testing.T) {
			n := startDoorNode(t)
			n.crowdFrom(elsewhere, doorCrowd, n.cfg.CallAddress, stopped)
			n.crowdFrom(elsewhere, doorCrowd, n.cfg.LinkAddress, strings.TrimSuffix(head("/none", shortFields(9000)), "\r\n"))
			n.check(n.request)
		},
		"legal requests at a high rate": func(t *testing.T) {
			n := startDoorNode(t)
			var wait sync.WaitGroup
			for range doorCrowd {
				wait.Go(func() { readAnswers(n, 100) })
			}
			wait.Wait()
			n.check(n.request)
		},
		"with connections that are closed at once": func(t *testing.T) {
			n := startDoorNode(t)
			for range 5 {
				n.crowd(doorCrowd, n.cfg.CallAddress, "")
				n.crowd(doorCrowd, n.cfg.ControlAddress, "")
			}
			n.check(n.request)
			if info, err := os.Stat(n.log); err != nil || info.Size() > doorLog {
				t.Errorf("log of %v bytes (%v), want at most %d", info.Size(), err, doorLog)
			}
		},
	} {
		t.Run(name, run)
	}
}

// doorEnd is a time after which a process that has been told to stop counts as hanging.
const doorEnd = 60 * time.Second

// doorLog bounds the log of a node during a form: 15 lines a second of each event that a connection can cause.
const doorLog = 512 << 10

// readAnswers sends requests with short bodies on one connection after another and reads their answers.
func readAnswers(n *doorNode, count int) {
	var conn net.Conn
	for i := range count {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", string(n.cfg.CallAddress), 5*time.Second); err != nil {
				return
			}
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		body := strings.Repeat("x", 16<<10)
		_, err := io.WriteString(conn, head("/stock/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil || resp.Close || i == count-1 {
			_ = conn.Close()
			conn = nil
		}
	}
}
