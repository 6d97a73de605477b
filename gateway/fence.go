package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/ledger"
)

const (
	fencePath = "/fence"
	clockPath = "/clock"

	maxStoredResponse = 1 << 20 // bytes of a response that can be fetched again after a lost connection
)

func (in *inbound) clock() ledger.StartBy {
	in.ledgerMu.Lock()
	defer in.ledgerMu.Unlock()
	return in.ledger.Clock(in.deps.Now())
}

func (in *inbound) serveClock(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerClock, in.clock().String())
}

// doAtMostOnce runs an at-most-once call at its target. It continues when the connection to the calling node is lost, and
// stores the result for a later fence request. A duplicate of a known attempt waits for that attempt's result.
// onProgress is called when the attempt has been registered and when it has started.
func (in *inbound) doAtMostOnce(ctx context.Context, c call, req *http.Request, onProgress func()) *http.Response {
	tc := in.client(c.service)
	if refusal := in.refuseUnavailable(tc); refusal != nil {
		return refusal.response()
	}
	in.ledgerMu.Lock()
	a, err := in.ledger.Register(in.deps.Now(), c.attempt, *c.startBy)
	existing := in.ledger.Find(c.attempt)
	in.ledgerMu.Unlock()
	if errors.Is(err, ledger.ErrDuplicate) {
		waitDone(ctx, existing, c.deadline.Sub(in.deps.Now()))
		return in.attemptResponse(existing)
	}
	if err != nil {
		return in.addLoadHeaders(tc, nil, attemptRefusal(err).response())
	}
	onProgress()
	s, refusal := in.admit(ctx, tc, c)
	if refusal != nil {
		in.cancelAttempt(a)
		return in.addLoadHeaders(tc, nil, refusal.response())
	}
	in.ledgerMu.Lock()
	err = in.ledger.Start(in.deps.Now(), a)
	in.ledgerMu.Unlock()
	if err != nil {
		s.release()
		return in.addLoadHeaders(tc, s, attemptRefusal(err).response())
	}
	onProgress()
	in.runAttempt(tc, s, a, c, req)
	return in.addLoadHeaders(tc, s, in.attemptResponse(a))
}

func attemptRefusal(err error) Refusal {
	cause := CauseFenced
	if errors.Is(err, ledger.ErrStartByExpired) || errors.Is(err, ledger.ErrIncarnationMismatch) {
		cause = CauseTooLate
	}
	return notExecuted(http.StatusServiceUnavailable, cause, err.Error()+"; call not executed")
}

func (in *inbound) cancelAttempt(a *ledger.Attempt) {
	in.ledgerMu.Lock()
	defer in.ledgerMu.Unlock()
	in.ledger.Cancel(in.deps.Now(), a)
}

// runAttempt sends a started attempt over a new connection, on which the HTTP client never resends it, and stores the
// result.
func (in *inbound) runAttempt(tc *targetClient, s *slot, a *ledger.Attempt, c call, req *http.Request) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.Context()), c.deadline)
	defer cancel()
	result := ledger.Result{Lost: true}
	resp, err := tc.unpooled.RoundTrip(in.targetRequest(ctx, tc, c, req))
	if err == nil {
		result = in.readResult(tc, c, resp)
	}
	s.release()
	in.ledgerMu.Lock()
	defer in.ledgerMu.Unlock()
	if err != nil && isDialError(err) {
		in.ledger.CancelUnsent(in.deps.Now(), a)
		return
	}
	in.ledger.Finish(in.deps.Now(), a, result)
}

func (in *inbound) readResult(tc *targetClient, c call, resp *http.Response) ledger.Result {
	defer func() { _ = resp.Body.Close() }()
	if tc.target.Load().EchoesAttemptID && resp.Header.Get(HeaderAttempt) != string(c.attempt) {
		in.meters.mismatched.Inc()
		return ledger.Result{Lost: true}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredResponse+1))
	if err != nil || len(body) > maxStoredResponse {
		return ledger.Result{Lost: true}
	}
	removeHopHeaders(resp.Header)
	removeSystemHeaders(resp.Header)
	return ledger.Result{Status: resp.StatusCode, Header: resp.Header, Body: body}
}

