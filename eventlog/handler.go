package eventlog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

const (
	maxLinesPerInterval = 15 // lines per event; excess lines are omitted, so the first ones of an interval are always written
	limitInterval       = time.Second
)

// Handler is a slog.Handler that limits the rate of lines with the same message and adds the number of omitted ones to the next.
type Handler struct {
	next   slog.Handler
	limits *eventLimits
}

type eventLimits struct {
	mu     sync.Mutex
	events map[string]*lineCount
	writer *Writer // nil if lines are written at once
}

type lineCount struct {
	intervalStart time.Time
	written       int
	omitted       int
}

// New returns a logger that writes JSON lines to w.
func New(w *Writer, vm string) *slog.Logger {
	return slog.New(&Handler{next: slog.NewJSONHandler(w, nil), limits: &eventLimits{events: map[string]*lineCount{}, writer: w}}).With("vm", vm)
}

// Limit returns a handler that passes on as many lines of each event as those of New.
func Limit(next slog.Handler) slog.Handler {
	return &Handler{next: next, limits: &eventLimits{events: map[string]*lineCount{}}}
}

// Enabled reports whether lines of a level are written.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// WithAttrs returns a handler that adds attributes to each record and shares the rate limits.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{h.next.WithAttrs(attrs), h.limits}
}

// WithGroup returns a handler that puts attributes into a group and shares the rate limits.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.next.WithGroup(name), h.limits}
}

// Handle writes a record unless its event has reached the rate limit; it adds the counts of omitted and dropped lines.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	ok, omitted := h.limits.allow(r.Message, r.Time)
	if !ok {
		return nil
	}
	if omitted > 0 {
		r.AddAttrs(slog.Int("omitted", omitted))
	}
	if h.limits.writer != nil {
		if n := h.limits.writer.Dropped(); n > 0 {
			r.AddAttrs(slog.Int("dropped", n))
		}
	}
	return h.next.Handle(ctx, r)
}

// allow reports whether a line of an event may be written, and how many were omitted since the last one written.
func (l *eventLimits) allow(event string, now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.events[event]
	if c == nil {
		c = &lineCount{intervalStart: now}
		l.events[event] = c
	}
	if elapsed := now.Sub(c.intervalStart); elapsed >= limitInterval || elapsed < 0 {
		c.intervalStart, c.written = now, 0
	}
	if c.written >= maxLinesPerInterval {
		c.omitted++
		return false, 0
	}
	c.written++
	omitted, c.omitted = c.omitted, 0
	return true, omitted
}
