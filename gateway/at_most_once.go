package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/ledger"
	"github.com/cassialead/cassialead/route"
)

const (
	firstProbeDelay = 400 * time.Millisecond // without a response by then, the node is queried on a new connection
	probeInterval   = 2 * time.Second
	fenceTimeout    = time.Second
	fenceInterval   = 200 * time.Millisecond
)

// attemptOutcome is the outcome of an at-most-once attempt; only the types below implement it.
type attemptOutcome interface{ attemptOutcome() }

// outcomeExecuted holds the target's response.
type outcomeExecuted struct{ resp *http.Response }

// outcomeNotExecuted holds the refusal of an attempt that has not been executed and never will be.
type outcomeNotExecuted struct{ resp *http.Response }

// outcomeUnknown holds the refusal for an attempt that may have been executed.
type outcomeUnknown struct{ resp *http.Response }

func (outcomeExecuted) attemptOutcome()    {}
func (outcomeNotExecuted) attemptOutcome() {}
func (outcomeUnknown) attemptOutcome()     {}

// runAtMostOnce runs a call at most once: another target is tried only after the previous attempt is proven not to have
// been executed and never to be executed later.
func (x *exchange) runAtMostOnce() callResult {
	var tried []fleet.NodeID
	last := notExecuted(http.StatusServiceUnavailable, CauseNoTarget, "no target of the service known; call not executed").response()
	for n := 1; ; n++ {
		selection, err := x.pick(tried, false)
		if err != nil {
			return callResult{resp: last, cleanup: func() {}, attempts: n}
		}
		tried = append(tried, selection.Endpoint.Node)
		outcome := x.attemptAtMostOnce(selection.Endpoint)
		t := attemptResult{selection: selection, returnedAt: x.g.deps.Now()}
		switch v := outcome.(type) {
		case outcomeExecuted:
			t.resp = v.resp
			x.reportOutcome(t, route.Answered)
			return callResult{resp: v.resp, cleanup: func() {}, attempts: n}
		case outcomeUnknown:
			x.reportOutcome(t, route.Failed)
			return callResult{resp: v.resp, cleanup: func() {}, attempts: n}
		case outcomeNotExecuted:
			t.resp = v.resp
			x.reportOutcome(t, route.Refused)
			last = v.resp
		}
		if n > maxReroutes || !x.g.retryBudget.TryWithdrawReroute() || !x.g.deps.Now().Before(x.call.deadline) {
			return callResult{resp: last, cleanup: func() {}, attempts: n}
		}
	}
}

// attemptAtMostOnce makes one attempt, and returns once its outcome is known or the deadline has passed.
func (x *exchange) attemptAtMostOnce(e *route.Endpoint) attemptOutcome {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.call.deadline)
	defer cancel()
	c := x.call
	c.attempt = x.newAttemptID()
	by, err := x.startBy(ctx, e)
	if err != nil {
		return outcomeNotExecuted{notExecuted(http.StatusServiceUnavailable, CauseNoTarget,
			"clock of the target's node not available; call not executed").response()}
	}
	c.startBy = &by
	body, ok := x.body.open()
	if !ok {
		return outcomeNotExecuted{notExecuted(http.StatusServiceUnavailable, CauseNoTarget,
			"streamed request body already consumed; call not executed").response()}
	}
	if body == http.NoBody {
		// The HTTP client resends a request without a body if it has an idempotency key; an empty reader prevents that.
		body = io.NopCloser(strings.NewReader(""))
	}
	ra := &remoteAttempt{x: x, endpoint: e, call: c, ctx: ctx}
	if e.Node == x.g.deps.Node.Node {
		return classify(x.g.inbound.doAtMostOnce(x.ctx, c, x.peerRequest(ctx, e, c, body), func() {}))
	}
	return ra.send(body)
}

// startBy returns the latest start time on the target node's clock, which it requests if there is no recent reading.
func (x *exchange) startBy(ctx context.Context, e *route.Endpoint) (ledger.StartBy, error) {
	window := min(startWindow, x.call.deadline.Sub(x.g.deps.Now())) + x.call.maxWait
	if e.Node == x.g.deps.Node.Node {
		by := x.g.inbound.clock()
		by.Uptime += window
		return by, nil
	}
	if by, ok := x.g.peerClocks.startBy(e.Node, x.g.deps.Now(), window); ok && by.Incarnation == e.Incarnation {
		return by, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(e.Address)+clockPath, nil)
	if err != nil {
		return ledger.StartBy{}, err
	}
	resp, err := x.g.peers.unpooled.RoundTrip(req)
	if err != nil {
		return ledger.StartBy{}, err
	}
	_ = resp.Body.Close()
	x.g.peerClocks.record(e.Node, resp.Header.Get(headerClock), x.g.deps.Now())
	by, ok := x.g.peerClocks.startBy(e.Node, x.g.deps.Now(), window)
	if !ok {
		return ledger.StartBy{}, errors.Newf("node %s returned no clock reading", e.Node)
	}
	return by, nil
}

