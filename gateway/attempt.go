package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/ledger"
	"github.com/cassialead/cassialead/route"
)

// callResult is the response to a caller and the cleanup to run once the response has been sent.
type callResult struct {
	resp     *http.Response
	cleanup  func()
	attempts int
}

func refusalResult(r Refusal) callResult {
	return callResult{resp: r.response(), cleanup: func() {}}
}

// attemptResult is the outcome of one attempt of an idempotent call.
type attemptResult struct {
	resp       *http.Response
	err        error
	selection  route.Selection
	cancel     context.CancelFunc
	returnedAt time.Time // time at which the response headers or the error arrived
	first      bool
}

func (x *exchange) newAttemptID() ledger.AttemptID {
	return ledger.AttemptID(string(x.g.deps.Node.Node) + "-" + strconv.FormatUint(rand.Uint64(), 36))
}

func (x *exchange) pick(tried []fleet.NodeID, idempotent bool) (route.Selection, error) {
	r := randPool.Get().(*rand.Rand)
	defer randPool.Put(r)
	return x.table.Pick(route.PickRequest{Service: x.call.service, SpillScope: x.policy.Spill, Class: x.call.class, Excluded: tried,
		Idempotent: idempotent}, x.g.deps.Now(), r)
}

// peerRequest builds the request of one attempt to the node on the target's VM.
func (x *exchange) peerRequest(ctx context.Context, e *route.Endpoint, c call, body io.ReadCloser) *http.Request {
	out := &http.Request{
		Method: x.req.Method, Host: x.req.Host, Body: body, ContentLength: x.body.length,
		URL:    &url.URL{Scheme: "http", Host: string(e.Address), Path: x.req.URL.Path, RawPath: x.req.URL.RawPath, RawQuery: x.req.URL.RawQuery},
		Header: x.req.Header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	removeHopHeaders(out.Header)
	removeSystemHeaders(out.Header)
	c.setHeaders(out.Header, x.g.deps.Now())
	if x.body.stream != nil {
		out.Header.Set("Expect", "100-continue")
		out.Trailer = x.req.Trailer
	}
	return out.WithContext(ctx)
}

// send makes one attempt; a target on this VM is called without a network hop.
func (x *exchange) send(ctx context.Context, e *route.Endpoint, c call, body io.ReadCloser) (*http.Response, error) {
	req := x.peerRequest(ctx, e, c, body)
	if e.Node == x.g.deps.Node.Node {
		return x.g.inbound.doIdempotent(ctx, c, req), nil
	}
	resp, err := x.g.peers.forClass(c.class).RoundTrip(req)
	if err == nil && e.Distance == route.OtherRegion {
		x.chargeSpill(req, resp)
	}
	return resp, err
}

// chargeSpill charges a call's bytes to the node's bandwidth budget between regions.
func (x *exchange) chargeSpill(req *http.Request, resp *http.Response) {
	// A response of known length is charged at once, a stream as its bytes are read.
	knownBytes := int(max(req.ContentLength, 0)+max(resp.ContentLength, 0)) + spillHeaderBytes
	x.table.SpillBudget().Settle(knownBytes)
	x.g.meters.regionBytes.Add(knownBytes)
	if resp.ContentLength >= 0 {
		return
	}
	resp.Body = &countingBody{resp.Body, func(n int) {
		x.table.SpillBudget().Charge(n)
		x.g.meters.regionBytes.Add(n)
	}}
}

const spillHeaderBytes = 1000 // estimated size of the request's and the response's headers, in bytes

// countingBody reports the number of bytes read from a response body.
type countingBody struct {
	io.ReadCloser
	count func(int)
}

// Read reads from the response body and reports the number of bytes read.
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count(n)
	return n, err
}

