package door

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Bytes is an amount of memory.
type Bytes int64

const (
	memoryShare    = 8                      // heads, bodies and unread answers together may use 1/memoryShare of the process's memory
	processReserve = 112 << 20              // bytes that a process uses besides one body that exceeds its share
	largestBody    = 72 << 20               // bytes of one body that exceeds the share: 64 MiB and the growth of its buffer
	stallAfter     = 500 * time.Millisecond // without progress; above the retransmission of a lost packet
	pressedShare   = 12                     // sixteenths of the memory that unread answers may use before new requests are refused
	pressedTime    = 200 * time.Millisecond // in which memory is collected after an answer had to give way; a collection takes up to 50 ms on a busy machine
	rateWindow     = time.Second            // in which the rate of a holder is measured before it is compared
)

// Errors of a Hold.
var (
	ErrFull   = errors.New("memory for requests is used up")
	ErrClosed = errors.New("closed in favour of requests that make progress")
)

// Budget limits the memory that clients make a node hold. A zero limit means none.
type Budget struct {
	limit, lone Bytes
	now         func() time.Time
	start       time.Time
	answers     atomic.Int64 // bytes of answers in memory, those that have given way included
	pressedTill atomic.Int64 // time since start until which new requests are refused; zero if none ever was

	mu    sync.Mutex // guards the fields below and those of the holds
	used  Bytes
	large *Hold // the only hold that may exceed its share, up to lone; its bytes don't count against limit
	holds map[*Hold]struct{}
}

// NewBudget returns the budget of a process with the given memory. One body at a time may exceed the share of all if the process's
// memory has room for it.
func NewBudget(memory Bytes, now func() time.Time) *Budget {
	b := &Budget{limit: memory / memoryShare, now: now, start: now(), holds: map[*Hold]struct{}{}}
	b.lone = max(b.limit, min(largestBody, memory-processReserve))
	return b
}

// Largest returns the bytes that one request may hold, or zero if there is no limit.
func (b *Budget) Largest() Bytes { return b.lone }

// Used returns the bytes in use.
func (b *Budget) Used() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Hold is the memory of one request or answer.
type Hold struct {
	budget   *Budget
	close    func()
	moved    atomic.Int64 // bytes received or sent
	progress atomic.Int64 // time of the latest progress since the budget's start

	bytes   Bytes
	grownAt time.Duration // when the hold grew last
	grownTo int64         // value of moved then
	pinned  bool
	closed  bool
	answer  Bytes // counted in Budget.answers until Release
}

// Open returns a hold without memory. Close is called without delay if the hold has to give way; it must not block.
func (b *Budget) Open(close func()) *Hold {
	h := &Hold{budget: b, close: close}
	h.progress.Store(int64(b.now().Sub(b.start)))
	return h
}

// Progress records that n bytes were received or sent. A nil hold ignores it.
func (h *Hold) Progress(n int) {
	if h == nil {
		return
	}
	h.moved.Add(int64(n))
	h.progress.Store(int64(h.budget.now().Sub(h.budget.start)))
}

// Take adds n bytes. Holds that are stalled or slowest are closed for it. It returns ErrFull if there are none, or ErrClosed if this
// one was closed. A nil hold takes nothing.
func (h *Hold) Take(n Bytes) error {
	if h == nil {
		return nil
	}
	return h.take(n, stallAfter)
}

// TakeAnswer adds the n bytes of an answer, which are in memory already and can't be refused. The holds that have made no progress
// for the longest time are closed for it.
func (h *Hold) TakeAnswer(n Bytes) error {
	h.answer += n
	h.budget.answers.Add(int64(n))
	err := h.take(n, 0)
	if errors.Is(err, ErrFull) {
		h.add(n)
		return nil
	}
	return err
}

func (h *Hold) add(n Bytes) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.grow(n)
}

