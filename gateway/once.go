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

	maxResult = 1 << 20 // bytes of an answer kept for a lost connection
)

func (in *inward) clock() ledger.StartBy {
	in.ledgerMu.Lock()
	defer in.ledgerMu.Unlock()
	return in.ledger.Clock(in.deps.Now())
}

func (in *inward) serveClock(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headerClock, in.clock().String())
}

// doOnce brings a call to its target that may run at most once. The run goes on when the calling node is lost, and
// its result is kept for a fence. A call for an attempt that is known already waits for that attempt's result.
func (in *inward) doOnce(ctx context.Context, c call, req *http.Request, heard func()) *http.Response {
	g := in.gate(c.service)
	if refusal := in.turnAway(g); refusal != nil {
		return refusal.response()
	}
	in.ledgerMu.Lock()
	a, err := in.ledger.Begin(in.deps.Now(), c.attempt, *c.startBy)
	known := in.ledger.Find(c.attempt)
	in.ledgerMu.Unlock()
	if errors.Is(err, ledger.ErrRepeated) {
		waitDone(ctx, known, c.deadline.Sub(in.deps.Now()))
		return in.kept(known)
	}
	if err != nil {
		return in.tell(g, nil, refuseAttempt(err).response())
	}
	heard()
	s, refusal := in.admit(ctx, g, c)
	if refusal != nil {
		in.abandon(a)
		return in.tell(g, nil, refusal.response())
	}
	in.ledgerMu.Lock()
	err = in.ledger.Start(in.deps.Now(), a)
	in.ledgerMu.Unlock()
	if err != nil {
		s.release()
		return in.tell(g, s, refuseAttempt(err).response())
	}
	heard()
	in.run(g, s, a, c, req)
	return in.tell(g, s, in.kept(a))
}

func refuseAttempt(err error) Refusal {
	cause := CauseFenced
	if errors.Is(err, ledger.ErrLate) || errors.Is(err, ledger.ErrOtherIncarnation) {
		cause = CauseLate
	}
	return notRun(http.StatusServiceUnavailable, cause, err.Error()+"; the call has not run")
}

func (in *inward) abandon(a *ledger.Attempt) {
	in.ledgerMu.Lock()
	defer in.ledgerMu.Unlock()
	in.ledger.Abandon(in.deps.Now(), a)
}

// run sends a started attempt to the target over a new connection, which no library sends twice, and keeps the result.
func (in *inward) run(g *gate, s *slot, a *ledger.Attempt, c call, req *http.Request) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.Context()), c.deadline)
	defer cancel()
	result := ledger.Result{Lost: true}
	resp, err := g.once.RoundTrip(in.outgoing(ctx, g, c, req))
	if err == nil {
		result = in.readResult(g, c, resp)
	}
	s.release()
	in.ledgerMu.Lock()
	defer in.ledgerMu.Unlock()
	if err != nil && isDialError(err) {
		in.ledger.Withdraw(in.deps.Now(), a)
		return
	}
	in.ledger.Finish(in.deps.Now(), a, result)
}

func (in *inward) readResult(g *gate, c call, resp *http.Response) ledger.Result {
	defer func() { _ = resp.Body.Close() }()
	if g.target.Load().Echo && resp.Header.Get(HeaderAttempt) != string(c.attempt) {
		in.meters.crossed.Inc()
		return ledger.Result{Lost: true}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResult+1))
	if err != nil || len(body) > maxResult {
		return ledger.Result{Lost: true}
	}
	removeHopHeaders(resp.Header)
	removeOwnHeaders(resp.Header)
	return ledger.Result{Status: resp.StatusCode, Header: resp.Header, Body: body}
}

// kept returns an ended attempt's answer.
func (in *inward) kept(a *ledger.Attempt) *http.Response {
	in.ledgerMu.Lock()
	state, r := in.ledger.Result(a)
	in.ledgerMu.Unlock()
	switch {
	case state == ledger.Never:
		return refuseAttempt(ledger.ErrFenced).response()
	case state != ledger.Done || r.Lost:
		return Refusal{http.StatusBadGateway, CauseUnknown, RanUnknown,
			"the target took the call and its answer was lost; whether it ran is unknown", 0}.response()
	}
	return resultResponse(r)
}

func resultResponse(r ledger.Result) *http.Response {
	return &http.Response{StatusCode: r.Status, Header: r.Header.Clone(), ContentLength: int64(len(r.Body)),
		Body: io.NopCloser(bytes.NewReader(r.Body))}
}

// fenceRequest asks what has become of an attempt. Unless Peek is set, an attempt that has not started never will.
type fenceRequest struct {
	Attempt ledger.AttemptID `json:"attempt"`
	StartBy string           `json:"start_by"`
	Peek    bool             `json:"peek"`
	// WaitMS is how long the answer may wait for a running attempt's end, in milliseconds.
	WaitMS int64 `json:"wait_ms"`
}

// fenceAnswer says what has become of an attempt; an empty state means that this node can't know.
type fenceAnswer struct {
	State  ledger.State  `json:"state"`
	Result ledger.Result `json:"result"`
}

func (in *inward) serveFence(w http.ResponseWriter, r *http.Request) {
	var q fenceRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxHeaderBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
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
	answer := fenceAnswer{State: state}
	if a != nil {
		answer.State, answer.Result = in.ledger.Result(a)
	}
	in.ledgerMu.Unlock()
	_ = json.NewEncoder(w).Encode(answer)
}

func waitDone(ctx context.Context, a *ledger.Attempt, most time.Duration) {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-a.Done():
	case <-t.C:
	case <-ctx.Done():
	}
}

// clockReading is a node's clock as it was at a local time.
type clockReading struct {
	reading ledger.StartBy
	at      time.Time
}

// clocks keeps the latest reading of each node's clock.
type clocks struct {
	mu    sync.Mutex
	known map[fleet.NodeID]clockReading
}

const (
	readingLife = 30 * time.Second       // bounds what clocks can drift apart in between
	startWindow = 2 * time.Second        // an attempt must start within this
	clockMargin = 100 * time.Millisecond // drift between two readings and rounding
)

func (c *clocks) note(n fleet.NodeID, header string, at time.Time) {
	reading, err := ledger.ParseStartBy(header)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[n] = clockReading{reading, at}
}

// startBy returns the latest time to start, on a node's own clock. The node's clock is at least the reading plus the
// time since it arrived, so the result is never later than meant.
func (c *clocks) startBy(n fleet.NodeID, now time.Time, window time.Duration) (ledger.StartBy, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.known[n]
	if !ok || now.Sub(r.at) > readingLife {
		return ledger.StartBy{}, false
	}
	by := r.reading
	by.At += now.Sub(r.at) + window - clockMargin
	return by, true
}
