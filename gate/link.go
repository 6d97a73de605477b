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

// Link orders what a VM's link carries to other VMs: short answers never queue behind long ones in the network, and of the
// long ones that which has to be there first is sent whole before the next. Sharing the link among all of them would make
// all late on a link that is full. It is safe for concurrent use.
type Link struct {
	now  func() time.Time
	rate float64 // bytes a second; zero means that nothing is ordered

	mu      sync.Mutex
	free    time.Time // when what was taken so far has left
	pending int       // bytes of bulk answers that are expected or wait for their turn
	waiting []*piece
	armed   bool // a timer will look at waiting
}

// Reservation is a bulk answer's claim on the link; the nil reservation claims nothing.
type Reservation struct {
	u    *Link
	aim  time.Time // an answer is of full use until then
	left int
}

// piece is a part of a bulk answer that waits for its turn.
type piece struct {
	r     *Reservation
	bytes int
	turn  chan struct{}
}

// Reserve counts an answer of so many bytes before it is there, so that the backlog tells of it.
func (u *Link) Reserve(bytes int, aim time.Time) *Reservation {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending += bytes
	return &Reservation{u, aim, bytes}
}

// Set corrects the size of the answer; zero ends the claim.
func (r *Reservation) Set(bytes int) {
	if r == nil {
		return
	}
	r.u.mu.Lock()
	defer r.u.mu.Unlock()
	r.u.pending += bytes - r.left
	r.left = bytes
}

// NewLink returns the order for a link; a rate of zero means that it is not known.
func NewLink(r fleet.BitRate, now func() time.Time) *Link {
	return &Link{now: now, rate: float64(r) / bitsPerByte * linkShare}
}

// Backlog returns how long the bytes taken so far still need.
func (u *Link) Backlog() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.free.Sub(u.now()), 0) + u.Time(u.pending)
}

// Time returns how long bytes take on the link.
func (u *Link) Time(bytes int) time.Duration {
	if u.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / u.rate * float64(time.Second))
}

// Note counts bytes that are sent at once.
func (u *Link) Note(bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rest(u.now())
	u.free = u.free.Add(u.Time(bytes))
}

// Wait counts the bytes of a piece of a bulk answer against its claim and waits until they may be sent; it reports false when
// ctx ended before.
func (u *Link) Wait(ctx context.Context, r *Reservation, bytes int) bool {
	if u.rate == 0 {
		return true
	}
	p := &piece{r, bytes, make(chan struct{})}
	u.mu.Lock()
	u.waiting = append(u.waiting, p)
	if len(u.waiting) == 1 {
		u.rest(u.now())
	}
	u.grant()
	u.mu.Unlock()
	select {
	case <-p.turn:
		return true
	case <-ctx.Done():
		u.mu.Lock()
		defer u.mu.Unlock()
		waiting := len(u.waiting)
		u.waiting = slices.DeleteFunc(u.waiting, func(o *piece) bool { return o == p })
		return len(u.waiting) == waiting // its turn came at the same moment
	}
}

// Return takes back bytes whose turn came and that are not sent.
func (u *Link) Return(bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.free = u.free.Add(-u.Time(bytes))
}

// grant lets pieces go as long as the link has room for them; it is called with mu held.
func (u *Link) grant() {
	now := u.now()
	u.rest(now.Add(-catchUp))
	for len(u.waiting) > 0 && !u.free.After(now) {
		i := u.first(now)
		p := u.waiting[i]
		u.waiting = slices.Delete(u.waiting, i, i+1)
		u.free = u.free.Add(u.Time(p.bytes))
		if p.r != nil {
			claimed := min(p.bytes, p.r.left)
			p.r.left -= claimed
			u.pending -= claimed
		}
		close(p.turn)
	}
	if len(u.waiting) == 0 || u.armed {
		return
	}
	u.armed = true
	time.AfterFunc(u.free.Sub(now), func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.armed = false
		u.grant()
	})
}

// first returns the index of the piece that goes next: that of the answer which has to be there first.
func (u *Link) first(now time.Time) int {
	best := 0
	for i := 1; i < len(u.waiting); i++ {
		if a, b := u.waiting[i].r, u.waiting[best].r; a != nil && b != nil && u.due(now, a).Before(u.due(now, b)) {
			best = i
		}
	}
	return best
}

// due returns when an answer has to be there: its aim, or a while after it for one that will miss its aim in any case. Such
// an answer gives way for that while only, for its work is done and its caller waits.
func (u *Link) due(now time.Time, r *Reservation) time.Time {
	if now.Add(u.Time(r.left)).After(r.aim) {
		return r.aim.Add(lateYield)
	}
	return r.aim
}

// rest notes that the link was idle until a time.
func (u *Link) rest(until time.Time) {
	if u.free.Before(until) {
		u.free = until
	}
}
