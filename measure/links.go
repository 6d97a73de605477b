package measure

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/trial"
)

// LinkOptions are the options of Links.
type LinkOptions struct {
	Sizes []int
	// Records and Services are the numbers of records and services that the node holds during the measurement.
	Records, Services int
	Seed              uint64
}

const (
	heartbeatInterval = 500 * time.Millisecond
	linkSettleTime    = 5 * time.Second
)

// Links measures the processor time of idle links to one node. Both ends of each link run in this process; one end accounts for
// half of the time.
func Links(ctx context.Context, o LinkOptions) (*Report, error) {
	r := &Report{Command: fmt.Sprintf("cassialead measure links --sizes %v --records %d --services %d", o.Sizes, o.Records, o.Services),
		Seed: o.Seed, Columns: []string{"links", "cpu %", "cpu % per end", "resident MB", "known"}}
	f, err := trial.New(trial.Uniform(1, 1), o.Seed, nil)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := populate(ctx, f, o); err != nil {
		return nil, err
	}
	time.Sleep(linkSettleTime)
	baseline := measureIdleCPU()
	r.Rows = append(r.Rows, Row{"links": 0, "cpu %": baseline, "resident MB": residentMB(),
		"known": float64(f.VMs[0].Node.KnownNodes())})
	open := 0
	for _, n := range o.Sizes {
		for ; open < n; open++ {
			if _, err := openIdleLink(ctx, f, open); err != nil {
				return nil, err
			}
		}
		time.Sleep(linkSettleTime)
		cpu := measureIdleCPU()
		r.Rows = append(r.Rows, Row{"links": float64(n), "cpu %": cpu, "cpu % per end": (cpu - baseline) / float64(n) / 2,
			"resident MB": residentMB(), "known": float64(f.VMs[0].Node.KnownNodes())})
	}
	r.Fit("cpu %")
	return r, nil
}

func measureIdleCPU() float64 {
	cpu := cpuTime()
	time.Sleep(idleWindow)
	return 100 * (cpuTime() - cpu).Seconds() / idleWindow.Seconds()
}

// openIdleLink opens a link that carries only heartbeats.
func openIdleLink(ctx context.Context, f *trial.Fleet, i int) (*link.Conn, error) {
	_, address, _ := f.VMs[0].Node.Addresses()
	c, err := link.Dial(ctx, address, link.NewTraffic(metrics.NewSet()))
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("idle-%d", i)
	c.Send(control.Hello{Role: control.RoleLeaderPeer, Record: fleet.Record{Node: fleet.NodeID(name), DataCentre: fleet.DataCentre(name),
		Region: "elsewhere", Incarnation: 1, Sequence: 1}})
	go func() { _ = c.Run(func(control.Message) {}) }()
	s := f.VMs[0].Node.Status()
	go func() {
		for c.Send(control.Heartbeat{ActiveConfig: control.ConfigRef{Lineage: s.Lineage, Version: s.Version}}) {
			time.Sleep(heartbeatInterval)
		}
	}()
	return c, nil
}

// populate sends the node a document and the records of a fleet, unless no records are requested.
func populate(ctx context.Context, f *trial.Fleet, o LinkOptions) error {
	if o.Records == 0 {
		return nil
	}
	v, err := f.Apply(ctx, Document(o.Services), "first")
	if err != nil {
		return err
	}
	if _, err := f.AwaitVersion(v, settleTimeout); err != nil {
		return err
	}
	c, err := openIdleLink(ctx, f, -1)
	if err != nil {
		return err
	}
	c.Send(control.Records{Records: syntheticRecords(o.Records, o.Services)})
	_, err = f.Await(settleTimeout, func(vm *trial.VM) bool { return vm.Node.KnownNodes() >= o.Records })
	return err
}

// residentMB returns the resident memory of this process, which contains the node, its store and the far ends of its links.
func residentMB() float64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, resident float64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * float64(os.Getpagesize()) / 1e6
}
