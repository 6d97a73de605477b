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
	"github.com/cassialead/cassialead/route"
	"github.com/cassialead/cassialead/standin"
)

const document = `
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

// memoryClaims is a store of claims in memory.
type memoryClaims struct {
	mu   sync.Mutex
	held map[string]ledger.Claimer
}

// Claim makes a claimer the holder of a name unless there is one.
func (c *memoryClaims) Claim(_ context.Context, name string, by ledger.Claimer) (ledger.Claimer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[name] == "" {
		c.held[name] = by
	}
	return c.held[name], nil
}

// Release gives a name back that a claimer holds.
func (c *memoryClaims) Release(_ context.Context, name string, by ledger.Claimer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[name] == by {
		delete(c.held, name)
	}
	return nil
}

// site is a set of gateways, each beside a target, that know of each other without any control traffic.
type site struct {
	places []*place
	cfg    *config.Config
	claims *memoryClaims
}

// place is one VM.
type place struct {
	record  fleet.Record
	gateway *gateway.Gateway
	target  *standin.Target
	metrics *metrics.Set
	wire    *wire
	caller  *httptest.Server
	peers   *httptest.Server
	lost    bool
	mu      sync.Mutex
	local   map[config.ServiceName]gateway.LocalTarget
}

// Target returns the place's target of a service.
func (p *place) Target(s config.ServiceName) (gateway.LocalTarget, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.local[s]
	return t, ok
}

// wire is a TCP relay that can go silent or hold back what callers send.
type wire struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	silent   bool       // open connections pass nothing on in either direction
	resume   *sync.Cond // signalled when silent is cleared
	fresh    bool       // connections opened from now on work in spite of silent
	open     []net.Conn
}

func newWire(to string) *wire {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	w := &wire{listener: l, to: to}
	w.resume = sync.NewCond(&w.mu)
	go w.serve()
	return w
}

func (w *wire) serve() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		to := w.to
		w.mu.Unlock()
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = c.Close()
			continue
		}
		w.mu.Lock()
		w.open = append(w.open, c, out)
		exempt := w.silent && w.fresh
		w.mu.Unlock()
		go w.relay(c, out, exempt)
		go w.relay(out, c, exempt)
	}
}

func (w *wire) relay(from, to net.Conn, exempt bool) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		w.mu.Lock()
		for w.silent && !exempt {
			w.resume.Wait()
		}
		w.mu.Unlock()
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

// cut closes all connections, as the death of a node does.
func (w *wire) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.open {
		_ = c.Close()
	}
}

// silence makes all open connections silent while new ones work.
func (w *wire) silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent, w.fresh = true, true
}

// restore passes on what was held back.
func (w *wire) restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = false
	w.resume.Broadcast()
}

// newSite starts n places in one data centre; skew sets each place's clock apart from the first one's.
func newSite(n int, skew time.Duration) *site {
	src, err := config.Parse("test", []byte(document))
	Expect(err).NotTo(HaveOccurred())
	cfg, err := config.Compile("test", src.Document)
	Expect(err).NotTo(HaveOccurred())
	s := &site{cfg: cfg, claims: &memoryClaims{held: map[string]ledger.Claimer{}}}
	for i := range n {
		s.places = append(s.places, newPlace(i, time.Duration(i)*skew, s.claims))
	}
	s.publish()
	DeferCleanup(s.close)
	return s
}

func newPlace(i int, skew time.Duration, claims gateway.Claims) *place {
	p := &place{metrics: metrics.NewSet()}
	t, err := standin.NewTarget(standin.TargetSettings{Service: "stock", Slots: 4, Work: time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	p.target = t
	p.local = map[config.ServiceName]gateway.LocalTarget{}
	for _, name := range []config.ServiceName{"stock", "orders"} {
		p.local[name] = gateway.LocalTarget{Service: name, Address: fleet.Address(t.Address()), Slots: 4, Connections: 64, Echo: true}
	}
	now := func() time.Time { return time.Now().Add(skew) }
	p.record = fleet.Record{Node: fleet.NodeID(fmt.Sprintf("vm-%d", i)), DataCentre: "norte", Region: "costa",
		Incarnation: fleet.Incarnation(now().UnixMilli()), Sequence: 1,
		Targets: []fleet.Target{{Service: "stock", Slots: 4}, {Service: "orders", Slots: 4}}}
	p.gateway = gateway.New(gateway.Deps{Node: p.record, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: p.metrics,
		Now: now, Targets: p, Chooser: route.TwoChoices{}, Claims: claims})
	p.caller = httptest.NewServer(p.gateway.Ingress())
	p.startPeers()
	p.wire = newWire(p.peers.Listener.Addr().String())
	p.record.Link = fleet.Address(p.wire.listener.Addr().String())
	return p
}

func (p *place) startPeers() {
	r := mux.NewRouter()
	p.gateway.RoutePeers(r)
	p.peers = httptest.NewServer(r)
}

// publish gives every gateway the same records; places named in only are the ones with targets.
func (s *site) publish(only ...int) {
	var rs []fleet.Record
	for i, p := range s.places {
		r := p.record
		if len(only) > 0 && !contains(only, i) {
			r.Targets = nil
		}
		rs = append(rs, r)
	}
	for _, p := range s.places {
		if !p.lost {
			p.gateway.Publish(s.cfg, 1, rs)
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

func (s *site) close() {
	for _, p := range s.places {
		p.wire.restore()
		p.target.Kill()
		p.caller.CloseClientConnections()
		p.peers.CloseClientConnections()
		_ = p.wire.listener.Close()
	}
}

// reply is a caller's view of an answer.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func (p *place) call(method, path string, header ...string) reply {
	req, err := http.NewRequest(method, p.caller.URL+path, strings.NewReader(strings.Repeat("b", 100)))
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

func (r reply) cause() string { return r.header.Get(gateway.HeaderCause) }
func (r reply) ran() string   { return r.header.Get(gateway.HeaderExecuted) }

func (s *site) runs(order string) int {
	n := 0
	for _, p := range s.places {
		n += p.target.Runs()[order]
	}
	return n
}

func (s *site) faults(f standin.TargetFaults, places ...int) {
	for _, i := range places {
		s.places[i].target.SetFaults(f)
	}
}

// replaceTarget puts another target in the place of the first.
func (p *place) replaceTarget(t *standin.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = t
	for name, l := range p.local {
		l.Address = fleet.Address(t.Address())
		p.local[name] = l
	}
}
