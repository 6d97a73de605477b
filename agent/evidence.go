package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/upgrade"
)

const (
	evidencePath = "/cassialead/rollout"
	maxNewAsked  = 8 // nodes with targets of the new version that are asked for their counts
	maxOldAsked  = 6 // nodes with other targets of the service that are asked
)

// evidenceMessage is a node's answer about its target; Decides reports that the node can write to the store.
type evidenceMessage struct {
	Node     fleet.NodeID        `json:"node"`
	Decides  bool                `json:"decides"`
	Instance lifecycle.ID        `json:"instance"`
	Start    lifecycle.StartTime `json:"born"`
	Version  lifecycle.Version   `json:"version"`
	Counts   upgrade.Report      `json:"counts"`
}

// serveEvidence answers with the counts of this node's target.
func (a *Agent) serveEvidence(w http.ResponseWriter, _ *http.Request) {
	target, tally := a.gate.Tally()
	m := evidenceMessage{Node: a.cfg.Load().VM, Decides: a.canDecide(), Instance: target.ID, Start: target.StartTime, Version: target.Version}
	if tally != nil {
		m.Counts = tally.Report()
	}
	writeJSON(w, m)
}

// canDecide reports whether this node can write decisions: it hears from the store and its own calls succeed.
func (a *Agent) canDecide() bool {
	return a.storeConnected() && !a.storeFailing.Load() && !a.stopping.Load() && a.treePosition().Parent == nil
}

// targets are the members whose targets of a service accept calls, in the order in which they are asked.
type targets struct {
	fresh, old []member.Member
	versions   []lifecycle.Version // of old
}

// targetsOf returns the targets of a service on which a decision bears.
func (a *Agent) targetsOf(s config.ServiceName, d upgrade.Decision) targets {
	var t targets
	a.mu.Lock()
	members := a.view.Members()
	a.mu.Unlock()
	for _, m := range members {
		switch {
		case m.Target.Service != s || !m.AcceptsCalls() || m.Target.Version == "" || slices.Contains(d.Refused, m.Target.Version):
		case m.Target.Version == d.Version:
			t.fresh = append(t.fresh, m)
		default:
			t.old = append(t.old, m)
			t.versions = append(t.versions, m.Target.Version)
		}
	}
	for _, ms := range [][]member.Member{t.fresh, t.old} {
		slices.SortFunc(ms, func(a, b member.Member) int { return dispatch.CompareExposure(a.Target.ID, b.Target.ID) })
	}
	t.versions = oldVersions(t.versions)
	return t
}

// collector gathers the evidence on one order.
type collector struct {
	earlier map[lifecycle.ID]evidenceMessage
	at      time.Time
}

func newCollector() collector { return collector{earlier: map[lifecycle.ID]evidenceMessage{}} }

// collect asks the nodes of some targets and returns what they have counted since it was last called.
func (c *collector) collect(ctx context.Context, a *Agent, t targets) upgrade.Interval {
	asked := slices.Concat(t.fresh[:min(len(t.fresh), maxNewAsked)], t.old[:min(len(t.old), maxOldAsked)])
	answers := make([]evidenceMessage, len(asked))
	var wait sync.WaitGroup
	for i, m := range asked {
		wait.Go(func() {
			if err := a.requestPeer(ctx, http.MethodGet, m.Address, evidencePath, nil, &answers[i]); err != nil {
				a.deps.Log.Info("evidence on a rollout not received", "node", m.Node, "error", err)
			}
		})
	}
	wait.Wait()
	now, in, oldAnswering := a.deps.Now(), upgrade.Interval{New: upgrade.Report{}, Old: upgrade.Report{}}, 0
	for i, got := range answers {
		m := asked[i]
		if got.Node != m.Node || got.Instance != m.Target.ID || got.Version != m.Target.Version {
			continue
		}
		delta := got.Counts.Since(c.earlier[got.Instance].Counts)
		c.earlier[got.Instance] = got
		if i < len(asked)-min(len(t.old), maxOldAsked) {
			in.Heard = true
			in.New.Add(delta)
			continue
		}
		oldAnswering++
		in.Old.Add(delta)
	}
	if elapsed := now.Sub(c.at).Seconds(); !c.at.IsZero() && elapsed > 0 && oldAnswering > 0 {
		in.Rate = (float64(in.Old.Answers())*float64(len(t.old))/float64(oldAnswering) + float64(in.New.Answers())) / elapsed
	}
	c.at = now
	return in
}
