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

const maxBufferedResponse = 256 << 10 // bytes of a response that is buffered, to keep a slow caller from occupying a slot

// inbound runs calls at the targets on this VM.
type inbound struct {
	deps   Deps
	meters *meters
	closed atomic.Bool

	mu      sync.Mutex
	clients map[config.ServiceName]*targetClient
	ledger  *ledger.Ledger // guarded by ledgerMu
	// ledgerMu is separate from mu to keep at-most-once calls from waiting for other calls.
	ledgerMu sync.Mutex
}

// targetClient is the admission queue and the HTTP transports of one target.
type targetClient struct {
	mu     sync.Mutex // guards queue
	queue  *admission.Queue
	target atomic.Pointer[LocalTarget]
	// short and long are separate connection pools; unpooled opens a connection for each call, since the HTTP client may
	// resend a request on a pooled one.
	short, long, unpooled *http.Transport
}

func newInbound(deps Deps, m *meters, l *ledger.Ledger) *inbound {
	return &inbound{deps: deps, meters: m, clients: map[config.ServiceName]*targetClient{}, ledger: l}
}

// client returns the client for the target of a service on this VM, or nil if there is none.
func (in *inbound) client(s config.ServiceName) *targetClient {
	t, ok := in.deps.Targets.Target(s)
	in.mu.Lock()
	defer in.mu.Unlock()
	if !ok {
		return nil
	}
	tc := in.clients[s]
	if tc == nil || tc.target.Load().Address != t.Address || tc.target.Load().MaxConnections != t.MaxConnections {
		tc = newTargetClient(t)
		in.clients[s] = tc
		return tc
	}
	if *tc.target.Load() != t {
		tc.setTarget(t)
	}
	return tc
}

// setTarget applies a changed registration of the target.
func (tc *targetClient) setTarget(t LocalTarget) {
	tc.target.Store(&t)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.queue.SetSlots(t.Slots)
}

func newTargetClient(t LocalTarget) *targetClient {
	unpooled := newTransport(0)
	unpooled.DisableKeepAlives = true
	longConnections := t.MaxConnections / 2
	tc := &targetClient{queue: admission.NewQueue(t.Slots), unpooled: unpooled,
		short: newTransport(t.MaxConnections - longConnections), long: newTransport(longConnections)}
	tc.target.Store(&t)
	return tc
}

// slot is an occupied concurrency slot of a target.
type slot struct {
	client      *targetClient
	in          *inbound
	class       config.Class
	admittedAt  time.Time
	waited      time.Duration
	once        sync.Once
	serviceTime time.Duration
}

func (s *slot) release() {
	s.once.Do(func() {
		now := s.in.deps.Now()
		s.serviceTime = now.Sub(s.admittedAt)
		s.client.mu.Lock()
		s.client.queue.Release(now, s.class, s.serviceTime)
		s.client.mu.Unlock()
	})
}

// admit waits in the target's queue for a slot; if it returns a refusal, the call was not executed.
func (in *inbound) admit(ctx context.Context, tc *targetClient, c call) (*slot, *Refusal) {
	decided := make(chan admission.Decision, 1)
	now := in.deps.Now()
	t := &admission.Ticket{
		Request: admission.Request{Tenant: c.tenant, Weight: c.weight, Class: c.class, Deadline: c.deadline,
			MaxWait: c.maxWait, LongShare: c.longShare},
		OnDecision: func(d admission.Decision) { decided <- d },
	}
	tc.mu.Lock()
	d := tc.queue.Offer(now, t)
	tc.mu.Unlock()
	if _, queued := d.(admission.Queued); queued {
		d = in.awaitDecision(ctx, tc, t, decided, min(c.maxWait, c.deadline.Sub(now)))
	}
	switch d := d.(type) {
	case admission.Admitted:
		return &slot{client: tc, in: in, class: c.class, admittedAt: in.deps.Now(), waited: d.Waited}, nil
	case admission.Rejected:
		r := notExecuted(http.StatusServiceUnavailable, Cause(d.Cause), "not admitted by the target's queue; call not executed")
		r.RetryAfter = d.RetryAfter
		return nil, &r
	}
	panic("admission queue returned an unexpected decision")
}

func (in *inbound) awaitDecision(ctx context.Context, tc *targetClient, t *admission.Ticket, decided <-chan admission.Decision,
	limit time.Duration) admission.Decision {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	tc.mu.Lock()
	cancelled := tc.queue.Cancel(t)
	tc.mu.Unlock()
	if cancelled {
		return admission.Rejected{Cause: admission.Expired}
	}
	return <-decided
}

func (tc *targetClient) queueLength() int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.queue.Waiting()
}

