package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
)

// TurnAway impairs the connections to the store of the heads of a node's region and of some more nodes; a version follows, which the others have to have in force in time.
type TurnAway struct {
	VM         int
	More       []int
	Impairment Impairment
	Delay      time.Duration // from the start of the impairment to the version
	Duration   time.Duration
}

// OddEntry writes an entry of another writer under the key of a node, or of none.
type OddEntry struct {
	Node  fleet.NodeID
	Value string
}

// ForeignHeartbeat sends two heartbeats of another writer to a node: one for its target, and one for a target of a later start that
// lacks a data centre.
type ForeignHeartbeat struct {
	VM        int
	Heartbeat lifecycle.Heartbeat // its id, start time and service are replaced if they are empty
}

// MissVersions cuts a node off from the store while long versions are written, and restores it.
type MissVersions struct {
	VM       int
	Count    int
	Duration time.Duration
}

func (TurnAway) event()         {}
func (OddEntry) event()         {}
func (ForeignHeartbeat) event() {}
func (MissVersions) event()     {}

const (
	meanWriterInterval = 6 * time.Second // between two of these events
	writerStream       = 0x5eed          // separates their random numbers, so that the other events of a seed stay the same
	contactPeriod      = 3 * time.Second // without faults and restarts before a version has to be in force in time
	probeMargin        = 200 * time.Millisecond
	fillerBytes        = 400 << 10 // of a long version
)

// writerSteps returns the random events of other writers and of nodes that miss versions.
func writerSteps(seed uint64, nodes int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, writerStream))
	var steps []Step
	for at := firstEventAt + contactPeriod; at < length; at += time.Duration(rng.ExpFloat64() * float64(meanWriterInterval)) {
		steps = append(steps, Step{at, randomWriterEvent(rng, nodes)})
	}
	return steps
}

func randomWriterEvent(rng *rand.Rand, nodes int) Event {
	duration := minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration)))
	switch rng.IntN(4) {
	case 0:
		return OddEntry{fleet.NodeID(fmt.Sprintf("vm-%d", rng.IntN(nodes+2))), randomEntry(rng)}
	case 1:
		return ForeignHeartbeat{rng.IntN(nodes), lifecycle.Heartbeat{Service: []config.ServiceName{"", "unnamed"}[rng.IntN(2)], Sequence: rng.Uint64N(1 << 20), Slots: rng.IntN(100),
			Draining: rng.IntN(2) == 0}}
	case 2:
		return MissVersions{rng.IntN(nodes), 1 + rng.IntN(20), duration}
	}
	return randomTurnAway(rng, nodes)
}

func randomTurnAway(rng *rand.Rand, nodes int) TurnAway {
	return TurnAway{rng.IntN(nodes), rng.Perm(nodes)[:rng.IntN(nodes/2)], randomImpairment(rng), time.Duration(rng.Int64N(int64(minDuration))), applyTime + time.Duration(rng.Int64N(int64(maxDuration)))}
}

func randomEntry(rng *rand.Rand) string {
	entries := []string{`{"node":`, "\x00\x01", strings.Repeat("[", 20_000), `{"node":"NODE","inc":9223372036854775807,"seq":1,"dc":"d","region":"r","addr":"127.0.0.1:9"}`,
		`{"node":"NODE","inc":1,"seq":18446744073709551615,"addr":"127.0.0.1:70000"}`,
		`{"node":"NODE","inc":1,"seq":1,"dc":"costa-norte","region":"costa","addr":"127.0.0.1:9","link":1e300,"target":{"id":"i-odd","service":"stock","slots":-1,"state":"open"}}`}
	return entries[rng.IntN(len(entries))]
}

// applyWriter applies one of these events.
func (f *Fleet) applyWriter(ctx context.Context, e Event) error {
	switch e := e.(type) {
	case OddEntry:
		f.store.Put(string(platform.MemberKey(e.Node)), []byte(strings.ReplaceAll(e.Value, "NODE", string(e.Node))))
	case ForeignHeartbeat:
		if t := f.vms[e.VM].currentTarget(); t != nil {
			e.Heartbeat.Address = fleet.Address(t.address)
			if e.Heartbeat.Service == "" {
				e.Heartbeat.Service = services[(e.VM+1)%len(services)]
			}
			later := lifecycle.Heartbeat{StartTime: lifecycle.StartTime(time.Now().UnixMilli()), Sequence: 1, Service: t.service, Address: "127.0.0.1:9", Slots: slots}
			for _, body := range [][]byte{platform.FormatHeartbeat(e.Heartbeat, t.dataCentre), platform.FormatHeartbeat(later, "")} {
				if t.post(platform.HeartbeatPath, body) {
					f.checker.RecordViolation(ForeignWriter, "%s acknowledged a heartbeat of another writer for %s", f.vms[e.VM].name, t.id)
				}
			}
		}
	case MissVersions:
		v := f.vms[e.VM]
		v.storeProxy.SetImpairment(Impairment{BlockToServer: true, BlockToCaller: true})
		for range e.Count {
			f.putLongPlan(f.nextVersion())
		}
		sleep(ctx, e.Duration)
		v.storeProxy.SetImpairment(Impairment{})
		f.writePlan()
	case TurnAway:
		f.turnAway(ctx, e)
	}
	return nil
}

// turnAway applies the event and checks the nodes that the store serves if no other fault and no restart concerns them.
func (f *Fleet) turnAway(ctx context.Context, e TurnAway) {
	away := f.heads(f.vms[e.VM].cfg.Region)
	for _, i := range e.More {
		away[f.vms[i]] = true
	}
	f.writePlan() // the contact of the heads is recent
	sleep(ctx, minDuration/2)
	for v := range away {
		v.storeProxy.SetImpairment(e.Impairment)
	}
	end := time.Now().Add(e.Duration)
	sleep(ctx, e.Delay)
	starts := map[*VM]int{}
	for _, v := range f.vms {
		if !away[v] && f.onlyFault() && v.runningFor(contactPeriod) {
			starts[v] = v.incarnation()
		}
	}
	version := f.nextVersion()
	f.putPlan(version)
	sleep(ctx, applyTime+probeMargin)
	for v, incarnation := range starts {
		if !f.hasVersion(v, version) && f.onlyFault() && v.incarnation() == incarnation && ctx.Err() == nil {
			f.checker.RecordViolation(VersionInTime, "%s lacks version %d %v after it was written, while the store turns away others", v.name, version, applyTime+probeMargin)
		}
	}
	sleep(ctx, time.Until(end))
	for v := range away {
		v.storeProxy.SetImpairment(Impairment{})
	}
}

// heads returns the nodes that follow the store for a region if all nodes are well.
func (f *Fleet) heads(region fleet.Region) map[*VM]bool {
	var members []member.Member
	for _, v := range f.vms {
		members = append(members, member.Member{Record: member.Record{Node: v.cfg.VM, DataCentre: v.cfg.DataCentre, Region: v.cfg.Region, LinkBandwidth: v.cfg.LinkBandwidth}})
	}
	heads := map[*VM]bool{}
	for _, v := range f.vms {
		if v.cfg.Region == region && member.Locate(members, v.cfg.VM, func(fleet.NodeID) bool { return true }).Parent == nil {
			heads[v] = true
		}
	}
	return heads
}

// onlyFault reports whether the calling event has been the only fault for a while.
func (f *Fleet) onlyFault() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeFaults == 1 && time.Since(f.lastFaultEnd) >= contactPeriod
}
