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
	foreignHeartbeats  *metrics.Counter
	sent               *metrics.Counter
	retriesSent        *metrics.Counter
	rateLimit          *metrics.Gauge // calls per second; -1 while the target names no limit
}

func newGateMetrics(set *metrics.Set) *gateMetrics {
	return &gateMetrics{set: set, waitTime: set.GetOrCreateHistogram("cassialead_gate_wait_seconds"),
		holdTime: set.GetOrCreateHistogram("cassialead_gate_hold_seconds"), checks: set.GetOrCreateCounter("cassialead_gate_health_checks_total"),
		connections:       set.GetOrCreateCounter("cassialead_gate_connections_total"),
		staleResponses:    set.GetOrCreateCounter("cassialead_gate_crossed_answers_total"),
		foreignHeartbeats: set.GetOrCreateCounter("cassialead_gate_foreign_heartbeats_total"),
		sent:              set.GetOrCreateCounter(`cassialead_gate_sent_total{retry="false"}`),
		retriesSent:       set.GetOrCreateCounter(`cassialead_gate_sent_total{retry="true"}`),
		rateLimit:         newRateLimitGauge(set)}
}

func newRateLimitGauge(set *metrics.Set) *metrics.Gauge {
	g := set.GetOrCreateGauge("cassialead_gate_rate_limit", nil)
	g.Set(-1)
	return g
}

// rateLimitNamed sets the gauge of the target's rate limit.
func (m *gateMetrics) rateLimitNamed(l RateLimit) {
	if !l.Named {
		l.PerSecond = -1
	}
	m.rateLimit.Set(float64(l.PerSecond))
}

// callSent counts a call that is sent to the target.
func (m *gateMetrics) callSent(retry bool) {
	if retry {
		m.retriesSent.Inc()
		return
	}
	m.sent.Inc()
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