// runIdempotent runs a call that may be retried and hedged.
func (x *exchange) runIdempotent() callResult {
	h := &hedgedCall{x: x, results: make(chan attemptResult, x.policy.Retries+maxReroutes+2)}
	if refusal := h.launch(x.call.retry); refusal != nil {
		return refusalResult(*refusal)
	}
	deadline := time.NewTimer(x.call.deadline.Sub(x.g.deps.Now()))
	defer deadline.Stop()
	var hedge <-chan time.Time
	if delay, ok := x.hedgeDelay(); ok {
		t := time.NewTimer(delay)
		defer t.Stop()
		hedge = t.C
	}
	for {
		select {
		case t := <-h.results:
			if a, done := h.handle(t); done {
				return a
			}
		case <-hedge:
			hedge = nil
			h.hedge()
		case <-deadline.C:
			h.cancelAll()
			return refusalResult(Refusal{http.StatusGatewayTimeout, CauseTimeout, ExecutedUnknown, "no target responded before the call's deadline", 0})
		case <-x.ctx.Done():
			h.cancelAll()
			return refusalResult(Refusal{http.StatusGatewayTimeout, CauseTimeout, ExecutedUnknown, "caller closed the connection before the response", 0})
		}
	}
}

// hedgeDelay returns the delay before a hedge, or false if the call must not be hedged.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if !x.policy.Hedge || x.call.retry || x.call.class == config.ClassLong || x.body.stream != nil {
		return 0, false
	}
	if delay, ok := x.g.latencyQuantile(x.call.service).HedgeDelay(); ok {
		return delay, true
	}
	// The service has too few latency samples: hedge once a good part of the call's time has passed.
	return x.call.deadline.Sub(x.g.deps.Now()) / defaultHedgeDivisor, true
}

const defaultHedgeDivisor = 4 // hedge delay of a service with too few latency samples: the call's time divided by this

const maxReroutes = 2 // further targets tried after attempts that were not executed

// hedgedCall is the set of attempts of one idempotent call; the first usable response wins.
type hedgedCall struct {
	x        *exchange
	results  chan attemptResult
	tried    []fleet.NodeID
	cancels  []context.CancelFunc
	pending  int
	attempts int
	reroutes int
	retries  int
	// mayHaveExecuted is set when an attempt failed that the target may have executed.
	mayHaveExecuted bool
}

// launch starts another attempt, or returns the reason why it can't be started.
func (h *hedgedCall) launch(retry bool) *Refusal {
	x := h.x
	body, ok := x.body.open()
	if !ok {
		refusal := Refusal{http.StatusBadGateway, CauseTargetBroken, ExecutedUnknown, "streamed request body already consumed; call not retried", 0}
		return &refusal
	}
	selection, err := x.pick(h.tried, true)
	if err != nil {
		refusal := notExecuted(http.StatusServiceUnavailable, CauseNoTarget, err.Error()+"; call not executed")
		return &refusal
	}
	h.tried = append(h.tried, selection.Endpoint.Node)
	h.pending++
	h.attempts++
	c := x.call
	c.retry = retry
	c.attempt = x.newAttemptID()
	ctx, cancel := context.WithCancel(x.ctx)
	h.cancels = append(h.cancels, cancel)
	first := h.attempts == 1
	go func() {
		resp, err := x.send(ctx, selection.Endpoint, c, body)
		h.results <- attemptResult{resp: resp, err: err, selection: selection, cancel: cancel, returnedAt: x.g.deps.Now(), first: first}
	}()
	return nil
}

func (h *hedgedCall) hedge() {
	if h.pending == 0 || !h.x.g.retryBudget.TryWithdrawRetry() {
		return
	}
	if h.launch(true) == nil {
		h.x.g.meters.hedges.Inc()
	}
}

