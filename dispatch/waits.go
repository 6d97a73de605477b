package dispatch

import (
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
)

const (
	waitsKept  = 20 * time.Second // after which a route's longest wait is learnt anew
	firstTries = 0.93             // share of the longest wait that a caller's first try has left at least
)

// waits learns how long the callers of each route wait, and from that how much of its time a caller has used up: a
// repeat by the caller says how long it will still wait, and its aim counts from its first try.
type waits struct {
	mu      sync.Mutex
	longest map[config.RouteName]longestWait
}

type longestWait struct {
	wait time.Duration
	at   time.Time
}

// elapsed returns how long a caller that will wait for left has waited before.
func (w *waits) elapsed(r config.RouteName, left time.Duration, now time.Time) time.Duration {
	if left <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longest == nil {
		w.longest = map[config.RouteName]longestWait{}
	}
	l, ok := w.longest[r]
	if !ok || left >= l.wait || now.Sub(l.at) > waitsKept {
		w.longest[r] = longestWait{left, now}
		return 0
	}
	if float64(left) >= firstTries*float64(l.wait) {
		return 0
	}
	return l.wait - left
}
