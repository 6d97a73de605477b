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
	watchWait    = 50 * time.Second
	probeTimeout = time.Second
	inboundBase  = 1 << 32                // ids of inbound links start here
	absentWait   = 500 * time.Millisecond // between looks at a store without a head
)

// publishNow asks the loop to build a new table.
type publishNow struct{}

// act carries out the state machine's actions.
func (n *Node) act(core *control.Core, actions []control.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.Dial:
			n.start(func(ctx context.Context) { n.dial(ctx, a) })
		case control.Close:
			if c := n.link(a.Link); c != nil {
				c.Close()
			}
		case control.Send:
			if c := n.link(a.Link); c != nil {
				c.Send(a.Message)
			}
		case control.AcquireLease:
			n.start(func(ctx context.Context) { n.post(n.acquire(ctx, a)) })
		case control.RenewLease:
			n.start(func(ctx context.Context) { n.post(n.renew(ctx)) })
		case control.ReleaseLease:
			n.start(n.release)
		case control.WatchHead:
			n.start(func(ctx context.Context) { n.post(n.watch(ctx, a.Held)) })
		case control.ListLeads:
			n.start(n.listLeads)
		case control.Probe:
			n.start(func(ctx context.Context) { n.probe(ctx, a) })
		case control.Publish:
			n.schedulePublish(core, a.Config)
		case control.Report:
			n.deps.Log.Info(a.Change, "vm", n.cfg.VM, "detail", a.Detail)
		}
	}
}

func (n *Node) start(job func(context.Context)) {
	ctx := n.ctx
	go job(ctx)
}

// schedulePublish builds a new table at once for configuration. Changes of records wait a little, and longer while they
// come in numbers, as when a data centre is lost: a table of 5,900 records takes milliseconds to build.
func (n *Node) schedulePublish(core *control.Core, now bool) {
	if now {
		n.publish(core)
		return
	}
	if n.publishing {
		return
	}
	n.publishing = true
	wait := max(publishDelay, publishPeriod-n.deps.Now().Sub(n.published))
	time.AfterFunc(wait, func() { n.post(publishNow{}) })
}

func (n *Node) publish(core *control.Core) {
	n.publishing = false
	n.published = n.deps.Now()
	self := core.Self()
	n.self.Store(&self)
	cfg, held := core.Config()
	records := core.Records()
	live := slices.DeleteFunc(records, func(r fleet.Record) bool { return !r.Live() })
	n.known.Store(int64(len(live)))
	n.gateway.Publish(cfg, held.Version, live)
}

func (n *Node) link(id control.LinkID) *link.Conn {
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
	c, err := link.Accept(w, r, n.traffic)
	if err != nil {
		return
	}
	n.runLink(control.LinkID(inboundBase+n.inbound.Add(1)), c)
}

func (n *Node) runLink(id control.LinkID, c *link.Conn) {
	n.mu.Lock()
	n.links[id] = c
	n.mu.Unlock()
	n.post(control.LinkOpened{Link: id})
	err := c.Run(func(m control.Message) { n.post(control.Received{Link: id, Message: m}) })
	n.deps.Log.Debug("link ended", "vm", n.cfg.VM, "cause", err)
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

// watch waits for the head to pass what is held and turns it into an offer.
func (n *Node) watch(ctx context.Context, held control.Held) control.HeadSeen {
	after := n.lease.headIndex(held)
	e, err := n.deps.Store.Watch(ctx, history.HeadKey, after, watchWait)
	if errors.Is(err, store.ErrAbsent) {
		time.Sleep(absentWait)
		return control.HeadSeen{}
	}
	if err != nil {
		return control.HeadSeen{Unavailable: true}
	}
	head, err := history.DecodeHead(e.Value)
	if err != nil {
		n.deps.Log.Error("stored head refused", "vm", n.cfg.VM, "cause", err)
		return control.HeadSeen{Unavailable: true}
	}
	n.lease.noteHead(e.Index, head)
	seen := control.HeadSeen{Version: head.Version}
	if head.Lineage == held.Lineage && head.Version <= held.Version {
		return seen
	}
	offer, err := n.offer(ctx, head, held)
	if err != nil {
		return control.HeadSeen{Unavailable: true}
	}
	seen.Offer = &offer
	return seen
}

// offer returns what leads from the held version to the head: deltas where the ring reaches, or the whole document.
func (n *Node) offer(ctx context.Context, head history.Head, held control.Held) (rollout.Offer, error) {
	o := rollout.Offer{Lineage: head.Lineage, Version: head.Version, Digest: head.Digest}
	if held.Lineage == head.Lineage && held.Version > 0 {
		if deltas, ok := head.Since(held.Version); ok {
			o.Deltas = deltas
			return o, nil
		}
	}
	doc, err := n.versions.Document(ctx, head, head.Version)
	o.Document = doc
	return o, err
}

func (n *Node) listLeads(ctx context.Context) {
	leads, err := Leads(ctx, n.deps.Store)
	if err != nil {
		return
	}
	leads = slices.DeleteFunc(leads, func(r fleet.Record) bool { return r.Node == n.cfg.VM })
	n.post(control.LeadsSeen{Leads: leads})
}
