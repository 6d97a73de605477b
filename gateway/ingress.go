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
	"github.com/cassialead/cassialead/route"
)

const (
	maxDepth      = 32       // calls above one another; a path that is deeper is a loop
	maxReplayable = 64 << 10 // bytes of a request kept so that it can be sent again
	defaultTenant = "default"
)

// exchange is one caller's request on its way.
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

// serveIngress takes a call from a caller.
func (g *Gateway) serveIngress(w http.ResponseWriter, r *http.Request) {
	started := g.deps.Now()
	if !g.enter() {
		g.writeRefusal(w, notRun(http.StatusServiceUnavailable, CauseDraining, "the node is leaving; the call has not run"))
		return
	}
	defer g.inflight.Done()
	x, refusal := g.newExchange(r, started)
	if refusal != nil {
		g.writeRefusal(w, *refusal)
		return
	}
	allowBothWays(w, r)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	x.ctx = ctx
	var a answer
	key := r.Header.Get(HeaderKey)
	switch {
	case x.atMostOnce() && key != "":
		a = x.keyed(key)
	case x.atMostOnce():
		a = x.once()
	default:
		a = x.repeatable()
	}
	defer a.end()
	g.finish(w, x, a, started, cancel)
}

// finish sends the answer and records the call.
func (g *Gateway) finish(w http.ResponseWriter, x *exchange, a answer, started time.Time, giveUp context.CancelFunc) {
	waited, held := readSpent(a.resp.Header)
	own := refused(a.resp)
	if own {
		g.meters.refusal(Cause(a.resp.Header.Get(HeaderCause)))
	}
	removeOwnHeaders(a.resp.Header, HeaderCause, HeaderRan)
	copyHeader(w, a.resp)
	w.WriteHeader(a.resp.StatusCode)
	whole := copyAnswer(w, a.resp, giveUp)
	total := g.deps.Now().Sub(started)
	m := g.meters.of(x.call.tenant, x.call.class)
	m.total.Update(total.Seconds())
	if !own {
		m.wait.Update(waited.Seconds())
		m.service.Update(held.Seconds())
		if a.attempts == 1 {
			m.added.Update(max(total-waited-held, 0).Seconds())
		}
		g.classes.Observe(x.route.Name, max(total, held))
	}
	if !whole {
		g.meters.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
}

func readSpent(h http.Header) (waited, held time.Duration) {
	a, b, _ := strings.Cut(h.Get(headerSpent), " ")
	w, _ := strconv.ParseInt(a, 10, 64)
	s, _ := strconv.ParseInt(b, 10, 64)
	return time.Duration(w) * time.Microsecond, time.Duration(s) * time.Microsecond
}

// newExchange finds the call's route and policy.
func (g *Gateway) newExchange(r *http.Request, now time.Time) (*exchange, *Refusal) {
	fail := func(status int, c Cause, message string) (*exchange, *Refusal) {
		refusal := notRun(status, c, message)
		return nil, &refusal
	}
	t := g.table.Load()
	if t.Config == nil {
		return fail(http.StatusServiceUnavailable, CauseNotReady, "no configuration is in force on this node yet")
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	rt := t.Config.Match(host, r.URL.Path)
	if rt == nil {
		return fail(http.StatusNotFound, CauseNoRoute, "no route covers "+r.URL.Path)
	}
	depth := readInt(r.Header, HeaderDepth)
	if depth >= maxDepth {
		return fail(http.StatusLoopDetected, CauseTooDeep, "the call is "+strconv.Itoa(depth)+" calls deep")
	}
	tenant := config.Tenant(r.Header.Get(HeaderTenant))
	if tenant == "" {
		tenant = defaultTenant
	}
	p, _ := rt.Policy(tenant, now)
	timeout := p.Timeout
	if r.Header.Get(HeaderTimeout) != "" {
		timeout = min(timeout, readMillis(r.Header, HeaderTimeout))
	}
	x := &exchange{g: g, table: t, route: rt, policy: p, req: r}
	x.call = call{service: rt.Service, tenant: tenant, class: g.classes.Class(rt.Name, p.Class), depth: depth + 1,
		repeat: r.Header.Get(HeaderRepeat) != "", deadline: now.Add(timeout), maxWait: p.MaxWait, weight: p.Weight,
		longShare: p.LongShare}
	g.budget.Earn(depth)
	body, err := newRequestBody(r)
	if err != nil {
		return fail(http.StatusBadRequest, CauseBadRequest, "the request's body broke off")
	}
	x.body = body
	return x, nil
}

// atMostOnce reports whether the call must not be repeated.
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

// requestBody is a request's body: whole in memory when it is short, or a stream that can be sent once.
type requestBody struct {
	whole  []byte
	stream io.ReadCloser
	length int64
	used   bool
}

// newRequestBody reads a short body whole, so that a slow caller holds no slot.
func newRequestBody(r *http.Request) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength}
	if r.ContentLength < 0 || r.ContentLength > maxReplayable {
		b.stream = r.Body
		return b, nil
	}
	if r.ContentLength == 0 {
		return b, nil
	}
	b.whole = make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, b.whole)
	return b, err
}

// open returns the body for an attempt, or false when a stream has been sent before.
func (b *requestBody) open() (io.ReadCloser, bool) {
	switch {
	case b.stream != nil && b.used:
		return nil, false
	case b.stream != nil:
		return &usedBody{b}, true
	case b.whole == nil:
		return http.NoBody, true
	}
	return io.NopCloser(bytes.NewReader(b.whole)), true
}

// usedBody notes that a stream has been read from.
type usedBody struct{ b *requestBody }

// Read reads from the stream and marks it as used.
func (u *usedBody) Read(p []byte) (int, error) {
	u.b.used = true
	return u.b.stream.Read(p)
}

// Close leaves the stream to the server, so that another attempt can send what was not read.
func (u *usedBody) Close() error { return nil }

// isDialError reports whether an attempt failed before anything was sent.
func isDialError(err error) bool {
	if err == nil {
		return false
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
