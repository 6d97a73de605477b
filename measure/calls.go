package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/examples"
	"github.com/cassialead/cassialead/route"
	"github.com/cassialead/cassialead/standin"
	"github.com/cassialead/cassialead/trial"
)

// CallOptions are the options of Calls.
type CallOptions struct {
	// Scenarios are any of added, straggler, long, crest, repeats and spill.
	Scenarios []string
	Duration  time.Duration
	Seed      uint64
	Progress  func(string)
}

// Deployment is a user's deployment with its configuration document.
type Deployment struct {
	Name   string
	Layout trial.Layout
	Data   []byte
	// Short, Long and Order are paths of short, long and non-idempotent calls; ShortService is the service of the short calls.
	Short, Long, Order string
	ShortService       string
}

// Deployments returns the deployments of both users.
func Deployments() []Deployment {
	return []Deployment{
		{"palmared", trial.Palmared(), examples.Palmared, "/stock", "/drawings", "/orders", "stock-and-calendar"},
		{"yukimichi", trial.Yukimichi(), examples.Yukimichi, "/drafts", "/downloads", "/approvals", "drafts"},
	}
}

// slots returns the total number of slots of the deployment's short service.
func (d Deployment) slots() float64 {
	for _, s := range d.Layout.Services {
		if s.Name == d.ShortService {
			return float64(s.Targets * s.Slots)
		}
	}
	return 0
}

// start starts a deployment and waits until every node has an endpoint for every target. If change is not nil, it edits the
// document first.
func (d Deployment) start(ctx context.Context, seed uint64, change func(config.Document)) (*trial.Fleet, error) {
	f, err := trial.New(d.Layout, seed, nil)
	if err != nil {
		return nil, err
	}
	src, err := config.Parse(d.Name, d.Data)
	if err != nil {
		return f, err
	}
	if change != nil {
		change(src.Document)
	}
	if _, err := f.Apply(ctx, src.Document, "first"); err != nil {
		return f, err
	}
	if err := f.AwaitTargets(d.Layout, settleTimeout); err != nil {
		return f, err
	}
	time.Sleep(4 * time.Second) // until the slow start of the targets has ended
	return f, nil
}

// randomNodeStream returns a stream of GET calls to random nodes.
func randomNodeStream(f *trial.Fleet, name, path string, rate func(time.Duration) float64, seed uint64) Stream {
	rng := rand.New(rand.NewPCG(seed, 99))
	var urls []string
	for _, v := range f.VMs {
		urls = append(urls, "http://"+v.CallAddress()+path)
	}
	return Stream{Name: name, Rate: rate, NewRequest: func(int) *http.Request {
		req, _ := http.NewRequest(http.MethodGet, urls[rng.IntN(len(urls))], nil)
		return req
	}}
}

type scenario func(context.Context, CallOptions, Deployment, *Report) error

var scenarios = map[string]scenario{
	"added": measureAdded, "straggler": measureStraggler, "long": measureLong, "crest": measureCrest, "repeats": measureRepeats,
	"spill": measureSpill,
}

