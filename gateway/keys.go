package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/ledger"
	"github.com/cassialead/cassialead/route"
)

const (
	keyPath            = "/keys"
	keyRequestTimeout  = time.Second
	maxKeyRequestBytes = 8 << 20 // size limit of a request about keys
	maxKeyLength       = 256
	outcomeTries       = 3
	// syncInterval is the minimum time between two key synchronizations of a service.
	syncInterval = time.Second
)

// ClaimStore is a set of exclusive claims in the platform's store. It replaces the second replica of a key for services with
// a single node, and protects services whose nodes have all restarted.
type ClaimStore interface {
	// Claim acquires a name for a claimer if it is free, and returns the current holder.
	Claim(ctx context.Context, name string, c ledger.ClaimerID) (ledger.ClaimerID, error)
	// Release frees a name if the claimer holds it.
	Release(ctx context.Context, name string, c ledger.ClaimerID) error
}

// keyReplica stores this node's share of the idempotency keys; each key has two replicas.
type keyReplica struct {
	deps  Deps
	peers *peerTransport

	mu        sync.Mutex
	keys      *ledger.KeyTable
	endpoints map[config.ServiceName][]*route.Endpoint
	// complete is set once this node has every key that it replicates of a service.
	complete map[config.ServiceName]bool
	// lastSync is the time of the latest key synchronization of a service.
	lastSync map[config.ServiceName]time.Time
	started  time.Time
}

func newKeyReplica(deps Deps, peers *peerTransport) *keyReplica {
	return &keyReplica{deps: deps, peers: peers, keys: ledger.NewKeyTable(), started: deps.Now(),
		endpoints: map[config.ServiceName][]*route.Endpoint{}, complete: map[config.ServiceName]bool{},
		lastSync: map[config.ServiceName]time.Time{}}
}

// keyRequest is an operation on a key, sent between nodes; the response is a keyResponse.
type keyRequest struct {
	// Operation is claim, copy, settle, release, merge or sync; copy replicates a claim to the other replica.
	Operation string             `json:"do"`
	ID        ledger.KeyID       `json:"id,omitempty"`
	Service   config.ServiceName `json:"service"`
	Claimer   ledger.ClaimerID   `json:"claimer,omitempty"`
	TimeLeft  time.Duration      `json:"within,omitempty"`
	State     ledger.KeyState    `json:"state,omitempty"`
	Result    ledger.Result      `json:"result,omitzero"`
	Node      fleet.NodeID       `json:"node,omitempty"`
	Entries   []ledger.KeyEntry  `json:"entries,omitempty"`
	// Forwarded is set if the other replica sent the request; it is not forwarded again.
	Forwarded bool `json:"forwarded,omitempty"`
}

type keyResponse struct {
	State    ledger.KeyState   `json:"state"`
	Result   ledger.Result     `json:"result,omitzero"`
	Complete bool              `json:"complete,omitempty"`
	Entries  []ledger.KeyEntry `json:"entries,omitempty"`
}

func nodesOf(es []*route.Endpoint) []fleet.NodeID {
	var ns []fleet.NodeID
	for _, e := range es {
		ns = append(ns, e.Node)
	}
	return ns
}

// update applies changed endpoints: it records lost nodes and sends entries to their new replicas.
func (k *keyReplica) update(t *route.Table) {
	if t.Config == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Now()
	for s := range t.Config.Services {
		old, current := k.endpoints[s], t.Endpoints(s, config.SpillAnywhere)
		if slices.EqualFunc(old, current, sameIncarnation) {
			continue
		}
		for _, e := range old {
			if !slices.ContainsFunc(current, func(o *route.Endpoint) bool { return sameIncarnation(e, o) }) {
				k.keys.RecordNodeLoss(now, s, e.Node)
			}
		}
		k.endpoints[s] = current
		k.transferEntries(now, s, current)
	}
}

func sameIncarnation(a, b *route.Endpoint) bool {
	return a.Node == b.Node && a.Incarnation == b.Incarnation
}

