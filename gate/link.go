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
	linkShare   = 0.85                  // of the VM's link, which bulk answers may fill; the rest is for what can't be seen from here
	lateYield   = time.Second           // by which a late answer lets others go first; clients give a call several aims of time
	catchUp     = 20 * time.Millisecond // of a late timer that the pieces after it make up for; a frozen process makes up for no more
)

// Link orders what a VM's link carries one way, to other VMs or from them: short bodies never queue behind long ones in the
// network, and of the long ones that which has to be there first is sent whole before the next. Sharing the link among all of them would make
// all late on a link that is full. It is safe for concurrent use.
type Link struct {
	now  func() time.Time
	rate float64 // bytes a second; zero means that nothing is ordered

	mu      sync.Mutex
	free    time.Time // when what was taken so far has left
	pending int       // bytes of long bodies that are expected or wait for their turn
	waiting []*piece
	armed   bool // a timer will look at waiting
}

// Reservation is a long body's claim on the link; the nil reservation claims nothing.
type Reservation struct {
	l    *Link
	aim  time.Time // the body is of full use until then
	left int
}

// piece is a part of a long body that waits for its turn.
type piece struct {
	r     *Reservation
	bytes int
	turn  chan struct{}
}

// Reserve counts a body of so many bytes before it is there, so that the backlog tells of it.
func (l *Link) Reserve(bytes int, aim time.Time) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending += bytes
	return &Reservation{l, aim, bytes}
}

// Set corrects the size of the body; zero ends the claim.
func (r *Reservation) Set(bytes int) {
	if r == nil {
		return
	}
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	r.l.pending += bytes - r.left
	r.left = bytes
}

// NewLink returns the order for a link; a rate of zero means that it is not known.
func NewLink(r fleet.BitRate, now func() time.Time) *Link {
	return &Link{now: now, rate: float64(r) / bitsPerByte * linkShare}
}

// Backlog returns how long the bytes taken so far still need.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.free.Sub(l.now()), 0) + l.Time(l.pending)
}

// Time returns how long bytes take on the link.
func (l *Link) Time(bytes int) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.rate * float64(time.Second))
}

// Note counts bytes that are sent at once.
func (l *Link) Note(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest(l.now())
	l.free = l.free.Add(l.Time(bytes))
}

// Wait counts the bytes of a piece of a bulk answer against its claim and waits until they may be sent; it reports false when
// ctx ended before.
func (l *Link) Wait(ctx context.Context, r *Reservation, bytes int) bool {
	if l.rate == 0 {
		return true
	}
	p := &piece{r, bytes, make(chan struct{})}
	l.mu.Lock()
	l.waiting = append(l.waiting, p)
	if len(l.waiting) == 1 {
		l.rest(l.now())
	}
	l.grant()
	l.mu.Unlock()
	select {
	case <-p.turn:
		return true
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		waiting := len(l.waiting)
		l.waiting = slices.DeleteFunc(l.waiting, func(o *piece) bool { return o == p })
		return len(l.waiting) == waiting // its turn came at the same moment
	}
}

// Return takes back bytes whose turn came and that are not sent.
func (l *Link) Return(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free = l.free.Add(-l.Time(bytes))
}

// grant lets pieces go as long as the link has room for them; it is called with mu held.
func (l *Link) grant() {
	now := l.now()
	l.rest(now.Add(-catchUp))
	for len(l.waiting) > 0 && !l.free.After(now) {
		i := l.first(now)
		p := l.waiting[i]
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.free = l.free.Add(l.Time(p.bytes))
		if p.r != nil {
			claimed := min(p.bytes, p.r.left)
			p.r.left -= claimed
			l.pending -= claimed
		}
		close(p.turn)
	}
	if len(l.waiting) == 0 || l.armed {
		return
	}
	l.armed = true
	time.AfterFunc(l.free.Sub(now), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.armed = false
		l.grant()
	})
}

// first returns the index of the piece that goes next: that of the answer which has to be there first.
func (l *Link) first(now time.Time) int {
	best := 0
	for i := 1; i < len(l.waiting); i++ {
		if a, b := l.waiting[i].r, l.waiting[best].r; a != nil && b != nil && l.due(now, a).Before(l.due(now, b)) {
			best = i
		}
	}
	return best
}

// due returns when an answer has to be there: its aim, or a while after it for one that will miss its aim in any case. Such
// an answer gives way for that while only, for its work is done and its caller waits.
func (l *Link) due(now time.Time, r *Reservation) time.Time {
	if now.Add(l.Time(r.left)).After(r.aim) {
		return r.aim.Add(lateYield)
	}
	return r.aim
}

// rest notes that the link was idle until a time.
func (l *Link) rest(until time.Time) {
	if l.free.Before(until) {
		l.free = until
	}
}