// doIdempotent runs an idempotent call at its target and returns the response or a refusal.
func (in *inbound) doIdempotent(ctx context.Context, c call, req *http.Request) *http.Response {
	tc := in.client(c.service)
	if refusal := in.refuseUnavailable(tc); refusal != nil {
		return refusal.response()
	}
	s, refusal := in.admit(ctx, tc, c)
	if refusal != nil {
		return in.addLoadHeaders(tc, nil, refusal.response())
	}
	transport := tc.short
	if c.class == config.ClassLong {
		transport = tc.long
	}
	// The deadline applies until the response headers arrive; after that, only the lack of progress aborts the response.
	attempt, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.deadline.Sub(in.deps.Now()), cancel)
	resp, err := transport.RoundTrip(in.targetRequest(attempt, tc, c, req))
	timer.Stop()
	if err != nil {
		cancel()
		s.release()
		return in.addLoadHeaders(tc, s, in.transportRefusal(ctx, c, err).response())
	}
	resp.Body = &slotBody{ReadCloser: resp.Body, slot: s, cancel: cancel}
	removeSystemHeaders(resp.Header, HeaderAttempt)
	if tc.target.Load().EchoesAttemptID && resp.Header.Get(HeaderAttempt) != string(c.attempt) {
		in.meters.mismatched.Inc()
		_ = resp.Body.Close()
		return in.addLoadHeaders(tc, s, Refusal{http.StatusBadGateway, CauseMismatchedResponse, ExecutedUnknown,
			"response discarded: its attempt ID is not that of this call", 0}.response())
	}
	if req.Method != http.MethodHead && resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedResponse {
		if err := bufferShortResponse(resp); err != nil {
			return in.addLoadHeaders(tc, s, Refusal{http.StatusBadGateway, CauseTargetBroken, ExecutedUnknown,
				"response of the target incomplete", 0}.response())
		}
	}
	return in.addLoadHeaders(tc, s, resp)
}

// refuseUnavailable returns a refusal if there is no target of the service here, or if it or the node is shutting down.
func (in *inbound) refuseUnavailable(tc *targetClient) *Refusal {
	switch {
	case in.closed.Load() || (tc != nil && tc.target.Load().Draining):
		r := notExecuted(http.StatusServiceUnavailable, CauseDraining, "target or its node shutting down; call not executed")
		return &r
	case tc == nil:
		r := notExecuted(http.StatusServiceUnavailable, CauseNoTarget, "no target of the service on this VM; call not executed")
		return &r
	}
	return nil
}

func (in *inbound) transportRefusal(ctx context.Context, c call, err error) Refusal {
	if isDialError(err) {
		return notExecuted(http.StatusServiceUnavailable, CauseNoTarget, "connecting to the target failed; call not executed")
	}
	if ctx.Err() != nil || in.deps.Now().After(c.deadline) {
		return Refusal{http.StatusGatewayTimeout, CauseTimeout, ExecutedUnknown, "target did not respond before the call's deadline", 0}
	}
	return Refusal{http.StatusBadGateway, CauseTargetBroken, ExecutedUnknown, "connection to the target failed before the response", 0}
}

// addLoadHeaders adds the target's queue length and the call's timings for the calling node.
func (in *inbound) addLoadHeaders(tc *targetClient, s *slot, resp *http.Response) *http.Response {
	resp.Header.Set(headerQueueLength, strconv.Itoa(tc.queueLength()))
	if s != nil {
		serviceTime := s.serviceTime
		if serviceTime == 0 {
			serviceTime = in.deps.Now().Sub(s.admittedAt)
		}
		resp.Header.Set(headerTimings, strconv.FormatInt(s.waited.Microseconds(), 10)+" "+
			strconv.FormatInt(serviceTime.Microseconds(), 10))
	}
	return resp
}

func (in *inbound) targetRequest(ctx context.Context, tc *targetClient, c call, req *http.Request) *http.Request {
	out := req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = string(tc.target.Load().Address)
	out.RequestURI = ""
	out.Close = false
	removeHopHeaders(out.Header)
	removeSystemHeaders(out.Header, HeaderTenant, HeaderDepth, HeaderAttempt, HeaderRetry)
	out.Header.Set(HeaderTimeout, formatMillis(c.deadline.Sub(in.deps.Now())))
	return out
}

// bufferShortResponse reads a short response into memory, which releases its slot.
func bufferShortResponse(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	buf := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, buf); err != nil {
		return err
	}
	// The trailers are available only after the body has been read to its end.
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	_ = resp.Body.Close()
	resp.Body = io.NopCloser(bytes.NewReader(buf))
	return nil
}

// slotBody is a response body that releases its slot at the end of the body or when it is closed.
type slotBody struct {
	io.ReadCloser
	slot   *slot
	cancel context.CancelFunc
}

// Read reads from the body and releases the slot at its end.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.slot.release()
	}
	return n, err
}

// Close releases the slot and aborts the rest of the response.
func (b *slotBody) Close() error {
	b.slot.release()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
