package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/agent"
	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/platform/standin"
	"github.com/cassialead/cassialead/settings"
)

const (
	waitTimeout     = 8 * time.Second
	propagationTime = time.Second // for all nodes to receive each other's targets
)

// fakeTarget is a target that answers as the platform's targets do.
type fakeTarget struct {
	id        string
	startTime int64
	address   string
	runs      atomic.Int64
	healthy   atomic.Bool
	sequence  atomic.Int64
	version   atomic.Value // string, "v1" if unset
	fault     atomic.Value // func(http.ResponseWriter, *http.Request) bool
	health    atomic.Value // func(http.ResponseWriter), which answers health checks, or nil
}

func newFakeTarget(id string, startTime int64) *fakeTarget {
	a := &fakeTarget{id: id, startTime: startTime}
	a.healthy.Store(true)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	a.address = l.Addr().String()
	s := &http.Server{Handler: a}
	go func() { _ = s.Serve(l) }()
	DeferCleanup(s.Close)
	return a
}

// ServeHTTP answers a call or a health check.
func (a *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", a.id)
	w.Header().Set("Server-Load", "0,0,9,100")
	if f, ok := a.health.Load().(func(http.ResponseWriter)); ok && r.URL.Path == "/health" {
		f(w)
		return
	}
	if r.URL.Path == "/health" {
		if !a.healthy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	if id := r.Header.Get("Target-Instance"); id != "" && id != a.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a.runs.Add(1)
	if f, ok := a.fault.Load().(func(http.ResponseWriter, *http.Request) bool); ok && f != nil && f(w, r) {
		return
	}
	w.Header().Set("Response-Signature", "s")
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", a.id, r.Header.Get("Caller-Service"), body)
}

// node is an agent with the target beside it.
type node struct {
	cfg    settings.Agent
	target *fakeTarget
	stop   context.CancelFunc
	done   chan struct{}
	set    *metrics.Set
	agent  *agent.Agent
}

// ports are assigned below the kernel's ephemeral range, so that no outgoing connection occupies one between the check in
// freePort and the node's start.
var ports atomic.Int64

func init() { ports.Store(20000) }

func freePort() fleet.Address {
	for {
		address := fmt.Sprintf("%s:%d", standin.LoopbackIP(), ports.Add(1))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		Expect(l.Close()).To(Succeed())
		return fleet.Address(address)
	}
}

// cluster is a set of agents over one stand-in store.
type cluster struct {
	store *standin.Store
	nodes []*node
}

func newCluster(services ...string) *cluster {
	return newClusterWith(func(*settings.Agent) {}, services...)
}

// newClusterWith starts nodes after change has adapted their settings.
func newClusterWith(change func(*settings.Agent), services ...string) *cluster {
	s := &cluster{store: standin.NewStore()}
	DeferCleanup(s.store.Close)
	s.store.Put("op/config", plan(1, "/stock/", "stock"))
	for i, service := range services {
		n := &node{target: newFakeTarget(fmt.Sprintf("i-%d", i), time.Now().UnixMilli())}
		n.cfg = settings.Agent{VM: fleet.NodeID(fmt.Sprintf("vm-%d", i)), DataCentre: "costa-norte", Region: "costa", CallAddress: freePort(), LinkAddress: freePort(),
			ReadinessAddress: freePort(), ControlAddress: freePort(), Service: config.ServiceName(service), TargetAddress: fleet.Address(n.target.address),
			StoreAddress: fleet.Address(s.store.Address()), HeartbeatInterval: time.Second, ShutdownGrace: 6 * time.Second, DrainPeriod: 2 * time.Second, ApplyTime: 2 * time.Second,
			RetryBudgetRatio: 0.2, RetryBudgetSlack: 60, RetryBudgetWindow: 10 * time.Second, MinLease: time.Second}
		n.cfg.AdvertisedAddress = n.cfg.LinkAddress
		change(&n.cfg)
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	DeferCleanup(s.stopAll)
	paths := map[string]string{"stock": "/stock/1", "orders": "/orders/1"}
	for _, n := range s.nodes {
		Eventually(n.heartbeat).WithArguments("ready").WithTimeout(waitTimeout).Should(Equal(200))
	}
	for _, n := range s.nodes {
		Eventually(n.ready).WithTimeout(waitTimeout).Should(BeTrue())
		// A target whose first health check fails is open from its next heartbeat on.
		Eventually(func() lifecycle.State {
			if n.targetState() != lifecycle.Open {
				n.heartbeat("ready")
			}
			return n.targetState()
		}).WithTimeout(waitTimeout).Should(Equal(lifecycle.Open))
	}
	for _, n := range s.nodes {
		for _, service := range services {
			Eventually(n.status(paths[service])).WithTimeout(waitTimeout).Should(Equal(200))
		}
	}
	time.Sleep(propagationTime)
	for _, n := range s.nodes {
		n.target.runs.Store(0)
	}
	return s
}

// nodeNameTransport adds the node's name to its store calls, so that the stand-in can refuse single nodes.
type nodeNameTransport struct{ name string }

func (t nodeNameTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set(standin.NodeHeader, t.name)
	return http.DefaultTransport.RoundTrip(r)
}

func (s *cluster) start(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	set := metrics.NewSet()
	st := platform.NewStoreClient(n.cfg.StoreAddress, set)
	st.SetTransport(nodeNameTransport{string(n.cfg.VM)})
	a := agent.New(n.cfg, agent.Deps{Store: st, Log: slog.New(slog.NewTextHandler(GinkgoWriter, nil)).With("vm", n.cfg.VM), Metrics: set, Now: time.Now})
	n.stop, n.done, n.set, n.agent = cancel, make(chan struct{}), set, a
	go func() {
		defer GinkgoRecover()
		defer close(n.done)
		Expect(a.Run(ctx, nil)).To(Succeed())
	}()
}

// stopAll stops all nodes at once.
func (s *cluster) stopAll() {
	for _, n := range s.nodes {
		n.stop()
	}
	for _, n := range s.nodes {
		<-n.done
	}
}

func plan(version int, prefix, service string) []byte {
	route := func(name, prefix, kind, service string) []any {
		return []any{name, "a.example", prefix, kind, 2, 0.6, 2, 2, service}
	}
	table := func(columns string, rows ...[]any) map[string]any {
		return map[string]any{"columns": strings.Fields(columns), "rows": rows}
	}
	b, err := json.Marshal(map[string]any{
		"version":  version,
		"services": table("name healthPath maxConns", []any{"stock", "/health", 120}, []any{"orders", "/health", 120}),
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"routes": table("name host prefix kind timeoutS targetLatencyS priority maxAttempts service",
			route("r", prefix, "safe", service), route("o", "/orders/", "unsafe", "orders")),
	})
	Expect(err).NotTo(HaveOccurred())
	return b
}

func (n *node) ready() bool {
	resp, err := http.Get("http://" + string(n.cfg.ReadinessAddress) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// version returns the configuration version in force on the node.
func (n *node) version() int { return n.ping().Plan }

// targetState returns the state of the target beside the node, as other nodes learn it.
func (n *node) targetState() lifecycle.State { return n.ping().Record.Target.State }

type pong struct {
	Record member.Record `json:"record"`
	Plan   int           `json:"plan"`
}

func (n *node) ping() pong {
	resp, err := http.Get("http://" + string(n.cfg.LinkAddress) + "/cassialead/ping")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	var p pong
	Expect(json.NewDecoder(resp.Body).Decode(&p)).To(Succeed())
	return p
}

// heartbeat sends a heartbeat and returns the status of its acknowledgement.
func (n *node) heartbeat(state string) int {
	version, ok := n.target.version.Load().(string)
	if !ok {
		version = "v1"
	}
	body := fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":%q,"version":%q,"zone":"z","slots":9},"status":{"state":%q,"sequence":%d,"coldLeftS":0}}`,
		n.target.startTime, n.target.address, n.cfg.Service, version, state, n.target.sequence.Add(1))
	return n.post("/api/Instances.Heartbeat/"+n.target.id, body)
}

func (n *node) post(path, body string) int {
	resp, err := http.Post("http://"+string(n.cfg.ControlAddress)+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

var requests atomic.Int64

// call sends a request through the node and returns the status, the body and the headers of the answer.
func (n *node) call(method, path, body string) (int, string, http.Header) {
	r, err := http.NewRequest(method, "http://"+string(n.cfg.CallAddress)+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "a.example"
	r.Header.Set("Request-Id", fmt.Sprintf("req-%d", requests.Add(1)))
	r.Header.Set("Timeout-Ms", "3000")
	r.Header.Set("Caller-Service", "forged")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(b), resp.Header
}

func (n *node) status(path string) func() int {
	return func() int {
		status, _, _ := n.call(http.MethodGet, path, "")
		return status
	}
}