// handle processes the result of one attempt and reports whether the call is complete.
func (h *hedgedCall) handle(t attemptResult) (callResult, bool) {
	h.pending--
	x := h.x
	switch {
	case t.err != nil && isDialError(t.err):
		x.reportOutcome(t, route.Failed)
		return h.retryOrFinish(x.g.retryBudget.TryWithdrawReroute, maxReroutes, &h.reroutes, x.call.retry,
			notExecuted(http.StatusServiceUnavailable, CauseNoTarget, "connecting to the target's node failed; call not executed").response())
	case t.err != nil:
		h.mayHaveExecuted = true
		x.reportOutcome(t, route.Failed)
		return h.retryOrFinish(x.tryRetry, x.policy.Retries, &h.retries, true,
			Refusal{http.StatusBadGateway, CauseTargetBroken, ExecutedUnknown, "connection to the target's node failed before the response", 0}.response())
	case isRefusal(t.resp) && t.resp.Header.Get(HeaderExecuted) == string(ExecutedNo):
		x.reportOutcome(t, route.Refused)
		x.g.meters.reroutes.Inc()
		return h.retryOrFinish(x.g.retryBudget.TryWithdrawReroute, maxReroutes, &h.reroutes, x.call.retry, t.resp)
	case isRefusal(t.resp), t.resp.StatusCode == http.StatusServiceUnavailable:
		h.mayHaveExecuted = true
		// A target that sheds load responds fast; recording a failure keeps the balancer from sending it more calls.
		x.reportOutcome(t, route.Failed)
		return h.retryOrFinish(x.tryRetry, x.policy.Retries, &h.retries, true, t.resp)
	}
	return h.accept(t), true
}

func (x *exchange) tryRetry() bool {
	if x.call.retry || !x.g.retryBudget.TryWithdrawRetry() {
		return false
	}
	x.g.meters.retries.Inc()
	return true
}

// retryOrFinish starts another attempt if limit, deadline and budget allow it; otherwise the last response is final.
func (h *hedgedCall) retryOrFinish(withdraw func() bool, limit int, used *int, retry bool, last *http.Response) (callResult, bool) {
	if h.pending > 0 {
		return callResult{}, false
	}
	if *used < limit && h.x.g.deps.Now().Before(h.x.call.deadline) && withdraw() {
		*used++
		if h.launch(retry) == nil {
			_ = last.Body.Close()
			return callResult{}, false
		}
	}
	if h.mayHaveExecuted && last.Header.Get(HeaderExecuted) == string(ExecutedNo) {
		last = Refusal{http.StatusBadGateway, CauseTargetBroken, ExecutedUnknown,
			"attempt failed and its retry was refused; call outcome unknown", 0}.response()
	}
	return callResult{resp: last, cleanup: func() {}, attempts: h.attempts}, true
}

// accept makes an attempt's response the final one and cancels the other attempts.
func (h *hedgedCall) accept(t attemptResult) callResult {
	x := h.x
	if !t.first {
		x.g.meters.hedgeWins.Inc()
	}
	if x.call.class != config.ClassLong {
		x.g.latencyQuantile(x.call.service).Observe(t.returnedAt.Sub(t.selection.Started()))
	}
	h.cancelOthers(t.selection.Endpoint.Node)
	return callResult{resp: t.resp, attempts: h.attempts, cleanup: func() {
		x.reportOutcome(t, route.Answered)
		t.cancel()
	}}
}

// reportOutcome reports an attempt's outcome and the target's queue length to the balancer.
func (x *exchange) reportOutcome(t attemptResult, outcome route.Outcome) {
	queue := -1
	if t.resp != nil && t.resp.Header.Get(headerQueueLength) != "" {
		queue = headerInt(t.resp.Header, headerQueueLength)
	}
	t.selection.Complete(x.table, x.call.service, outcome, queue, t.returnedAt)
}

func (h *hedgedCall) cancelAll() { h.cancelOthers("") }

// cancelOthers cancels all attempts except the one sent to the winner, and drains their results in the background.
func (h *hedgedCall) cancelOthers(winner fleet.NodeID) {
	for i, cancel := range h.cancels {
		if h.tried[i] != winner {
			cancel()
		}
	}
	if h.pending == 0 {
		return
	}
	go func(n int) {
		for range n {
			t := <-h.results
			if t.resp != nil {
				_ = t.resp.Body.Close()
			}
			h.x.reportOutcome(t, route.Cancelled)
		}
	}(h.pending)
}
