package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Buckets counts values by the upper bound of their bucket.
type Buckets map[float64]uint64

// Histogram returns the buckets of a histogram, summed over all nodes, tenants and classes.
func (f *Fleet) Histogram(name string) Buckets {
	out := Buckets{}
	for _, v := range f.VMs {
		for _, full := range v.Metrics.ListMetricNames() {
			if strings.HasPrefix(full, name+"{") {
				out.fold(v.Metrics.GetOrCreateHistogram(full))
			}
		}
	}
	return out
}

func (b Buckets) fold(h *metrics.Histogram) {
	h.VisitNonZeroBuckets(func(bounds string, n uint64) {
		var low, high float64
		if _, err := fmt.Sscanf(strings.Replace(bounds, "...", " ", 1), "%g %g", &low, &high); err == nil {
			b[high] += n
		}
	})
}

// Since returns what was counted after an earlier reading.
func (b Buckets) Since(earlier Buckets) Buckets {
	out := Buckets{}
	for bound, n := range b {
		out[bound] = n - earlier[bound]
	}
	return out
}

// Quantile returns the upper bound of the bucket that holds a quantile.
func (b Buckets) Quantile(q float64) float64 {
	var total, below uint64
	for _, n := range b {
		total += n
	}
	for _, bound := range slices.Sorted(maps.Keys(b)) {
		below += b[bound]
		if float64(below) >= q*float64(total) {
			return bound
		}
	}
	return 0
}