// attemptResponse returns the stored response of a finished attempt, or a refusal.
func (in *inbound) attemptResponse(a *ledger.Attempt) *http.Response {
	in.ledgerMu.Lock()
	state, r := in.ledger.Result(a)
	in.ledgerMu.Unlock()
	switch {
	case state == ledger.NeverRun:
		return attemptRefusal(ledger.ErrFenced).response()
	case state != ledger.Done || r.Lost:
		return Refusal{http.StatusBadGateway, CauseOutcomeUnknown, ExecutedUnknown,
			"call sent to the target, but no usable response available; call outcome unknown", 0}.response()
	}
	return storedResponse(r)
}

func storedResponse(r ledger.Result) *http.Response {
	return &http.Response{StatusCode: r.Status, Header: r.Header.Clone(), ContentLength: int64(len(r.Body)),
		Body: io.NopCloser(bytes.NewReader(r.Body))}
}

// fenceRequest queries the state of an attempt. Unless Peek is set, it also keeps an attempt from starting later.
type fenceRequest struct {
	Attempt ledger.AttemptID `json:"attempt"`
	StartBy string           `json:"start_by"`
	Peek    bool             `json:"peek"`
	// WaitMS is the maximum time to wait for the end of a running attempt, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// fenceResponse is the state of an attempt; it is empty if this node can't determine it.
type fenceResponse struct {
	State  ledger.State  `json:"state"`
	Result ledger.Result `json:"result"`
}

func (in *inbound) serveFence(w http.ResponseWriter, r *http.Request) {
	var q fenceRequest
	if !readMessage(w, r, maxHeaderBytes, &q) {
		return
	}
	by, err := ledger.ParseStartBy(q.StartBy)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.ledgerMu.Lock()
	a := in.ledger.Find(q.Attempt)
	var state ledger.State
	if !q.Peek || a == nil {
		state, a = in.ledger.Fence(in.deps.Now(), q.Attempt, by)
	}
	in.ledgerMu.Unlock()
	if a != nil {
		waitDone(r.Context(), a, time.Duration(q.WaitMS)*time.Millisecond)
	}
	in.ledgerMu.Lock()
	response := fenceResponse{State: state}
	if a != nil {
		response.State, response.Result = in.ledger.Result(a)
	}
	in.ledgerMu.Unlock()
	_ = json.NewEncoder(w).Encode(response)
}

func waitDone(ctx context.Context, a *ledger.Attempt, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-a.Done():
	case <-t.C:
	case <-ctx.Done():
	}
}

// clockReading is a node's clock, and the local time at which the reading was received.
type clockReading struct {
	reading    ledger.StartBy
	receivedAt time.Time
}

// peerClocks holds the latest clock reading of each node.
type peerClocks struct {
	mu       sync.Mutex
	readings map[fleet.NodeID]clockReading
}

const (
	clockReadingTTL   = 30 * time.Second       // maximum age of a reading, which bounds the clock drift since
	startWindow       = 2 * time.Second        // time within which an attempt must start
	clockSafetyMargin = 100 * time.Millisecond // allowance for clock drift between readings and for rounding
)

func (c *peerClocks) record(n fleet.NodeID, header string, at time.Time) {
	reading, err := ledger.ParseStartBy(header)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[n] = clockReading{reading, at}
}

// startBy returns the latest start time of an attempt on a node's own clock. That clock is at least the reading plus the
// time since its receipt; the result is therefore never later than intended.
func (c *peerClocks) startBy(n fleet.NodeID, now time.Time, window time.Duration) (ledger.StartBy, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.readings[n]
	if !ok || now.Sub(r.receivedAt) > clockReadingTTL {
		return ledger.StartBy{}, false
	}
	by := r.reading
	by.Uptime += now.Sub(r.receivedAt) + window - clockSafetyMargin
	return by, true
}
