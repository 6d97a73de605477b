package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cassialead/cassialead/config"
)

// goldenStep spreads successive points evenly over the unit interval.
const goldenStep = 0.6180339887498949

// shares deals the calls of a rule to its parts so that each gets its weight's share over few calls.
type shares struct {
	mu   sync.Mutex
	next map[config.RouteName]float64
}

// part returns the service of the next call of a rule.
func (s *shares) part(r *config.Rule) config.ServiceName {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	at := s.draw(r.Name) * float64(total)
	for _, p := range r.Parts {
		if at < float64(p.Weight) {
			return p.Service
		}
		at -= float64(p.Weight)
	}
	return r.Parts[0].Service
}

func (s *shares) draw(r config.RouteName) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = map[config.RouteName]float64{}
	}
	x, ok := s.next[r]
	if !ok {
		x = rand.Float64()
	}
	_, s.next[r] = math.Modf(x + goldenStep)
	return x
}
