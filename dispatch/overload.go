package dispatch

import (
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
)

const (
	overloadHold   = 700 * time.Millisecond  // time for which a service counts as overloaded after the last report of a target
	lateRetryAfter = 1200 * time.Millisecond // for calls refused as late or by a queue; callers cap it at a third of their timeout
)

// overloads records which services have had to refuse calls that could have met their soft deadline. While a service is
// overloaded, a call that has already missed its own is refused at once: its slot serves another call in time.
type overloads struct {
	mu         sync.Mutex
	reportedAt map[config.ServiceName]time.Time
}

// observe records whether an outcome reports an overload of a service.
func (v *overloads) observe(s config.ServiceName, o hop.Outcome, now time.Time) {
	if !hop.LoadOf(o).Overloaded {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reportedAt == nil {
		v.reportedAt = map[config.ServiceName]time.Time{}
	}
	v.reportedAt[s] = now
}

// active reports whether a service is overloaded.
func (v *overloads) active(s config.ServiceName, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.reportedAt[s]) < overloadHold
}