// Calls measures the handling of calls and compares it with simple baselines; it returns one report per scenario.
func Calls(ctx context.Context, o CallOptions) ([]*Report, error) {
	var reports []*Report
	for _, name := range o.Scenarios {
		run, ok := scenarios[name]
		if !ok {
			return reports, fmt.Errorf("unknown scenario %q", name)
		}
		r := &Report{Command: fmt.Sprintf("cassialead measure calls --scenarios %s --length %s", name, o.Duration), Seed: o.Seed}
		for _, d := range Deployments() {
			if err := run(ctx, o, d, r); err != nil {
				return reports, fmt.Errorf("%s on %s: %w", name, d.Name, err)
			}
			o.Progress(name + " on " + d.Name + " done")
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (r *Report) add(label string, row Row) {
	r.Labels = append(r.Labels, label)
	r.Rows = append(r.Rows, row)
}

// measureAdded measures the latency that nodes add to calls: it sends calls directly to the targets, through the target's own
// node and through two nodes, all at the same time.
func measureAdded(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls/s", "p50 ms", "p90 ms", "p99 ms", "more p50", "more p90", "more p99", "added p50", "added p90",
		"added p99", "cpu us/call", "failed"}
	f, err := d.start(ctx, o.Seed, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	const rate = 200
	const work = "?work=2ms"
	var directURLs, nodeURLs []string
	for _, v := range f.VMs {
		if v.Service == d.ShortService {
			directURLs = append(directURLs, "http://"+v.Target.Address()+d.Short+work)
			nodeURLs = append(nodeURLs, "http://"+v.CallAddress()+d.Short+work)
		}
	}
	directStream, oneNodeStream := roundRobinStream(directURLs, ConstantRate(rate)), roundRobinStream(nodeURLs, ConstantRate(rate))
	twoNodeStream := randomNodeStream(f, "mesh", d.Short+work, ConstantRate(rate), o.Seed)
	RunStreams(ctx, o.Seed, o.Duration/4, directStream, oneNodeStream, twoNodeStream)
	cpu := []float64{cpuPerCall(ctx, o, directStream), cpuPerCall(ctx, o, oneNodeStream), cpuPerCall(ctx, o, twoNodeStream)}
	before := f.Histogram("cassialead_added_seconds")
	outs := RunStreams(ctx, o.Seed, o.Duration, directStream, oneNodeStream, twoNodeStream)
	added := f.Histogram("cassialead_added_seconds").Since(before)
	for i, label := range []string{"straight to the target", "by the target's own node", "through two nodes"} {
		row := Row{"calls/s": float64(outs[i].Calls) / o.Duration.Seconds(), "cpu us/call": cpu[i],
			"failed": float64(outs[i].Calls - outs[i].OK)}
		for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99} {
			row[name+" ms"] = milliseconds(outs[i].Percentile(q))
			row["more "+name] = milliseconds(outs[i].Percentile(q) - outs[0].Percentile(q))
			if i == 2 {
				row["added "+name] = added.Quantile(q/100) * 1000
			}
		}
		r.add(d.Name+": "+label, row)
	}
	return nil
}

// roundRobinStream returns a stream of GET calls to each of the URLs in turn.
func roundRobinStream(urls []string, rate func(time.Duration) float64) Stream {
	return Stream{Rate: rate, NewRequest: func(n int) *http.Request {
		req, _ := http.NewRequest(http.MethodGet, urls[n%len(urls)], nil)
		return req
	}}
}

// cpuPerCall returns the processor time of the whole process per call, in microseconds.
func cpuPerCall(ctx context.Context, o CallOptions, s Stream) float64 {
	cpu := cpuTime()
	out := RunStreams(ctx, o.Seed, o.Duration/2, s)[0]
	return float64((cpuTime() - cpu).Microseconds()) / float64(out.Calls)
}

// measureStraggler makes one target 20 times slower and compares load-balancing policies.
func measureStraggler(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "p50 ms", "p99 ms", "p99.9 ms", "p99 / healthy", "slow share %", "hedges %", "failed"}
	noHedge := func(doc config.Document) { doc["defaults"]["hedge"] = "false" }
	variants := []struct {
		label       string
		newBalancer func() route.Balancer
		change      func(config.Document)
		slow        bool
	}{
		{"healthy", nil, nil, false},
		{"cassialead", nil, nil, true},
		{"cassialead, no hedges", nil, noHedge, true},
		{"round robin", func() route.Balancer { return route.NewRoundRobin() }, noHedge, true},
		{"least in flight", func() route.Balancer { return route.LeastInflight{} }, noHedge, true},
	}
	healthy := 0.0
	for _, variant := range variants {
		d := d
		d.Layout.NewBalancer = variant.newBalancer
		f, err := d.start(ctx, o.Seed, variant.change)
		if err != nil {
			return err
		}
		var slow *standin.Target
		for _, v := range f.VMs {
			if v.Service == d.ShortService && slow == nil {
				slow = v.Target
			}
		}
		stream := randomNodeStream(f, variant.label, d.Short+"?work=5ms", ConstantRate(300), o.Seed)
		RunStreams(ctx, o.Seed, o.Duration/3, stream)
		if variant.slow {
			slow.SetFaults(standin.TargetFaults{SlowFactor: 20})
			RunStreams(ctx, o.Seed, o.Duration/5, stream)
		}
		served := slow.Served()
		hedges := f.Counter("cassialead_hedges_total")
		out := RunStreams(ctx, o.Seed+1, o.Duration, stream)[0]
		p99 := milliseconds(out.Percentile(99))
		if !variant.slow {
			healthy = p99
		}
		r.add(d.Name+": "+variant.label, Row{"calls": float64(out.Calls), "p50 ms": milliseconds(out.Percentile(50)), "p99 ms": p99,
			"p99.9 ms": milliseconds(out.Percentile(99.9)), "p99 / healthy": p99 / healthy,
			"slow share %": 100 * float64(slow.Served()-served) / float64(out.Calls),
			"hedges %":     100 * (f.Counter("cassialead_hedges_total") - hedges) / float64(out.Calls),
			"failed":       float64(out.Calls - out.OK)})
		f.Close()
	}
	return nil
}

// measureLong offers long calls at three times the targets' capacity together with short calls to the same targets.
func measureLong(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"short calls", "short p50 ms", "short p99 ms", "p99 / alone", "short lost", "long done/s", "long refused",
		"long failed"}
	const longWork = 400 * time.Millisecond
	capacity := d.slots() / longWork.Seconds()
	addBulkRoute := func(class string) func(config.Document) {
		return func(doc config.Document) {
			doc["route bulk"] = config.Section{"path": "/bulk", "service": d.ShortService, "calls": "idempotent", "class": class,
				"timeout": "20s", "max-wait": "10s"}
		}
	}
	variants := []struct {
		label, class string
		offered      float64
	}{{"alone", "long", 0}, {"cassialead", "long", 3 * capacity}, {"one shared queue", "short", 3 * capacity}}
	alone := 0.0
	for _, variant := range variants {
		f, err := d.start(ctx, o.Seed, addBulkRoute(variant.class))
		if err != nil {
			return err
		}
		short := randomNodeStream(f, "short", d.Short+"?work=5ms", ConstantRate(200), o.Seed)
		long := randomNodeStream(f, "long", fmt.Sprintf("/bulk?work=%s", longWork), ConstantRate(variant.offered), o.Seed+1)
		out := RunStreams(ctx, o.Seed, o.Duration, short, long)
		p99 := milliseconds(out[0].Percentile(99))
		if variant.offered == 0 {
			alone = p99
		}
		r.add(d.Name+": "+variant.label, Row{"short calls": float64(out[0].Calls),
			"short p50 ms": milliseconds(out[0].Percentile(50)), "short p99 ms": p99, "p99 / alone": p99 / alone,
			"short lost":  float64(out[0].Calls - out[0].OK),
			"long done/s": float64(out[1].OK) / o.Duration.Seconds(), "long refused": float64(out[1].NotExecuted),
			"long failed": float64(out[1].Failed)})
		f.Close()
	}
	return nil
}

