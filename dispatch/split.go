package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"

	"github.com/cassialead/cassialead/config"
)

// goldenStep is the fractional part of the golden ratio; steps of it, modulo 1, cover the unit interval evenly.
const goldenStep = 0.6180339887498949

// weightedSplit distributes the calls of a rule over its services by weight; a low-discrepancy sequence keeps the shares
// accurate even over few calls.
type weightedSplit struct {
	mu   sync.Mutex
	next map[config.RouteName]float64
}

// nextService returns the service for the next call of a rule.
func (s *weightedSplit) nextService(r *config.Rule) config.ServiceName {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	total := 0
	for _, p := range r.WeightedServices {
		total += p.Weight
	}
	point := s.nextPoint(r.Name) * float64(total)
	for _, p := range r.WeightedServices {
		if point < float64(p.Weight) {
			return p.Service
		}
		point -= float64(p.Weight)
	}
	return r.WeightedServices[0].Service
}

func (s *weightedSplit) nextPoint(r config.RouteName) float64 {
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
