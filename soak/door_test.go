package soak_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/platform/standin"
	"github.com/cassialead/cassialead/settings"
)

// The crowd and the bounds of the tests of misbehaving clients. They were fixed on the code before the limits existed.
const (
	doorMemoryMB    = 64              // the node's memory setting, and the bound of its resident memory
	doorDescriptors = 400             // the node's descriptor setting, and the bound of its open descriptors
	doorCrowd       = 300             // connections of each form
	doorBody        = 1 << 20         // bytes, the limit of the configuration
	doorSettle      = 2 * time.Second // in which descriptors are counted
	doorPatience    = 8 * time.Second // in which a caller repeats an ordinary request that is refused
)

// doorNode is a node process with the target and the store that it needs.
type doorNode struct {
	*process
	cfg     settings.Agent
	metrics string
	store   *standin.Store
}

// doorOptions are the settings of a node under test.
type doorOptions struct {
	memoryMB    int64
	descriptors int
	maxBody     int
	store       *standin.Store     // of the other nodes; nil for a new one
	vm          fleet.NodeID       // "vm-door" if empty
	service     config.ServiceName // of its target; "stock" if empty
	host        string             // address of its listeners; a loopback address of the test process if empty
}

// startDoorNode starts a node process and waits until it serves.
func startDoorNode(t *testing.T) *doorNode { return startDoorNodeWith(t, doorMemoryMB, doorBody) }

// startDoorNodeWith is startDoorNode with other limits of memory and of a body.
func startDoorNodeWith(t *testing.T, memoryMB int64, maxBody int) *doorNode {
	t.Helper()
	n := launchDoorNode(t, doorOptions{memoryMB: memoryMB, descriptors: doorDescriptors, maxBody: maxBody})
	n.awaitServing()
	return n
}

// launchDoorNode starts a node process.
func launchDoorNode(t *testing.T, o doorOptions) *doorNode {
	t.Helper()
	if o.store == nil {
		o.store = standin.NewStore()
		t.Cleanup(o.store.Close)
		o.store.Put("op/config", doorPlan(t, o.maxBody))
	}
	target := &http.Server{Handler: http.HandlerFunc(serveDoorTarget)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = target.Serve(l) }()
	t.Cleanup(func() { _ = target.Close() })
	host := cmp.Or(o.host, standin.LoopbackIP())
	addresses := make([]fleet.Address, 5)
	for i := range addresses {
		addresses[i] = fleet.Address(fmt.Sprintf("%s:%d", host, doorPorts.Add(1)))
	}
	n := &doorNode{metrics: string(addresses[4]), store: o.store}
	n.cfg = settings.Agent{VM: cmp.Or(o.vm, "vm-door"), DataCentre: "dc", Region: "r", CallAddress: addresses[0], LinkAddress: addresses[1], ReadinessAddress: addresses[2],
		ControlAddress: addresses[3], AdvertisedAddress: addresses[1], Service: cmp.Or(o.service, "stock"), TargetAddress: fleet.Address(l.Addr().String()),
		StoreAddress: fleet.Address(o.store.Address()), HeartbeatInterval: time.Second, ShutdownGrace: 6 * time.Second, DrainPeriod: 2 * time.Second,
		ApplyTime: 2 * time.Second, RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, RetryBudgetWindow: 10 * time.Second, MinLease: time.Second,
		MemoryLimitBytes: o.memoryMB << 20, MaxDescriptors: o.descriptors}
	_, port, _ := net.SplitHostPort(n.metrics)
	last, _ := strconv.Atoi(port)
	text := platform.FormatSettings(n.cfg) + fmt.Sprintf("internalPorts=%d,%d\n", last-1, last)
	file := filepath.Join(t.TempDir(), "node.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n.process = startProcess(t, string(o.vm), nodeEnv+"=1", platform.SettingsVariable+"="+file)
	for _, a := range addresses {
		_, port, _ := net.SplitHostPort(string(a))
		number, _ := strconv.Atoi(port)
		n.ports = append(n.ports, uint16(number))
	}
	go n.sendHeartbeats()
	return n
}

// awaitServing waits until the node serves.
func (n *doorNode) awaitServing() {
	n.t.Helper()
	if status := n.retryOrdinary(20 * time.Second); status != http.StatusOK {
		n.t.Fatalf("the node does not serve without a crowd: %d", status)
	}
}

var doorPorts atomic.Int64

func init() { doorPorts.Store(24000) }

func doorPlan(t *testing.T, maxBody int) []byte {
	table := func(columns string, rows ...[]any) map[string]any {
		return map[string]any{"columns": strings.Fields(columns), "rows": rows}
	}
	b, err := json.Marshal(map[string]any{
		"version":  1,
		"services": table("name healthPath maxConns", []any{"stock", "/health", 120}),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"routes": table("name host prefix kind timeoutS targetLatencyS priority maxAttempts service",
			[]any{"r", "a.example", "/stock/", "safe", 2, 0.6, 2, 2, "stock"}),
	})
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// serveDoorTarget answers a call or a health check; the answer to /stock/big is as long as a node buffers.
func serveDoorTarget(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", "i-0")
	w.Header().Set("Server-Load", "0,0,9,100")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s")
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/stock/big" {
		_, _ = w.Write(make([]byte, 1000<<10))
	}
}

func (n *doorNode) sendHeartbeats() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		body := fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":%q,"version":"v1","zone":"dc","slots":9},"status":{"state":"ready","sequence":%d,"coldLeftS":0}}`,
			born, n.cfg.TargetAddress, n.cfg.Service, sequence)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(n.cfg.ControlAddress)+"/api/Instances.Heartbeat/i-0", strings.NewReader(body))
		if resp, err := http.DefaultClient.Do(r); err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		select {
		case <-n.exited:
			return
		case <-time.After(time.Second):
		}
	}
}

