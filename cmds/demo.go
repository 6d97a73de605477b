package cmds

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/examples"
	"github.com/cassialead/cassialead/measure"
	"github.com/cassialead/cassialead/trial"
)

const (
	demoTimeout      = 30 * time.Second
	demoLoadDuration = 6 * time.Second
	demoRate         = 150 // calls per second of each kind
)

func (a *app) demoCommand() *cobra.Command {
	var keep bool
	var seed uint64
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run Palmared's deployment in this process: a store, 13 nodes and their targets in 4 data centres",
		Long: "Demo applies the Palmared example, sends calls and orders, changes a route under load, drains a target, and prints the\n" +
			"measurements. With --keep the fleet keeps running for use with the other commands.",
		Example: "  cassialead demo\n  cassialead demo --keep",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := demo{app: a, layout: trial.Palmared(), seed: seed}
			return d.run(cmd.Context(), keep)
		},
	}
	cmd.Flags().BoolVar(&keep, "keep", false, "leave the fleet running until interrupted")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of all random choices")
	return cmd
}

type demo struct {
	*app
	layout trial.Layout
	seed   uint64
	fleet  *trial.Fleet
	doc    config.Document
}

func (d *demo) run(ctx context.Context, keep bool) error {
	f, err := trial.New(d.layout, d.seed, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	d.fleet = f
	for _, step := range []func(context.Context) error{d.apply, d.changeUnderLoad, d.drain} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if !keep {
		return nil
	}
	v := f.VMs[0]
	_, _, local := v.Node.Addresses()
	d.printf("\nthe fleet keeps running; try:\n  cassialead status --store %s\n  cassialead status --node %s\n  cassialead explain /orders --node %s\n  curl -i http://%s/stock\n",
		f.StoreURL, local, local, v.CallAddress())
	<-ctx.Done()
	return nil
}

func (d *demo) apply(ctx context.Context) error {
	doc, v, err := d.fleet.ApplyData(ctx, "palmared.ini", examples.Palmared)
	if err != nil {
		return err
	}
	d.doc = doc
	if err := d.fleet.AwaitTargets(d.layout, demoTimeout); err != nil {
		return err
	}
	d.printf("version %d of Palmared's document is in force on %d nodes in %d data centres\n", v, len(d.fleet.VMs), len(d.layout.DataCentres))
	for _, s := range d.layout.Services {
		d.printf("  %-22s %d targets with %d slots each\n", s.Name, s.Targets, s.Slots)
	}
	return nil
}

func (d *demo) stream(method, path string) measure.Stream {
	return measure.Stream{Rate: measure.ConstantRate(demoRate), NewRequest: func(n int) *http.Request {
		v := d.fleet.VMs[n%len(d.fleet.VMs)]
		url := "http://" + v.CallAddress() + path
		if method == http.MethodPost {
			url += fmt.Sprintf("?order=roof-%d", n)
		}
		req, _ := http.NewRequest(method, url, nil)
		return req
	}}
}

// changeUnderLoad changes a route while calls are in flight and counts orders that were executed more than once.
func (d *demo) changeUnderLoad(ctx context.Context) error {
	type change struct {
		took []time.Duration
		err  error
	}
	changed := make(chan change, 1)
	go func() {
		time.Sleep(demoLoadDuration / 2)
		doc := d.doc.Clone()
		doc["route stock"]["timeout"] = "4s"
		started := time.Now()
		v, err := d.fleet.Apply(ctx, doc, "demo-change")
		if err != nil {
			changed <- change{err: err}
			return
		}
		accepted := time.Since(started)
		took, err := d.fleet.AwaitVersion(v, demoTimeout)
		for i := range took {
			took[i] += accepted
		}
		changed <- change{took, err}
	}()
	before := d.fleet.Histogram("cassialead_added_seconds")
	out := measure.RunStreams(ctx, d.seed, demoLoadDuration, d.stream(http.MethodGet, "/stock"), d.stream(http.MethodPost, "/orders"))
	added := d.fleet.Histogram("cassialead_added_seconds").Since(before)
	c := <-changed
	if c.err != nil {
		return c.err
	}
	d.printf("a route changed under load: in force everywhere %.0f ms after it was submitted\n",
		float64(c.took[len(c.took)-1].Microseconds())/1000)
	for i, name := range []string{"stock calls", "roof orders"} {
		d.printf("  %-12s %d answered of %d, p50 %.2f ms, p99 %.2f ms\n", name, out[i].OK, out[i].Calls,
			float64(out[i].Percentile(50).Microseconds())/1000, float64(out[i].Percentile(99).Microseconds())/1000)
	}
	d.printf("  latency added to a call by the nodes: p50 %.2f ms, p99 %.2f ms\n", added.Quantile(0.5)*1000, added.Quantile(0.99)*1000)
	d.printf("  orders executed more than once: %d\n", d.duplicateOrders())
	return nil
}

func (d *demo) duplicateOrders() int {
	runs := map[string]int{}
	for _, v := range d.fleet.VMs {
		for order, n := range v.Target.Executions() {
			runs[order] += n
		}
	}
	duplicates := 0
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}

// drain drains a target and waits until no node routes calls to it.
func (d *demo) drain(ctx context.Context) error {
	v := d.fleet.VMs[0]
	_, _, local := v.Node.Addresses()
	started := time.Now()
	if _, err := d.operator().Drain(ctx, local); err != nil {
		return err
	}
	want := d.layout.Services[0].Targets - 1
	if _, err := d.fleet.Await(demoTimeout, func(o *trial.VM) bool {
		return o.Node.EndpointCount(config.ServiceName(v.Service)) <= want
	}); err != nil {
		return err
	}
	took := time.Since(started)
	served := v.Target.Served()
	out := measure.RunStreams(ctx, d.seed, time.Second, d.stream(http.MethodGet, "/stock"))
	d.printf("target on %s drained: no node routes calls to it after %.0f ms; %d of %d later calls answered, %d of them by this target\n", v.Name(),
		float64(took.Milliseconds()), out[0].OK, out[0].Calls, v.Target.Served()-served)
	return nil
}
