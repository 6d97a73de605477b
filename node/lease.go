package node

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/store"
)

const leadPrefix = "cassialead/lead/"

// Leads returns the leads that the store lists, each with its term, or store.ErrUnavailable.
func Leads(ctx context.Context, port store.Port) ([]fleet.Record, error) {
	entries, err := port.List(ctx, leadPrefix)
	if err != nil {
		return nil, err
	}
	var leads []fleet.Record
	for _, e := range entries {
		if r, ok := leadRecord(e); ok {
			leads = append(leads, r)
		}
	}
	return leads, nil
}

// leadRecord reads a lead's entry; it reports false for one that is not readable.
func leadRecord(e store.Entry) (fleet.Record, bool) {
	var r fleet.Record
	if json.Unmarshal(e.Value, &r) != nil || r.Node == "" {
		return r, false
	}
	r.Lead = fleet.Term(e.Index)
	return r, true
}

// leaseHolder keeps what the store calls of a lead share.
type leaseHolder struct {
	mu    sync.Mutex
	id    store.LeaseID
	index store.Index
	head  history.Head
}

// headIndex returns the index to wait beyond: zero while what the head names is not yet held.
func (h *leaseHolder) headIndex(held control.Held) store.Index {
	h.mu.Lock()
	defer h.mu.Unlock()
	if held.Lineage == h.head.Lineage && held.Version >= h.head.Version {
		return h.index
	}
	return 0
}

func (h *leaseHolder) noteHead(i store.Index, head history.Head) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.index, h.head = i, head
}

func (h *leaseHolder) take() store.LeaseID {
	h.mu.Lock()
	defer h.mu.Unlock()
	id := h.id
	h.id = ""
	return id
}

func (h *leaseHolder) set(id store.LeaseID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.id = id
}

func (h *leaseHolder) current() store.LeaseID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.id
}

func (n *Node) leadKey() store.Key { return store.Key(leadPrefix + string(n.cfg.DataCentre)) }

// acquire looks at the lead's entry first, so that a data centre full of starting nodes writes little.
func (n *Node) acquire(ctx context.Context, a control.AcquireLease) control.LeaseResult {
	key := n.leadKey()
	e, err := n.deps.Store.Get(ctx, key)
	if err == nil && (n.lease.current() == "" || e.Lease != n.lease.current()) {
		return heldBy(e)
	}
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return control.LeaseResult{Unavailable: true}
	}
	id, err := n.deps.Store.Grant(ctx, a.TTL)
	if err != nil {
		return control.LeaseResult{Unavailable: true}
	}
	value, err := json.Marshal(a.Record)
	if err != nil {
		return control.LeaseResult{Unavailable: true}
	}
	n.lease.set(id)
	err = n.deps.Store.Acquire(ctx, key, value, id)
	if err != nil && !errors.Is(err, store.ErrUnknownOutcome) {
		n.release(ctx)
		return control.LeaseResult{Unavailable: !errors.Is(err, store.ErrRefused)}
	}
	// Reading back gives the term and resolves a lost answer.
	e, err = n.deps.Store.Get(ctx, key)
	switch {
	case err != nil:
		return control.LeaseResult{Unavailable: true}
	case e.Lease != id:
		n.release(ctx)
		return heldBy(e)
	}
	return control.LeaseResult{Held: true, Term: fleet.Term(e.Index)}
}

func heldBy(e store.Entry) control.LeaseResult {
	r, ok := leadRecord(e)
	if !ok {
		return control.LeaseResult{}
	}
	return control.LeaseResult{Holder: &r}
}

func (n *Node) renew(ctx context.Context) control.LeaseResult {
	err := n.deps.Store.Renew(ctx, n.lease.current())
	switch {
	case err == nil:
		return control.LeaseResult{Held: true}
	case errors.Is(err, store.ErrAbsent):
		n.lease.set("")
		return control.LeaseResult{}
	}
	return control.LeaseResult{Unavailable: true}
}

func (n *Node) release(ctx context.Context) {
	if id := n.lease.take(); id != "" {
		_ = n.deps.Store.Revoke(ctx, id)
	}
}
