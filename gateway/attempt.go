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

// answer is what a caller gets, and what has to be undone after it was sent.
type answer struct {
	resp     *http.Response
	end      func()
	attempts int
}

func refusalAnswer(r Refusal) answer {
	return answer{resp: r.response(), end: func() {}}
}

// trial is the outcome of one attempt of a call that may be repeated.
type trial struct {
	resp   *http.Response
	err    error
	lease  route.Lease
	cancel context.CancelFunc
	at     time.Time // when the answer began
	first  bool
}

func (x *exchange) newAttemptID() ledger.AttemptID {
	return ledger.AttemptID(string(x.g.deps.Node.Node) + "-" + strconv.FormatUint(rand.Uint64(), 36))
}

func (x *exchange) pick(tried []fleet.NodeID, repeatable bool) (route.Lease, error) {
	r := randPool.Get().(*rand.Rand)
	defer randPool.Put(r)
	return x.table.Pick(route.Query{Service: x.call.service, Reach: x.policy.Spill, Class: x.call.class, Tried: tried,
		Repeatable: repeatable}, x.g.deps.Now(), r)
}

// outgoing returns the request for an attempt at the node beside a target.
func (x *exchange) outgoing(ctx context.Context, e *route.Endpoint, c call, body io.ReadCloser) *http.Request {
	out := &http.Request{
		Method: x.req.Method, Host: x.req.Host, Body: body, ContentLength: x.body.length,
		URL:    &url.URL{Scheme: "http", Host: string(e.Address), Path: x.req.URL.Path, RawPath: x.req.URL.RawPath, RawQuery: x.req.URL.RawQuery},
		Header: x.req.Header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	removeHopHeaders(out.Header)
	removeOwnHeaders(out.Header)
	c.write(out.Header, x.g.deps.Now())
	if x.body.stream != nil {
		out.Header.Set("Expect", "100-continue")
		out.Trailer = x.req.Trailer
	}
	return out.WithContext(ctx)
}

// send makes one attempt, without a network hop when the target is on this VM.
func (x *exchange) send(ctx context.Context, e *route.Endpoint, c call, body io.ReadCloser) (*http.Response, error) {
	req := x.outgoing(ctx, e, c, body)
	if e.Node == x.g.deps.Node.Node {
		return x.g.inward.do(ctx, c, req), nil
	}
	resp, err := x.g.peers.of(c.class).RoundTrip(req)
	if err == nil && e.Distance == route.OtherRegion {
		x.meterSpill(req, resp)
	}
	return resp, err
}

// meterSpill counts a call's bytes against the budget of the link between regions.
func (x *exchange) meterSpill(req *http.Request, resp *http.Response) {
	// An answer of known length is settled at once; the bytes of a stream are spent as they come.
	known := int(max(req.ContentLength, 0)+max(resp.ContentLength, 0)) + spillOverhead
	x.table.Spill().Settle(known)
	x.g.meters.regionBytes.Add(known)
	if resp.ContentLength >= 0 {
		return
	}
	resp.Body = &meteredBody{resp.Body, func(n int) {
		x.table.Spill().Spend(n)
		x.g.meters.regionBytes.Add(n)
	}}
}

const spillOverhead = 1000 // bytes of both headers

// meteredBody reports the bytes read from an answer.
type meteredBody struct {
	io.ReadCloser
	spend func(int)
}

// Read reads from the answer.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.spend(n)
	return n, err
}

// repeatable brings a call to a target that may be tried again or hedged.
func (x *exchange) repeatable() answer {
	r := &race{x: x, results: make(chan trial, x.policy.Retries+maxElsewhere+2)}
	if refusal := r.launch(x.call.repeat); refusal != nil {
		return refusalAnswer(*refusal)
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
		case t := <-r.results:
			if a, done := r.take(t); done {
				return a
			}
		case <-hedge:
			hedge = nil
			r.hedge()
		case <-deadline.C:
			r.abandon()
			return refusalAnswer(Refusal{http.StatusGatewayTimeout, CauseTimeout, RanUnknown, "no target answered in time", 0})
		case <-x.ctx.Done():
			r.abandon()
			return refusalAnswer(Refusal{http.StatusGatewayTimeout, CauseTimeout, RanUnknown, "the caller has gone", 0})
		}
	}
}

// hedgeDelay returns when a second attempt may start, if the call may have one.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	if !x.policy.Hedge || x.call.repeat || x.call.class == config.ClassLong || x.body.stream != nil {
		return 0, false
	}
	if delay, ok := x.g.quantile(x.call.service).HedgeDelay(); ok {
		return delay, true
	}
	// Too little is known of the service; a call that has used up a good part of its time is worth a second attempt.
	return x.call.deadline.Sub(x.g.deps.Now()) / unknownHedgeShare, true
}

const unknownHedgeShare = 4 // of a call's time, before the first hedge of a service not known yet

const maxElsewhere = 2 // further targets tried after refusals

// race is the set of attempts of one call; the first good answer wins.
type race struct {
	x         *exchange
	results   chan trial
	tried     []fleet.NodeID
	cancels   []context.CancelFunc
	pending   int
	attempts  int
	elsewhere int
	retries   int
	// mayHaveRun says that an attempt broke whose work may have been done.
	mayHaveRun bool
}

