package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/admission"
	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/ledger"
)

const maxBuffered = 256 << 10 // bytes of an answer read ahead so that a slow caller holds no slot

// inward brings calls to the targets on this VM.
type inward struct {
	deps   Deps
	meters *meters
	closed atomic.Bool

	mu     sync.Mutex
	gates  map[config.ServiceName]*gate
	ledger *ledger.Ledger // guarded by ledgerMu
	// ledgerMu is apart from mu so that orders never wait for other calls.
	ledgerMu sync.Mutex
}

// gate is the way in to one target.
type gate struct {
	mu     sync.Mutex // guards queue
	queue  *admission.Queue
	target atomic.Pointer[LocalTarget]
	// short and long keep their connections apart; once opens a new one for each call, which is never sent twice.
	short, long, once *http.Transport
}

func newInward(deps Deps, m *meters, l *ledger.Ledger) *inward {
	return &inward{deps: deps, meters: m, gates: map[config.ServiceName]*gate{}, ledger: l}
}

// gate returns the way to the target of a service on this VM, or nil.
func (in *inward) gate(s config.ServiceName) *gate {
	t, ok := in.deps.Targets.Target(s)
	in.mu.Lock()
	defer in.mu.Unlock()
	if !ok {
		return nil
	}
	g := in.gates[s]
	if g == nil || g.target.Load().Address != t.Address || g.target.Load().Connections != t.Connections {
		g = newGate(t)
		in.gates[s] = g
		return g
	}
	if *g.target.Load() != t {
		g.update(t)
	}
	return g
}

// update takes what the target has announced anew.
func (g *gate) update(t LocalTarget) {
	g.target.Store(&t)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetSlots(t.Slots)
}

func newGate(t LocalTarget) *gate {
	once := newTransport(0)
	once.DisableKeepAlives = true
	longConnections := t.Connections / 2
	g := &gate{queue: admission.NewQueue(t.Slots), once: once,
		short: newTransport(t.Connections - longConnections), long: newTransport(longConnections)}
	g.target.Store(&t)
	return g
}

// slot is a held slot of a target.
type slot struct {
	gate   *gate
	in     *inward
	class  config.Class
	since  time.Time
	waited time.Duration
	once   sync.Once
	held   time.Duration
}

func (s *slot) release() {
	s.once.Do(func() {
		now := s.in.deps.Now()
		s.held = now.Sub(s.since)
		s.gate.mu.Lock()
		s.gate.queue.Done(now, s.class, s.held)
		s.gate.mu.Unlock()
	})
}

// admit waits for a slot; a refusal means that the call has not run.
func (in *inward) admit(ctx context.Context, g *gate, c call) (*slot, *Refusal) {
	decided := make(chan admission.Decision, 1)
	now := in.deps.Now()
	t := &admission.Ticket{
		Request: admission.Request{Tenant: c.tenant, Weight: c.weight, Class: c.class, Deadline: c.deadline,
			MaxWait: c.maxWait, LongShare: c.longShare},
		Decided: func(d admission.Decision) { decided <- d },
	}
	g.mu.Lock()
	d := g.queue.Offer(now, t)
	g.mu.Unlock()
	if _, queued := d.(admission.Queued); queued {
		d = in.await(ctx, g, t, decided, min(c.maxWait, c.deadline.Sub(now)))
	}
	switch d := d.(type) {
	case admission.Admitted:
		return &slot{gate: g, in: in, class: c.class, since: in.deps.Now(), waited: d.Waited}, nil
	case admission.Refused:
		r := notRun(http.StatusServiceUnavailable, Cause(d.Cause), "the target could not take the call in time; it has not run")
		r.RetryAfter = d.RetryAfter
		return nil, &r
	}
	panic("admission left a call undecided")
}

func (in *inward) await(ctx context.Context, g *gate, t *admission.Ticket, decided <-chan admission.Decision,
	most time.Duration) admission.Decision {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	cancelled := g.queue.Cancel(t)
	g.mu.Unlock()
	if cancelled {
		return admission.Refused{Cause: admission.Expired}
	}
	return <-decided
}

func (g *gate) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting()
}

