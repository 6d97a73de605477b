package agent

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/platform"
)

const (
	maxHeartbeat   = 16 << 10               // bytes of a heartbeat
	departureWait  = 500 * time.Millisecond // for the store to keep a departure; a target waits a second for the answer
	copyBuffer     = 32 << 10
	minRetryAfter  = 50 * time.Millisecond
	retryAfterSpan = 0.5 // of the time to come back, by which returns are spread
)

// serveCall takes a request of a client on this VM or of the target.
func (a *Agent) serveCall(w http.ResponseWriter, r *http.Request) {
	a.inflight.enter()
	defer a.inflight.leave()
	in := platform.ReadRequest(r, a.cfg.Load().Service, a.deps.Now())
	if a.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if a.refusing.Load() {
		writeOutcome(w, in.ID, hop.Refused{Cause: hop.Closed, RetryAfter: returnTime})
		return
	}
	body, cause := a.takeRequest(w, r, in.Left)
	if cause != "" {
		a.deps.Log.Info("request not read", "call", in.ID, "cause", cause, "length", r.ContentLength, "held", a.bodies.held.Load())
		writeOutcome(w, in.ID, hop.Refused{Cause: cause, RetryAfter: bodiesRetry})
		return
	}
	defer a.bodies.release(len(body))
	in.Body = body
	o := a.dispatcher.Do(r.Context(), in)
	writeOutcome(w, in.ID, o)
}

// writeOutcome answers a caller.
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
		writeOwn(w, id, status, o.Cause)
	}
}

// writeRefusal refuses a request. A caller comes back on a new connection, so the one that it leaves behind is ended: under
// pressure thousands would stay open, each with its buffers.
func writeRefusal(w http.ResponseWriter, id hop.CallID, o hop.Refused) {
	w.Header().Set("Connection", "close")
	status := http.StatusServiceUnavailable
	switch o.Cause {
	case hop.NoRoute:
		status = http.StatusNotFound
	case hop.TooLarge:
		status = http.StatusRequestEntityTooLarge
	case hop.HeadTooLarge:
		status = http.StatusRequestHeaderFieldsTooLarge
	case hop.BadRequest:
		status = http.StatusBadRequest
	case hop.BodyLate:
		status = http.StatusRequestTimeout
	default:
		after := max(o.RetryAfter, minRetryAfter)
		after += time.Duration(rand.Float64() * retryAfterSpan * float64(after))
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	writeOwn(w, id, status, o.Cause)
}

// writeOwn answers a caller in the system's own name.
func writeOwn(w http.ResponseWriter, id hop.CallID, status int, c hop.Cause) {
	platform.MarkAnswer(w.Header(), id)
	body := `{"cause":"` + string(c) + `"}` + "\n"
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // a caller that has gone misses nothing
}

// writeAnswer passes a target's answer on; one that breaks off ends the connection, so that it never looks whole.
func writeAnswer(w http.ResponseWriter, o *hop.Answered, status int) {
	defer o.Release()
	h := w.Header()
	for name, values := range o.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps the server from guessing one
	}
	if o.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(o.Length, 10)}
	}
	w.WriteHeader(status)
	if _, err := w.Write(o.Body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
	if o.Rest == nil {
		return
	}
	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, o.Rest, make([]byte, copyBuffer)); err != nil {
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

// localRouter serves the target on this VM.
func (a *Agent) localRouter() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.HeartbeatPath, a.serveHeartbeat).Methods(http.MethodPost)
	r.HandleFunc(platform.DeparturePath, a.serveDeparture).Methods(http.MethodPost)
	return r
}

func (a *Agent) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeat))
	if err != nil {
		return
	}
	id := lifecycle.ID(mux.Vars(r)["id"])
	h, err := platform.ParseHeartbeat(id, body)
	if err != nil {
		a.deps.Log.Info("heartbeat not understood", "instance", id, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.gate.Hear(h)
	if h.Draining {
		a.acknowledge(id, "draining")
	}
	writeEmpty(w)
}

func (a *Agent) serveDeparture(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxHeartbeat))
	if err != nil {
		return
	}
	id := lifecycle.ID(mux.Vars(r)["id"])
	a.gate.Depart(id, platform.ParseDeparture(body))
	a.acknowledge(id, "deregistered")
	writeEmpty(w)
}

// acknowledge lets the store keep a departure before it is acknowledged, so that it binds this node's next process too;
// without the store the gate alone keeps it.
func (a *Agent) acknowledge(id lifecycle.ID, word string) {
	kept := a.registrar.settled(departureWait)
	a.deps.Log.Info("departure acknowledged", "instance", id, "word", word, "kept", kept)
}

func writeEmpty(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", "2")
	_, _ = io.WriteString(w, "{}") // the target asks again if it misses the answer
}

func (a *Agent) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	a.deps.Metrics.WritePrometheus(w)
}