const promptRefusal = 50 * time.Millisecond

// measureCrest offers a load peak of three times the capacity for five seconds, with and without admission control.
func measureCrest(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "useful/s crest", "% of capacity", "answered p99 ms", "refused", "refused p50 ms",
		"refused at once %", "failed", "useful after %"}
	const work = 400 * time.Millisecond
	const before, crest, after = 3 * time.Second, 5 * time.Second, 4 * time.Second
	capacity := d.slots() / work.Seconds()
	offeredRate := func(at time.Duration) float64 {
		if at >= before && at < before+crest {
			return 3 * capacity
		}
		return 0.2 * capacity
	}
	for _, variant := range []struct {
		label string
		slots int
	}{{"cassialead", 0}, {"no admission", 100_000}} {
		d := d
		d.Layout.LimitTargets = true
		d.Layout.AnnouncedSlots = variant.slots
		f, err := d.start(ctx, o.Seed, func(doc config.Document) {
			doc["route crest"] = config.Section{"path": "/crest", "service": d.ShortService, "calls": "idempotent", "timeout": "2s",
				"max-wait": "1500ms", "class": "short"}
		})
		if err != nil {
			return err
		}
		out := RunStreams(ctx, o.Seed, before+crest+after,
			randomNodeStream(f, "crest", "/crest?work="+work.String(), offeredRate, o.Seed))[0]
		useful, recovered := 0, 0
		for s := int(before.Seconds()); s < int((before + crest).Seconds()); s++ {
			useful += out.OKBySecond[s]
		}
		for s := int((before + crest).Seconds()) + 1; s < int((before + crest + after).Seconds()); s++ {
			recovered += out.OKBySecond[s]
		}
		row := Row{"calls": float64(out.Calls), "useful/s crest": float64(useful) / crest.Seconds(),
			"% of capacity":   100 * float64(useful) / crest.Seconds() / capacity,
			"answered p99 ms": milliseconds(out.Percentile(99)), "refused": float64(out.NotExecuted), "failed": float64(out.Failed),
			"refused p50 ms":    float64(out.RefusedLatency.ValueAtQuantile(50)) / 1000,
			"refused at once %": 100 * out.RefusedWithin(promptRefusal),
			"useful after %":    100 * float64(recovered) / (after.Seconds() - 1) / (0.2 * capacity)}
		r.add(d.Name+": "+variant.label, row)
		f.Close()
	}
	return nil
}

