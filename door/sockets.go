package door

import (
	"sync"
	"sync/atomic"
	"time"
)

// Count is a number of connections.
type Count int

const (
	defaultDescriptors = 4100     // of the smallest VM, if the settings name no limit
	fileDescriptors    = 200      // of them are for files
	socketBytes        = 16 << 10 // memory of an idle connection: its buffers and its goroutine
	socketMemoryShare  = 4        // all connections together may use 1/socketMemoryShare of the process's memory
	leastSockets       = 16       // of each listener
	strangerShare      = 2        // connections of unknown addresses may use 1/strangerShare of a listener's limit
	sixteenths         = 16
)

// Shares are the numbers of connections that each listener accepts.
type Shares struct{ Callers, Nodes, Other Count }

// NewShares divides the descriptors of a process. What the shares leave is for connections to targets, other nodes and the store.
// Zero descriptors mean the smallest VM's; zero memory means no limit by memory.
func NewShares(descriptors int, memory Bytes) Shares {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	n := Count(max(descriptors-fileDescriptors, 0))
	if memory > 0 {
		n = min(n, Count(memory/socketMemoryShare/socketBytes))
	}
	return Shares{Callers: max(n*5/sixteenths, leastSockets), Nodes: max(n*6/sixteenths, leastSockets), Other: max(n/(2*sixteenths), leastSockets)}
}

// Sockets are the connections of one listener.
type Sockets struct {
	limit     Count
	now       func() time.Time
	start     time.Time
	mu        sync.Mutex
	open      map[*Socket]struct{}
	strangers Count // of them, those from addresses that are not known
}

// NewSockets returns a table for at most limit connections.
func NewSockets(limit Count, now func() time.Time) *Sockets {
	return &Sockets{limit: limit, now: now, start: now(), open: map[*Socket]struct{}{}}
}

// Socket is an accepted connection.
type Socket struct {
	table    *Sockets
	close    func()
	stranger bool
	progress atomic.Int64 // time of the latest progress since the table's start
	running  atomic.Bool
	kept     atomic.Bool
}

// Verdict says what becomes of a new connection.
type Verdict int

// The verdicts on a new connection.
const (
	Accepted Verdict = iota
	Replaced         // accepted, another one was closed for it
	Rejected
)

// Admit decides on a new connection. If the table is full, or the share of connections whose address is not known, it closes the
// connection that has been idle or stalled for the longest time, or rejects the new one if all others are running a request or are kept.
func (t *Sockets) Admit(known bool, close func()) (*Socket, Verdict) {
	s := &Socket{table: t, close: close, stranger: !known}
	s.Progress()
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict := Accepted
	full := Count(len(t.open)) >= t.limit
	if tooMany := s.stranger && t.strangers >= t.limit/strangerShare; full || tooMany {
		v := t.longestIdle(tooMany)
		if v == nil {
			return nil, Rejected
		}
		t.remove(v)
		v.close()
		verdict = Replaced
	}
	t.open[s] = struct{}{}
	if s.stranger {
		t.strangers++
	}
	return s, verdict
}

// remove forgets a connection, if it is in the table; the caller holds mu.
func (t *Sockets) remove(s *Socket) {
	if _, ok := t.open[s]; !ok {
		return
	}
	delete(t.open, s)
	if s.stranger {
		t.strangers--
	}
}

// Open returns the number of connections.
func (t *Sockets) Open() Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Count(len(t.open))
}

// longestIdle returns the connection that has made no progress for the longest time, or nil; strangers go first. The caller holds mu.
func (t *Sockets) longestIdle(strangersOnly bool) *Socket {
	var v *Socket
	for s := range t.open {
		if s.running.Load() || !s.stranger && (strangersOnly || s.kept.Load()) {
			continue
		}
		if v == nil || s.stranger && !v.stranger || s.stranger == v.stranger && s.progress.Load() < v.progress.Load() {
			v = s
		}
	}
	return v
}

// Progress records that bytes have arrived or a request has ended.
func (s *Socket) Progress() { s.progress.Store(int64(s.table.now().Sub(s.table.start))) }

// SetRunning records whether a request that has arrived completely is running.
func (s *Socket) SetRunning(running bool) { s.running.Store(running) }

// Running reports whether a request that has arrived completely is running.
func (s *Socket) Running() bool { return s.running.Load() }

// Keep excludes a connection of another node from those that are closed for new ones, if its address is known.
func (s *Socket) Keep() { s.kept.Store(true) }

// Kept reports whether Keep excludes the connection from those that are closed for new ones.
func (s *Socket) Kept() bool { return s.kept.Load() && !s.stranger }

// Remove forgets a closed connection.
func (s *Socket) Remove() {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.remove(s)
}
