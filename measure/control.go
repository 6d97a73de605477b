package measure

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/trial"
)

// ControlOptions are the options of Control.
type ControlOptions struct {
	Sizes       []int
	DataCentres int
	// Changes is the number of changes applied at each size, at intervals of ChangeInterval.
	Changes        int
	ChangeInterval time.Duration
	// Services is the number of services in the document, and of routes.
	Services int
	Seed     uint64
	Progress func(string)
}

const (
	settleTimeout = 60 * time.Second
	idleWindow    = 10 * time.Second
)

// Control measures the convergence time, link bytes, processor time, memory and store calls at several fleet sizes.
func Control(ctx context.Context, o ControlOptions) (*Report, error) {
	r := &Report{Command: fmt.Sprintf("cassialead measure control --sizes %v --centres %d --changes %d --services %d", o.Sizes,
		o.DataCentres, o.Changes, o.Services), Seed: o.Seed,
		Columns: []string{"nodes", "start s", "p50 ms", "p99 ms", "max ms", "idle B/s med", "idle B/s max", "B/change med",
			"B/change max", "idle cpu %", "ms cpu/change", "MB/node", "store reads/s", "store writes/s", "lead loss s", "storm s"}}
	for _, n := range o.Sizes {
		row, err := controlAt(ctx, o, n)
		if err != nil {
			return r, fmt.Errorf("%d nodes: %w", n, err)
		}
		r.Rows = append(r.Rows, row)
		o.Progress(fmt.Sprintf("%d nodes done", n))
	}
	for _, c := range r.Columns[1:] {
		r.Fit(c)
	}
	r.Notes = append(r.Notes, "idle cpu % is of one core and per node; bytes are TCP payload in both directions, per node")
	return r, nil
}

// Document returns a document with the given number of services and a route to each.
func Document(services int) config.Document {
	d := config.Document{"defaults": {"timeout": "5s", "retries": "2"}}
	for i := range services {
		name := fmt.Sprintf("service-%03d", i)
		d[config.SectionName("service "+name)] = config.Section{"calls": "idempotent"}
		d[config.SectionName("route "+name)] = config.Section{"path": "/" + name, "service": name}
	}
	return d
}

func controlAt(ctx context.Context, o ControlOptions, n int) (Row, error) {
	runtime.GC()
	before := memoryInUse()
	started := time.Now()
	f, err := trial.New(trial.Uniform(n, o.DataCentres), o.Seed, nil)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	doc := Document(o.Services)
	v, err := f.Apply(ctx, doc, "first")
	if err != nil {
		return nil, err
	}
	if _, err := f.AwaitVersion(v, settleTimeout); err != nil {
		return nil, err
	}
	row := Row{"nodes": float64(len(f.VMs)), "start s": time.Since(started).Seconds()}
	if _, err := f.Await(settleTimeout, func(vm *trial.VM) bool { return vm.Node.KnownNodes() >= len(f.VMs) }); err != nil {
		return nil, err
	}
	time.Sleep(idleWindow / 2)
	measureIdle(f, row)
	if err := measureChanges(ctx, f, o, doc, row); err != nil {
		return nil, err
	}
	runtime.GC()
	row["MB/node"] = (memoryInUse() - before) / float64(len(f.VMs)) / 1e6
	if err := measureLeaderLoss(ctx, f, o, doc, row); err != nil {
		return nil, err
	}
	return row, measureMassRestart(f, row)
}

func memoryInUse() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// linkBytes returns the number of bytes that each node has sent and received on its links.
func linkBytes(f *trial.Fleet) []float64 {
	var bs []float64
	for _, v := range f.VMs {
		sent, received := v.Node.Traffic().Bytes()
		bs = append(bs, float64(sent+received))
	}
	return bs
}

func differences(after, before []float64, divisor float64) []float64 {
	d := make([]float64, len(after))
	for i := range after {
		d[i] = (after[i] - before[i]) / divisor
	}
	return d
}