// ordinary sends one request with a body of the given pieces, a pause after each, and returns the status of the answer.
func (n *doorNode) ordinary(pieces int, piece []byte, pause time.Duration) int {
	return n.send(int64(pieces*len(piece)), pieces, piece, pause)
}

// send is ordinary with a declared length of the body, or with a negative one for a body in chunks.
func (n *doorNode) send(length int64, pieces int, piece []byte, pause time.Duration) int {
	body, in := io.Pipe()
	go func() {
		for range pieces {
			if _, err := in.Write(piece); err != nil {
				return
			}
			time.Sleep(pause)
		}
		_ = in.Close()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(n.cfg.CallAddress)+"/stock/1", body)
	r.Host, r.ContentLength = "a.example", length
	r.Header.Set("Request-Id", fmt.Sprintf("door-%d", doorPorts.Add(1)))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	_ = body.Close()
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// request sends a short request and returns the status of the answer.
func (n *doorNode) request() int { return n.ordinary(1, make([]byte, 2000), 0) }

// retryOrdinary repeats a short request until it is answered.
func (n *doorNode) retryOrdinary(patience time.Duration) int { return retry(patience, n.request) }

// crowd opens connections to an address and sends text on each, without reading; the connections stay open until the test ends.
func (p *process) crowd(count int, address fleet.Address, text string) {
	p.crowdFrom(func(int) net.IP { return nil }, count, address, text)
}

// crowdFrom is crowd with the local address of each connection.
func (p *process) crowdFrom(local func(i int) net.IP, count int, address fleet.Address, text string) {
	b := []byte(text)
	for i := range count {
		d := net.Dialer{Timeout: 5 * time.Second}
		if ip := local(i); ip != nil {
			d.LocalAddr = &net.TCPAddr{IP: ip}
		}
		conn, err := d.Dial("tcp4", string(address))
		if err != nil {
			continue
		}
		p.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		if p.writeBuffer > 0 {
			_ = conn.(*net.TCPConn).SetWriteBuffer(p.writeBuffer)
		}
		go func() { _, _ = conn.Write(b) }() // fails if the process closes the connection
	}
}

// upgradedCrowd is crowd with further text once the first byte of the answer to the handshake has arrived.
func (p *process) upgradedCrowd(count int, address fleet.Address, handshake, text string) {
	b := []byte(text)
	for range count {
		conn, err := net.DialTimeout("tcp4", string(address), 5*time.Second)
		if err != nil {
			continue
		}
		p.t.Cleanup(func() { _ = conn.Close() })
		go func() {
			_, err := io.WriteString(conn, handshake)
			if err == nil {
				_, err = conn.Read(make([]byte, 1))
			}
			if err == nil {
				_, _ = conn.Write(b) // fails if the process closes the connection
			}
		}()
	}
}

// trickle is crowd with one byte of a body every 100 ms after the text.
func (p *process) trickle(count int, address fleet.Address, text string) {
	for range count {
		conn, err := net.DialTimeout("tcp4", string(address), 5*time.Second)
		if err != nil {
			continue
		}
		p.t.Cleanup(func() { _ = conn.Close() })
		go func() {
			_, err := io.WriteString(conn, text)
			for ; err == nil; time.Sleep(100 * time.Millisecond) {
				_, err = io.WriteString(conn, "x")
			}
		}()
	}
}

// slowReaders opens connections to an address, sends text on each and reads a byte of the answers every 100 ms.
func (p *process) slowReaders(count int, address fleet.Address, text string) {
	b := []byte(text)
	for range count {
		conn, err := net.DialTimeout("tcp4", string(address), 5*time.Second)
		if err != nil {
			continue
		}
		p.t.Cleanup(func() { _ = conn.Close() })
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		go func() { _, _ = conn.Write(b) }() // fails if the process closes the connection
		go func() {
			for one := make([]byte, 1); err == nil; time.Sleep(100 * time.Millisecond) {
				_, err = conn.Read(one)
			}
		}()
	}
}

// head returns the head of a POST to a path with further fields.
func head(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: m\r\n" + fields + "\r\n"
}

// withLength and inChunks return requests whose bodies stop sent bytes after their beginning.
func withLength(path string, length, sent int) string {
	return head(path, fmt.Sprintf("Content-Length: %d\r\n", length)) + strings.Repeat("x", sent)
}

func inChunks(path string, sent int) string {
	const piece = 4000
	return head(path, "Transfer-Encoding: chunked\r\n") + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", piece, strings.Repeat("x", piece)), sent/piece)
}

// shortFields returns n fields of different names, 6 to 8 bytes each.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(1000+i), 36))
	}
	return b.String()
}

