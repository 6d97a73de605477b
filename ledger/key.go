package ledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// KeyID identifies a caller's idempotency key within its service and tenant.
type KeyID string

// ClaimerID identifies the claim of one call on a key.
type ClaimerID string

// KeyState is the state of a key, as returned to a claimer.
type KeyState string

// The states of a key. KeyGranted is returned only to the one claimer that may run its call, KeyUnknown if the outcome
// of that call is unknown, and KeyUnverified if an earlier claim can't be ruled out or the key can't be stored.
const (
	KeyGranted    KeyState = "granted"
	KeyInProgress KeyState = "in-progress"
	KeyDone       KeyState = "done"
	KeyUnknown    KeyState = "unknown"
	KeyUnverified KeyState = "unverified"
)

const (
	// KeyRetention is the time for which a key keeps its call from running again.
	KeyRetention = 15 * time.Minute

	maxKeys           = 50_000          // entries held by a node
	maxKeyResultBytes = 16 << 10        // longest response body kept for repeated calls
	replicationTime   = 5 * time.Second // time within which a lost replica is restored on another node
	replicasPerKey    = 2
	settleGrace       = 5 * time.Second // a claim without an outcome this long after its deadline is KeyUnknown
)

// KeyEntry is a replica of the state of one key.
type KeyEntry struct {
	ID      KeyID              `json:"id"`
	Service config.ServiceName `json:"service"`
	Claimer ClaimerID          `json:"claimer"`
	State   KeyState           `json:"state"`
	Result  Result             `json:"result"`
	// Age is the time since the key was claimed, and Remaining the time within which the outcome must be recorded. Both
	// are relative to the time at which the entry is sent.
	Age       time.Duration `json:"age"`
	Remaining time.Duration `json:"left"`

	claimedAt time.Time
	settleBy  time.Time
}

// KeyTable holds a node's replicas of the idempotency keys of its services. It is not safe for concurrent use.
type KeyTable struct {
	entries map[KeyID]*KeyEntry
	// lostPairs lists pairs of nodes that were lost within replicationTime of each other: keys replicated on just these
	// two nodes are lost.
	lostPairs    map[config.ServiceName][]lostPair
	recentLosses map[config.ServiceName][]loss
}

type loss struct {
	node fleet.NodeID
	at   time.Time
}

type lostPair struct {
	a, b      fleet.NodeID
	expiresAt time.Time
}

// NewKeyTable returns an empty table.
func NewKeyTable() *KeyTable {
	return &KeyTable{entries: map[KeyID]*KeyEntry{}, lostPairs: map[config.ServiceName][]lostPair{}, recentLosses: map[config.ServiceName][]loss{}}
}

// Replicas returns the two nodes that hold the replicas of a key, the owner first, by rendezvous hashing.
func Replicas(id KeyID, nodes []fleet.NodeID) []fleet.NodeID {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b fleet.NodeID) int {
		return cmp.Or(cmp.Compare(replicaScore(id, b), replicaScore(id, a)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), replicasPerKey)]
}

func replicaScore(id KeyID, n fleet.NodeID) uint64 {
	return xxhash.Sum64String(string(n) + "\x00" + string(id))
}

// Claim claims a key for a call that ends within the timeout. Only one claimer is granted a key, and it may repeat its
// claim.
func (k *KeyTable) Claim(now time.Time, id KeyID, s config.ServiceName, c ClaimerID, timeout time.Duration) (KeyState, Result) {
	k.sweep(now)
	e := k.entries[id]
	if e == nil {
		if len(k.entries) >= maxKeys {
			return KeyUnverified, Result{}
		}
		k.entries[id] = &KeyEntry{ID: id, Service: s, Claimer: c, State: KeyInProgress, claimedAt: now, settleBy: now.Add(timeout + settleGrace)}
		return KeyGranted, Result{}
	}
	if e.State == KeyInProgress && e.Claimer == c {
		return KeyGranted, Result{}
	}
	if e.State == KeyInProgress && now.After(e.settleBy) {
		e.State = KeyUnknown
	}
	return e.State, e.Result
}

// RecordOutcome records the outcome of a granted claim: KeyDone with the response, or KeyUnknown.
func (k *KeyTable) RecordOutcome(id KeyID, c ClaimerID, state KeyState, r Result) {
	e := k.entries[id]
	if e == nil || e.Claimer != c || e.State == KeyDone {
		return
	}
	if len(r.Body) > maxKeyResultBytes {
		r = Result{Status: r.Status, Lost: true}
	}
	e.State, e.Result = state, r
}

// Release removes a claim whose call has provably not run.
func (k *KeyTable) Release(id KeyID, c ClaimerID) {
	if e := k.entries[id]; e != nil && e.Claimer == c && e.State == KeyInProgress {
		delete(k.entries, id)
	}
}

// Merge adds an entry of another replica; of two entries for a key the one with the more definite state is kept.
func (k *KeyTable) Merge(now time.Time, e KeyEntry) {
	e.claimedAt, e.settleBy = now.Add(-e.Age), now.Add(e.Remaining)
	old := k.entries[e.ID]
	if old == nil || certainty(e.State) > certainty(old.State) {
		k.entries[e.ID] = &e
	}
}

func certainty(s KeyState) int {
	return slices.Index([]KeyState{KeyInProgress, KeyUnknown, KeyDone}, s)
}

// Entries returns the entries of a service whose ids match a filter, ordered by id.
func (k *KeyTable) Entries(now time.Time, s config.ServiceName, filter func(KeyID) bool) []KeyEntry {
	k.sweep(now)
	var entries []KeyEntry
	for _, id := range slices.Sorted(maps.Keys(k.entries)) {
		e := *k.entries[id]
		if e.Service == s && filter(id) {
			e.Age, e.Remaining = now.Sub(e.claimedAt), e.settleBy.Sub(now)
			entries = append(entries, e)
		}
	}
	return entries
}

func (k *KeyTable) sweep(now time.Time) {
	for id, e := range k.entries {
		if now.Sub(e.claimedAt) > KeyRetention {
			delete(k.entries, id)
		}
	}
}

// RecordNodeLoss records that a node of a service was lost; nodes lost within replicationTime of each other form lost pairs.
func (k *KeyTable) RecordNodeLoss(now time.Time, s config.ServiceName, n fleet.NodeID) {
	recent := slices.DeleteFunc(k.recentLosses[s], func(l loss) bool { return now.Sub(l.at) > replicationTime })
	for _, l := range recent {
		if l.node != n {
			k.lostPairs[s] = append(k.lostPairs[s], lostPair{l.node, n, now.Add(KeyRetention)})
		}
	}
	k.recentLosses[s] = append(recent, loss{n, now})
}

// HistoryIntact reports whether a key without an entry was never claimed. It reports false if both replicas of the key may
// have been lost together.
func (k *KeyTable) HistoryIntact(now time.Time, id KeyID, s config.ServiceName, nodes []fleet.NodeID) bool {
	k.lostPairs[s] = slices.DeleteFunc(k.lostPairs[s], func(p lostPair) bool { return now.After(p.expiresAt) })
	for _, p := range k.lostPairs[s] {
		members := slices.Clone(nodes)
		for _, n := range []fleet.NodeID{p.a, p.b} {
			if !slices.Contains(members, n) {
				members = append(members, n)
			}
		}
		holders := Replicas(id, members)
		if slices.Contains(holders, p.a) && slices.Contains(holders, p.b) {
			return false
		}
	}
	return true
}
