package measure

import (
	"fmt"
	"runtime"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/rollout"
	"github.com/cassialead/cassialead/route"
)

// StateOptions are the options of State.
type StateOptions struct {
	Sizes    []int
	Services int
	Seed     uint64
}

const stateRepetitions = 20 // repetitions over which each time is averaged

// State measures the sizes of the records and the document that one node holds and the time to process them, without a network.
func State(o StateOptions) (*Report, error) {
	r := &Report{Command: fmt.Sprintf("cassialead measure state --sizes %v --services %d", o.Sizes, o.Services), Seed: o.Seed,
		Columns: []string{"records", "sync KB", "B/record", "merge ms", "table ms", "delta ms", "document KB", "delta B"}}
	for _, n := range o.Sizes {
		row, err := stateAt(n, o.Services)
		if err != nil {
			return nil, err
		}
		r.Rows = append(r.Rows, row)
	}
	for _, c := range r.Columns[1:] {
		r.Fit(c)
	}
	return r, nil
}

// syntheticRecords returns the records of a fleet with one target per node.
func syntheticRecords(n, services int) []fleet.Record {
	const centres = 12
	rs := make([]fleet.Record, n)
	for i := range rs {
		dc := i%centres + 1
		rs[i] = fleet.Record{
			Node: fleet.NodeID(fmt.Sprintf("dc-%02d-vm-%04d", dc, i)), DataCentre: fleet.DataCentre(fmt.Sprintf("away-dc-%02d", dc)),
			Region: fleet.Region(fmt.Sprintf("away-%d", dc/5)), Incarnation: fleet.Incarnation(1_796_000_000_000 + uint64(i)*7919),
			Sequence: fleet.Sequence(2 + i%5), CallAddress: fleet.Address(fmt.Sprintf("10.%d.%d.%d:9001", dc, i/250, i%250)),
			LinkAddress: fleet.Address(fmt.Sprintf("10.%d.%d.%d:9002", dc, i/250, i%250)),
			Targets:     []fleet.Target{{Service: config.ServiceName(fmt.Sprintf("service-%03d", i%services)), Slots: 9}},
		}
	}
	return rs
}

func stateAt(n, services int) (Row, error) {
	records := syntheticRecords(n, services)
	frame, err := link.Encode(control.Records{Records: records})
	if err != nil {
		return nil, err
	}
	row := Row{"records": float64(n), "sync KB": float64(len(frame)) / 1000}
	runtime.GC()
	before := memoryInUse()
	decoded, err := link.Decode(frame)
	if err != nil {
		return nil, err
	}
	f := fleet.New()
	started := time.Now()
	for _, r := range decoded.(control.Records).Records {
		f.Merge(r)
	}
	row["merge ms"] = milliseconds(time.Since(started))
	runtime.GC()
	row["B/record"] = max(memoryInUse()-before, 0) / float64(n)
	return row, measureDocument(row, f, services)
}

// measureDocument measures the time to rebuild the routing table and to apply a change of the document; every node does both
// for every change.
func measureDocument(row Row, f *fleet.Fleet, services int) error {
	doc := Document(services)
	cfg, err := config.Compile("measurement", doc)
	if err != nil {
		return err
	}
	builder := route.NewTableBuilder(fleet.Record{Node: "self", DataCentre: "dc-00", Region: "region-0"}, route.PowerOfTwoChoices{})
	records := f.All()
	started := time.Now()
	for range stateRepetitions {
		builder.Build(cfg, 1, records, time.Now())
	}
	row["table ms"] = milliseconds(time.Since(started)) / stateRepetitions
	replica := rollout.NewReplica()
	if err := replica.Apply(rollout.Update{Lineage: "l", Version: 1, Digest: doc.Digest(), Document: doc}); err != nil {
		return err
	}
	whole, err := link.Encode(control.ConfigUpdate{Lineage: "l", Version: 1, Digest: doc.Digest(), Document: doc})
	if err != nil {
		return err
	}
	row["document KB"] = float64(len(whole)) / 1000
	for i := range stateRepetitions {
		next := doc.Clone()
		next["route service-000"]["timeout"] = fmt.Sprintf("%dms", 100+i)
		d := config.Diff(doc, next)
		d.From, d.To = config.Version(1+i), config.Version(2+i)
		o := rollout.Update{Lineage: "l", Version: d.To, Digest: d.Digest, Deltas: []config.Delta{d}}
		if i == 0 {
			frame, err := link.Encode(control.ConfigUpdate(o))
			if err != nil {
				return err
			}
			row["delta B"] = float64(len(frame))
		}
		put := time.Now()
		if err := replica.Apply(o); err != nil {
			return err
		}
		row["delta ms"] += milliseconds(time.Since(put)) / stateRepetitions
		doc = next
	}
	return nil
}
