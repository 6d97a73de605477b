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
	firstSilence  = 400 * time.Millisecond // a node that has said nothing by then is asked on a new connection
	laterSilence  = 2 * time.Second
	fenceTimeout  = time.Second
	fenceInterval = 200 * time.Millisecond
)

// verdict is what is known of an attempt that may run at most once; the set is sealed.
type verdict interface{ verdict() }

// ran carries the target's answer.
type ran struct{ resp *http.Response }

// proven carries a refusal of an attempt that has not run and never will.
type proven struct{ resp *http.Response }

// unknown carries the answer for an attempt that may have run.
type unknown struct{ resp *http.Response }

func (ran) verdict()     {}
func (proven) verdict()  {}
func (unknown) verdict() {}

// once brings a call to a target at most once: another target is tried only when the attempt before it is proven not
// to have run and never to run.
func (x *exchange) once() answer {
	var tried []fleet.NodeID
	last := notRun(http.StatusServiceUnavailable, CauseNoTarget, "no target of the service is known; the call has not run").response()
	for n := 1; ; n++ {
		lease, err := x.pick(tried, false)
		if err != nil {
			return answer{resp: last, end: func() {}, attempts: n}
		}
		tried = append(tried, lease.Endpoint.Node)
		v := x.attemptOnce(lease.Endpoint)
		t := trial{lease: lease, at: x.g.deps.Now()}
		switch v := v.(type) {
		case ran:
			t.resp = v.resp
			x.end(t, route.Answered)
			return answer{resp: v.resp, end: func() {}, attempts: n}
		case unknown:
			x.end(t, route.Failed)
			return answer{resp: v.resp, end: func() {}, attempts: n}
		case proven:
			t.resp = v.resp
			x.end(t, route.Refused)
			last = v.resp
		}
		if n > maxElsewhere || !x.g.budget.Elsewhere() || !x.g.deps.Now().Before(x.call.deadline) {
			return answer{resp: last, end: func() {}, attempts: n}
		}
	}
}

// attemptOnce makes one attempt and does not return before its fate is known or the deadline has passed.
func (x *exchange) attemptOnce(e *route.Endpoint) verdict {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.ctx), x.call.deadline)
	defer cancel()
	c := x.call
	c.attempt = x.newAttemptID()
	by, err := x.startBy(ctx, e)
	if err != nil {
		return proven{notRun(http.StatusServiceUnavailable, CauseNoTarget,
			"the target's node can't be reached; the call has not run").response()}
	}
	c.startBy = &by
	body, ok := x.body.open()
	if !ok {
		return proven{notRun(http.StatusServiceUnavailable, CauseNoTarget,
			"the request's body can't be sent again; the call has not run").response()}
	}
	if body == http.NoBody {
		// HTTP libraries send a request without a body again on their own when it carries an idempotency key.
		body = io.NopCloser(strings.NewReader(""))
	}
	o := &order{x: x, endpoint: e, call: c, ctx: ctx}
	if e.Node == x.g.deps.Node.Node {
		return judge(x.g.inward.doOnce(x.ctx, c, x.outgoing(ctx, e, c, body), func() {}))
	}
	return o.send(body)
}

// startBy returns the latest time to start on the node's clock, asking for its clock if need be.
func (x *exchange) startBy(ctx context.Context, e *route.Endpoint) (ledger.StartBy, error) {
	window := min(startWindow, x.call.deadline.Sub(x.g.deps.Now())) + x.call.maxWait
	if e.Node == x.g.deps.Node.Node {
		by := x.g.inward.clock()
		by.At += window
		return by, nil
	}
	if by, ok := x.g.clocks.startBy(e.Node, x.g.deps.Now(), window); ok && by.Incarnation == e.Incarnation {
		return by, nil
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(e.Address)+clockPath, nil)
	if err != nil {
		return ledger.StartBy{}, err
	}
	resp, err := x.g.peers.fresh.RoundTrip(req)
	if err != nil {
		return ledger.StartBy{}, err
	}
	_ = resp.Body.Close()
	x.g.clocks.note(e.Node, resp.Header.Get(headerClock), x.g.deps.Now())
	by, ok := x.g.clocks.startBy(e.Node, x.g.deps.Now(), window)
	if !ok {
		return ledger.StartBy{}, errors.Newf("node %s told no clock", e.Node)
	}
	return by, nil
}

// judge turns a node's answer into a verdict.
func judge(resp *http.Response) verdict {
	switch {
	case !refused(resp):
		return ran{resp}
	case resp.Header.Get(HeaderRan) == string(RanNo):
		return proven{resp}
	}
	return unknown{resp}
}

