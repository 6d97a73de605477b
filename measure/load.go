package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Stream is an open-loop stream of calls with exponentially distributed intervals (Poisson arrivals).
type Stream struct {
	Name string
	// Rate returns the calls per second at a time since the start.
	Rate func(time.Duration) float64
	// NewRequest returns the request of the n-th call.
	NewRequest func(n int) *http.Request
}

// ConstantRate returns a constant rate.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Outcome holds the results of a stream's calls. Latencies are in microseconds, from the time at which a call was due.
type Outcome struct {
	mu              sync.Mutex
	AnsweredLatency *hdrhistogram.Histogram
	RefusedLatency  *hdrhistogram.Histogram
	Calls           int
	OK              int
	NotExecuted     int
	Failed          int
	Statuses        map[int]int
	// OKBySecond counts the successful responses by the second in which they ended.
	OKBySecond map[int]int
}

const (
	maxLatencyMicros = 120_000_000
	loadConnections  = 512
)

func newOutcome() *Outcome {
	return &Outcome{AnsweredLatency: hdrhistogram.New(1, maxLatencyMicros, 3),
		RefusedLatency: hdrhistogram.New(1, maxLatencyMicros, 3), Statuses: map[int]int{}, OKBySecond: map[int]int{}}
}

func (o *Outcome) record(due time.Duration, latency time.Duration, resp *http.Response, complete bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.Calls++
	if resp == nil || !complete {
		o.Failed++
		return
	}
	o.Statuses[resp.StatusCode]++
	switch {
	case resp.StatusCode < 300:
		o.OK++
		o.OKBySecond[int((due+latency).Seconds())]++
		_ = o.AnsweredLatency.RecordValue(max(latency.Microseconds(), 1))
	case resp.Header.Get("Cassialead-Ran") == "no":
		o.NotExecuted++
		_ = o.RefusedLatency.RecordValue(max(latency.Microseconds(), 1))
	default:
		o.Failed++
	}
}

// Percentile returns a percentile of the successful calls' latency; q is in percent.
func (o *Outcome) Percentile(q float64) time.Duration {
	return time.Duration(o.AnsweredLatency.ValueAtQuantile(q)) * time.Microsecond
}

// RefusedWithin returns the fraction of the refusals that were received within d.
func (o *Outcome) RefusedWithin(d time.Duration) float64 {
	if o.RefusedLatency.TotalCount() == 0 {
		return 1
	}
	var within int64
	for _, b := range o.RefusedLatency.Distribution() {
		if b.To <= d.Microseconds() {
			within += b.Count
		}
	}
	return float64(within) / float64(o.RefusedLatency.TotalCount())
}

// RunStreams sends the calls of all streams for a time and waits for their responses.
func RunStreams(ctx context.Context, seed uint64, length time.Duration, streams ...Stream) []*Outcome {
	transport := &http.Transport{MaxIdleConnsPerHost: loadConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	var outcomes []*Outcome
	var wg sync.WaitGroup
	started := time.Now()
	for i, s := range streams {
		o := newOutcome()
		outcomes = append(outcomes, o)
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() { sendStream(ctx, transport, s, o, rng, started, length) })
	}
	wg.Wait()
	return outcomes
}

func sendStream(ctx context.Context, t *http.Transport, s Stream, o *Outcome, rng *rand.Rand, started time.Time,
	length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var due time.Duration
	for n := 0; ; n++ {
		rate := s.Rate(due)
		if rate <= 0 {
			due += time.Millisecond
		} else {
			due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		}
		if due > length || ctx.Err() != nil {
			return
		}
		if rate <= 0 {
			continue
		}
		if wait := time.Until(started.Add(due)); wait > 0 {
			time.Sleep(wait)
		}
		req := s.NewRequest(n).WithContext(ctx)
		dueAt := due
		wg.Go(func() {
			resp, complete := roundTrip(t, req)
			o.record(dueAt, time.Since(started.Add(dueAt)), resp, complete)
		})
	}
}

// roundTrip sends one request and reads the response; it reports whether the response was complete.
func roundTrip(t *http.Transport, req *http.Request) (*http.Response, bool) {
	resp, err := t.RoundTrip(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	return resp, err == nil && (resp.ContentLength < 0 || n == resp.ContentLength)
}

// LoadOptions are the options of Load; the URLs are those of running nodes or targets.
type LoadOptions struct {
	URLs   []string
	Method string
	// Rate is the number of calls per second to each URL.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Load sends calls to all URLs at the same time and reports a row for each.
func Load(ctx context.Context, o LoadOptions) (*Report, error) {
	r := &Report{Command: fmt.Sprintf("cassialead measure load --rate %g --length %s", o.Rate, o.Duration), Seed: o.Seed,
		Columns: []string{"calls", "answered", "not run", "failed", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms"}}
	var streams []Stream
	for _, u := range o.URLs {
		if _, err := http.NewRequest(o.Method, u, nil); err != nil {
			return nil, err
		}
		streams = append(streams, Stream{Name: u, Rate: ConstantRate(o.Rate), NewRequest: func(int) *http.Request {
			req, _ := http.NewRequest(o.Method, u, nil)
			return req
		}})
	}
	for i, out := range RunStreams(ctx, o.Seed, o.Duration, streams...) {
		r.add(o.URLs[i], Row{"calls": float64(out.Calls), "answered": float64(out.OK), "not run": float64(out.NotExecuted),
			"failed": float64(out.Failed), "p50 ms": milliseconds(out.Percentile(50)), "p90 ms": milliseconds(out.Percentile(90)),
			"p99 ms": milliseconds(out.Percentile(99)), "p99.9 ms": milliseconds(out.Percentile(99.9))})
	}
	return r, nil
}
