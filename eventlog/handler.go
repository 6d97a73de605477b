package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	burst = 15 // lines of one event in a second; the first ones are never left out
	span  = time.Second
)

// Handler bounds the lines of each event and says how many it left out.
type Handler struct {
	next   slog.Handler
	limits *limits
}

type limits struct {
	mu     sync.Mutex
	events map[string]*allowance
	writer *Writer
}

type allowance struct {
	since   time.Time
	used    int
	omitted int
}

// New returns a logger that writes JSON lines to w.
func New(w *Writer, vm string) *slog.Logger {
	return slog.New(&Handler{next: slog.NewJSONHandler(w, nil), limits: &limits{events: map[string]*allowance{}, writer: w}}).With("vm", vm)
}

// Enabled reports whether lines of a level are written.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// WithAttrs returns a handler that adds attributes.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{h.next.WithAttrs(attrs), h.limits}
}

// WithGroup returns a handler that puts attributes into a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.next.WithGroup(name), h.limits}
}

// Handle writes a record unless its event has used up its lines.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	ok, omitted := h.limits.take(r.Message, r.Time)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int("omitted", omitted))
	}
	if n := h.limits.writer.Dropped(); n > 0 {
		r.AddAttrs(slog.Int("dropped", n))
	}
	return h.next.Handle(ctx, r)
}

// take reports whether a line of an event may be written, and how many were left out before it.
func (l *limits) take(event string, now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.events[event]
	if a == nil {
		a = &allowance{since: now}
		l.events[event] = a
	}
	if passed := now.Sub(a.since); passed >= span || passed < 0 {
		a.since, a.used = now, 0
	}
	if a.used >= burst {
		a.omitted++
		return false, 0
	}
	a.used++
	omitted, a.omitted = a.omitted, 0
	return true, omitted
}
