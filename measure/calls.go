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

// CallOptions choose what to measure of calls.
type CallOptions struct {
	// Scenarios are added, straggler, long, crest, repeats and spill.
	Scenarios []string
	Length    time.Duration
	Seed      uint64
	Progress  func(string)
}

// Deployment is one of the users' deployments with its document.
type Deployment struct {
	Name   string
	Layout trial.Layout
	Data   []byte
	// Short, Long and Order are paths of that kind of call, and ShortService is the short one's service.
	Short, Long, Order string
	ShortService       string
}

// Deployments returns the users' deployments.
func Deployments() []Deployment {
	return []Deployment{
		{"palmared", trial.Palmared(), examples.Palmared, "/stock", "/drawings", "/orders", "stock-and-calendar"},
		{"yukimichi", trial.Yukimichi(), examples.Yukimichi, "/drafts", "/downloads", "/approvals", "drafts"},
	}
}

// slots returns the slots of the deployment's short service.
func (d Deployment) slots() float64 {
	for _, s := range d.Layout.Services {
		if s.Name == d.ShortService {
			return float64(s.Upstreams * s.Slots)
		}
	}
	return 0
}

// start runs a deployment until every node can reach every target.
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
	if err := f.AwaitTargets(d.Layout, settleLimit); err != nil {
		return f, err
	}
	time.Sleep(4 * time.Second) // past the targets' ramp
	return f, nil
}

// calls returns a stream of GET calls to random nodes.
func calls(f *trial.Fleet, name, path string, rate func(time.Duration) float64, seed uint64) Stream {
	rng := rand.New(rand.NewPCG(seed, 99))
	var urls []string
	for _, v := range f.VMs {
		urls = append(urls, "http://"+v.Call()+path)
	}
	return Stream{Name: name, Rate: rate, Make: func(int) *http.Request {
		req, _ := http.NewRequest(http.MethodGet, urls[rng.IntN(len(urls))], nil)
		return req
	}}
}

type scenario func(context.Context, CallOptions, Deployment, *Report) error

var scenarios = map[string]scenario{
	"added": measureAdded, "straggler": measureStraggler, "long": measureLong, "crest": measureCrest, "repeats": measureRepeats,
	"spill": measureSpill,
}

