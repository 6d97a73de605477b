package listener

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/door"
)

// MaxHeaderBytes is the size of a request or response header above any limit that a configuration sets for callers.
const MaxHeaderBytes = 64 << 10

// IdleTimeout is the time without a request after which a connection is closed, above any limit that a configuration sets for callers.
const IdleTimeout = 2 * time.Minute

const (
	headerTimeout = 10 * time.Second     // above any limit that a configuration sets for callers
	acceptPause   = 5 * time.Millisecond // after a rejected connection, so that a flood of them leaves time for the others
)

// Deps are the dependencies of a Guard.
type Deps struct {
	Log     *slog.Logger
	Metrics *metrics.Set
	Now     func() time.Time
}

// Guard holds the limits that the servers of a process share.
type Guard struct {
	deps      Deps
	memory    *door.Budget
	buffers   *buffers
	lingering atomic.Int64
}

// New returns the limits of a process with the given memory; zero means no limit.
func New(memory door.Bytes, deps Deps) *Guard {
	g := &Guard{deps: deps, memory: door.NewBudget(memory, deps.Now)}
	g.buffers = newBuffers(memory, g)
	deps.Metrics.GetOrCreateGauge("cassialead_request_memory_bytes", func() float64 { return float64(g.memory.Used()) })
	return g
}

// Memory returns the memory of what clients send and don't read.
func (g *Guard) Memory() *door.Budget { return g.memory }

// Server describes an HTTP server.
type Server struct {
	Name    string // in metrics and log lines
	Handler http.Handler
	// Connections is the number of connections that are open at a time.
	Connections door.Count
	// Known reports whether connections come from an address that may use all of Connections; others may use half of them. Nil means any.
	Known func(net.Addr) bool
	// Unread is the time for a body from the beginning of its handler; zero if the handler sets a deadline.
	Unread time.Duration
}

// Apply lets a server that has not been started keep the limits; it has to serve the returned listener in place of l. L bounds each
// write of its connections, as those of exchange.Listen do.
func (g *Guard) Apply(server *http.Server, l net.Listener, s Server) net.Listener {
	table := door.NewSockets(s.Connections, g.deps.Now)
	g.deps.Metrics.GetOrCreateGauge(`cassialead_connections{listener="`+s.Name+`"}`, func() float64 { return float64(table.Open()) })
	server.Handler, server.ConnState = limitUnread(dropAbandoned(s.Handler), s.Unread), stateChanged
	server.MaxHeaderBytes, server.ReadHeaderTimeout, server.IdleTimeout = MaxHeaderBytes, headerTimeout, IdleTimeout
	server.ErrorLog = slog.NewLogLogger(g.deps.Log.Handler(), slog.LevelDebug)
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c.(*Conn))
	}
	return &limited{Listener: l, guard: g, name: s.Name, table: table, known: s.Known}
}

// Serve starts a server on l, see Apply, and returns it.
func (g *Guard) Serve(l net.Listener, s Server) *http.Server {
	server := &http.Server{}
	l = g.Apply(server, l, s)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.deps.Log.Error("server stopped unexpectedly", "server", s.Name, "error", err)
		}
	}()
	return server
}

// limited accepts connections within the limit of its table.
type limited struct {
	net.Listener
	guard *Guard
	name  string
	table *door.Sockets
	known func(net.Addr) bool
}

// Accept returns the next connection; it closes those for which there is no room.
func (l *limited) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, guard: l.guard, known: l.known != nil && l.known(nc.RemoteAddr())}
		c.inHead.Store(true)
		socket, verdict := l.table.Admit(l.known == nil || c.known, c.abort)
		if verdict != door.Accepted {
			l.guard.countClosed(`cassialead_connections_closed_total{listener="`+l.name+`"}`, "connection closed, listener is full", "listener", l.name,
				"from", nc.RemoteAddr(), "rejected", verdict == door.Rejected)
		}
		if verdict == door.Rejected {
			_ = nc.Close()
			time.Sleep(acceptPause)
			continue
		}
		c.socket = socket
		l.guard.buffers.admit(c)
		return c, nil
	}
}

// countClosed counts and logs that a limit on clients has taken effect.
func (g *Guard) countClosed(counter, message string, args ...any) {
	g.deps.Metrics.GetOrCreateCounter(counter).Inc()
	g.deps.Log.Info(message, args...)
}
