package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cassialead/cassialead/fleet"
)

const (
	bitsPerByte = 8
	bulkShare   = 0.85                  // of the VM's link rate, for bulk bodies; the rest is for traffic not accounted for here
	lateDelay   = time.Second           // added to a late body's soft deadline when bodies are ordered; callers wait several times as long
	maxCatchUp  = 20 * time.Millisecond // unused link time recovered after a late timer; limits the burst after a suspension
)

// Link schedules the bodies in one direction of a VM's link, to other VMs or from them. Short bodies never queue behind bulk
// bodies in the network, and bulk bodies are sent whole in order of their deadlines: sharing a full link among them would make
// all of them late. It is safe for concurrent use.
type Link struct {
	now  func() time.Time
	rate float64 // bytes per second; zero means that nothing is scheduled

	mu       sync.Mutex
	freeAt   time.Time // when the bytes accounted for so far will have been transmitted
	reserved int       // bytes of bulk bodies that are expected or wait to be sent
	waiting  []*chunk
	timerSet bool // a timer is set to grant the next chunks
}

// Reservation is link capacity reserved for a bulk body; a nil reservation holds none.
type Reservation struct {
	link         *Link
	softDeadline time.Time // the body is of full value until then
	remaining    int
}

// chunk is a part of a bulk body that waits to be sent.
type chunk struct {
	reservation *Reservation
	bytes       int
	granted     chan struct{}
}

// Reserve adds a bulk body to the backlog before its bytes are available.
func (l *Link) Reserve(bytes int, softDeadline time.Time) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserved += bytes
	return &Reservation{l, softDeadline, bytes}
}

// Resize sets the number of reserved bytes; zero ends the reservation.
func (r *Reservation) Resize(bytes int) {
	if r == nil {
		return
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	r.link.reserved += bytes - r.remaining
	r.remaining = bytes
}

// NewLink returns the scheduler for a link; a rate of zero means that the rate is unknown.
func NewLink(r fleet.BitRate, now func() time.Time) *Link {
	return &Link{now: now, rate: float64(r) / bitsPerByte * bulkShare}
}

// Backlog returns how long the link needs to transmit all bytes that are sent or reserved.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.freeAt.Sub(l.now()), 0) + l.TransmitTime(l.reserved)
}

// TransmitTime returns how long the link takes to transmit this many bytes.
func (l *Link) TransmitTime(bytes int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}

// RecordSent accounts for bytes that are sent without waiting.
func (l *Link) RecordSent(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceFreeAt(l.now())
	l.freeAt = l.freeAt.Add(l.TransmitTime(bytes))
}

// Wait waits until a chunk of a bulk body may be sent and takes its bytes from the reservation; it reports false if ctx ended
// first.
func (l *Link) Wait(ctx context.Context, r *Reservation, bytes int) bool {
	if l.rate == 0 {
		return true
	}
	c := &chunk{r, bytes, make(chan struct{})}
	l.mu.Lock()
	l.waiting = append(l.waiting, c)
	if len(l.waiting) == 1 {
		l.advanceFreeAt(l.now())
	}
	l.grantChunks()
	l.mu.Unlock()
	select {
	case <-c.granted:
		return true
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		waiting := len(l.waiting)
		l.waiting = slices.DeleteFunc(l.waiting, func(o *chunk) bool { return o == c })
		return len(l.waiting) == waiting // the chunk was granted at the same moment
	}
}

// Refund returns the link time of bytes that were granted and are not sent.
func (l *Link) Refund(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.freeAt = l.freeAt.Add(-l.TransmitTime(bytes))
}

// grantChunks grants waiting chunks while the link is free and sets a timer for the rest; it is called with mu held.
func (l *Link) grantChunks() {
	now := l.now()
	l.advanceFreeAt(now.Add(-maxCatchUp))
	for len(l.waiting) > 0 && !l.freeAt.After(now) {
		i := l.nextChunk(now)
		c := l.waiting[i]
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.freeAt = l.freeAt.Add(l.TransmitTime(c.bytes))
		if c.reservation != nil {
			used := min(c.bytes, c.reservation.remaining)
			c.reservation.remaining -= used
			l.reserved -= used
		}
		close(c.granted)
	}
	if len(l.waiting) == 0 || l.timerSet {
		return
	}
	l.timerSet = true
	time.AfterFunc(l.freeAt.Sub(now), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.timerSet = false
		l.grantChunks()
	})
}

// nextChunk returns the index of the chunk to grant next: that of the body with the earliest effective deadline.
func (l *Link) nextChunk(now time.Time) int {
	best := 0
	for i := 1; i < len(l.waiting); i++ {
		if a, b := l.waiting[i].reservation, l.waiting[best].reservation; a != nil && b != nil && l.effectiveDeadline(now, a).Before(l.effectiveDeadline(now, b)) {
			best = i
		}
	}
	return best
}

// effectiveDeadline returns the deadline by which bodies are ordered: the soft deadline, or lateDelay after it for a body that
// will miss it anyway. The delay is limited because the work for a late body has been done and its caller still waits.
func (l *Link) effectiveDeadline(now time.Time, r *Reservation) time.Time {
	if now.Add(l.TransmitTime(r.remaining)).After(r.softDeadline) {
		return r.softDeadline.Add(lateDelay)
	}
	return r.softDeadline
}

// advanceFreeAt records that the link was idle until the given time; unused link time is not saved up.
func (l *Link) advanceFreeAt(until time.Time) {
	if l.freeAt.Before(until) {
		l.freeAt = until
	}
}