// Calls measures the policy of calls against plain baselines, one report a scenario.
func Calls(ctx context.Context, o CallOptions) ([]*Report, error) {
	var reports []*Report
	for _, name := range o.Scenarios {
		run, ok := scenarios[name]
		if !ok {
			return reports, fmt.Errorf("unknown scenario %q", name)
		}
		r := &Report{Command: fmt.Sprintf("cassialead measure calls --scenarios %s --length %s", name, o.Length), Seed: o.Seed}
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

// measureAdded compares calls through the nodes with calls straight to the targets, at the same time.
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
	var direct, near []string
	for _, v := range f.VMs {
		if v.Service == d.ShortService {
			direct = append(direct, "http://"+v.Target.Address()+d.Short+work)
			near = append(near, "http://"+v.Call()+d.Short+work)
		}
	}
	straight, onehop := inTurn(direct, Steady(rate)), inTurn(near, Steady(rate))
	mesh := calls(f, "mesh", d.Short+work, Steady(rate), o.Seed)
	Run(ctx, o.Seed, o.Length/4, straight, onehop, mesh)
	cpu := []float64{cpuPerCall(ctx, o, straight), cpuPerCall(ctx, o, onehop), cpuPerCall(ctx, o, mesh)}
	before := f.Histogram("cassialead_added_seconds")
	outs := Run(ctx, o.Seed, o.Length, straight, onehop, mesh)
	added := f.Histogram("cassialead_added_seconds").Since(before)
	for i, label := range []string{"straight to the target", "by the target's own node", "through two nodes"} {
		row := Row{"calls/s": float64(outs[i].Calls) / o.Length.Seconds(), "cpu us/call": cpu[i],
			"failed": float64(outs[i].Calls - outs[i].OK)}
		for name, q := range map[string]float64{"p50": 50, "p90": 90, "p99": 99} {
			row[name+" ms"] = milliseconds(outs[i].Quantile(q))
			row["more "+name] = milliseconds(outs[i].Quantile(q) - outs[0].Quantile(q))
			if i == 2 {
				row["added "+name] = added.Quantile(q/100) * 1000
			}
		}
		r.add(d.Name+": "+label, row)
	}
	return nil
}

// inTurn returns a stream of GET calls to URLs in turn.
func inTurn(urls []string, rate func(time.Duration) float64) Stream {
	return Stream{Rate: rate, Make: func(n int) *http.Request {
		req, _ := http.NewRequest(http.MethodGet, urls[n%len(urls)], nil)
		return req
	}}
}

// cpuPerCall returns the whole process's processor time a call, in microseconds.
func cpuPerCall(ctx context.Context, o CallOptions, s Stream) float64 {
	cpu := cpuTime()
	out := Run(ctx, o.Seed, o.Length/2, s)[0]
	return float64((cpuTime() - cpu).Microseconds()) / float64(out.Calls)
}

// measureStraggler makes one target 20 times slower and compares ways to choose.
func measureStraggler(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "p50 ms", "p99 ms", "p99.9 ms", "p99 / healthy", "slow share %", "hedges %", "failed"}
	noHedge := func(doc config.Document) { doc["defaults"]["hedge"] = "false" }
	ways := []struct {
		label   string
		chooser func() route.Chooser
		change  func(config.Document)
		slow    bool
	}{
		{"healthy", nil, nil, false},
		{"cassialead", nil, nil, true},
		{"cassialead, no hedges", nil, noHedge, true},
		{"round robin", func() route.Chooser { return route.NewRoundRobin() }, noHedge, true},
		{"least in flight", func() route.Chooser { return route.LeastInflight{} }, noHedge, true},
	}
	healthy := 0.0
	for _, way := range ways {
		d := d
		d.Layout.Chooser = way.chooser
		f, err := d.start(ctx, o.Seed, way.change)
		if err != nil {
			return err
		}
		var slow *standin.Target
		for _, v := range f.VMs {
			if v.Service == d.ShortService && slow == nil {
				slow = v.Target
			}
		}
		stream := calls(f, way.label, d.Short+"?work=5ms", Steady(300), o.Seed)
		Run(ctx, o.Seed, o.Length/3, stream)
		if way.slow {
			slow.SetFaults(standin.TargetFaults{SlowFactor: 20})
			Run(ctx, o.Seed, o.Length/5, stream)
		}
		served := slow.Served()
		hedges := f.Counter("cassialead_hedges_total")
		out := Run(ctx, o.Seed+1, o.Length, stream)[0]
		p99 := milliseconds(out.Quantile(99))
		if !way.slow {
			healthy = p99
		}
		r.add(d.Name+": "+way.label, Row{"calls": float64(out.Calls), "p50 ms": milliseconds(out.Quantile(50)), "p99 ms": p99,
			"p99.9 ms": milliseconds(out.Quantile(99.9)), "p99 / healthy": p99 / healthy,
			"slow share %": 100 * float64(slow.Served()-served) / float64(out.Calls),
			"hedges %":     100 * (f.Counter("cassialead_hedges_total") - hedges) / float64(out.Calls),
			"failed":       float64(out.Calls - out.OK)})
		f.Close()
	}
	return nil
}