// do brings a call that may be repeated to its target and returns the answer or a refusal.
func (in *inward) do(ctx context.Context, c call, req *http.Request) *http.Response {
	g := in.gate(c.service)
	if refusal := in.turnAway(g); refusal != nil {
		return refusal.response()
	}
	s, refusal := in.admit(ctx, g, c)
	if refusal != nil {
		return in.tell(g, nil, refusal.response())
	}
	transport := g.short
	if c.class == config.ClassLong {
		transport = g.long
	}
	// The deadline holds until the answer begins; from then on the answer's own progress counts.
	attempt, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.deadline.Sub(in.deps.Now()), cancel)
	resp, err := transport.RoundTrip(in.outgoing(attempt, g, c, req))
	timer.Stop()
	if err != nil {
		cancel()
		s.release()
		return in.tell(g, s, in.failure(ctx, c, err).response())
	}
	resp.Body = &slotBody{ReadCloser: resp.Body, slot: s, cancel: cancel}
	removeOwnHeaders(resp.Header, HeaderAttempt)
	if g.target.Load().Echo && resp.Header.Get(HeaderAttempt) != string(c.attempt) {
		in.meters.crossed.Inc()
		_ = resp.Body.Close()
		return in.tell(g, s, Refusal{http.StatusBadGateway, CauseCrossed, RanUnknown,
			"the target answered another call; its answer was discarded", 0}.response())
	}
	if req.Method != http.MethodHead && resp.ContentLength >= 0 && resp.ContentLength <= maxBuffered {
		if err := readAhead(resp); err != nil {
			return in.tell(g, s, Refusal{http.StatusBadGateway, CauseBroken, RanUnknown,
				"the target's answer broke off", 0}.response())
		}
	}
	return in.tell(g, s, resp)
}

// turnAway refuses calls that can't have a place here at all.
func (in *inward) turnAway(g *gate) *Refusal {
	switch {
	case in.closed.Load() || (g != nil && g.target.Load().Draining):
		r := notRun(http.StatusServiceUnavailable, CauseDraining, "the target is leaving; the call has not run")
		return &r
	case g == nil:
		r := notRun(http.StatusServiceUnavailable, CauseNoTarget, "no target of the service is here; the call has not run")
		return &r
	}
	return nil
}

func (in *inward) failure(ctx context.Context, c call, err error) Refusal {
	if isDialError(err) {
		return notRun(http.StatusServiceUnavailable, CauseNoTarget, "the target takes no connections; the call has not run")
	}
	if ctx.Err() != nil || in.deps.Now().After(c.deadline) {
		return Refusal{http.StatusGatewayTimeout, CauseTimeout, RanUnknown, "the target did not answer in time", 0}
	}
	return Refusal{http.StatusBadGateway, CauseBroken, RanUnknown, "the connection to the target broke", 0}
}

// tell adds what the calling node wants to know about the target.
func (in *inward) tell(g *gate, s *slot, resp *http.Response) *http.Response {
	resp.Header.Set(headerQueue, strconv.Itoa(g.waiting()))
	if s != nil {
		held := s.held
		if held == 0 {
			held = in.deps.Now().Sub(s.since)
		}
		resp.Header.Set(headerSpent, strconv.FormatInt(s.waited.Microseconds(), 10)+" "+
			strconv.FormatInt(held.Microseconds(), 10))
	}
	return resp
}

func (in *inward) outgoing(ctx context.Context, g *gate, c call, req *http.Request) *http.Request {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = string(g.target.Load().Address)
	out.RequestURI = ""
	out.Close = false
	removeHopHeaders(out.Header)
	removeOwnHeaders(out.Header, HeaderTenant, HeaderDepth, HeaderAttempt, HeaderRepeat)
	out.Header.Set(HeaderTimeout, millis(c.deadline.Sub(in.deps.Now())))
	return out
}

// readAhead takes a short answer whole, which returns its slot.
func readAhead(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, buf); err != nil {
		return err
	}
	// Reading on to the end delivers the trailers.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(buf))
	return nil
}

// slotBody returns its slot when the answer has been read or given up.
type slotBody struct {
	io.ReadCloser
	slot   *slot
	cancel context.CancelFunc
}

// Read reads from the answer and returns the slot at its end.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.slot.release()
	}
	return n, err
}

// Close gives the answer up and returns the slot.
func (b *slotBody) Close() error {
	b.slot.release()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
