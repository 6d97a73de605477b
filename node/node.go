package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/door"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gateway"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/route"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/store"
)

const (
	eventQueueSize           = 1024
	gatewayUpdateDelay       = 20 * time.Millisecond  // time for which changes of membership records are batched
	minGatewayUpdateInterval = 500 * time.Millisecond // minimum time between two updates for changes of membership records
	localBodyTimeout         = 2 * time.Second        // for a body of a target or an operator
	linkDrainTime            = 200 * time.Millisecond // time to send the last membership records before links close
)

// Deps are the dependencies of a node.
type Deps struct {
	Store   store.KV
	Log     *slog.Logger
	Metrics *metrics.Set
	Rand    *rand.Rand
	Now     func() time.Time
	// Balancer is the load-balancing policy; nil means route.PowerOfTwoChoices.
	Balancer route.Balancer
}

// Node is one node of the fleet: its HTTP servers, its links to other nodes and its event loop.
type Node struct {
	cfg       settings.Node
	deps      Deps
	limits    settings.Limits
	guard     *listener.Guard
	nodeHosts listener.Hosts // of the other nodes
	traffic   *link.Traffic
	gateway   *gateway.Gateway
	versions  *history.Log
	targets   *targetRegistry

	events     chan any
	mu         sync.Mutex // guards links
	links      map[control.LinkID]*link.Conn
	storeState storeState
	loopCtx    context.Context // of the background requests; ends with the event loop

	callServer, linkServer, localServer *http.Server
	selfRecord                          atomic.Pointer[fleet.Record]
	updateScheduled                     bool
	updatedAt                           time.Time // when the gateway was last updated
	inboundLinks                        atomic.Uint64
	ready                               atomic.Bool
	knownNodes                          atomic.Int64
	stopped                             chan struct{}
	killed                              chan struct{}
	killOnce                            sync.Once
}

// inspection is an event that runs a function on the state machine.
type inspection struct {
	run  func(*control.Core)
	done chan struct{}
}

// New creates a node and starts its HTTP servers; port 0 in an address selects a free port.
func New(cfg settings.Node, deps Deps) (*Node, error) {
	if deps.Balancer == nil {
		deps.Balancer = route.PowerOfTwoChoices{}
	}
	limits := cfg.Limits.OrDefault()
	n := &Node{cfg: cfg, deps: deps, limits: limits, guard: listener.New(door.Bytes(limits.MemoryBytes), listener.Deps{Log: deps.Log, Metrics: deps.Metrics, Now: deps.Now}),
		links: map[control.LinkID]*link.Conn{}, stopped: make(chan struct{}),
		killed: make(chan struct{})}
	n.events = make(chan any, eventQueueSize)
	n.traffic = link.NewTraffic(deps.Metrics)
	n.versions = history.New(deps.Store, deps.Now, func() string { return "" })
	n.targets = newTargetRegistry(deps.Now, func(ts []fleet.Target) { n.post(control.TargetsChanged{Targets: ts}) })
	return n, n.listen()
}

func (n *Node) listen() error {
	var opened []net.Listener
	open := func(a *fleet.Address) net.Listener {
		l, err := exchange.Listen(string(*a))
		if err != nil {
			return nil
		}
		*a = fleet.Address(l.Addr().String())
		opened = append(opened, l)
		return l
	}
	callListener, linkListener, localListener := open(&n.cfg.CallAddress), open(&n.cfg.LinkAddress), open(&n.cfg.LocalAddress)
	if callListener == nil || linkListener == nil || localListener == nil {
		for _, l := range opened {
			_ = l.Close()
		}
		return errors.Newf("node %s: failed to listen: one of %s, %s, %s is in use or not a local address", n.cfg.VM, n.cfg.CallAddress, n.cfg.LinkAddress, n.cfg.LocalAddress)
	}
	record := n.initialRecord()
	n.selfRecord.Store(&record)
	n.gateway = gateway.New(gateway.Deps{Node: record, Log: n.deps.Log, Metrics: n.deps.Metrics, Now: n.deps.Now,
		Targets: n.targets, Balancer: n.deps.Balancer, ClaimStore: newClaimStore(n.deps.Store)})
	shares := door.NewShares(n.limits.Descriptors, door.Bytes(n.limits.MemoryBytes))
	n.callServer = n.guard.Serve(callListener, listener.Server{Name: "call", Handler: n.gateway.IngressHandler(), Connections: shares.Callers})
	n.linkServer = n.guard.Serve(n.traffic.WrapListener(linkListener), listener.Server{Name: "link", Handler: n.linkRouter(), Connections: shares.Nodes, Known: n.nodeHosts.Has})
	n.localServer = n.guard.Serve(localListener, listener.Server{Name: "local", Handler: n.localRouter(), Connections: shares.Other, Unread: localBodyTimeout})
	return nil
}