// listeners returns a path of each listener that takes no body there or refuses it.
func (n *doorNode) listeners() map[fleet.Address]string {
	return map[fleet.Address]string{n.cfg.CallAddress: "/none", n.cfg.LinkAddress: "/none", n.cfg.ReadinessAddress: platform.ReadinessPath, n.cfg.ControlAddress: "/none",
		fleet.Address(n.metrics): "/metrics"}
}

// Each form guards against a node that loses its memory or its descriptors to clients that don't complete what they began, or
// that refuses all others meanwhile.
func TestDoorMisbehaviour(t *testing.T) {
	for name, attack := range map[string]func(*doorNode){
		"bodies with a length stop one byte short": func(n *doorNode) {
			n.crowd(doorCrowd, n.cfg.CallAddress, withLength("/stock/1", doorBody, doorBody-1))
		},
		"bodies with a length stop after a tenth": func(n *doorNode) {
			n.crowd(doorCrowd, n.cfg.CallAddress, withLength("/stock/1", doorBody, doorBody/10))
		},
		"bodies in chunks stop short of their end": func(n *doorNode) {
			n.crowd(doorCrowd, n.cfg.CallAddress, inChunks("/stock/1", doorBody-4000))
		},
		"bodies arrive a byte at a time": func(n *doorNode) {
			n.trickle(doorCrowd, n.cfg.CallAddress, withLength("/stock/1", doorBody, doorBody/4))
		},
		"bodies stop on paths of all listeners that refuse": func(n *doorNode) {
			for address, path := range n.listeners() {
				n.crowd(doorCrowd/3, address, withLength(path, 200<<10, 100<<10))
			}
		},
		"bodies stop in messages of targets and nodes": func(n *doorNode) {
			n.crowd(doorCrowd, n.cfg.ControlAddress, withLength("/api/Instances.Heartbeat/i-0", 4000, 3999))
			n.crowd(doorCrowd, n.cfg.LinkAddress, withLength("/cassialead/view", 4<<20, 1<<20))
		},
		"bodies stop in the text of messages of nodes": func(n *doorNode) {
			text := head("/cassialead/view", "Content-Length: 4000000\r\n") + `{"plan":"` + strings.Repeat("A", 3<<20)
			n.crowd(doorCrowd/2, n.cfg.LinkAddress, text)
			text = head("/cassialead/demand", "Content-Length: 1000000\r\n") + `{"region":"` + strings.Repeat("A", 900<<10)
			n.crowd(doorCrowd/2, n.cfg.LinkAddress, text)
		},
		"bodies far over the limit": func(n *doorNode) {
			n.crowd(doorCrowd/2, n.cfg.CallAddress, withLength("/stock/1", 1<<40, 8*doorBody))
			n.crowd(doorCrowd/2, n.cfg.CallAddress, inChunks("/stock/1", 8*doorBody))
		},
		"heads of many short fields that stop": func(n *doorNode) {
			n.crowd(doorCrowd, n.cfg.CallAddress, strings.TrimSuffix(head("/stock/1", shortFields(9000)), "\r\n"))
		},
		"heads of many short fields before a body that stops": func(n *doorNode) {
			n.crowd(doorCrowd, n.cfg.CallAddress, head("/stock/1", shortFields(2400)+"Content-Length: 1000\r\n")+"x")
		},
		"many requests on a connection without reading answers": func(n *doorNode) {
			get := "GET /stock/big HTTP/1.1\r\nHost: a.example\r\nRequest-Id: m\r\n\r\n"
			n.crowd(doorCrowd, n.cfg.CallAddress, strings.Repeat(get, 2000))
		},
		"connections of all listeners stay silent or stop in their first line": func(n *doorNode) {
			for address := range n.listeners() {
				n.crowd(doorCrowd/6, address, "")
				n.crowd(doorCrowd/6, address, "GET / HT")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := startDoorNode(t)
			attack(n)
			n.check(n.request)
		})
	}
}

