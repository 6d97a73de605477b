package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/route"
)

const (
	maxDepth           = 32       // nested calls; a deeper call path is assumed to be a loop
	maxBufferedRequest = 64 << 10 // bytes; a larger request body is streamed and can't be retried once it has been read from
	defaultTenant      = "default"
	bodyTimeout        = 30 * time.Second       // for a buffered body
	bodyStallTimeout   = 10 * time.Second       // without a byte of it
	memoryRetry        = 300 * time.Millisecond // in which memory of requests is normally released
)

// exchange is the state of one caller's request.
type exchange struct {
	g      *Gateway
	table  *route.Table
	route  *config.Route
	policy config.Policy
	call   call
	req    *http.Request
	body   *requestBody
	ctx    context.Context
}

// serveIngress handles a caller's request.
func (g *Gateway) serveIngress(w http.ResponseWriter, r *http.Request) {
	started := g.deps.Now()
	if !g.beginCall() {
		g.writeRefusal(w, notExecuted(http.StatusServiceUnavailable, CauseDraining, "node shutting down; call not executed"))
		return
	}
	defer g.inflight.Done()
	if listener.FromContext(r.Context()).Pressed() {
		g.writeRefusal(w, memoryFull())
		return
	}
	x, refusal := g.newExchange(r, started)
	if refusal != nil {
		g.writeRefusal(w, *refusal)
		return
	}
	w = listener.FromContext(r.Context()).Writer(w)
	enableFullDuplex(w, r)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x.ctx = ctx
	var a callResult
	key := r.Header.Get(HeaderIdempotencyKey)
	switch {
	case x.atMostOnce() && key != "":
		a = x.runWithKey(key)
	case x.atMostOnce():
		a = x.runAtMostOnce()
	default:
		a = x.runIdempotent()
	}
	defer a.cleanup()
	g.respond(w, x, a, started, cancel)
}