func (n *Node) initialRecord() fleet.Record {
	return fleet.Record{
		Node: n.cfg.VM, DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, CallAddress: n.cfg.CallAddress, LinkAddress: n.cfg.LinkAddress,
		Incarnation: fleet.Incarnation(n.deps.Now().UnixMilli()), Sequence: 1,
	}
}

func (n *Node) linkRouter() http.Handler {
	r := mux.NewRouter()
	n.gateway.RegisterPeerRoutes(r)
	r.HandleFunc(link.Path, n.acceptLink)
	r.HandleFunc("/alive", func(http.ResponseWriter, *http.Request) {})
	n.registerOperatorRoutes(r)
	return r
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() (call, linkAddress, local fleet.Address) {
	return n.cfg.CallAddress, n.cfg.LinkAddress, n.cfg.LocalAddress
}

// Traffic returns the byte counters of the node's links.
func (n *Node) Traffic() *link.Traffic { return n.traffic }

// Run delivers events to the state machine until ctx is cancelled; then it announces the departure of the node, drains
// it and stops.
func (n *Node) Run(ctx context.Context) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.loopCtx = loopCtx
	machine := control.New(control.Settings{Record: *n.selfRecord.Load(), Seeds: n.cfg.Seeds}, n.deps.Now(), n.deps.Rand)
	go n.drainOnCancel(ctx, cancel)
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	for {
		var e any
		select {
		case e = <-n.events:
		case <-ticker.C:
			n.targets.expire()
			e = control.Tick{}
		case <-n.killed:
			n.stop()
			return nil
		case <-loopCtx.Done():
			n.stop()
			return nil
		}
		n.handle(machine, e)
	}
}

func (n *Node) handle(machine *control.Core, e any) {
	switch e := e.(type) {
	case inspection:
		e.run(machine)
		close(e.done)
	case gatewayUpdateDue:
		n.updateGateway(machine)
	case control.Event:
		n.perform(machine, machine.Step(n.deps.Now(), e))
		n.ready.Store(machine.Ready())
	}
}

// drainOnCancel waits until ctx is cancelled, announces the departure of the node, drains it within the drain timeout,
// and stops the event loop.
func (n *Node) drainOnCancel(ctx context.Context, cancelLoop context.CancelFunc) {
	<-ctx.Done()
	n.post(control.Leave{})
	drainCtx := context.Background()
	if n.cfg.DrainTimeout > 0 {
		var cancel context.CancelFunc
		drainCtx, cancel = context.WithTimeout(drainCtx, n.cfg.DrainTimeout)
		defer cancel()
	}
	n.gateway.Drain(drainCtx)
	_ = n.callServer.Shutdown(drainCtx)
	n.post(control.Shutdown{})
	linkCtx, cancel := context.WithTimeout(context.Background(), linkDrainTime)
	defer cancel()
	_ = n.linkServer.Shutdown(linkCtx) // completes responses to other nodes before their connections are closed
	<-linkCtx.Done()
	cancelLoop()
}

func (n *Node) stop() {
	n.closeConnections()
	close(n.stopped)
}

// Kill stops the node immediately and without draining, to simulate the failure of its VM.
func (n *Node) Kill() {
	n.killOnce.Do(func() { close(n.killed) })
	_ = n.callServer.Close()
	n.closeConnections()
}

func (n *Node) closeConnections() {
	_ = n.linkServer.Close()
	_ = n.localServer.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.links {
		c.Abort()
	}
}

func (n *Node) post(e any) {
	select {
	case n.events <- e:
	case <-n.stopped:
	}
}

// Inspect runs a function on the state machine between two events, and waits for it unless the node has stopped.
func (n *Node) Inspect(run func(*control.Core)) {
	q := inspection{run: run, done: make(chan struct{})}
	n.post(q)
	select {
	case <-q.done:
	case <-n.stopped:
	}
}
