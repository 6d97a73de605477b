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
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gateway"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/route"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/store"
)

const (
	eventQueue    = 1024
	publishDelay  = 20 * time.Millisecond  // changes of records are gathered before a new table is built
	publishPeriod = 500 * time.Millisecond // least time between two tables for changes of records alone
	headerTimeout = 5 * time.Second
	shutdownWait  = 200 * time.Millisecond // lets the last records leave before the links close
)

// Deps are what a node needs from its surroundings.
type Deps struct {
	Store   store.Port
	Log     *slog.Logger
	Metrics *metrics.Set
	Rand    *rand.Rand
	Now     func() time.Time
	// Chooser is how a target is chosen; nil means route.TwoChoices.
	Chooser route.Chooser
}

// Node is one running node.
type Node struct {
	cfg      settings.Node
	deps     Deps
	traffic  *link.Traffic
	gateway  *gateway.Gateway
	versions *history.Log
	targets  *targets

	events chan any
	mu     sync.Mutex // guards links
	links  map[control.LinkID]*link.Conn
	lease  leaseHolder
	ctx    context.Context

	callServer, linkServer, localServer *http.Server
	self                                atomic.Pointer[fleet.Record]
	publishing                          bool
	published                           time.Time
	inbound                             atomic.Uint64
	ready                               atomic.Bool
	known                               atomic.Int64
	stopped                             chan struct{}
	killed                              chan struct{}
	killOnce                            sync.Once
}

// query asks the event loop to run a function on the state machine.
type query struct {
	run  func(*control.Core)
	done chan struct{}
}

// New opens the node's sockets; an address with port 0 takes a free port.
func New(cfg settings.Node, deps Deps) (*Node, error) {
	if deps.Chooser == nil {
		deps.Chooser = route.TwoChoices{}
	}
	n := &Node{cfg: cfg, deps: deps, links: map[control.LinkID]*link.Conn{}, stopped: make(chan struct{}),
		killed: make(chan struct{})}
	n.events = make(chan any, eventQueue)
	n.traffic = link.NewTraffic(deps.Metrics)
	n.versions = history.New(deps.Store, deps.Now, func() string { return "" })
	n.targets = newTargets(deps.Now, func(ts []fleet.Target) { n.post(control.TargetsChanged{Targets: ts}) })
	return n, n.listen()
}

func (n *Node) listen() error {
	var opened []net.Listener
	open := func(a *fleet.Address) net.Listener {
		l, err := net.Listen("tcp", string(*a))
		if err != nil {
			return nil
		}
		*a = fleet.Address(l.Addr().String())
		opened = append(opened, l)
		return l
	}
	call, linkL, local := open(&n.cfg.CallAddress), open(&n.cfg.LinkAddress), open(&n.cfg.LocalAddress)
	if call == nil || linkL == nil || local == nil {
		for _, l := range opened {
			_ = l.Close()
		}
		return errors.Newf("node %s: an address of %s, %s, %s is in use or not local", n.cfg.VM, n.cfg.CallAddress, n.cfg.LinkAddress, n.cfg.LocalAddress)
	}
	record := n.record()
	n.self.Store(&record)
	n.gateway = gateway.New(gateway.Deps{Node: record, Log: n.deps.Log, Metrics: n.deps.Metrics, Now: n.deps.Now,
		Targets: n.targets, Chooser: n.deps.Chooser, Claims: newClaims(n.deps.Store)})
	n.callServer = n.serve(call, n.gateway.Ingress())
	n.linkServer = n.serve(n.traffic.Listener(linkL), n.linkRouter())
	n.localServer = n.serve(local, n.localRouter())
	return nil
}

func (n *Node) record() fleet.Record {
	return fleet.Record{
		Node: n.cfg.VM, DataCentre: n.cfg.DataCentre, Region: n.cfg.Region, Call: n.cfg.CallAddress, Link: n.cfg.LinkAddress,
		Incarnation: fleet.Incarnation(n.deps.Now().UnixMilli()), Sequence: 1,
	}
}

func (n *Node) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: slog.NewLogLogger(n.deps.Log.Handler(), slog.LevelDebug)}
	go func() { _ = s.Serve(l) }()
	return s
}

func (n *Node) linkRouter() http.Handler {
	r := mux.NewRouter()
	n.gateway.RoutePeers(r)
	r.HandleFunc(link.Path, n.acceptLink)
	r.HandleFunc("/alive", func(http.ResponseWriter, *http.Request) {})
	n.routeOperators(r)
	return r
}

// Addresses returns where the node listens.
func (n *Node) Addresses() (call, linkAddress, local fleet.Address) {
	return n.cfg.CallAddress, n.cfg.LinkAddress, n.cfg.LocalAddress
}

// Traffic returns the byte counts of the node's links.
func (n *Node) Traffic() *link.Traffic { return n.traffic }

// Run feeds events to the state machine until ctx ends; then it drains and says that it ends.
func (n *Node) Run(ctx context.Context) error {
	loop, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.ctx = loop
	core := control.New(control.Settings{Record: *n.self.Load(), Seeds: n.cfg.Seeds}, n.deps.Now(), n.deps.Rand)
	go n.drainOnEnd(ctx, cancel)
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
			n.end()
			return nil
		case <-loop.Done():
			n.end()
			return nil
		}
		n.handle(core, e)
	}
}

func (n *Node) handle(core *control.Core, e any) {
	switch e := e.(type) {
	case query:
		e.run(core)
		close(e.done)
	case publishNow:
		n.publish(core)
	case control.Event:
		n.act(core, core.Step(n.deps.Now(), e))
		n.ready.Store(core.Ready())
	}
}

// drainOnEnd takes the node out of service when ctx ends and waits for the calls in flight.
func (n *Node) drainOnEnd(ctx context.Context, stop context.CancelFunc) {
	<-ctx.Done()
	n.post(control.Leave{})
	wait := context.Background()
	if n.cfg.DrainTimeout > 0 {
		var cancel context.CancelFunc
		wait, cancel = context.WithTimeout(wait, n.cfg.DrainTimeout)
		defer cancel()
	}
	n.gateway.Drain(wait)
	_ = n.callServer.Shutdown(wait)
	n.post(control.Shutdown{})
	last, cancel := context.WithTimeout(context.Background(), shutdownWait)
	defer cancel()
	_ = n.linkServer.Shutdown(last) // answers to other nodes leave before their connections close
	<-last.Done()
	stop()
}

func (n *Node) end() {
	n.closeAll()
	close(n.stopped)
}

// Kill ends the node at once, as a failing VM does.
func (n *Node) Kill() {
	n.killOnce.Do(func() { close(n.killed) })
	_ = n.callServer.Close()
	n.closeAll()
}

func (n *Node) closeAll() {
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

// Ask runs a function on the state machine between two events.
func (n *Node) Ask(run func(*control.Core)) {
	q := query{run: run, done: make(chan struct{})}
	n.post(q)
	select {
	case <-q.done:
	case <-n.stopped:
	}
}
