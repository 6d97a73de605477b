package gate

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/hop"
)

// gateMetrics holds a gate's counters and histograms.
type gateMetrics struct {
	set                *metrics.Set
	waitTime, holdTime *metrics.Histogram
	checks             *metrics.Counter
	connections        *metrics.Counter
	staleResponses     *metrics.Counter
}

func newGateMetrics(set *metrics.Set) *gateMetrics {
	return &gateMetrics{set: set, waitTime: set.GetOrCreateHistogram("cassialead_gate_wait_seconds"),
		holdTime: set.GetOrCreateHistogram("cassialead_gate_hold_seconds"), checks: set.GetOrCreateCounter("cassialead_gate_health_checks_total"),
		connections:    set.GetOrCreateCounter("cassialead_gate_connections_total"),
		staleResponses: set.GetOrCreateCounter("cassialead_gate_crossed_answers_total")}
}

// outcome counts a call by its outcome and cause.
func (m *gateMetrics) outcome(o hop.Outcome) {
	name := `cassialead_gate_calls_total{outcome="answered",cause=""}`
	switch o := o.(type) {
	case hop.Refused:
		name = `cassialead_gate_calls_total{outcome="refused",cause="` + string(o.Cause) + `"}`
	case hop.Failed:
		name = `cassialead_gate_calls_total{outcome="failed",cause="` + string(o.Cause) + `"}`
	}
	m.set.GetOrCreateCounter(name).Inc()
}

func (m *gateMetrics) slotReleased(waited, held time.Duration) {
	m.waitTime.Update(waited.Seconds())
	m.holdTime.Update(held.Seconds())
}
