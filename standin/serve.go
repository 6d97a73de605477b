package standin

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/door"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/settings"
)

const (
	bodyTimeout      = 30 * time.Second // for a message, and above the time of the largest body at bodyRate
	bodyRate         = 64 << 10         // bytes per second
	bodyStallTimeout = 10 * time.Second // without a byte
	maxMessage       = 64 << 10         // bytes of a message that sets faults or opens a session
)

// serve starts a server within the limits of its process.
func serve(l net.Listener, name string, h http.Handler, limits settings.Limits) *http.Server {
	limits = limits.OrDefault()
	memory := door.Bytes(limits.MemoryBytes)
	g := listener.New(memory, listener.Deps{Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(), Now: time.Now})
	shares := door.NewShares(limits.Descriptors, memory)
	return g.Serve(l, listener.Server{Name: name, Handler: h, Connections: shares.Callers + shares.Nodes})
}

// readBody reads a complete body; it answers one that is not received or too long, and reports false.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, bool) {
	total := bodyTimeout + time.Duration(maxBytes/bodyRate)*time.Second
	body, err := listener.ReadBody(r, listener.BodyLimits{Bytes: maxBytes, Total: total, Stall: bodyStallTimeout})
	if err == nil {
		return body, true
	}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, listener.ErrTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, listener.ErrNoMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, listener.ErrLate):
		status = http.StatusRequestTimeout
	}
	http.Error(w, err.Error(), status)
	return nil, false
}

// bounded returns a handler that refuses requests while unread answers use up the memory, and counts the answers of h.
func bounded(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := listener.FromContext(r.Context())
		if c.Pressed() {
			http.Error(w, listener.ErrNoMemory.Error(), http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(c.Writer(w), r)
	})
}