// measureRepeats makes targets fail and counts retries, hedges and the additional executions.
func measureRepeats(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "extra runs %", "repeats %", "hedges %", "elsewhere %", "ok %"}
	for _, variant := range []struct {
		label  string
		broken int
		fault  standin.TargetFaults
	}{
		{"one target breaks every answer", 1, standin.TargetFaults{DropResponse: true}},
		{"all targets break every answer", 99, standin.TargetFaults{DropResponse: true}},
		{"all targets 20 times slower", 99, standin.TargetFaults{SlowFactor: 20}},
	} {
		f, err := d.start(ctx, o.Seed, nil)
		if err != nil {
			return err
		}
		stream := randomNodeStream(f, variant.label, d.Short+"?work=5ms", ConstantRate(200), o.Seed)
		RunStreams(ctx, o.Seed, o.Duration/3, stream)
		n, served := 0, 0
		for _, v := range f.VMs {
			if v.Service == d.ShortService && n < variant.broken {
				v.Target.SetFaults(variant.fault)
				n++
			}
		}
		served = f.Served(d.ShortService)
		counts := map[string]float64{}
		names := []string{"cassialead_repeats_total", "cassialead_hedges_total", "cassialead_refused_elsewhere_total"}
		for _, name := range names {
			counts[name] = f.Counter(name)
		}
		out := RunStreams(ctx, o.Seed, o.Duration, stream)[0]
		percent := func(name string) float64 { return 100 * (f.Counter(name) - counts[name]) / float64(out.Calls) }
		r.add(d.Name+": "+variant.label, Row{"calls": float64(out.Calls),
			"extra runs %": 100 * float64(f.Served(d.ShortService)-served-out.Calls) / float64(out.Calls),
			"repeats %":    percent(names[0]), "hedges %": percent(names[1]), "elsewhere %": percent(names[2]),
			"ok %": 100 * float64(out.OK) / float64(out.Calls)})
		f.Close()
	}
	return nil
}

// measureSpill overloads one region and measures the traffic of the calls that overflow to the other region.
func measureSpill(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "ok %", "p50 ms", "p99 ms", "kbit/s across", "of budget %", "after kbit/s"}
	const work, bytes = 50 * time.Millisecond, 20_000
	for _, variant := range []struct {
		label  string
		budget float64 // kbit/s
	}{{"3 Mbit/s budget", 3000}, {"no budget", 1e6}} {
		f, err := d.start(ctx, o.Seed, func(doc config.Document) {
			doc["defaults"]["spill-bandwidth"] = fmt.Sprintf("%gkbit", variant.budget)
			doc["route spill"] = config.Section{"path": "/spill", "service": d.ShortService, "calls": "idempotent", "max-wait": "1s"}
		})
		if err != nil {
			return err
		}
		home := f.VMs[0].DataCentre.Region
		var urls []string
		slots := 0.0
		for _, v := range f.VMs {
			if v.DataCentre.Region != home {
				continue
			}
			urls = append(urls, fmt.Sprintf("http://%s/spill?work=%s&bytes=%d", v.CallAddress(), work, bytes))
			if v.Service == d.ShortService {
				slots += d.slots() / float64(d.Layout.Services[0].Targets)
			}
		}
		capacity := slots / work.Seconds()
		before := f.Counter("cassialead_region_bytes_total")
		out := RunStreams(ctx, o.Seed, o.Duration, roundRobinStream(urls, ConstantRate(1.3*capacity)))[0]
		crossed := f.Counter("cassialead_region_bytes_total") - before
		RunStreams(ctx, o.Seed, 2*time.Second, roundRobinStream(urls, ConstantRate(0.3*capacity)))
		before = f.Counter("cassialead_region_bytes_total")
		RunStreams(ctx, o.Seed, 2*time.Second, roundRobinStream(urls, ConstantRate(0.3*capacity)))
		rate := crossed * 8 / 1000 / o.Duration.Seconds()
		r.add(d.Name+": "+variant.label, Row{"calls": float64(out.Calls), "ok %": 100 * float64(out.OK) / float64(out.Calls),
			"p50 ms": milliseconds(out.Percentile(50)), "p99 ms": milliseconds(out.Percentile(99)), "kbit/s across": rate,
			"of budget %":  100 * rate / variant.budget,
			"after kbit/s": (f.Counter("cassialead_region_bytes_total") - before) * 8 / 1000 / 2})
		f.Close()
	}
	return nil
}
