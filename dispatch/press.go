package dispatch

import (
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
)

const (
	pressTime  = 700 * time.Millisecond  // after a target last said so, in which a service counts as pressed
	lateReturn = 1200 * time.Millisecond // after which a refused caller may come back; callers shorten it to a third of their time
)

// press remembers which services lately had to refuse calls that could have been in time. A late call is refused at once
// then: the slot that it would take serves another call in time.
type press struct {
	mu sync.Mutex
	at map[config.ServiceName]time.Time
}

// note takes what an outcome says of a service's load.
func (p *press) note(s config.ServiceName, o hop.Outcome, now time.Time) {
	pressed := false
	switch o := o.(type) {
	case *hop.Answered:
		pressed = o.Load.Pressed
	case hop.Refused:
		pressed = o.Load.Pressed
	case hop.Failed:
		pressed = o.Load.Pressed
	}
	if !pressed {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == nil {
		p.at = map[config.ServiceName]time.Time{}
	}
	p.at[s] = now
}

// is reports whether a service is pressed.
func (p *press) is(s config.ServiceName, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.at[s]) < pressTime
}
