package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gateway"
	"github.com/cassialead/cassialead/ledger"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/route"
	"github.com/cassialead/cassialead/standin"
)

const configDocument = `
[defaults]
timeout = 3s
hedge = true

[service stock]
calls = idempotent

[service orders]
calls = at-most-once

[route stock]
path = /stock
service = stock

[route downloads]
path = /downloads
service = stock
class = long
timeout = 20s

[route orders]
path = /orders
service = orders

[route nobody]
path = /nobody
service = orders
`

// memoryClaims is an in-memory gateway.ClaimStore.
type memoryClaims struct {
	mu     sync.Mutex
	heldBy map[string]ledger.ClaimerID
}

// Claim acquires a name for a claimer if it is free, and returns the current holder.
func (c *memoryClaims) Claim(_ context.Context, name string, by ledger.ClaimerID) (ledger.ClaimerID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldBy[name] == "" {
		c.heldBy[name] = by
	}
	return c.heldBy[name], nil
}

// Release frees a name if the claimer holds it.
func (c *memoryClaims) Release(_ context.Context, name string, by ledger.ClaimerID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heldBy[name] == by {
		delete(c.heldBy, name)
	}
	return nil
}

// testCluster is a set of gateways, each with a target, that get each other's records from the test itself.
type testCluster struct {
	nodes  []*testNode
	cfg    *config.Config
	claims *memoryClaims
}

// testNode is a gateway and its target, as on one VM.
type testNode struct {
	guard         *listener.Guard
	record        fleet.Record
	gateway       *gateway.Gateway
	target        *standin.Target
	metrics       *metrics.Set
	proxy         *tcpProxy
	ingressServer *httptest.Server
	peerServer    *httptest.Server
	lost          bool
	mu            sync.Mutex
	localTargets  map[config.ServiceName]gateway.LocalTarget
}

// Target returns the node's target of a service.
func (n *testNode) Target(s config.ServiceName) (gateway.LocalTarget, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.localTargets[s]
	return t, ok
}

// tcpProxy forwards connections to a node's peer server, and can stall or close them.
type tcpProxy struct {
	listener  net.Listener
	upstream  string
	mu        sync.Mutex
	stalled   bool       // open connections forward nothing in either direction
	resumed   *sync.Cond // signalled when stalled is cleared
	exemptNew bool       // connections opened while stalled is set are not stalled
	conns     []net.Conn
}

func newTCPProxy(upstream string) *tcpProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	p := &tcpProxy{listener: l, upstream: upstream}
	p.resumed = sync.NewCond(&p.mu)
	go p.serve()
	return p
}

func (p *tcpProxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		upstream := p.upstream
		p.mu.Unlock()
		out, err := net.Dial("tcp", upstream)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, c, out)
		exempt := p.stalled && p.exemptNew
		p.mu.Unlock()
		go p.relay(c, out, exempt)
		go p.relay(out, c, exempt)
	}
}