// respond writes the response to the caller and records the call's metrics.
func (g *Gateway) respond(w http.ResponseWriter, x *exchange, a callResult, started time.Time, cancel context.CancelFunc) {
	waited, serviceTime := parseTimings(a.resp.Header)
	refusal := isRefusal(a.resp)
	if refusal {
		g.meters.countRefusal(Cause(a.resp.Header.Get(HeaderCause)))
	}
	removeSystemHeaders(a.resp.Header, HeaderCause, HeaderExecuted)
	copyHeader(w, a.resp)
	w.WriteHeader(a.resp.StatusCode)
	complete := copyResponse(w, a.resp, cancel)
	total := g.deps.Now().Sub(started)
	m := g.meters.forCall(x.call.tenant, x.call.class)
	m.total.Update(total.Seconds())
	if !refusal {
		m.wait.Update(waited.Seconds())
		m.service.Update(serviceTime.Seconds())
		if a.attempts == 1 {
			m.added.Update(max(total-waited-serviceTime, 0).Seconds())
		}
		g.classifier.Observe(x.route.Name, max(total, serviceTime))
	}
	if !complete {
		g.meters.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
}

func parseTimings(h http.Header) (waited, serviceTime time.Duration) {
	a, b, _ := strings.Cut(h.Get(headerTimings), " ")
	w, _ := strconv.ParseInt(a, 10, 64)
	s, _ := strconv.ParseInt(b, 10, 64)
	return time.Duration(w) * time.Microsecond, time.Duration(s) * time.Microsecond
}

// newExchange matches a request to its route and policy, or returns a refusal.
func (g *Gateway) newExchange(r *http.Request, now time.Time) (*exchange, *Refusal) {
	fail := func(status int, c Cause, message string) (*exchange, *Refusal) {
		refusal := notExecuted(status, c, message)
		return nil, &refusal
	}
	t := g.table.Load()
	if t.Config == nil {
		return fail(http.StatusServiceUnavailable, CauseNotReady, "no configuration in force on this node yet")
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	rt := t.Config.Match(host, r.URL.Path)
	if rt == nil {
		return fail(http.StatusNotFound, CauseNoRoute, "no route matches this host and path "+r.URL.Path)
	}
	depth := headerInt(r.Header, HeaderDepth)
	if depth >= maxDepth {
		return fail(http.StatusLoopDetected, CauseTooDeep, "call nested "+strconv.Itoa(depth)+" levels deep, possibly in a loop; call not executed")
	}
	tenant := config.Tenant(r.Header.Get(HeaderTenant))
	if tenant == "" {
		tenant = defaultTenant
	}
	p, _ := rt.Policy(tenant, now)
	timeout := p.Timeout
	if r.Header.Get(HeaderTimeout) != "" {
		timeout = min(timeout, headerMillis(r.Header, HeaderTimeout))
	}
	x := &exchange{g: g, table: t, route: rt, policy: p, req: r}
	x.call = call{service: rt.Service, tenant: tenant, class: g.classifier.Class(rt.Name, p.Class), depth: depth + 1,
		retry: r.Header.Get(HeaderRetry) != "", deadline: now.Add(timeout), maxWait: p.MaxWait, weight: p.Weight,
		longShare: p.LongShare}
	g.retryBudget.Deposit(depth)
	body, refusal := newRequestBody(r)
	if refusal != nil {
		return nil, refusal
	}
	x.body = body
	return x, nil
}

// atMostOnce reports whether the call must not run twice.
func (x *exchange) atMostOnce() bool {
	switch x.policy.Semantics {
	case config.AtMostOnce:
		return true
	case config.Idempotent:
		return false
	}
	switch x.req.Method {
	case http.MethodPost, http.MethodPatch, http.MethodConnect:
		return true
	}
	return false
}

// requestBody is a request's body: buffered if it is short, otherwise a stream that can be sent only once.
type requestBody struct {
	buffered []byte
	stream   io.ReadCloser
	length   int64
	consumed bool
}

// newRequestBody buffers a short body, to keep a slow caller from occupying a slot of the target.
func newRequestBody(r *http.Request) (*requestBody, *Refusal) {
	b := &requestBody{length: r.ContentLength}
	if r.ContentLength < 0 || r.ContentLength > maxBufferedRequest {
		b.stream = &arrivingBody{r.Body, listener.FromContext(r.Context()).Arriving()}
		return b, nil
	}
	buffered, err := listener.ReadBody(r, listener.BodyLimits{Bytes: maxBufferedRequest, Total: bodyTimeout, Stall: bodyStallTimeout})
	if err != nil {
		refusal := refuseBody(err)
		return nil, &refusal
	}
	b.buffered = buffered
	return b, nil
}

// refuseBody returns the refusal of a call whose body was not received.
func refuseBody(err error) Refusal {
	switch {
	case errors.Is(err, listener.ErrNoMemory):
		return memoryFull()
	case errors.Is(err, listener.ErrLate):
		return notExecuted(http.StatusRequestTimeout, CauseBodyLate, "request body not received in time; call not executed")
	}
	return notExecuted(http.StatusBadRequest, CauseBadRequest, "request body incomplete; call not executed")
}

func memoryFull() Refusal {
	r := notExecuted(http.StatusServiceUnavailable, CauseMemoryFull, "no memory on this node; call not executed")
	r.RetryAfter = memoryRetry
	return r
}

// arrivingBody is a streamed body that reports its end to the connection, which gives way to no other from then on.
type arrivingBody struct {
	io.ReadCloser
	arrived func() bool
}

// Read reads from the body.
func (b *arrivingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.arrived() {
		return n, listener.ErrNoMemory
	}
	return n, err
}

// open returns the body for an attempt, or false for a stream that has been read from.
func (b *requestBody) open() (io.ReadCloser, bool) {
	switch {
	case b.stream != nil && b.consumed:
		return nil, false
	case b.stream != nil:
		return &streamBody{b}, true
	case b.buffered == nil:
		return http.NoBody, true
	}
	return io.NopCloser(bytes.NewReader(b.buffered)), true
}

// streamBody is a streamed body that records whether it has been read from.
type streamBody struct{ b *requestBody }

// Read reads from the stream and marks it as consumed.
func (s *streamBody) Read(p []byte) (int, error) {
	s.b.consumed = true
	return s.b.stream.Read(p)
}

// Close leaves the stream open, to let another attempt send it if nothing has been read; the server closes it.
func (s *streamBody) Close() error { return nil }

// isDialError reports whether connecting failed, in which case nothing was sent.
func isDialError(err error) bool {
	if err == nil {
		return false
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