func measureIdle(f *trial.Fleet, row Row) {
	bytes, cpu, calls := linkBytes(f), cpuTime(), f.Store.Calls()
	time.Sleep(idleWindow)
	seconds := idleWindow.Seconds()
	d := differences(linkBytes(f), bytes, seconds)
	row["idle B/s med"], row["idle B/s max"] = quantileFloat(d, 0.5), quantileFloat(d, 1)
	row["idle cpu %"] = 100 * (cpuTime() - cpu).Seconds() / seconds / float64(len(f.VMs))
	after := f.Store.Calls()
	row["store reads/s"] = float64(after["read"]-calls["read"]) / seconds
	row["store writes/s"] = float64(after["write"]-calls["write"]) / seconds
}

func measureChanges(ctx context.Context, f *trial.Fleet, o ControlOptions, doc config.Document, row Row) error {
	var latencies []time.Duration
	bytes, cpu, started := linkBytes(f), cpuTime(), time.Now()
	for i := range o.Changes {
		section := config.SectionName(fmt.Sprintf("route service-%03d", i%o.Services))
		doc = doc.Clone()
		doc[section]["timeout"] = fmt.Sprintf("%dms", 1000+i)
		submitted := time.Now()
		v, err := f.Apply(ctx, doc, fmt.Sprintf("change-%d", i))
		if err != nil {
			return err
		}
		acceptTime := time.Since(submitted)
		ds, err := f.AwaitVersion(v, settleTimeout)
		if err != nil {
			return err
		}
		for _, d := range ds {
			latencies = append(latencies, acceptTime+d)
		}
		time.Sleep(o.ChangeInterval)
	}
	seconds := time.Since(started).Seconds()
	n := float64(o.Changes)
	d := differences(linkBytes(f), bytes, n)
	row["p50 ms"], row["p99 ms"] = milliseconds(quantile(latencies, 0.5)), milliseconds(quantile(latencies, 0.99))
	row["max ms"] = milliseconds(quantile(latencies, 1))
	row["B/change med"] = quantileFloat(d, 0.5) - row["idle B/s med"]*seconds/n
	row["B/change max"] = quantileFloat(d, 1) - row["idle B/s max"]*seconds/n
	idleCPU := row["idle cpu %"] / 100 * seconds * float64(len(f.VMs))
	row["ms cpu/change"] = ((cpuTime() - cpu).Seconds() - idleCPU) * 1000 / n / float64(len(f.VMs))
	return nil
}

// measureLeaderLoss kills the leader of a data centre and measures the time until a change submitted right afterwards is in
// force.
func measureLeaderLoss(ctx context.Context, f *trial.Fleet, o ControlOptions, doc config.Document, row Row) error {
	doc = doc.Clone()
	doc["defaults"]["timeout"] = "4s"
	for _, v := range f.VMs {
		if s := v.Node.Status(); s.LeaseHeld {
			f.Kill(v)
			break
		}
	}
	started := time.Now()
	version, err := f.Apply(ctx, doc, "lead-loss")
	if err != nil {
		return err
	}
	if _, err := f.AwaitVersion(version, settleTimeout); err != nil {
		return err
	}
	row["lead loss s"] = time.Since(started).Seconds()
	return nil
}

// measureMassRestart replaces all nodes of one data centre at once and measures the time until all nodes are ready.
func measureMassRestart(f *trial.Fleet, row Row) error {
	dataCentre := f.VMs[0].DataCentre
	var lost []*trial.VM
	for _, v := range f.VMs {
		if v.DataCentre == dataCentre {
			lost = append(lost, v)
		}
	}
	for _, v := range lost {
		f.Kill(v)
	}
	f.ClearSeeds(dataCentre.Name)
	for _, v := range lost {
		if _, err := f.Restart(v, trial.Service{}); err != nil {
			return err
		}
	}
	started := time.Now()
	if _, err := f.Await(settleTimeout, func(v *trial.VM) bool { return v.Node.Ready() }); err != nil {
		return err
	}
	row["storm s"] = time.Since(started).Seconds()
	return nil
}
