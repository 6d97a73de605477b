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

// KeyID names a caller's idempotency key within its service and tenant.
type KeyID string

// Claimer names one call that claims a key.
type Claimer string

// KeyState says what is known of a key.
type KeyState string

// The states of a key. Granted is the answer to the one claim that may run.
const (
	KeyGranted    KeyState = "granted"
	KeyInProgress KeyState = "in-progress"
	KeyDone       KeyState = "done"
	KeyUnknown    KeyState = "unknown"
	KeyUnverified KeyState = "unverified"
)

const (
	// KeyRetention is how long a key keeps its call from running again.
	KeyRetention = 15 * time.Minute

	maxKeys       = 50_000
	maxKeyResult  = 16 << 10 // bytes of an answer kept for a repeated key
	repairTime    = 5 * time.Second
	keyHolders    = 2
	claimOverhead = 5 * time.Second // a claim that was not settled this long after its deadline has an unknown outcome
)

// KeyEntry is what a holder knows of one key.
type KeyEntry struct {
	ID      KeyID              `json:"id"`
	Service config.ServiceName `json:"service"`
	Claimer Claimer            `json:"claimer"`
	State   KeyState           `json:"state"`
	Result  Result             `json:"result"`
	// Age is how long ago the key was claimed, and Left how long the claim may stay unsettled.
	Age  time.Duration `json:"age"`
	Left time.Duration `json:"left"`

	claimed time.Time
	until   time.Time
}

// Keys is what one node holds of the keys of its services; its methods must not be called concurrently.
type Keys struct {
	entries map[KeyID]*KeyEntry
	// lost lists the pairs of nodes that were lost together, whose common keys nobody remembers.
	lost   map[config.ServiceName][]lostPair
	losses map[config.ServiceName][]loss
}

type loss struct {
	node fleet.NodeID
	at   time.Time
}

type lostPair struct {
	a, b  fleet.NodeID
	until time.Time
}

// NewKeys returns an empty set of keys.
func NewKeys() *Keys {
	return &Keys{entries: map[KeyID]*KeyEntry{}, lost: map[config.ServiceName][]lostPair{}, losses: map[config.ServiceName][]loss{}}
}

// Holders returns the two nodes that hold a key: the owner first.
func Holders(id KeyID, nodes []fleet.NodeID) []fleet.NodeID {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b fleet.NodeID) int {
		return cmp.Or(cmp.Compare(weigh(id, b), weigh(id, a)), cmp.Compare(a, b))
	})
	return ranked[:min(len(ranked), keyHolders)]
}

func weigh(id KeyID, n fleet.NodeID) uint64 {
	return xxhash.Sum64String(string(n) + "\x00" + string(id))
}

// Claim claims a key for a call that ends within a time. Only one claimer is ever granted a key; asking again with
// the same claimer repeats the answer.
func (k *Keys) Claim(now time.Time, id KeyID, s config.ServiceName, c Claimer, within time.Duration) (KeyState, Result) {
	k.sweep(now)
	e := k.entries[id]
	if e == nil {
		if len(k.entries) >= maxKeys {
			return KeyUnverified, Result{}
		}
		k.entries[id] = &KeyEntry{ID: id, Service: s, Claimer: c, State: KeyInProgress, claimed: now, until: now.Add(within + claimOverhead)}
		return KeyGranted, Result{}
	}
	if e.State == KeyInProgress && e.Claimer == c {
		return KeyGranted, Result{}
	}
	if e.State == KeyInProgress && now.After(e.until) {
		e.State = KeyUnknown
	}
	return e.State, e.Result
}

// Settle notes what became of a granted claim: KeyDone with the answer, or KeyUnknown.
func (k *Keys) Settle(id KeyID, c Claimer, state KeyState, r Result) {
	e := k.entries[id]
	if e == nil || e.Claimer != c || e.State == KeyDone {
		return
	}
	if len(r.Body) > maxKeyResult {
		r = Result{Status: r.Status, Lost: true}
	}
	e.State, e.Result = state, r
}

// Release gives a claim back whose call has been proven not to have run.
func (k *Keys) Release(id KeyID, c Claimer) {
	if e := k.entries[id]; e != nil && e.Claimer == c && e.State == KeyInProgress {
		delete(k.entries, id)
	}
}

// Merge takes another holder's entry; what says more of the outcome wins.
func (k *Keys) Merge(now time.Time, e KeyEntry) {
	e.claimed, e.until = now.Add(-e.Age), now.Add(e.Left)
	old := k.entries[e.ID]
	if old == nil || certainty(e.State) > certainty(old.State) {
		k.entries[e.ID] = &e
	}
}

func certainty(s KeyState) int {
	return slices.Index([]KeyState{KeyInProgress, KeyUnknown, KeyDone}, s)
}

// Entries returns the keys of a service that a filter takes, by id.
func (k *Keys) Entries(now time.Time, s config.ServiceName, keep func(KeyID) bool) []KeyEntry {
	k.sweep(now)
	var out []KeyEntry
	for _, id := range slices.Sorted(maps.Keys(k.entries)) {
		e := *k.entries[id]
		if e.Service == s && keep(id) {
			e.Age, e.Left = now.Sub(e.claimed), e.until.Sub(now)
			out = append(out, e)
		}
	}
	return out
}

func (k *Keys) sweep(now time.Time) {
	for id, e := range k.entries {
		if now.Sub(e.claimed) > KeyRetention {
			delete(k.entries, id)
		}
	}
}

// NoteLoss notes that a node of a service was lost; two lost within the time that copies need to be repaired make a pair.
func (k *Keys) NoteLoss(now time.Time, s config.ServiceName, n fleet.NodeID) {
	recent := slices.DeleteFunc(k.losses[s], func(l loss) bool { return now.Sub(l.at) > repairTime })
	for _, l := range recent {
		if l.node != n {
			k.lost[s] = append(k.lost[s], lostPair{l.node, n, now.Add(KeyRetention)})
		}
	}
	k.losses[s] = append(recent, loss{n, now})
}

// Remembers reports whether a key that is not known here was never claimed: not if both of its holders may have been
// lost together.
func (k *Keys) Remembers(now time.Time, id KeyID, s config.ServiceName, nodes []fleet.NodeID) bool {
	k.lost[s] = slices.DeleteFunc(k.lost[s], func(p lostPair) bool { return now.After(p.until) })
	for _, p := range k.lost[s] {
		all := slices.Clone(nodes)
		for _, n := range []fleet.NodeID{p.a, p.b} {
			if !slices.Contains(all, n) {
				all = append(all, n)
			}
		}
		holders := Holders(id, all)
		if slices.Contains(holders, p.a) && slices.Contains(holders, p.b) {
			return false
		}
	}
	return true
}
