package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
)

// Promise names a promise of the system to its callers and targets.
type Promise string

// The promises that are checked.
const (
	AtMostOnce    Promise = "at most once"      // a call that may run only once has run again
	TrueRefusal   Promise = "true refusal"      // a call was answered 'not run' and has run
	OwnAnswer     Promise = "own, whole answer" // a success with other bytes than the target's answer to this call
	Departed      Promise = "departed target"   // a call ran at a target after its departure was acknowledged
	NoOlder       Promise = "no older version"  // a node acted by an older configuration than it had before
	PlannedStop   Promise = "planned stop"      // a call that had reached a target was cut off by a node that was asked to end
	Recovery      Promise = "recovery"          // calls are not served again after all faults have ended
	CallerService Promise = "caller's service"  // a target was told another service than that of the caller's VM
)

// Breach is a promise that was not kept.
type Breach struct {
	Promise Promise
	At      time.Duration // since the start
	What    string
}

// String describes the breach.
func (b Breach) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s", b.At.Seconds(), b.Promise, b.What)
}

// run is one execution of a call at a target.
type run struct {
	target lifecycle.ID
	at     time.Time
}

// Book collects what callers and targets see; it is safe for concurrent use.
type Book struct {
	start time.Time

	mu       sync.Mutex
	runs     map[hop.CallID][]run
	refused  map[hop.CallID]int // status of the promise that a call that may run only once has not run
	departed map[lifecycle.ID]time.Time
	ends     map[string]int // how calls ended
	recent   []end
	breaches []Breach
}

// end is how one call ended.
type end struct {
	at     time.Time
	served bool
}

// NewBook returns an empty book.
func NewBook(now time.Time) *Book {
	return &Book{start: now, runs: map[hop.CallID][]run{}, refused: map[hop.CallID]int{}, departed: map[lifecycle.ID]time.Time{},
		ends: map[string]int{}}
}

// Break notes a promise that was not kept.
func (b *Book) Break(p Promise, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.breaches = append(b.breaches, Breach{p, time.Since(b.start), fmt.Sprintf(format, args...)})
}

// Ran notes that a target has begun to work on a call. drain is the time in which a departed target may still get calls.
func (b *Book) Ran(id hop.CallID, target lifecycle.ID, drain time.Duration) {
	now := time.Now()
	b.mu.Lock()
	b.runs[id] = append(b.runs[id], run{target, now})
	gone, ok := b.departed[target]
	b.mu.Unlock()
	if ok && now.Sub(gone) > drain {
		b.Break(Departed, "%s ran call %s %v after its departure was acknowledged", target, id, now.Sub(gone).Round(time.Millisecond))
	}
}

// Depart notes that a target's departure was acknowledged.
func (b *Book) Depart(target lifecycle.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.departed[target] = time.Now()
}

// Count returns how often a call has run.
func (b *Book) Count(id hop.CallID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs[id])
}

// Refuse notes the promise that a call has not run and never will.
func (b *Book) Refuse(id hop.CallID, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refused[id] = status
}

// End notes how a call ended.
func (b *Book) End(how string, served bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends[how]++
	b.recent = append(b.recent, end{time.Now(), served})
}

// Served returns the share of the calls that were served since a time.
func (b *Book) Served(since time.Time) (share float64, calls int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	served := 0
	for _, e := range b.recent {
		if e.at.After(since) {
			calls++
			if e.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(calls, 1)), calls
}

// Close checks what can only be judged at the end and returns all breaches. once tells the calls that may run only once.
func (b *Book) Close(once func(hop.CallID) bool) []Breach {
	b.mu.Lock()
	runs, refused := b.runs, b.refused
	b.mu.Unlock()
	for id, rs := range runs {
		if once(id) && len(rs) > 1 {
			b.Break(AtMostOnce, "call %s ran %d times, at %s and %s", id, len(rs), rs[0].target, rs[1].target)
		}
		if status, ok := refused[id]; ok {
			b.Break(TrueRefusal, "call %s was answered %d and ran at %s", id, status, rs[0].target)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.breaches
}
