package eventlog

import (
	"io"
	"sync"
)

const maxPendingBytes = 256 << 10 // lines are dropped beyond this backlog of a slow output

// Writer writes lines to its output in a separate goroutine; lines that don't fit its buffer are dropped and counted.
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

// NewWriter returns a buffering writer to out and starts its goroutine, which Close stops.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full or the writer closed; it never blocks on the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	w.wakeWriter()
	return len(line), nil
}

// Dropped returns the number of lines dropped since the previous call of Dropped.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

// Close writes the buffered lines and stops the goroutine.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wakeWriter()
	<-w.done
}

func (w *Writer) wakeWriter() {
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
			// The error is ignored: there is no other output to report it to.
			_, _ = w.out.Write(lines)
		}
		w.spare = lines
		if closed {
			return
		}
	}
}
