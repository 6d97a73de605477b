package hop

import (
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
)

const durationWindow = 30 * time.Second // calls that ended in this window and the one before it count

// Durations tracks how long the slowest recent calls of each route took; it is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes map[config.RouteName]slowest
}

// slowest holds the longest duration of two successive windows.
type slowest struct {
	began             time.Time // of the current window
	current, previous time.Duration
}

func (s slowest) at(now time.Time) slowest {
	switch age := now.Sub(s.began); {
	case age < durationWindow:
		return s
	case age < 2*durationWindow:
		return slowest{s.began.Add(durationWindow), 0, s.current}
	}
	return slowest{began: now}
}

// Record adds a call that has ended.
func (d *Durations) Record(r config.RouteName, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil {
		d.routes = map[config.RouteName]slowest{}
	}
	s := d.routes[r].at(now)
	s.current = max(s.current, took)
	d.routes[r] = s
}

// Slow returns how long a slow call of a route takes, or zero if none has ended recently.
func (d *Durations) Slow(r config.RouteName, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[r].at(now)
	return max(s.current, s.previous)
}
