package gate

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/hop"
)

// meters are a gate's counters and histograms.
type meters struct {
	set         *metrics.Set
	wait, hold  *metrics.Histogram
	checks      *metrics.Counter
	connections *metrics.Counter
	crossed     *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{set: set, wait: set.GetOrCreateHistogram("cassialead_gate_wait_seconds"),
		hold: set.GetOrCreateHistogram("cassialead_gate_hold_seconds"), checks: set.GetOrCreateCounter("cassialead_gate_health_checks_total"),
		connections: set.GetOrCreateCounter("cassialead_gate_connections_total"),
		crossed:     set.GetOrCreateCounter("cassialead_gate_crossed_answers_total")}
}

// outcome counts what became of a call at the gate.
func (m *meters) outcome(o hop.Outcome) {
	name := `cassialead_gate_calls_total{outcome="answered",cause=""}`
	switch o := o.(type) {
	case hop.Refused:
		name = `cassialead_gate_calls_total{outcome="refused",cause="` + string(o.Cause) + `"}`
	case hop.Failed:
		name = `cassialead_gate_calls_total{outcome="failed",cause="` + string(o.Cause) + `"}`
	}
	m.set.GetOrCreateCounter(name).Inc()
}

func (m *meters) held(waited, held time.Duration) {
	m.wait.Update(waited.Seconds())
	m.hold.Update(held.Seconds())
}
