package trial

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Buckets holds the counts of a histogram's buckets by their upper bounds.
type Buckets map[float64]uint64

// Histogram returns the buckets of a histogram, summed over all nodes, tenants and classes.
func (f *Fleet) Histogram(name string) Buckets {
	out := Buckets{}
	for _, v := range f.VMs {
		for _, full := range v.Metrics.ListMetricNames() {
			if strings.HasPrefix(full, name+"{") {
				out.add(v.Metrics.GetOrCreateHistogram(full))
			}
		}
	}
	return out
}

func (b Buckets) add(h *metrics.Histogram) {
	h.VisitNonZeroBuckets(func(bounds string, n uint64) {
		var low, high float64
		if _, err := fmt.Sscanf(strings.Replace(bounds, "...", " ", 1), "%g %g", &low, &high); err == nil {
			b[high] += n
		}
	})
}

// Since returns the counts added since an earlier snapshot of the same histogram.
func (b Buckets) Since(earlier Buckets) Buckets {
	out := Buckets{}
	for bound, n := range b {
		out[bound] = n - earlier[bound]
	}
	return out
}

// Quantile returns the upper bound of the bucket that contains the q-quantile.
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
