package agent

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/platform"
)

const (
	maxMessage       = 16 << 10               // bytes of a heartbeat or a deregistration
	departureTimeout = 500 * time.Millisecond // for the store to accept a departure; a target waits a second for the response
	copyBufferSize   = 32 << 10
	minRetryAfter    = 50 * time.Millisecond
	retryAfterJitter = 0.5 // fraction of Retry-After added at random to spread the retries
)

// serveRequest serves a request from a caller on this VM, which may be the target.
func (a *Agent) serveRequest(w http.ResponseWriter, r *http.Request) {
	a.inflight.add()
	defer a.inflight.done()
	request := platform.ReadRequest(r, a.cfg.Load().Service, a.deps.Now())
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if a.refuses(request) {
		writeOutcome(w, request.ID, hop.Refused{Cause: hop.Closed, RetryAfter: restartTime})
		return
	}
	adm, refused := a.dispatcher.Admit(request)
	if refused == nil && a.guard.Memory().Pressed() && !a.continues(request) {
		a.deps.Metrics.GetOrCreateCounter("cassialead_pressed_refusals_total").Inc()
		refused = &hop.Refused{Cause: hop.BodiesFull, RetryAfter: bodyMemoryRetry}
	}
	release := func(hop.Outcome) {}
	if refused == nil {
		refused, release = a.admitQuota(request, adm)
	}
	if refused != nil {
		a.deps.Log.Info("request refused", "call", request.ID, "cause", refused.Cause, "version", a.planVersion(), "retry_after", refused.RetryAfter)
		writeOutcome(w, request.ID, *refused)
		return
	}
	body, cause := a.readRequestBody(r, request.Timeout)
	if cause != "" {
		a.deps.Log.Info("request rejected before dispatch", "call", request.ID, "cause", cause, "length", r.ContentLength, "held", a.guard.Memory().Used())
		o := hop.Refused{Cause: cause, RetryAfter: bodyMemoryRetry}
		release(o)
		writeOutcome(w, request.ID, o)
		return
	}
	request.Body = body
	if request.Timeout == 0 {
		request.ReceivedAt = a.deps.Now() // the route's timeout is for a request that has arrived
	}
	outcome := a.dispatcher.Do(r.Context(), request)
	release(outcome)
	writeOutcome(listener.FromContext(r.Context()).Writer(w), request.ID, outcome)
}

// refuses reports whether the node is about to stop and takes no new request: only a call that the target makes for one that it is
// running, which would fail without it.
func (a *Agent) refuses(in *dispatch.Request) bool {
	return a.refusing.Load() && !a.continues(in)
}

// continues reports whether the target makes a call for a request that it is running.
func (a *Agent) continues(in *dispatch.Request) bool {
	parentRuns, _ := a.gate.Runs(in.Parent)
	return in.Parent != "" && parentRuns
}

// writeOutcome writes the outcome of a call to the caller.
func writeOutcome(w http.ResponseWriter, id hop.CallID, o hop.Outcome) {
	switch o := o.(type) {
	case *hop.Answered:
		hop.RemoveConnectionHeaders(o.Header)
		writeAnswer(w, o, o.Status)
	case hop.Refused:
		writeRefusal(w, id, o)
	case hop.Failed:
		status := http.StatusBadGateway
		if o.Cause == hop.TimedOut || o.Cause == hop.Silent {
			status = http.StatusGatewayTimeout
		}
		writeError(w, id, status, o.Cause)
	}
}

