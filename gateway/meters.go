package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/config"
)

const (
	maxTenantClasses = 400 // pairs of tenant and class told apart in metrics; callers choose tenants freely
	otherTenants     = "other"
)

// meters keeps counters by decision and histograms by tenant and class.
type meters struct {
	set      *metrics.Set
	calls    sync.Map // meterKey to *callMeters
	known    atomic.Int64
	refusals sync.Map // Cause to *metrics.Counter

	hedges, hedgeWins, repeats, elsewhere, fences, crossed, aborted, regionBytes *metrics.Counter
}

type meterKey struct {
	tenant config.Tenant
	class  config.Class
}

// callMeters are the histograms of one tenant and class, in seconds.
type callMeters struct {
	total, added, wait, service *metrics.Histogram
}

func newMeters(set *metrics.Set) *meters {
	return &meters{set: set,
		hedges:      set.NewCounter("cassialead_hedges_total"),
		hedgeWins:   set.NewCounter("cassialead_hedge_wins_total"),
		repeats:     set.NewCounter("cassialead_repeats_total"),
		elsewhere:   set.NewCounter("cassialead_refused_elsewhere_total"),
		fences:      set.NewCounter("cassialead_fences_total"),
		crossed:     set.NewCounter("cassialead_crossed_answers_total"),
		regionBytes: set.NewCounter("cassialead_region_bytes_total"),
		aborted:     set.NewCounter("cassialead_aborted_answers_total"),
	}
}

func (m *meters) of(tenant config.Tenant, class config.Class) *callMeters {
	if c, ok := m.calls.Load(meterKey{tenant, class}); ok {
		return c.(*callMeters)
	}
	if tenant != otherTenants && m.known.Add(1) > maxTenantClasses {
		return m.of(otherTenants, class)
	}
	labels := fmt.Sprintf("{tenant=%q,class=%q}", tenant, class)
	c := &callMeters{
		total:   m.set.GetOrCreateHistogram("cassialead_call_seconds" + labels),
		added:   m.set.GetOrCreateHistogram("cassialead_added_seconds" + labels),
		wait:    m.set.GetOrCreateHistogram("cassialead_wait_seconds" + labels),
		service: m.set.GetOrCreateHistogram("cassialead_service_seconds" + labels),
	}
	found, _ := m.calls.LoadOrStore(meterKey{tenant, class}, c)
	return found.(*callMeters)
}

func (m *meters) refusal(c Cause) {
	if n, ok := m.refusals.Load(c); ok {
		n.(*metrics.Counter).Inc()
		return
	}
	n := m.set.GetOrCreateCounter(fmt.Sprintf("cassialead_refusals_total{cause=%q}", c))
	m.refusals.Store(c, n)
	n.Inc()
}
