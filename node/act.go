package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/rollout"
	"github.com/cassialead/cassialead/store"
)

const (
	headWatchTimeout = 50 * time.Second // timeout of one watch request to the store
	probeTimeout     = time.Second
	firstInboundID   = 1 << 32                // lowest id of an inbound link; ids of outbound links are lower
	missingHeadDelay = 500 * time.Millisecond // delay before the next watch if the store has no head
)

// gatewayUpdateDue is the event upon which the gateway is updated from the state machine.
type gatewayUpdateDue struct{}

// perform executes the state machine's actions; requests to the store and to other nodes run in the background.
func (n *Node) perform(machine *control.Core, actions []control.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.Dial:
			n.runAsync(func(ctx context.Context) { n.dial(ctx, a) })
		case control.Close:
			if c := n.linkByID(a.Link); c != nil {
				c.Close()
			}
		case control.Send:
			if c := n.linkByID(a.Link); c != nil {
				c.Send(a.Message)
			}
		case control.AcquireLease:
			n.runAsync(func(ctx context.Context) { n.post(n.acquireLease(ctx, a)) })
		case control.RenewLease:
			n.runAsync(func(ctx context.Context) { n.post(n.renewLease(ctx)) })
		case control.ReleaseLease:
			n.runAsync(n.releaseLease)
		case control.WatchHead:
			n.runAsync(func(ctx context.Context) { n.post(n.watchHead(ctx, a.Since)) })
		case control.ListLeaders:
			n.runAsync(n.listLeaders)
		case control.Probe:
			n.runAsync(func(ctx context.Context) { n.probe(ctx, a) })
		case control.Publish:
			n.scheduleGatewayUpdate(machine, a.ConfigChanged)
		case control.LogEntry:
			n.deps.Log.Info(a.Message, "vm", n.cfg.VM, "detail", a.Detail)
		}
	}
}

func (n *Node) runAsync(job func(context.Context)) {
	ctx := n.loopCtx
	go job(ctx)
}

// scheduleGatewayUpdate updates the gateway immediately after a configuration change. Changes of membership records are
// batched, since building a routing table of 5,900 records takes milliseconds: updates are delayed by
// gatewayUpdateDelay, and under many changes, as when a data centre is lost, made once per minGatewayUpdateInterval.
func (n *Node) scheduleGatewayUpdate(machine *control.Core, immediately bool) {
	if immediately {
		n.updateGateway(machine)
		return
	}
	if n.updateScheduled {
		return
	}
	n.updateScheduled = true
	wait := max(gatewayUpdateDelay, minGatewayUpdateInterval-n.deps.Now().Sub(n.updatedAt))
	time.AfterFunc(wait, func() { n.post(gatewayUpdateDue{}) })
}

func (n *Node) updateGateway(machine *control.Core) {
	n.updateScheduled = false
	n.updatedAt = n.deps.Now()
	self := machine.Self()
	n.selfRecord.Store(&self)
	cfg, active := machine.Config()
	records := machine.Records()
	live := slices.DeleteFunc(records, func(r fleet.Record) bool { return !r.Live() })
	n.knownNodes.Store(int64(len(live)))
	addresses := make([]fleet.Address, 0, len(live))
	for _, r := range live {
		if r.Node != n.cfg.VM {
			addresses = append(addresses, r.LinkAddress)
		}
	}
	n.nodeHosts.Set(addresses)
	n.gateway.Update(cfg, active.Version, live)
}

func (n *Node) linkByID(id control.LinkID) *link.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[id]
}

func (n *Node) dial(ctx context.Context, d control.Dial) {
	c, err := link.Dial(ctx, d.Address, n.traffic)
	if err != nil {
		n.post(control.LinkClosed{Link: d.Link})
		return
	}
	n.runLink(d.Link, c)
}

func (n *Node) acceptLink(w http.ResponseWriter, r *http.Request) {
	c, err := link.Accept(w, r, n.traffic, n.guard.Memory())
	if err != nil {
		return
	}
	n.runLink(control.LinkID(firstInboundID+n.inboundLinks.Add(1)), c)
}

func (n *Node) runLink(id control.LinkID, c *link.Conn) {
	n.mu.Lock()
	n.links[id] = c
	n.mu.Unlock()
	n.post(control.LinkOpened{Link: id})
	err := c.Run(func(m control.Message) { n.post(control.Received{Link: id, Message: m}) })
	n.deps.Log.Debug("link closed", "vm", n.cfg.VM, "cause", err)
	n.mu.Lock()
	delete(n.links, id)
	n.mu.Unlock()
	n.post(control.LinkClosed{Link: id})
}

func (n *Node) probe(ctx context.Context, p control.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	alive := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(p.Address)+"/alive", nil)
	if err == nil {
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			alive = resp.StatusCode == http.StatusOK
		}
	}
	n.post(control.ProbeResult{Node: p.Node, Incarnation: p.Incarnation, Sequence: p.Sequence, Alive: alive})
}

// watchHead watches the head in the store. If the head is newer than the active configuration, the result contains the
// update from one to the other.
func (n *Node) watchHead(ctx context.Context, active control.ConfigRef) control.HeadResult {
	after := n.storeState.watchIndex(active)
	e, err := n.deps.Store.Watch(ctx, history.HeadKey, after, headWatchTimeout)
	if errors.Is(err, store.ErrNotFound) {
		time.Sleep(missingHeadDelay)
		return control.HeadResult{}
	}
	if err != nil {
		return control.HeadResult{Unavailable: true}
	}
	head, err := history.DecodeHead(e.Value)
	if err != nil {
		n.deps.Log.Error("failed to decode the stored configuration head", "vm", n.cfg.VM, "cause", err)
		return control.HeadResult{Unavailable: true}
	}
	n.storeState.recordHead(e.Index, head)
	result := control.HeadResult{Version: head.Version}
	if head.Lineage == active.Lineage && head.Version <= active.Version {
		return result
	}
	update, err := n.updateFor(ctx, head, active)
	if err != nil {
		return control.HeadResult{Unavailable: true}
	}
	result.Update = &update
	return result
}

// updateFor returns the update from the active version to the head: deltas if the head's recent deltas reach back to
// that version, or else the complete document.
func (n *Node) updateFor(ctx context.Context, head history.Head, active control.ConfigRef) (rollout.Update, error) {
	update := rollout.Update{Lineage: head.Lineage, Version: head.Version, Digest: head.Digest}
	if active.Lineage == head.Lineage && active.Version > 0 {
		if deltas, ok := head.DeltasSince(active.Version); ok {
			update.Deltas = deltas
			return update, nil
		}
	}
	doc, err := n.versions.Document(ctx, head, head.Version)
	update.Document = doc
	return update, err
}

func (n *Node) listLeaders(ctx context.Context) {
	leaders, err := ListLeaders(ctx, n.deps.Store)
	if err != nil {
		return
	}
	leaders = slices.DeleteFunc(leaders, func(r fleet.Record) bool { return r.Node == n.cfg.VM })
	n.post(control.LeadersResult{Leaders: leaders})
}