// transferEntries sends a service's entries to their replicas in the background; the caller must hold mu.
func (k *keyReplica) transferEntries(now time.Time, s config.ServiceName, endpoints []*route.Endpoint) {
	nodes := nodesOf(endpoints)
	for _, e := range endpoints {
		if e.Node == k.deps.Node.Node {
			continue
		}
		entries := k.keys.Entries(now, s, func(id ledger.KeyID) bool { return slices.Contains(ledger.Replicas(id, nodes), e.Node) })
		if len(entries) > 0 {
			go func() {
				_, _ = k.send(context.Background(), e, keyRequest{Operation: "merge", Service: s, Entries: entries})
			}()
		}
	}
}

func (k *keyReplica) serve(w http.ResponseWriter, r *http.Request) {
	var m keyRequest
	if !readMessage(w, r, maxKeyRequestBytes, &m) {
		return
	}
	_ = json.NewEncoder(w).Encode(k.handle(r.Context(), m))
}

func (k *keyReplica) handle(ctx context.Context, m keyRequest) keyResponse {
	switch m.Operation {
	case "claim":
		return k.claim(ctx, m)
	case "copy":
		k.mu.Lock()
		defer k.mu.Unlock()
		state, result := k.keys.Claim(k.deps.Now(), m.ID, m.Service, m.Claimer, m.TimeLeft)
		return keyResponse{State: state, Result: result, Complete: k.complete[m.Service]}
	case "settle", "release":
		k.recordOutcome(ctx, m)
	case "merge":
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, e := range m.Entries {
			k.keys.Merge(k.deps.Now(), e)
		}
	case "sync":
		k.mu.Lock()
		defer k.mu.Unlock()
		nodes := nodesOf(k.endpoints[m.Service])
		if !slices.Contains(nodes, m.Node) {
			nodes = append(nodes, m.Node)
		}
		return keyResponse{Complete: k.complete[m.Service], Entries: k.keys.Entries(k.deps.Now(), m.Service,
			func(id ledger.KeyID) bool { return slices.Contains(ledger.Replicas(id, nodes), m.Node) })}
	}
	return keyResponse{}
}

// claim claims a key here and at the other replica; both must grant it.
func (k *keyReplica) claim(ctx context.Context, m keyRequest) keyResponse {
	k.ensureSynced(ctx, m.Service)
	k.mu.Lock()
	endpoints := k.endpoints[m.Service]
	nodes := nodesOf(endpoints)
	replicas := ledger.Replicas(m.ID, nodes)
	historyIntact := k.complete[m.Service] && k.keys.HistoryIntact(k.deps.Now(), m.ID, m.Service, nodes)
	var state ledger.KeyState
	var result ledger.Result
	if slices.Contains(replicas, k.deps.Node.Node) {
		state, result = k.keys.Claim(k.deps.Now(), m.ID, m.Service, m.Claimer, m.TimeLeft)
	} else {
		state = ledger.KeyUnverified
	}
	k.mu.Unlock()
	if state != ledger.KeyGranted {
		return keyResponse{State: state, Result: result}
	}
	state, result = k.confirmClaim(ctx, m, endpoints, replicas)
	if state == ledger.KeyGranted && !historyIntact {
		state = ledger.KeyUnverified
	}
	if state != ledger.KeyGranted {
		k.recordOutcome(ctx, keyRequest{Operation: "release", ID: m.ID, Service: m.Service, Claimer: m.Claimer})
	}
	return keyResponse{State: state, Result: result}
}