func (p *tcpProxy) relay(from, to net.Conn, exempt bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		for p.stalled && !exempt {
			p.resumed.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// closeAll closes all connections, as the crash of a node does.
func (p *tcpProxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// stallOpen stalls all open connections; new ones work.
func (p *tcpProxy) stallOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled, p.exemptNew = true, true
}

// resumeAll resumes the stalled connections, which forward what has been sent meanwhile.
func (p *tcpProxy) resumeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalled = false
	p.resumed.Broadcast()
}

// newTestCluster starts n nodes in one data centre; the clock of node i is i times skew ahead.
func newTestCluster(n int, skew time.Duration) *testCluster {
	src, err := config.Parse("test", []byte(configDocument))
	Expect(err).NotTo(HaveOccurred())
	cfg, err := config.Compile("test", src.Document)
	Expect(err).NotTo(HaveOccurred())
	c := &testCluster{cfg: cfg, claims: &memoryClaims{heldBy: map[string]ledger.ClaimerID{}}}
	for i := range n {
		c.nodes = append(c.nodes, newTestNode(i, time.Duration(i)*skew, c.claims))
	}
	c.publish()
	DeferCleanup(c.close)
	return c
}

func newTestNode(i int, skew time.Duration, claims gateway.ClaimStore) *testNode {
	n := &testNode{metrics: metrics.NewSet()}
	t, err := standin.NewTarget(standin.TargetSettings{Service: "stock", Slots: 4, ServiceTime: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	n.target = t
	n.localTargets = map[config.ServiceName]gateway.LocalTarget{}
	for _, name := range []config.ServiceName{"stock", "orders"} {
		n.localTargets[name] = gateway.LocalTarget{Service: name, Address: fleet.Address(t.Address()), Slots: 4, MaxConnections: 64, EchoesAttemptID: true}
	}
	now := func() time.Time { return time.Now().Add(skew) }
	n.record = fleet.Record{Node: fleet.NodeID(fmt.Sprintf("vm-%d", i)), DataCentre: "norte", Region: "costa",
		Incarnation: fleet.Incarnation(now().UnixMilli()), Sequence: 1,
		Targets: []fleet.Target{{Service: "stock", Slots: 4}, {Service: "orders", Slots: 4}}}
	n.gateway = gateway.New(gateway.Deps{Node: n.record, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: n.metrics,
		Now: now, Targets: n, Balancer: route.PowerOfTwoChoices{}, ClaimStore: claims})
	n.guard = listener.New(0, listener.Deps{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: n.metrics, Now: now})
	n.ingressServer = n.startServer("call", n.gateway.IngressHandler())
	n.startPeerServer()
	n.proxy = newTCPProxy(n.peerServer.Listener.Addr().String())
	n.record.LinkAddress = fleet.Address(n.proxy.listener.Addr().String())
	return n
}

func (n *testNode) startPeerServer() {
	r := mux.NewRouter()
	n.gateway.RegisterPeerRoutes(r)
	n.peerServer = n.startServer("link", r)
}

func (n *testNode) startServer(name string, h http.Handler) *httptest.Server {
	s := httptest.NewUnstartedServer(nil)
	s.Listener = n.guard.Apply(s.Config, s.Listener, listener.Server{Name: name, Handler: h, Connections: 1000})
	s.Start()
	return s
}

// publish updates every gateway with the same records; if withTargets is given, just these nodes have targets.
func (c *testCluster) publish(withTargets ...int) {
	var rs []fleet.Record
	for i, n := range c.nodes {
		r := n.record
		if len(withTargets) > 0 && !contains(withTargets, i) {
			r.Targets = nil
		}
		rs = append(rs, r)
	}
	for _, n := range c.nodes {
		if !n.lost {
			n.gateway.Update(c.cfg, 1, rs)
		}
	}
}

func contains(ns []int, n int) bool {
	for _, m := range ns {
		if m == n {
			return true
		}
	}
	return false
}

func (c *testCluster) close() {
	for _, n := range c.nodes {
		n.proxy.resumeAll()
		n.target.Kill()
		n.ingressServer.CloseClientConnections()
		n.peerServer.CloseClientConnections()
		_ = n.proxy.listener.Close()
	}
}

// reply is the response that a caller gets, or the error.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (n *testNode) call(method, path string, header ...string) reply {
	req, err := http.NewRequest(method, n.ingressServer.URL+path, strings.NewReader(strings.Repeat("b", 100)))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err}
}

func (r reply) cause() string    { return r.header.Get(gateway.HeaderCause) }
func (r reply) executed() string { return r.header.Get(gateway.HeaderExecuted) }

func (c *testCluster) executions(order string) int {
	total := 0
	for _, n := range c.nodes {
		total += n.target.Executions()[order]
	}
	return total
}

func (c *testCluster) setFaults(f standin.TargetFaults, nodes ...int) {
	for _, i := range nodes {
		c.nodes[i].target.SetFaults(f)
	}
}

// replaceTarget replaces the node's target for all services.
func (n *testNode) replaceTarget(t *standin.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.target = t
	for name, l := range n.localTargets {
		l.Address = fleet.Address(t.Address())
		n.localTargets[name] = l
	}
}
