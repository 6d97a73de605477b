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
	keyPath      = "/keys"
	keyTimeout   = time.Second
	maxKeyBytes  = 8 << 20 // of one message about keys
	maxKeyLength = 256
	settleTries  = 3
	// completeInterval is the least time between two rounds of asking about a service.
	completeInterval = time.Second
)

// Claims keeps claims in the platform's store, for services with a single node and for those whose nodes have all
// started anew.
type Claims interface {
	// Claim makes a claimer the holder of a name unless there is one, and returns the holder.
	Claim(ctx context.Context, name string, c ledger.Claimer) (ledger.Claimer, error)
	// Release gives a name back that a claimer holds.
	Release(ctx context.Context, name string, c ledger.Claimer) error
}

// keyHolder is a node's part in holding idempotency keys.
type keyHolder struct {
	deps  Deps
	peers *peerTransport

	mu      sync.Mutex
	keys    *ledger.Keys
	members map[config.ServiceName][]*route.Endpoint
	// complete says that this node knows every key of a service that other nodes remember.
	complete map[config.ServiceName]bool
	// asked is when a service's other nodes were last asked for their keys.
	asked   map[config.ServiceName]time.Time
	started time.Time
}

func newKeyring(deps Deps, peers *peerTransport) *keyHolder {
	return &keyHolder{deps: deps, peers: peers, keys: ledger.NewKeys(), started: deps.Now(),
		members: map[config.ServiceName][]*route.Endpoint{}, complete: map[config.ServiceName]bool{},
		asked: map[config.ServiceName]time.Time{}}
}

// keyMessage is what nodes ask each other about a key; the answer is a keyAnswer.
type keyMessage struct {
	// Do is claim, copy, settle, release, merge or sync.
	Do      string             `json:"do"`
	ID      ledger.KeyID       `json:"id,omitempty"`
	Service config.ServiceName `json:"service"`
	Claimer ledger.Claimer     `json:"claimer,omitempty"`
	Within  time.Duration      `json:"within,omitempty"`
	State   ledger.KeyState    `json:"state,omitempty"`
	Result  ledger.Result      `json:"result,omitzero"`
	Node    fleet.NodeID       `json:"node,omitempty"`
	Entries []ledger.KeyEntry  `json:"entries,omitempty"`
	// Forwarded says that the message comes from the other holder.
	Forwarded bool `json:"forwarded,omitempty"`
}