// measureLong offers long work at three times the capacity beside short work on the same targets.
func measureLong(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"short calls", "short p50 ms", "short p99 ms", "p99 / alone", "short lost", "long done/s", "long refused", "long failed"}
	const longWork = 400 * time.Millisecond
	capacity := d.slots() / longWork.Seconds()
	shared := func(class string) func(config.Document) {
		return func(doc config.Document) {
			doc["route bulk"] = config.Section{"path": "/bulk", "service": d.ShortService, "calls": "idempotent", "class": class,
				"timeout": "20s", "max-wait": "10s"}
		}
	}
	ways := []struct {
		label, class string
		offered      float64
	}{{"alone", "long", 0}, {"cassialead", "long", 3 * capacity}, {"one shared queue", "short", 3 * capacity}}
	alone := 0.0
	for _, way := range ways {
		f, err := d.start(ctx, o.Seed, shared(way.class))
		if err != nil {
			return err
		}
		short := calls(f, "short", d.Short+"?work=5ms", Steady(200), o.Seed)
		long := calls(f, "long", fmt.Sprintf("/bulk?work=%s", longWork), Steady(way.offered), o.Seed+1)
		out := Run(ctx, o.Seed, o.Length, short, long)
		p99 := milliseconds(out[0].Quantile(99))
		if way.offered == 0 {
			alone = p99
		}
		r.add(d.Name+": "+way.label, Row{"short calls": float64(out[0].Calls), "short p50 ms": milliseconds(out[0].Quantile(50)),
			"short p99 ms": p99, "p99 / alone": p99 / alone, "short lost": float64(out[0].Calls - out[0].OK),
			"long done/s": float64(out[1].OK) / o.Length.Seconds(), "long refused": float64(out[1].NotRun),
			"long failed": float64(out[1].Failed)})
		f.Close()
	}
	return nil
}

const refusalBound = 50 * time.Millisecond

// measureCrest offers three times the capacity for five seconds, with and without admission.
func measureCrest(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "useful/s crest", "% of capacity", "answered p99 ms", "refused", "refused p50 ms",
		"refused at once %", "failed", "useful after %"}
	const work = 400 * time.Millisecond
	const before, crest, after = 3 * time.Second, 5 * time.Second, 4 * time.Second
	capacity := d.slots() / work.Seconds()
	swing := func(at time.Duration) float64 {
		if at >= before && at < before+crest {
			return 3 * capacity
		}
		return 0.2 * capacity
	}
	for _, way := range []struct {
		label string
		slots int
	}{{"cassialead", 0}, {"no admission", 100_000}} {
		d := d
		d.Layout.Limit = true
		d.Layout.AnnouncedSlots = way.slots
		f, err := d.start(ctx, o.Seed, func(doc config.Document) {
			doc["route crest"] = config.Section{"path": "/crest", "service": d.ShortService, "calls": "idempotent", "timeout": "2s",
				"max-wait": "1500ms", "class": "short"}
		})
		if err != nil {
			return err
		}
		out := Run(ctx, o.Seed, before+crest+after, calls(f, "crest", "/crest?work="+work.String(), swing, o.Seed))[0]
		useful, back := 0, 0
		for s := int(before.Seconds()); s < int((before + crest).Seconds()); s++ {
			useful += out.BySecond[s]
		}
		for s := int((before + crest).Seconds()) + 1; s < int((before + crest + after).Seconds()); s++ {
			back += out.BySecond[s]
		}
		row := Row{"calls": float64(out.Calls), "useful/s crest": float64(useful) / crest.Seconds(),
			"% of capacity":   100 * float64(useful) / crest.Seconds() / capacity,
			"answered p99 ms": milliseconds(out.Quantile(99)), "refused": float64(out.NotRun), "failed": float64(out.Failed),
			"refused p50 ms": float64(out.Refused.ValueAtQuantile(50)) / 1000, "refused at once %": 100 * out.RefusedWithin(refusalBound),
			"useful after %": 100 * float64(back) / (after.Seconds() - 1) / (0.2 * capacity)}
		r.add(d.Name+": "+way.label, row)
		f.Close()
	}
	return nil
}