// launch starts another attempt, or returns why it can't.
func (r *race) launch(repeat bool) *Refusal {
	x := r.x
	body, ok := x.body.open()
	if !ok {
		refusal := Refusal{http.StatusBadGateway, CauseBroken, RanUnknown, "the request's body can't be sent again", 0}
		return &refusal
	}
	lease, err := x.pick(r.tried, true)
	if err != nil {
		refusal := notRun(http.StatusServiceUnavailable, CauseNoTarget, err.Error()+"; the call has not run")
		return &refusal
	}
	r.tried = append(r.tried, lease.Endpoint.Node)
	r.pending++
	r.attempts++
	c := x.call
	c.repeat = repeat
	c.attempt = x.newAttemptID()
	ctx, cancel := context.WithCancel(x.ctx)
	r.cancels = append(r.cancels, cancel)
	first := r.attempts == 1
	go func() {
		resp, err := x.send(ctx, lease.Endpoint, c, body)
		r.results <- trial{resp: resp, err: err, lease: lease, cancel: cancel, at: x.g.deps.Now(), first: first}
	}()
	return nil
}

func (r *race) hedge() {
	if r.pending == 0 || !r.x.g.budget.Repeat() {
		return
	}
	if r.launch(true) == nil {
		r.x.g.meters.hedges.Inc()
	}
}

// take judges one attempt's outcome and reports whether the call is over.
func (r *race) take(t trial) (answer, bool) {
	r.pending--
	x := r.x
	switch {
	case t.err != nil && isDialError(t.err):
		x.end(t, route.Failed)
		return r.again(x.g.budget.Elsewhere, maxElsewhere, &r.elsewhere, x.call.repeat,
			notRun(http.StatusServiceUnavailable, CauseNoTarget, "the target's node can't be reached; the call has not run").response())
	case t.err != nil:
		r.mayHaveRun = true
		x.end(t, route.Failed)
		return r.again(x.mayRepeat, x.policy.Retries, &r.retries, true,
			Refusal{http.StatusBadGateway, CauseBroken, RanUnknown, "the connection to the target's node broke", 0}.response())
	case refused(t.resp) && t.resp.Header.Get(HeaderRan) == string(RanNo):
		x.end(t, route.Refused)
		x.g.meters.elsewhere.Inc()
		return r.again(x.g.budget.Elsewhere, maxElsewhere, &r.elsewhere, x.call.repeat, t.resp)
	case refused(t.resp), t.resp.StatusCode == http.StatusServiceUnavailable:
		r.mayHaveRun = true
		// A target that sheds load answers fast; counting that as a failure keeps it from drawing more calls.
		x.end(t, route.Failed)
		return r.again(x.mayRepeat, x.policy.Retries, &r.retries, true, t.resp)
	}
	return r.win(t), true
}

func (x *exchange) mayRepeat() bool {
	if x.call.repeat || !x.g.budget.Repeat() {
		return false
	}
	x.g.meters.repeats.Inc()
	return true
}

// again starts a further attempt within its budget; otherwise the last outcome is the answer.
func (r *race) again(allowed func() bool, most int, used *int, repeat bool, last *http.Response) (answer, bool) {
	if r.pending > 0 {
		return answer{}, false
	}
	if *used < most && r.x.g.deps.Now().Before(r.x.call.deadline) && allowed() {
		*used++
		if r.launch(repeat) == nil {
			_ = last.Body.Close()
			return answer{}, false
		}
	}
	if r.mayHaveRun && last.Header.Get(HeaderRan) == string(RanNo) {
		last = Refusal{http.StatusBadGateway, CauseBroken, RanUnknown,
			"an attempt broke and the next was refused; whether the call ran is unknown", 0}.response()
	}
	return answer{resp: last, end: func() {}, attempts: r.attempts}, true
}

// win makes a trial the answer and gives up the others.
func (r *race) win(t trial) answer {
	x := r.x
	if !t.first {
		x.g.meters.hedgeWins.Inc()
	}
	if x.call.class != config.ClassLong {
		x.g.quantile(x.call.service).Observe(t.at.Sub(t.lease.Started()))
	}
	r.cancelOthers(t.lease.Endpoint.Node)
	return answer{resp: t.resp, attempts: r.attempts, end: func() {
		x.end(t, route.Answered)
		t.cancel()
	}}
}

// end reports an attempt's outcome to the balancer.
func (x *exchange) end(t trial, outcome route.Outcome) {
	queue := -1
	if t.resp != nil && t.resp.Header.Get(headerQueue) != "" {
		queue = readInt(t.resp.Header, headerQueue)
	}
	t.lease.End(x.table, x.call.service, outcome, queue, t.at)
}

func (r *race) abandon() { r.cancelOthers("") }

// cancelOthers gives up the attempts that still run, apart from the one at a node, and collects them in the background.
func (r *race) cancelOthers(winner fleet.NodeID) {
	for i, cancel := range r.cancels {
		if r.tried[i] != winner {
			cancel()
		}
	}
	if r.pending == 0 {
		return
	}
	go func(n int) {
		for range n {
			t := <-r.results
			if t.resp != nil {
				_ = t.resp.Body.Close()
			}
			r.x.end(t, route.Cancelled)
		}
	}(r.pending)
}