// A limit on misbehaving clients that a legal request reaches would refuse ordinary callers.
func TestDoorLegalRequests(t *testing.T) {
	n := startDoorNode(t)
	if got := n.ordinary(1, make([]byte, doorBody), 0); got != http.StatusOK {
		t.Errorf("the largest body got %d, want 200", got)
	}
	if got := n.ordinary(15, make([]byte, 1000), 100*time.Millisecond); got != http.StatusOK {
		t.Errorf("a slow and steady body got %d, want 200", got)
	}
	if got := n.ordinary(20, make([]byte, 1000), 150*time.Millisecond); got != http.StatusOK {
		t.Errorf("a steady body that takes longer than the route's timeout got %d, want 200", got)
	}
	conn, err := net.Dial("tcp4", string(n.cfg.CallAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	const pipelined = 50
	var requests strings.Builder
	for i := range pipelined {
		fields := shortFields(2)
		if i == 0 {
			fields = shortFields(2000)
		}
		fmt.Fprintf(&requests, "GET /stock/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: p%d\r\n%s\r\n", i, fields)
	}
	go func() { _, _ = io.WriteString(conn, requests.String()) }()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(conn)
	for i := range pipelined {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("pipelined request %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("pipelined request %d got %d, want 200", i, resp.StatusCode)
		}
	}
}

// The largest legal body was refused on the smallest VM because it exceeds the memory for all bodies.
func TestDoorLargestBody(t *testing.T) {
	const smallestMB, largest = 184, 64 << 20
	n := startDoorNodeWith(t, smallestMB, largest)
	if got := n.ordinary(16, make([]byte, largest/16), 0); got != http.StatusOK {
		t.Errorf("with a length: got %d, want 200", got)
	}
	if got := n.send(-1, 16, make([]byte, largest/16), 0); got != http.StatusOK {
		t.Errorf("in chunks: got %d, want 200", got)
	}
	peak := n.residentPeak()
	t.Logf("resident peak %.1f MB", float64(peak)/(1<<20))
	if peak > smallestMB<<20 {
		t.Errorf("resident memory of %d bytes, want at most %d MB", peak, smallestMB)
	}
}
