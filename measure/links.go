package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/trial"
)

// LinkOptions choose how many idle links one node gets.
type LinkOptions struct {
	Sizes []int
	Seed  uint64
}

const (
	beatInterval = 500 * time.Millisecond
	linkSettle   = 5 * time.Second
)

// Links measures the processor time of idle links to one node. Both ends run here, so that an end costs half.
func Links(ctx context.Context, o LinkOptions) (*Report, error) {
	r := &Report{Command: fmt.Sprintf("cassialead measure links --sizes %v", o.Sizes), Seed: o.Seed,
		Columns: []string{"links", "cpu %", "cpu % per end"}}
	f, err := trial.New(trial.Uniform(1, 1), o.Seed, nil)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	time.Sleep(linkSettle)
	alone := idleCPU()
	open := 0
	for _, n := range o.Sizes {
		for ; open < n; open++ {
			if err := idleLink(ctx, f, open); err != nil {
				return nil, err
			}
		}
		time.Sleep(linkSettle)
		cpu := idleCPU()
		r.Rows = append(r.Rows, Row{"links": float64(n), "cpu %": cpu, "cpu % per end": (cpu - alone) / float64(n) / 2})
	}
	r.Fit("cpu %")
	return r, nil
}

func idleCPU() float64 {
	cpu := cpuTime()
	time.Sleep(idleWindow)
	return 100 * (cpuTime() - cpu).Seconds() / idleWindow.Seconds()
}

// idleLink opens a link that only exchanges heartbeats.
func idleLink(ctx context.Context, f *trial.Fleet, i int) error {
	_, address, _ := f.VMs[0].Node.Addresses()
	c, err := link.Dial(ctx, address, link.NewTraffic(metrics.NewSet()))
	if err != nil {
		return err
	}
	name := fmt.Sprintf("idle-%d", i)
	c.Send(control.Hello{Role: control.RolePeer, Record: fleet.Record{Node: fleet.NodeID(name), DataCentre: fleet.DataCentre(name),
		Region: "elsewhere", Incarnation: 1, Sequence: 1}})
	go func() { _ = c.Run(func(control.Message) {}) }()
	go func() {
		for c.Send(control.Beat{}) {
			time.Sleep(beatInterval)
		}
	}()
	return nil
}
