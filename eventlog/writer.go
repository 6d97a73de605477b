package eventlog

import (
	"io"
	"sync"
)

const maxPending = 256 << 10 // bytes that wait for a slow reader of the log

// Writer passes lines on from a goroutine of its own; lines that find its buffer full are dropped and counted.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer in front of out; Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > maxPending {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	w.signal()
	return len(line), nil
}

// Dropped returns how many lines were dropped since the last call.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes what is pending and ends the writer.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.signal()
	<-w.done
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		w.mu.Lock()
		lines, closed := w.pending, w.closed
		w.pending = w.spare[:0]
		w.mu.Unlock()
		if len(lines) > 0 {
			// A log that can't be written has nowhere to report it.
			_, _ = w.out.Write(lines)
		}
		w.spare = lines
		if closed {
			return
		}
	}
}