// measureRepeats makes targets fail and counts the extra attempts.
func measureRepeats(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "extra runs %", "repeats %", "hedges %", "elsewhere %", "ok %"}
	for _, way := range []struct {
		label  string
		broken int
		fault  standin.TargetFaults
	}{
		{"one target breaks every answer", 1, standin.TargetFaults{BreakAfterRun: true}},
		{"all targets break every answer", 99, standin.TargetFaults{BreakAfterRun: true}},
		{"all targets 20 times slower", 99, standin.TargetFaults{SlowFactor: 20}},
	} {
		f, err := d.start(ctx, o.Seed, nil)
		if err != nil {
			return err
		}
		stream := calls(f, way.label, d.Short+"?work=5ms", Steady(200), o.Seed)
		Run(ctx, o.Seed, o.Length/3, stream)
		n, served := 0, 0
		for _, v := range f.VMs {
			if v.Service == d.ShortService && n < way.broken {
				v.Target.SetFaults(way.fault)
				n++
			}
		}
		served = f.Served(d.ShortService)
		counts := map[string]float64{}
		names := []string{"cassialead_repeats_total", "cassialead_hedges_total", "cassialead_refused_elsewhere_total"}
		for _, name := range names {
			counts[name] = f.Counter(name)
		}
		out := Run(ctx, o.Seed, o.Length, stream)[0]
		percent := func(name string) float64 { return 100 * (f.Counter(name) - counts[name]) / float64(out.Calls) }
		r.add(d.Name+": "+way.label, Row{"calls": float64(out.Calls),
			"extra runs %": 100 * float64(f.Served(d.ShortService)-served-out.Calls) / float64(out.Calls),
			"repeats %":    percent(names[0]), "hedges %": percent(names[1]), "elsewhere %": percent(names[2]),
			"ok %": 100 * float64(out.OK) / float64(out.Calls)})
		f.Close()
	}
	return nil
}

// measureSpill overloads one region and counts the bytes that its calls send to the other.
func measureSpill(ctx context.Context, o CallOptions, d Deployment, r *Report) error {
	r.Columns = []string{"calls", "ok %", "p50 ms", "p99 ms", "kbit/s across", "of budget %", "after kbit/s"}
	const work, bytes = 50 * time.Millisecond, 20_000
	for _, way := range []struct {
		label  string
		budget float64 // kbit/s
	}{{"3 Mbit/s budget", 3000}, {"no budget", 1e6}} {
		f, err := d.start(ctx, o.Seed, func(doc config.Document) {
			doc["defaults"]["spill-bandwidth"] = fmt.Sprintf("%gkbit", way.budget)
			doc["route spill"] = config.Section{"path": "/spill", "service": d.ShortService, "calls": "idempotent", "max-wait": "1s"}
		})
		if err != nil {
			return err
		}
		home := f.VMs[0].Centre.Region
		var urls []string
		slots := 0.0
		for _, v := range f.VMs {
			if v.Centre.Region != home {
				continue
			}
			urls = append(urls, fmt.Sprintf("http://%s/spill?work=%s&bytes=%d", v.Call(), work, bytes))
			if v.Service == d.ShortService {
				slots += d.slots() / float64(d.Layout.Services[0].Upstreams)
			}
		}
		capacity := slots / work.Seconds()
		before := f.Counter("cassialead_region_bytes_total")
		out := Run(ctx, o.Seed, o.Length, inTurn(urls, Steady(1.3*capacity)))[0]
		crossed := f.Counter("cassialead_region_bytes_total") - before
		Run(ctx, o.Seed, 2*time.Second, inTurn(urls, Steady(0.3*capacity)))
		before = f.Counter("cassialead_region_bytes_total")
		Run(ctx, o.Seed, 2*time.Second, inTurn(urls, Steady(0.3*capacity)))
		rate := crossed * 8 / 1000 / o.Length.Seconds()
		r.add(d.Name+": "+way.label, Row{"calls": float64(out.Calls), "ok %": 100 * float64(out.OK) / float64(out.Calls),
			"p50 ms": milliseconds(out.Quantile(50)), "p99 ms": milliseconds(out.Quantile(99)), "kbit/s across": rate,
			"of budget %": 100 * rate / way.budget, "after kbit/s": (f.Counter("cassialead_region_bytes_total") - before) * 8 / 1000 / 2})
		f.Close()
	}
	return nil
}