// confirmClaim places the claim at the other replica, or in the store if the service has no other node. An unreachable
// replica may have the key, which is therefore not granted until the fleet has declared that replica's node lost.
func (k *keyReplica) confirmClaim(ctx context.Context, m keyRequest, endpoints []*route.Endpoint, replicas []fleet.NodeID) (ledger.KeyState, ledger.Result) {
	for _, e := range endpoints {
		if e.Node == k.deps.Node.Node || !slices.Contains(replicas, e.Node) {
			continue
		}
		c := m
		c.Operation = "copy"
		a, err := k.send(ctx, e, c)
		if err != nil {
			return ledger.KeyUnverified, ledger.Result{}
		}
		return a.State, a.Result
	}
	if k.deps.ClaimStore == nil {
		return ledger.KeyUnverified, ledger.Result{}
	}
	holder, err := k.deps.ClaimStore.Claim(ctx, claimName(m.ID), m.Claimer)
	switch {
	case err != nil:
		return ledger.KeyUnverified, ledger.Result{}
	case holder != m.Claimer:
		return ledger.KeyUnknown, ledger.Result{}
	}
	return ledger.KeyGranted, ledger.Result{}
}

func claimName(id ledger.KeyID) string { return "key/" + string(id) }

// recordOutcome records a call's outcome or releases its claim, here and at the other replica.
func (k *keyReplica) recordOutcome(ctx context.Context, m keyRequest) {
	k.mu.Lock()
	if m.Operation == "release" {
		k.keys.Release(m.ID, m.Claimer)
	} else {
		k.keys.RecordOutcome(m.ID, m.Claimer, m.State, m.Result)
	}
	endpoints := k.endpoints[m.Service]
	k.mu.Unlock()
	if m.Forwarded {
		return
	}
	m.Forwarded = true
	replicas := ledger.Replicas(m.ID, nodesOf(endpoints))
	if m.Operation == "release" && len(replicas) == 1 && k.deps.ClaimStore != nil {
		// A claim left in the store blocks its key, but never lets a call run twice; the error is ignored.
		_ = k.deps.ClaimStore.Release(ctx, claimName(m.ID), m.Claimer)
	}
	for _, e := range endpoints {
		if e.Node != k.deps.Node.Node && slices.Contains(replicas, e.Node) {
			_, _ = k.send(ctx, e, m)
		}
	}
}

// ensureSynced fetches the keys that this node replicates from the service's other nodes, before it grants any. If no
// other node is complete, a marker in the store distinguishes a service that never had keys from one whose nodes have
// all restarted; the latter grants no keys until its old ones would have expired.
func (k *keyReplica) ensureSynced(ctx context.Context, s config.ServiceName) {
	k.mu.Lock()
	endpoints := k.endpoints[s]
	skip := k.complete[s] || k.deps.Now().Sub(k.lastSync[s]) < syncInterval
	if !skip {
		k.lastSync[s] = k.deps.Now()
	}
	k.mu.Unlock()
	if skip {
		return
	}
	complete := k.deps.Now().Sub(k.started) > ledger.KeyRetention
	for _, e := range endpoints {
		if e.Node == k.deps.Node.Node {
			continue
		}
		a, err := k.send(ctx, e, keyRequest{Operation: "sync", Service: s, Node: k.deps.Node.Node})
		if err != nil {
			continue
		}
		complete = complete || a.Complete
		k.mu.Lock()
		for _, entry := range a.Entries {
			k.keys.Merge(k.deps.Now(), entry)
		}
		k.mu.Unlock()
	}
	if !complete && k.deps.ClaimStore != nil {
		self := ledger.ClaimerID(string(k.deps.Node.Node) + "-" + strconv.FormatUint(uint64(k.deps.Node.Incarnation), 10))
		holder, err := k.deps.ClaimStore.Claim(ctx, "service/"+string(s), self)
		complete = err == nil && holder == self
	}
	k.mu.Lock()
	k.complete[s] = complete
	k.mu.Unlock()
}

