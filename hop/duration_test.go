package hop_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/hop"
)

// A node that stops passed on calls that could not end before its exit.
var _ = Describe("the duration of slow calls", func() {
	start := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	type call struct {
		at, took time.Duration
	}
	cases := map[string]struct {
		calls []call
		at    time.Duration
		want  time.Duration
	}{
		"is unknown without calls":                      {nil, 0, 0},
		"is that of the slowest call":                   {[]call{{0, time.Second}, {time.Second, 3 * time.Second}, {2 * time.Second, time.Second}}, 3 * time.Second, 3 * time.Second},
		"does not shrink while the calls are recent":    {[]call{{0, 3 * time.Second}, {29 * time.Second, time.Second}}, 59 * time.Second, 3 * time.Second},
		"shrinks once only faster calls are recent":     {[]call{{0, 3 * time.Second}, {40 * time.Second, time.Second}}, 61 * time.Second, time.Second},
		"is unknown after a long time without any call": {[]call{{0, 3 * time.Second}}, time.Hour, 0},
	}
	for name, c := range cases {
		It(name, func() {
			var d hop.Durations
			for _, call := range c.calls {
				d.Record("r", call.took, start.Add(call.at))
			}
			Expect(d.Slow("r", start.Add(c.at))).To(Equal(c.want))
			Expect(d.Slow("other", start.Add(c.at))).To(BeZero())
		})
	}
})