type keyAnswer struct {
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

// publish notes who holds keys from now on, what was lost, and hands entries to their new holders.
func (k *keyHolder) publish(t *route.Table) {
	if t.Config == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.deps.Now()
	for s := range t.Config.Services {
		before, after := k.members[s], t.Endpoints(s, config.SpillAnywhere)
		if slices.EqualFunc(before, after, sameEndpoint) {
			continue
		}
		for _, e := range before {
			if !slices.ContainsFunc(after, func(o *route.Endpoint) bool { return sameEndpoint(e, o) }) {
				k.keys.NoteLoss(now, s, e.Node)
			}
		}
		k.members[s] = after
		k.handOver(now, s, after)
	}
}

func sameEndpoint(a, b *route.Endpoint) bool {
	return a.Node == b.Node && a.Incarnation == b.Incarnation
}

// handOver sends the entries of a service to their holders in the background; the caller holds mu.
func (k *keyHolder) handOver(now time.Time, s config.ServiceName, members []*route.Endpoint) {
	nodes := nodesOf(members)
	for _, e := range members {
		if e.Node == k.deps.Node.Node {
			continue
		}
		entries := k.keys.Entries(now, s, func(id ledger.KeyID) bool { return slices.Contains(ledger.Holders(id, nodes), e.Node) })
		if len(entries) > 0 {
			go func() {
				_, _ = k.ask(context.Background(), e, keyMessage{Do: "merge", Service: s, Entries: entries})
			}()
		}
	}
}

func (k *keyHolder) serve(w http.ResponseWriter, r *http.Request) {
	var m keyMessage
	if err := json.NewDecoder(io.LimitReader(r.Body, maxKeyBytes)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(k.answer(r.Context(), m))
}

func (k *keyHolder) answer(ctx context.Context, m keyMessage) keyAnswer {
	switch m.Do {
	case "claim":
		return k.claim(ctx, m)
	case "copy":
		k.mu.Lock()
		defer k.mu.Unlock()
		state, result := k.keys.Claim(k.deps.Now(), m.ID, m.Service, m.Claimer, m.Within)
		return keyAnswer{State: state, Result: result, Complete: k.complete[m.Service]}
	case "settle", "release":
		k.settle(ctx, m)
	case "merge":
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, e := range m.Entries {
			k.keys.Merge(k.deps.Now(), e)
		}
	case "sync":
		k.mu.Lock()
		defer k.mu.Unlock()
		nodes := nodesOf(k.members[m.Service])
		if !slices.Contains(nodes, m.Node) {
			nodes = append(nodes, m.Node)
		}
		return keyAnswer{Complete: k.complete[m.Service], Entries: k.keys.Entries(k.deps.Now(), m.Service,
			func(id ledger.KeyID) bool { return slices.Contains(ledger.Holders(id, nodes), m.Node) })}
	}
	return keyAnswer{}
}

// claim claims a key here and at the other holder; both must agree.
func (k *keyHolder) claim(ctx context.Context, m keyMessage) keyAnswer {
	k.ensureComplete(ctx, m.Service)
	k.mu.Lock()
	members := k.members[m.Service]
	nodes := nodesOf(members)
	holders := ledger.Holders(m.ID, nodes)
	remembers := k.complete[m.Service] && k.keys.Remembers(k.deps.Now(), m.ID, m.Service, nodes)
	var state ledger.KeyState
	var result ledger.Result
	if slices.Contains(holders, k.deps.Node.Node) {
		state, result = k.keys.Claim(k.deps.Now(), m.ID, m.Service, m.Claimer, m.Within)
	} else {
		state = ledger.KeyUnverified
	}
	k.mu.Unlock()
	if state != ledger.KeyGranted {
		return keyAnswer{State: state, Result: result}
	}
	state, result = k.confirm(ctx, m, members, holders)
	if state == ledger.KeyGranted && !remembers {
		state = ledger.KeyUnverified
	}
	if state != ledger.KeyGranted {
		k.settle(ctx, keyMessage{Do: "release", ID: m.ID, Service: m.Service, Claimer: m.Claimer})
	}
	return keyAnswer{State: state, Result: result}
}

// confirm places the claim at the other holder, or in the store where the service has no other node. A holder that
// can't be reached may know the key, so that nobody else can grant it until the fleet has declared that holder gone.
func (k *keyHolder) confirm(ctx context.Context, m keyMessage, members []*route.Endpoint, holders []fleet.NodeID) (ledger.KeyState, ledger.Result) {
	for _, e := range members {
		if e.Node == k.deps.Node.Node || !slices.Contains(holders, e.Node) {
			continue
		}
		c := m
		c.Do = "copy"
		a, err := k.ask(ctx, e, c)
		if err != nil {
			return ledger.KeyUnverified, ledger.Result{}
		}
		return a.State, a.Result
	}
	if k.deps.Claims == nil {
		return ledger.KeyUnverified, ledger.Result{}
	}
	holder, err := k.deps.Claims.Claim(ctx, claimName(m.ID), m.Claimer)
	switch {
	case err != nil:
		return ledger.KeyUnverified, ledger.Result{}
	case holder != m.Claimer:
		return ledger.KeyUnknown, ledger.Result{}
	}
	return ledger.KeyGranted, ledger.Result{}
}

func claimName(id ledger.KeyID) string { return "key/" + string(id) }

// settle notes an outcome here and passes it to the other holder.
func (k *keyHolder) settle(ctx context.Context, m keyMessage) {
	k.mu.Lock()
	if m.Do == "release" {
		k.keys.Release(m.ID, m.Claimer)
	} else {
		k.keys.Settle(m.ID, m.Claimer, m.State, m.Result)
	}
	members := k.members[m.Service]
	k.mu.Unlock()
	if m.Forwarded {
		return
	}
	m.Forwarded = true
	holders := ledger.Holders(m.ID, nodesOf(members))
	if m.Do == "release" && len(holders) == 1 && k.deps.Claims != nil {
		// A claim that stays behind keeps the key from being used; it never lets a call run twice.
		_ = k.deps.Claims.Release(ctx, claimName(m.ID), m.Claimer)
	}
	for _, e := range members {
		if e.Node != k.deps.Node.Node && slices.Contains(holders, e.Node) {
			_, _ = k.ask(ctx, e, m)
		}
	}
}

// ensureComplete makes sure that this node knows every key of a service that others remember, before it grants any.
// When no other node is complete, a marker in the store tells a service that never had keys from one whose nodes all
// started anew; the latter grants none until its old keys would have expired.
func (k *keyHolder) ensureComplete(ctx context.Context, s config.ServiceName) {
	k.mu.Lock()
	members := k.members[s]
	skip := k.complete[s] || k.deps.Now().Sub(k.asked[s]) < completeInterval
	if !skip {
		k.asked[s] = k.deps.Now()
	}
	k.mu.Unlock()
	if skip {
		return
	}
	complete := k.deps.Now().Sub(k.started) > ledger.KeyRetention
	for _, e := range members {
		if e.Node == k.deps.Node.Node {
			continue
		}
		a, err := k.ask(ctx, e, keyMessage{Do: "sync", Service: s, Node: k.deps.Node.Node})
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
	if !complete && k.deps.Claims != nil {
		mine := ledger.Claimer(string(k.deps.Node.Node) + "-" + strconv.FormatUint(uint64(k.deps.Node.Incarnation), 10))
		first, err := k.deps.Claims.Claim(ctx, "service/"+string(s), mine)
		complete = err == nil && first == mine
	}
	k.mu.Lock()
	k.complete[s] = complete
	k.mu.Unlock()
}

func (k *keyHolder) ask(ctx context.Context, e *route.Endpoint, m keyMessage) (keyAnswer, error) {
	if e.Node == k.deps.Node.Node {
		return k.answer(ctx, m), nil
	}
	ctx, cancel := context.WithTimeout(ctx, keyTimeout)
	defer cancel()
	data, err := json.Marshal(m)
	if err != nil {
		return keyAnswer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(e.Address)+keyPath, bytes.NewReader(data))
	if err != nil {
		return keyAnswer{}, err
	}
	resp, err := k.peers.fresh.RoundTrip(req)
	if err != nil {
		return keyAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a keyAnswer
	if resp.StatusCode != http.StatusOK {
		return a, errors.Newf("keys: status %d", resp.StatusCode)
	}
	return a, json.NewDecoder(resp.Body).Decode(&a)
}

// keyed brings a call with a caller's key to a target unless the key has been used before.
func (x *exchange) keyed(key string) answer {
	if len(key) > maxKeyLength {
		return refusalAnswer(notRun(http.StatusBadRequest, CauseBadRequest, "the idempotency key is too long"))
	}
	m := keyMessage{Do: "claim", ID: ledger.KeyID(string(x.call.service) + "/" + string(x.call.tenant) + "/" + key),
		Service: x.call.service, Claimer: ledger.Claimer(strconv.FormatUint(rand.Uint64(), 36)),
		Within: x.call.deadline.Sub(x.g.deps.Now())}
	a, holder := x.claim(m)
	switch a.State {
	case ledger.KeyGranted:
	case ledger.KeyDone:
		return doneAnswer(a.Result)
	case ledger.KeyInProgress:
		return refusalAnswer(Refusal{http.StatusConflict, CauseInProgress, RanUnknown, "a call with this key is in progress", time.Second})
	case ledger.KeyUnknown:
		return refusalAnswer(Refusal{http.StatusConflict, CauseUnknown, RanUnknown, "whether the call with this key ran is unknown", 0})
	default:
		return refusalAnswer(Refusal{http.StatusServiceUnavailable, CauseUnverified, RanNo,
			"no node can tell now whether the key has been used; this call has not run", completeInterval})
	}
	return x.settleKey(x.once(), m, holder)
}

// claim asks the key's holders in turn; a holder that gave no answer may have granted the claim, which is released.
func (x *exchange) claim(m keyMessage) (keyAnswer, *route.Endpoint) {
	es := x.table.Endpoints(x.call.service, config.SpillAnywhere)
	holders := ledger.Holders(m.ID, nodesOf(es))
	for _, h := range holders {
		e := es[slices.IndexFunc(es, func(e *route.Endpoint) bool { return e.Node == h })]
		if a, err := x.g.keys.ask(x.ctx, e, m); err == nil {
			return a, e
		}
	}
	return keyAnswer{State: ledger.KeyUnverified}, nil
}

// settleKey tells the holders what became of a granted claim, before the caller is answered.
func (x *exchange) settleKey(a answer, m keyMessage, holder *route.Endpoint) answer {
	m.Do, m.State = "settle", ledger.KeyUnknown
	switch {
	case a.resp.Header.Get(HeaderRan) == string(RanNo):
		m.Do = "release"
	case !refused(a.resp):
		m.State = ledger.KeyDone
		body, err := io.ReadAll(a.resp.Body)
		if err != nil {
			m.State = ledger.KeyUnknown
		}
		h := a.resp.Header.Clone()
		removeOwnHeaders(h)
		m.Result = ledger.Result{Status: a.resp.StatusCode, Header: h, Body: body}
		a.resp.Body = io.NopCloser(bytes.NewReader(body))
		a.resp.ContentLength = int64(len(body))
	}
	for range settleTries {
		if _, err := x.g.keys.ask(context.WithoutCancel(x.ctx), holder, m); err == nil {
			break
		}
	}
	return a
}

// doneAnswer repeats the answer of the call that ran.
func doneAnswer(r ledger.Result) answer {
	if r.Lost {
		return refusalAnswer(Refusal{http.StatusConflict, CauseAnswerLost, RanYes, "the call with this key ran; its answer is no longer kept", 0})
	}
	return answer{resp: resultResponse(r), end: func() {}}
}
