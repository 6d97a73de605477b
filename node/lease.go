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

const leaderPrefix = "cassialead/lead/"

// ListLeaders returns the records of the leaders listed in the store, each with its term; it fails with store.ErrUnavailable
// if the store can't be reached.
func ListLeaders(ctx context.Context, kv store.KV) ([]fleet.Record, error) {
	entries, err := kv.List(ctx, leaderPrefix)
	if err != nil {
		return nil, err
	}
	var leaders []fleet.Record
	for _, e := range entries {
		if r, ok := decodeLeader(e); ok {
			leaders = append(leaders, r)
		}
	}
	return leaders, nil
}

// decodeLeader decodes a leader's entry; it reports false for a malformed one.
func decodeLeader(e store.Entry) (fleet.Record, bool) {
	var r fleet.Record
	if json.Unmarshal(e.Value, &r) != nil || r.Node == "" {
		return r, false
	}
	r.LeaderTerm = fleet.Term(e.Index)
	return r, true
}

// storeState is the state shared by the background requests to the store: the id of the leader lease and the last head.
type storeState struct {
	mu        sync.Mutex
	leaseID   store.LeaseID
	headIndex store.Index
	head      history.Head
}

// watchIndex returns the index from which to watch the head. It is zero while the last head is newer than the active
// configuration, which makes the watch return immediately.
func (s *storeState) watchIndex(active control.ConfigRef) store.Index {
	s.mu.Lock()
	defer s.mu.Unlock()
	if active.Lineage == s.head.Lineage && active.Version >= s.head.Version {
		return s.headIndex
	}
	return 0
}

func (s *storeState) recordHead(i store.Index, head history.Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headIndex, s.head = i, head
}

func (s *storeState) clearLease() store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.leaseID
	s.leaseID = ""
	return id
}

func (s *storeState) setLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID = id
}

func (s *storeState) currentLease() store.LeaseID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseID
}

func (n *Node) leaderKey() store.Key { return store.Key(leaderPrefix + string(n.cfg.DataCentre)) }

// acquireLease tries to become the leader of the data centre. It reads the leader's entry first: when all nodes of a
// data centre start at once, each attempt to acquire the lease would be a write to the store.
func (n *Node) acquireLease(ctx context.Context, a control.AcquireLease) control.LeaseResult {
	key := n.leaderKey()
	e, err := n.deps.Store.Get(ctx, key)
	if err == nil && (n.storeState.currentLease() == "" || e.Lease != n.storeState.currentLease()) {
		return leaseHeldBy(e)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
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
	n.storeState.setLease(id)
	err = n.deps.Store.Acquire(ctx, key, value, id)
	if err != nil && !errors.Is(err, store.ErrUnknownOutcome) {
		n.releaseLease(ctx)
		return control.LeaseResult{Unavailable: !errors.Is(err, store.ErrConflict)}
	}
	// The entry contains the term, and the lease that succeeded if the outcome of Acquire is unknown.
	e, err = n.deps.Store.Get(ctx, key)
	switch {
	case err != nil:
		return control.LeaseResult{Unavailable: true}
	case e.Lease != id:
		n.releaseLease(ctx)
		return leaseHeldBy(e)
	}
	return control.LeaseResult{Held: true, Term: fleet.Term(e.Index)}
}

func leaseHeldBy(e store.Entry) control.LeaseResult {
	r, ok := decodeLeader(e)
	if !ok {
		return control.LeaseResult{}
	}
	return control.LeaseResult{Holder: &r}
}

func (n *Node) renewLease(ctx context.Context) control.LeaseResult {
	err := n.deps.Store.Renew(ctx, n.storeState.currentLease())
	switch {
	case err == nil:
		return control.LeaseResult{Held: true}
	case errors.Is(err, store.ErrNotFound):
		n.storeState.setLease("")
		return control.LeaseResult{}
	}
	return control.LeaseResult{Unavailable: true}
}

func (n *Node) releaseLease(ctx context.Context) {
	if id := n.storeState.clearLease(); id != "" {
		_ = n.deps.Store.Revoke(ctx, id)
	}
}