// grow adds n bytes; the caller holds mu.
func (h *Hold) grow(n Bytes) {
	b := h.budget
	b.used += n
	h.bytes += n
	h.grownAt, h.grownTo = b.now().Sub(b.start), h.moved.Load()
	if !h.pinned {
		b.holds[h] = struct{}{}
	}
}

func (h *Hold) take(n Bytes, stall time.Duration) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !h.closed && !b.fits(h, n) {
		v := worst(b.holds, h, b.now().Sub(b.start), stall)
		if h.answer > 0 {
			b.pressedTill.Store(int64(b.now().Sub(b.start) + pressedTime))
		}
		if v == nil {
			return ErrFull
		}
		v.evict()
	}
	if h.closed {
		return ErrClosed
	}
	h.grow(n)
	return nil
}

// fits reports whether a hold may grow by n bytes; the caller holds mu.
func (b *Budget) fits(h *Hold, n Bytes) bool {
	if b.limit <= 0 {
		return true
	}
	if b.large == h {
		return h.bytes+n <= b.lone
	}
	shared := b.used
	if b.large != nil {
		shared -= b.large.bytes
	}
	if shared+n <= b.limit {
		return true
	}
	if b.large == nil && b.lone > b.limit && h.bytes+n > b.limit/2 && b.used+n <= b.lone {
		b.large = h
		return true
	}
	return false
}

// evict gives up the hold's memory and closes its request; the caller holds mu.
func (h *Hold) evict() {
	h.drop()
	h.closed = true
	h.close()
}

// drop returns the hold's memory; the caller holds mu.
func (h *Hold) drop() {
	b := h.budget
	b.used -= h.bytes
	h.bytes = 0
	delete(b.holds, h)
	if b.large == h {
		b.large = nil
	}
}

// Large reports whether the hold is the one that may exceed the share of all.
func (h *Hold) Large() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.budget.large == h
}

// Pin excludes a hold from those that give way: its request has arrived. It returns ErrClosed if the hold was closed before.
func (h *Hold) Pin() error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return ErrClosed
	}
	h.pinned = true
	delete(b.holds, h)
	return nil
}

// Release returns the memory.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.drop()
	h.closed = true
	h.budget.answers.Add(int64(-h.answer))
	h.answer = 0
}

// Pressed reports whether unread answers leave so little memory, or did so a moment ago, that a new request has to be refused before it
// runs. One that is stalled or slowest is closed for each.
func (b *Budget) Pressed() bool {
	most := b.limit * pressedShare / sixteenths
	till := b.pressedTill.Load()
	if b.limit <= 0 || Bytes(b.answers.Load()) <= most && (till == 0 || int64(b.now().Sub(b.start)) >= till) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := worst(b.holds, &Hold{budget: b}, b.now().Sub(b.start), stallAfter); v != nil {
		v.evict()
	}
	return true
}

// Closed reports whether the hold has given way, or was released.
func (h *Hold) Closed() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.closed
}

// worst returns the hold other than self that gives way first: the one that has made no progress for the longest time, if that is
// at least stall; else the one with the lowest rate since it grew, unless self is slower. It returns nil if there is none.
func worst(holds map[*Hold]struct{}, self *Hold, now, stall time.Duration) *Hold {
	var stalled, slowest *Hold
	var longest time.Duration
	lowest, ranked := self.rate(now)
	for h := range holds {
		if h == self {
			continue
		}
		if idle := now - time.Duration(h.progress.Load()); idle >= stall && (stalled == nil || idle > longest) {
			stalled, longest = h, idle
		}
		if rate, ok := h.rate(now); ok && (!ranked || rate < lowest) {
			slowest, lowest, ranked = h, rate, true
		}
	}
	if stalled != nil {
		return stalled
	}
	return slowest
}

// rate returns the bytes per second since the hold grew, and whether that was long enough ago to compare it.
func (h *Hold) rate(now time.Duration) (float64, bool) {
	age := now - h.grownAt
	if h.bytes == 0 || age < rateWindow {
		return 0, false
	}
	return float64(h.moved.Load()-h.grownTo) / age.Seconds(), true
}
