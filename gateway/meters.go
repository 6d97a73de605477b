package gateway

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/config"
)

const (
	maxTenantClasses = 400 // tenant and class pairs with their own histograms; bounded because callers choose tenant names freely
	otherTenants     = "other"
)

// meters holds the gateway's counters and its histograms by tenant and class.
type meters struct {
	set           *metrics.Set
	calls         sync.Map // histogramKey to *callHistograms
	histogramSets atomic.Int64
	refusals      sync.Map // Cause to *metrics.Counter

	hedges, hedgeWins, retries, reroutes, fences, mismatched, aborted, regionBytes *metrics.Counter
}

type histogramKey struct {
	tenant config.Tenant
	class  config.Class
}

// callHistograms are the histograms of one tenant and class, in seconds.
type callHistograms struct {
	total, added, wait, service *metrics.Histogram
}

func newMeters(set *metrics.Set) *meters {
	return &meters{set: set,
		hedges:      set.NewCounter("cassialead_hedges_total"),
		hedgeWins:   set.NewCounter("cassialead_hedge_wins_total"),
		retries:     set.NewCounter("cassialead_repeats_total"),
		reroutes:    set.NewCounter("cassialead_refused_elsewhere_total"),
		fences:      set.NewCounter("cassialead_fences_total"),
		mismatched:  set.NewCounter("cassialead_crossed_answers_total"),
		regionBytes: set.NewCounter("cassialead_region_bytes_total"),
		aborted:     set.NewCounter("cassialead_aborted_answers_total"),
	}
}

func (m *meters) forCall(tenant config.Tenant, class config.Class) *callHistograms {
	if c, ok := m.calls.Load(histogramKey{tenant, class}); ok {
		return c.(*callHistograms)
	}
	if tenant != otherTenants && m.histogramSets.Add(1) > maxTenantClasses {
		return m.forCall(otherTenants, class)
	}
	labels := fmt.Sprintf("{tenant=%q,class=%q}", tenant, class)
	c := &callHistograms{
		total:   m.set.GetOrCreateHistogram("cassialead_call_seconds" + labels),
		added:   m.set.GetOrCreateHistogram("cassialead_added_seconds" + labels),
		wait:    m.set.GetOrCreateHistogram("cassialead_wait_seconds" + labels),
		service: m.set.GetOrCreateHistogram("cassialead_service_seconds" + labels),
	}
	found, _ := m.calls.LoadOrStore(histogramKey{tenant, class}, c)
	return found.(*callHistograms)
}

func (m *meters) countRefusal(c Cause) {
	if n, ok := m.refusals.Load(c); ok {
		n.(*metrics.Counter).Inc()
		return
	}
	n := m.set.GetOrCreateCounter(fmt.Sprintf("cassialead_refusals_total{cause=%q}", c))
	m.refusals.Store(c, n)
	n.Inc()
}