// order is one attempt at another node.
type order struct {
	x        *exchange
	endpoint *route.Endpoint
	call     call
	ctx      context.Context
	heard    atomic.Bool // the node has told that the attempt arrived
}

// send sends the attempt, and asks on new connections what became of it when the first one is silent or breaks.
func (o *order) send(body io.ReadCloser) verdict {
	ctx, cancel := context.WithCancel(o.ctx)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			o.heard.Store(true)
			return nil
		},
	})
	type outcome struct {
		resp *http.Response
		err  error
	}
	results := make(chan outcome, 1)
	go func() {
		resp, err := o.x.g.peers.of(o.call.class).RoundTrip(o.x.outgoing(ctx, o.endpoint, o.call, body))
		if err == nil && o.endpoint.Distance == route.OtherRegion {
			o.x.meterSpill(resp.Request, resp)
		}
		if err == nil {
			err = readWhole(resp)
		}
		results <- outcome{resp, err}
	}()
	defer cancel()
	silence := time.NewTimer(firstSilence)
	defer silence.Stop()
	for {
		select {
		case r := <-results:
			if isDialError(r.err) {
				return proven{notRun(http.StatusServiceUnavailable, CauseNoTarget,
					"the target's node takes no connections; the call has not run").response()}
			}
			if r.err != nil {
				return o.resolve()
			}
			o.x.g.clocks.note(o.endpoint.Node, r.resp.Header.Get(headerClock), o.x.g.deps.Now())
			return judge(r.resp)
		case <-silence.C:
			if v, known := o.inquire(o.heard.Load(), 0); known {
				return v
			}
			silence.Reset(laterSilence)
		case <-o.ctx.Done():
			return o.resolve()
		}
	}
}

// readWhole takes an answer into memory; what a run may have changed is never answered in part.
func readWhole(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResult+1))
	if err != nil {
		return err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	resp.ContentLength = int64(len(body))
	return nil
}

// resolve fences the attempt until its fate is known or the deadline has passed.
func (o *order) resolve() verdict {
	for o.ctx.Err() == nil {
		if v, known := o.inquire(false, time.Until(o.call.deadline)); known {
			return v
		}
		sleep(o.ctx, fenceInterval)
	}
	// One last fence may still prove that the call has not run.
	o.ctx = context.WithoutCancel(o.ctx)
	if v, known := o.inquire(false, 0); known {
		return v
	}
	return unknown{Refusal{http.StatusGatewayTimeout, CauseUnknown, RanUnknown,
		"the target's node did not answer; whether the call ran is unknown", 0}.response()}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// inquire asks the node on a new connection; it reports whether the attempt's fate is now known.
func (o *order) inquire(peek bool, wait time.Duration) (verdict, bool) {
	if !peek {
		o.x.g.meters.fences.Inc()
	}
	a, err := o.ask(fenceRequest{Attempt: o.call.attempt, StartBy: o.call.startBy.String(), Peek: peek,
		WaitMS: max(wait, 0).Milliseconds()}, max(wait, 0)+fenceTimeout)
	if err != nil {
		return nil, false
	}
	switch a.State {
	case ledger.Never:
		return proven{refuseAttempt(ledger.ErrFenced).response()}, true
	case ledger.Done:
		if a.Result.Lost {
			return unknown{Refusal{http.StatusBadGateway, CauseUnknown, RanUnknown,
				"the target took the call and its answer was lost; whether it ran is unknown", 0}.response()}, true
		}
		return ran{resultResponse(a.Result)}, true
	case "":
		return unknown{Refusal{http.StatusBadGateway, CauseUnknown, RanUnknown,
			"the target's node has restarted; whether the call ran is unknown", 0}.response()}, true
	}
	return nil, false
}

func (o *order) ask(q fenceRequest, timeout time.Duration) (fenceAnswer, error) {
	ctx, cancel := context.WithTimeout(o.ctx, timeout)
	defer cancel()
	data, err := json.Marshal(q)
	if err != nil {
		return fenceAnswer{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(o.endpoint.Address)+fencePath, bytes.NewReader(data))
	if err != nil {
		return fenceAnswer{}, err
	}
	resp, err := o.x.g.peers.fresh.RoundTrip(req)
	if err != nil {
		return fenceAnswer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a fenceAnswer
	if resp.StatusCode != http.StatusOK {
		return a, errors.Newf("fence: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&a)
	return a, err
}
