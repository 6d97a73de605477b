package dispatch

import (
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
)

// meters are the metrics of a dispatcher.
type meters struct {
	set     *metrics.Set
	retries *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{set: set, retries: set.GetOrCreateCounter("cassialead_repeats_total")}
}

// outcome records the duration of a request by service and outcome.
func (m *meters) outcome(s config.ServiceName, o hop.Outcome, took time.Duration) {
	label := ""
	switch o := o.(type) {
	case *hop.Answered:
		label = `outcome="answered",status="` + strconv.Itoa(o.Status) + `"`
	case hop.Refused:
		label = `outcome="refused",cause="` + string(o.Cause) + `"`
	case hop.Failed:
		label = `outcome="failed",cause="` + string(o.Cause) + `"`
	}
	m.set.GetOrCreateHistogram(`cassialead_request_seconds{service="` + string(s) + `",` + label + `}`).Update(took.Seconds())
}

const sizeGain = 0.1 // weight of one answer in the moving average of a route's answer sizes

// sizes keeps a moving average of the answer size of each route, in bytes.
type sizes struct {
	mu   sync.Mutex
	mean map[config.RouteName]float64
}

func (s *sizes) observe(r config.RouteName, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = map[config.RouteName]float64{}
	}
	mean, ok := s.mean[r]
	if !ok {
		mean = float64(bytes)
	}
	s.mean[r] = mean + sizeGain*(float64(bytes)-mean)
}

// of returns the mean answer size of a route, in bytes.
func (s *sizes) of(r config.RouteName) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.mean[r])
}
