package gate

import (
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/upgrade"
)

// count adds the answer to the tally of the target's answers, if one is kept.
func (s *slot) count(bad bool) {
	t := s.g.tally.Load()
	if t == nil {
		return
	}
	now := s.g.deps.Now()
	t.Record(s.route, now.Sub(s.acquired), bad, now.Before(s.target.WarmAt))
}

// SetTally sets the tally of the target's answers; nil ends it.
func (g *Gate) SetTally(t *upgrade.Tally) { g.tally.Store(t) }

// Tally returns the current target and the tally of its answers, or nil.
func (g *Gate) Tally() (lifecycle.Target, *upgrade.Tally) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tracker.Target(), g.tally.Load()
}