// classify derives an attempt's outcome from a node's response.
func classify(resp *http.Response) attemptOutcome {
	switch {
	case !isRefusal(resp):
		return outcomeExecuted{resp}
	case resp.Header.Get(HeaderExecuted) == string(ExecutedNo):
		return outcomeNotExecuted{resp}
	}
	return outcomeUnknown{resp}
}

// remoteAttempt is an at-most-once attempt sent to another node.
type remoteAttempt struct {
	x            *exchange
	endpoint     *route.Endpoint
	call         call
	ctx          context.Context
	acknowledged atomic.Bool // an interim response has confirmed that the node received the attempt
}

// send sends the attempt; if its connection fails or stays silent, it queries the outcome on new connections.
func (ra *remoteAttempt) send(body io.ReadCloser) attemptOutcome {
	ctx, cancel := context.WithCancel(ra.ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			ra.acknowledged.Store(true)
			return nil
		},
	})
	type roundTripResult struct {
		resp *http.Response
		err  error
	}
	results := make(chan roundTripResult, 1)
	go func() {
		resp, err := ra.x.g.peers.forClass(ra.call.class).RoundTrip(ra.x.peerRequest(ctx, ra.endpoint, ra.call, body))
		if err == nil && ra.endpoint.Distance == route.OtherRegion {
			ra.x.chargeSpill(resp.Request, resp)
		}
		if err == nil {
			err = bufferResponse(resp)
		}
		results <- roundTripResult{resp, err}
	}()
	defer cancel()
	probe := time.NewTimer(firstProbeDelay)
	defer probe.Stop()
	for {
		select {
		case r := <-results:
			if isDialError(r.err) {
				return outcomeNotExecuted{notExecuted(http.StatusServiceUnavailable, CauseNoTarget,
					"connecting to the target's node failed; call not executed").response()}
			}
			if r.err != nil {
				return ra.resolve()
			}
			ra.x.g.peerClocks.record(ra.endpoint.Node, r.resp.Header.Get(headerClock), ra.x.g.deps.Now())
			return classify(r.resp)
		case <-probe.C:
			if v, known := ra.queryOutcome(ra.acknowledged.Load(), 0); known {
				return v
			}
			probe.Reset(probeInterval)
		case <-ra.ctx.Done():
			return ra.resolve()
		}
	}
}

// bufferResponse reads a response into memory, since a call with side effects must not get a partial response.
func bufferResponse(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredResponse+1))
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	return nil
}

// resolve sends fence requests until the attempt's outcome is known or the deadline has passed.
func (ra *remoteAttempt) resolve() attemptOutcome {
	for ra.ctx.Err() == nil {
		if v, known := ra.queryOutcome(false, time.Until(ra.call.deadline)); known {
			return v
		}
		sleep(ra.ctx, fenceInterval)
	}
	// A last fence request after the deadline may still prove that the call was not executed.
	ra.ctx = context.WithoutCancel(ra.ctx)
	if v, known := ra.queryOutcome(false, 0); known {
		return v
	}
	return outcomeUnknown{Refusal{http.StatusGatewayTimeout, CauseOutcomeUnknown, ExecutedUnknown,
		"target's node did not respond before the call's deadline; call outcome unknown", 0}.response()}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// queryOutcome sends a fence request on a new connection and reports whether the attempt's outcome is known.
func (ra *remoteAttempt) queryOutcome(peek bool, wait time.Duration) (attemptOutcome, bool) {
	if !peek {
		ra.x.g.meters.fences.Inc()
	}
	a, err := ra.postFence(fenceRequest{Attempt: ra.call.attempt, StartBy: ra.call.startBy.String(), Peek: peek,
		WaitMS: max(wait, 0).Milliseconds()}, max(wait, 0)+fenceTimeout)
	if err != nil {
		return nil, false
	}
	switch a.State {
	case ledger.NeverRun:
		return outcomeNotExecuted{attemptRefusal(ledger.ErrFenced).response()}, true
	case ledger.Done:
		if a.Result.Lost {
			return outcomeUnknown{Refusal{http.StatusBadGateway, CauseOutcomeUnknown, ExecutedUnknown,
				"call sent to the target, but no usable response available; call outcome unknown", 0}.response()}, true
		}
		return outcomeExecuted{storedResponse(a.Result)}, true
	case "":
		return outcomeUnknown{Refusal{http.StatusBadGateway, CauseOutcomeUnknown, ExecutedUnknown,
			"target's node restarted or no longer has the attempt's state; call outcome unknown", 0}.response()}, true
	}
	return nil, false
}

func (ra *remoteAttempt) postFence(q fenceRequest, timeout time.Duration) (fenceResponse, error) {
	ctx, cancel := context.WithTimeout(ra.ctx, timeout)
	defer cancel()
	data, err := json.Marshal(q)
	if err != nil {
		return fenceResponse{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(ra.endpoint.Address)+fencePath, bytes.NewReader(data))
	if err != nil {
		return fenceResponse{}, err
	}
	resp, err := ra.x.g.peers.unpooled.RoundTrip(req)
	if err != nil {
		return fenceResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a fenceResponse
	if resp.StatusCode != http.StatusOK {
		return a, errors.Newf("fence request failed: HTTP status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&a)
	return a, err
}
