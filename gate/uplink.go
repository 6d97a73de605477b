package gate

import (
	"context"
	"sync"
	"time"
)

const (
	// BulkSize is the size from which an answer is sent piece by piece, in bytes; smaller ones go ahead of it.
	BulkSize    = 8 << 10
	uplinkShare = 0.85 // of the VM's link, which bulk answers may fill; the rest is for what can't be seen from here
)

// Uplink orders what a VM's link carries to other VMs, so that short answers never queue behind long ones in the network.
// It is safe for concurrent use.
type Uplink struct {
	now  func() time.Time
	rate float64 // bytes a second; zero means that nothing is ordered

	mu      sync.Mutex
	free    time.Time // when what was taken so far has left
	pending int       // bytes of bulk answers that are expected or wait for their turn
}

// Reservation is a bulk answer's claim on the link; the nil reservation claims nothing.
type Reservation struct {
	u    *Uplink
	left int
}

// Reserve counts an answer of so many bytes before it is there, so that the backlog tells of it.
func (u *Uplink) Reserve(bytes int) *Reservation {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending += bytes
	return &Reservation{u, bytes}
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

// NewUplink returns the order for a link of so many bits a second; zero means that it is not known.
func NewUplink(bits float64, now func() time.Time) *Uplink {
	return &Uplink{now: now, rate: bits / 8 * uplinkShare}
}

// Backlog returns how long the bytes taken so far still need.
func (u *Uplink) Backlog() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.free.Sub(u.now()), 0) + u.Time(u.pending)
}

// Time returns how long bytes take on the link.
func (u *Uplink) Time(bytes int) time.Duration {
	if u.rate == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / u.rate * float64(time.Second))
}

// Note counts bytes that are sent at once.
func (u *Uplink) Note(bytes int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.take(bytes)
}

// Wait counts the bytes of a piece of a bulk answer against its claim and waits until they may be sent, or until ctx ends.
func (u *Uplink) Wait(ctx context.Context, r *Reservation, bytes int) {
	u.mu.Lock()
	wait := u.take(bytes)
	if r != nil {
		claimed := min(bytes, r.left)
		r.left -= claimed
		u.pending -= claimed
	}
	u.mu.Unlock()
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// take returns how long the bytes have to wait; it is called with mu held.
func (u *Uplink) take(bytes int) time.Duration {
	now := u.now()
	if u.free.Before(now) {
		u.free = now
	}
	wait := u.free.Sub(now)
	u.free = u.free.Add(u.Time(bytes))
	return wait
}