// writeRefusal refuses a request and closes its connection. Callers retry on a new connection; under overload thousands of old
// ones would stay open, each with its buffers.
func writeRefusal(w http.ResponseWriter, id hop.CallID, o hop.Refused) {
	w.Header().Set("Connection", "close")
	status := http.StatusServiceUnavailable
	switch o.Cause {
	case hop.NoRoute:
		status = http.StatusNotFound
	case hop.Unauthorized:
		status = http.StatusUnauthorized
	case hop.TooLarge:
		status = http.StatusRequestEntityTooLarge
	case hop.HeadTooLarge:
		status = http.StatusRequestHeaderFieldsTooLarge
	case hop.BadRequest:
		status = http.StatusBadRequest
	case hop.BodyLate:
		status = http.StatusRequestTimeout
	default:
		if o.Cause == hop.OverQuota {
			status = http.StatusTooManyRequests
		}
		after := max(o.RetryAfter, minRetryAfter)
		after += time.Duration(rand.Float64() * retryAfterJitter * float64(after))
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	writeError(w, id, status, o.Cause)
}

// writeError writes an answer of the node itself, with the cause as its body.
func writeError(w http.ResponseWriter, id hop.CallID, status int, c hop.Cause) {
	platform.SetRequestID(w.Header(), id)
	body := `{"cause":"` + string(c) + `"}` + "\n"
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // a failed write needs no handling: the caller has disconnected
}

// writeAnswer forwards a target's answer. If the answer breaks off, the connection is aborted, so that a truncated answer never
// looks complete.
func writeAnswer(w http.ResponseWriter, o *hop.Answered, status int) {
	defer o.Release()
	h := w.Header()
	for name, values := range o.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // disables content sniffing by the server
	}
	if o.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(o.Length, 10)}
	}
	w.WriteHeader(status)
	if _, err := w.Write(o.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
	if o.Remainder == nil {
		return
	}
	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, o.Remainder, make([]byte, copyBufferSize)); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (a *Agent) readyRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !a.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return r
}

// targetRouter serves the target on this VM.
func (a *Agent) targetRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.HeartbeatPath, a.serveHeartbeat).Methods(http.MethodPost)
	r.HandleFunc(platform.DeregistrationPath, a.serveDeregistration).Methods(http.MethodPost)
	return r
}

// readMessage reads a message of the target; it answers one that is truncated or too long with 400 and reports false.
func (a *Agent) readMessage(w http.ResponseWriter, r *http.Request, id lifecycle.ID) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessage))
	if err != nil {
		a.refuseMessage(w, id, err)
		return nil, false
	}
	return body, listener.FromContext(r.Context()).Arrived()
}

// refuseMessage answers a message that changes nothing.
func (a *Agent) refuseMessage(w http.ResponseWriter, id lifecycle.ID, err error) {
	a.deps.Log.Info("malformed message of a target", "instance", id, "error", err)
	w.WriteHeader(http.StatusBadRequest)
}

func (a *Agent) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	id := lifecycle.ID(mux.Vars(r)["id"])
	body, ok := a.readMessage(w, r, id)
	if !ok {
		return
	}
	h, err := platform.ParseHeartbeat(id, body)
	if err != nil {
		a.refuseMessage(w, id, err)
		return
	}
	if !a.gate.HandleHeartbeat(h) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if h.Draining {
		a.waitDepartureStored(id, "draining")
	}
	writeEmpty(w)
}

func (a *Agent) serveDeregistration(w http.ResponseWriter, r *http.Request) {
	id := lifecycle.ID(mux.Vars(r)["id"])
	body, ok := a.readMessage(w, r, id)
	if !ok {
		return
	}
	startTime, err := platform.ParseDeregistration(body)
	if err != nil {
		a.refuseMessage(w, id, err)
		return
	}
	a.gate.Deregister(id, startTime)
	a.waitDepartureStored(id, "deregistered")
	writeEmpty(w)
}

// waitDepartureStored waits until the store holds a departure, so that it stays in force if this node restarts. If the store
// is down, only the gate holds it, in memory.
func (a *Agent) waitDepartureStored(id lifecycle.ID, kind string) {
	stored := a.registrar.waitStored(departureTimeout)
	a.deps.Log.Info("departure acknowledged", "instance", id, "word", kind, "kept", stored)
}

func writeEmpty(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", "2")
	_, _ = io.WriteString(w, "{}") // the target retries if the response is lost
}

func (a *Agent) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	a.deps.Metrics.WritePrometheus(w)
}
