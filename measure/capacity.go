package measure

import (
	"fmt"
	"math"
	"strings"
)

// Costs are the measured costs from which the capacity figures are calculated.
type Costs struct {
	// Sources names the measurement that each group of figures comes from.
	Sources map[string]string `json:"sources"`

	LinkIdleBytes   float64 `json:"link_idle_bytes"`   // bytes per second and link, in both directions
	ChangeBytes     float64 `json:"change_bytes"`      // bytes per change and link that carries it, including the acknowledgement
	RecordBytes     float64 `json:"record_bytes"`      // bytes of a changed record in a batch with no others
	SyncRecordBytes float64 `json:"sync_record_bytes"` // bytes per record in a full synchronization
	HeldRecordBytes float64 `json:"held_record_bytes"` // memory per record
	NodeMB          float64 `json:"node_mb"`           // memory of a node without other nodes' records
	IdleCPU         float64 `json:"idle_cpu_percent"`  // of a core, for an average node
	LinkCPU         float64 `json:"link_cpu_percent"`  // of a core, per link
	DeltaMS         float64 `json:"delta_ms"`          // processor time per change
	TableRecordMS   float64 `json:"table_record_ms"`   // processor time per record when a table is rebuilt
	Children        float64 `json:"children"`          // highest number of children at a relay in a data centre of 490 nodes
	CallMicros      float64 `json:"call_us"`           // processor time per call, both nodes together
	AddedP50        float64 `json:"added_p50_ms"`
	AddedP99        float64 `json:"added_p99_ms"`
}

// The size that the system is designed for, and the rates at that size.
const (
	designNodes        = 5900.0
	designDataCentres  = 12.0
	designRegions      = 3.0
	nodesPerDataCentre = 490.0
	changesPerDay      = 33_000.0
	churnPerDay        = 1326.0 // failures and restarts
	recordsPerChurn    = 4.0    // record updates for each: node leaving or lost, restarted, with its target registered, with a later state
	callsPerSecond     = 320_000.0
	maxCallDepth       = 20.0
	day                = 86_400.0
	regionLinkRate     = 30e6 / 8 // bytes per second
	leaseRenewalRate   = 1.0 / 3  // writes per second and data centre
	watchPeriod        = 50.0     // seconds
	listPeriod         = 30.0     // seconds
)

// Figure is one line of the capacity table.
type Figure struct {
	Role, Measure, Value, Bound, Mechanism string
	Met                                    bool
}

// Capacity calculates the figures at the design size.
func Capacity(s Costs) []Figure {
	change := changesPerDay / day
	churn := churnPerDay * recordsPerChurn / day
	flow := change*s.ChangeBytes + churn*s.RecordBytes // bytes per second on a link that carries all changes and records
	relays := math.Ceil(math.Sqrt(nodesPerDataCentre))
	peers := designDataCentres/designRegions - 1 + designRegions - 1
	bytes := func(links, carrying float64) float64 { return (links*s.LinkIdleBytes + carrying*flow) / 1000 }
	cpu := func(links float64) float64 {
		return s.IdleCPU + (links-2)*s.LinkCPU + 100*change*(s.DeltaMS+s.TableRecordMS*designNodes)/1000 +
			100*churn*s.TableRecordMS*designNodes/1000
	}
	relayLinks, leaderLinks, standbyLinks := 2+2*s.Children, relays+peers, 1+relays/2+2*s.Children
	memory := s.NodeMB + s.HeldRecordBytes*designNodes/1e6
	sync := s.SyncRecordBytes * designNodes / 1000
	callCPU := callsPerSecond / designNodes * s.CallMicros / 1e6 * 100
	storeWrites := designDataCentres*leaseRenewalRate + change*(1+1.0/32)
	storeReads := designDataCentres*(1/watchPeriod+1/listPeriod+change) + 2*change
	region := bytes(1, 1) * 1000
	return []Figure{
		figure("node", "control bytes", bytes(2, 1), 30, "KB/s", "one parent, one silent spare"),
		figure("relay", "control bytes", bytes(relayLinks, 1+s.Children), 30, "KB/s", "√n relays, bounded children"),
		figure("lead", "control bytes", bytes(leaderLinks, leaderLinks), 30, "KB/s", "only relays and leads below it"),
		figure("standby", "control bytes", bytes(standbyLinks, 1+s.Children), 30, "KB/s", "spare of the relays, relay itself"),
		figure("node", "processor, control", cpu(2), 1.8, "% of a core", "deltas; tables built once a change"),
		figure("relay", "processor, control", cpu(relayLinks), 1.8, "% of a core", "the same, a frame for each link"),
		figure("standby", "processor, control", cpu(standbyLinks), 1.8, "% of a core", "the same"),
		figure("node", "memory, control", memory, 128, "MB", "one copy of the records, shared tables"),
		figure("node beside a target", "processor, calls", callCPU, math.Inf(1), "% of a core", "two hops, admission in one lock"),
		figure("call", "added, p50", s.AddedP50, math.Inf(1), "ms", "kept connections"),
		figure("call", "added, p99", s.AddedP99, 0.65, "ms", "kept connections"),
		figure("call 20 deep", "added, p50", s.AddedP50*maxCallDepth, math.Inf(1), "ms", "the sum over its path"),
		figure("pair of border leads", "bytes on a region link", region/1000, regionLinkRate/100/1000, "KB/s", "one pair of leads a region pair"),
		figure("store", "writes", storeWrites, 300, "/s", "leases by data centre, one write a change"),
		figure("store", "reads", storeReads, 2000, "/s", "leads alone watch"),
		figure("relay", "data centre back at once: sent", sync*(1+s.Children)/1000, math.Inf(1), "MB", "whole syncs compressed, 25 a second at most"),
		figure("node", "restart: received", sync, math.Inf(1), "KB", "records compressed in one frame"),
	}
}

func figure(role, measure string, value, bound float64, unit, mechanism string) Figure {
	f := Figure{Role: role, Measure: measure, Value: fmt.Sprintf("%.3g %s", value, unit), Mechanism: mechanism, Met: value <= bound,
		Bound: "none stated"}
	if !math.IsInf(bound, 1) {
		f.Bound = fmt.Sprintf("≤ %.4g", bound)
	}
	return f
}

// CapacityTable returns the figures as a Markdown table.
func CapacityTable(fs []Figure) string {
	var b strings.Builder
	b.WriteString("| role | measure | figure | bound | met | carried by |\n|---|---|---|---|---|---|\n")
	for _, f := range fs {
		met := "yes"
		switch {
		case !f.Met:
			met = "**no**"
		case f.Bound == "none stated":
			met = ""
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", f.Role, f.Measure, f.Value, f.Bound, met, f.Mechanism)
	}
	return b.String()
}