func (k *keyReplica) send(ctx context.Context, e *route.Endpoint, m keyRequest) (keyResponse, error) {
	if e.Node == k.deps.Node.Node {
		return k.handle(ctx, m), nil
	}
	ctx, cancel := context.WithTimeout(ctx, keyRequestTimeout)
	defer cancel()
	data, err := json.Marshal(m)
	if err != nil {
		return keyResponse{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(e.Address)+keyPath, bytes.NewReader(data))
	if err != nil {
		return keyResponse{}, err
	}
	resp, err := k.peers.unpooled.RoundTrip(req)
	if err != nil {
		return keyResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a keyResponse
	if resp.StatusCode != http.StatusOK {
		return a, errors.Newf("key request failed: HTTP status %d", resp.StatusCode)
	}
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// runWithKey runs an at-most-once call with an idempotency key, unless the key has been used before.
func (x *exchange) runWithKey(key string) callResult {
	if len(key) > maxKeyLength {
		return refusalResult(notExecuted(http.StatusBadRequest, CauseBadRequest, "idempotency key too long; call not executed"))
	}
	m := keyRequest{Operation: "claim", ID: ledger.KeyID(string(x.call.service) + "/" + string(x.call.tenant) + "/" + key),
		Service: x.call.service, Claimer: ledger.ClaimerID(strconv.FormatUint(rand.Uint64(), 36)),
		TimeLeft: x.call.deadline.Sub(x.g.deps.Now())}
	a, replica := x.claimKey(m)
	switch a.State {
	case ledger.KeyGranted:
	case ledger.KeyDone:
		return storedResult(a.Result)
	case ledger.KeyInProgress:
		return refusalResult(Refusal{http.StatusConflict, CauseKeyInProgress, ExecutedUnknown, "another call with this idempotency key is in progress", time.Second})
	case ledger.KeyUnknown:
		return refusalResult(Refusal{http.StatusConflict, CauseOutcomeUnknown, ExecutedUnknown, "outcome of the earlier call with this idempotency key is unknown", 0})
	default:
		return refusalResult(Refusal{http.StatusServiceUnavailable, CauseKeyUnverified, ExecutedNo,
			"can't verify that the idempotency key is unused; call not executed", syncInterval})
	}
	return x.recordKeyOutcome(x.runAtMostOnce(), m, replica)
}

// claimKey sends the claim to the key's replicas in order of rank until one responds, and returns that replica. One that did
// not respond may have granted the claim; the next replica releases it there if it can't confirm it.
func (x *exchange) claimKey(m keyRequest) (keyResponse, *route.Endpoint) {
	es := x.table.Endpoints(x.call.service, config.SpillAnywhere)
	replicas := ledger.Replicas(m.ID, nodesOf(es))
	for _, h := range replicas {
		e := es[slices.IndexFunc(es, func(e *route.Endpoint) bool { return e.Node == h })]
		if a, err := x.g.keys.send(x.ctx, e, m); err == nil {
			return a, e
		}
	}
	return keyResponse{State: ledger.KeyUnverified}, nil
}

// recordKeyOutcome reports the outcome of a call with a granted claim to the replicas, before the caller gets the response.
func (x *exchange) recordKeyOutcome(a callResult, m keyRequest, replica *route.Endpoint) callResult {
	m.Operation, m.State = "settle", ledger.KeyUnknown
	switch {
	case a.resp.Header.Get(HeaderExecuted) == string(ExecutedNo):
		m.Operation = "release"
	case !isRefusal(a.resp):
		m.State = ledger.KeyDone
		body, err := io.ReadAll(a.resp.Body)
		if err != nil {
			m.State = ledger.KeyUnknown
		}
		h := a.resp.Header.Clone()
		removeSystemHeaders(h)
		m.Result = ledger.Result{Status: a.resp.StatusCode, Header: h, Body: body}
		a.resp.Body = io.NopCloser(bytes.NewReader(body))
		a.resp.ContentLength = int64(len(body))
	}
	for range outcomeTries {
		if _, err := x.g.keys.send(context.WithoutCancel(x.ctx), replica, m); err == nil {
			break
		}
	}
	return a
}

// storedResult returns the stored response of the earlier call with the same key.
func storedResult(r ledger.Result) callResult {
	if r.Lost {
		return refusalResult(Refusal{http.StatusConflict, CauseAnswerLost, ExecutedYes, "earlier call with this idempotency key was executed; its response is no longer stored", 0})
	}
	return callResult{resp: storedResponse(r), cleanup: func() {}}
}
