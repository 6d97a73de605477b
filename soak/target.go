package soak

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/platform"
)

const (
	slots             = 8 // concurrent calls of each target
	heartbeatInterval = 500 * time.Millisecond
	ackTimeout        = time.Second // for the acknowledgement of a heartbeat or a deregistration
	drainAttempts     = 8           // to have the drain announcement acknowledged
	minServiceTime    = 2 * time.Millisecond
	maxServiceTime    = 40 * time.Millisecond
	healthPath        = "/health"
	idRepeats         = 40 // repetitions of the call's id in a response
)

// TargetFaults are the faults of a target; shares are of its calls.
type TargetFaults struct {
	DropResponses float64 // share that is executed and then ends with a closed connection
	Errors        float64 // share that is answered with status 500
	SlowFactor    float64 // multiplies the service time; values below 1 have no effect
}

// Target simulates an application beside a node.
type Target struct {
	checker    *Checker
	service    config.ServiceName
	dataCentre fleet.DataCentre
	drain      time.Duration
	controlURL string // base URL of the node's control listener
	address    string

	id        lifecycle.ID
	startTime lifecycle.StartTime
	sequence  atomic.Uint64
	draining  atomic.Bool
	inFlight  atomic.Int32
	faults    atomic.Pointer[TargetFaults]
	rateLimit atomic.Pointer[rateLimit]
	server    *http.Server
	done      chan struct{}
	closeOnce sync.Once
}

// targetConfig configures a target.
type targetConfig struct {
	id                      lifecycle.ID
	service                 config.ServiceName
	dataCentre              fleet.DataCentre
	address, controlAddress fleet.Address
	drain                   time.Duration
}

// startTarget starts a target that listens and sends heartbeats.
func startTarget(ch *Checker, cfg targetConfig) (*Target, error) {
	l, err := net.Listen("tcp4", string(cfg.address))
	if err != nil {
		return nil, errors.Wrap(err, "start target")
	}
	t := &Target{checker: ch, id: cfg.id, service: cfg.service, dataCentre: cfg.dataCentre, drain: cfg.drain, controlURL: "http://" + string(cfg.controlAddress), address: string(cfg.address),
		startTime: lifecycle.StartTime(time.Now().UnixMilli()), done: make(chan struct{})}
	t.faults.Store(&TargetFaults{})
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(l) }() // returns after close
	go t.sendHeartbeats()
	return t, nil
}

// SetFaults replaces the target's faults.
func (t *Target) SetFaults(f TargetFaults) { t.faults.Store(&f) }

// rateLimit is the limit that a target names, and its calls since its first answer with the limit.
type rateLimit struct {
	perSecond hop.CallRate

	mu       sync.Mutex
	namedAt  time.Time
	arrivals []time.Time
}

const (
	limitSettles = 3 * time.Second // after the first answer with the limit, from which the limit is binding
	limitWindow  = 4 * time.Second // in which calls are counted
	limitFactor  = 1.5             // times what the limit allows in a window
	limitSlack   = 5               // calls per window
)

// limit makes the target name a rate limit, unless it names one already.
func (t *Target) limit(perSecond hop.CallRate) {
	t.rateLimit.CompareAndSwap(nil, &rateLimit{perSecond: perSecond})
}

// unlimit makes the target name no limit.
func (t *Target) unlimit() { t.rateLimit.Store(nil) }

// named records that an answer names the limit.
func (l *rateLimit) named() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.namedAt.IsZero() {
		l.namedAt = time.Now()
	}
}

// arrived records a call; it returns the number of calls in the window that ends now and whether the limit allows them.
func (l *rateLimit) arrived() (calls int, allowed bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.namedAt.IsZero() || now.Sub(l.namedAt) < limitSettles {
		return 0, true
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) > limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	calls = len(l.arrivals)
	return calls, float64(calls) <= limitFactor*float64(l.perSecond)*limitWindow.Seconds()+limitSlack
}

// close stops the target at once, as a crash does.
func (t *Target) close() {
	t.closeOnce.Do(func() {
		close(t.done)
		_ = t.server.Close()
	})
}

// sendHeartbeats sends heartbeats until the target is closed.
func (t *Target) sendHeartbeats() {
	for {
		t.post(platform.HeartbeatPath, t.heartbeat())
		select {
		case <-t.done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (t *Target) heartbeat() []byte {
	return platform.FormatHeartbeat(lifecycle.Heartbeat{StartTime: t.startTime, Sequence: t.sequence.Add(1), Service: t.service, Address: fleet.Address(t.address),
		Version: "v1", Slots: slots, Draining: t.draining.Load()}, t.dataCentre)
}

// post sends a message to the node and reports whether it was acknowledged.
func (t *Target) post(path string, body []byte) bool {
	c := http.Client{Timeout: ackTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(t.controlURL+strings.Replace(path, "{id}", string(t.id), 1), "application/json", bytes.NewReader(body))
	if err != nil {
		return false // the node may be down
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// shutDown announces that the target drains, keeps serving for one and a half drain periods, deregisters and closes.
func (t *Target) shutDown() {
	t.draining.Store(true)
	for range drainAttempts {
		if t.post(platform.HeartbeatPath, t.heartbeat()) {
			t.checker.RecordDrain(t.id)
			break
		}
	}
	time.Sleep(t.drain + t.drain/2)
	t.post(platform.DeregistrationPath, fmt.Appendf(nil, `{"born":%d}`, t.startTime))
	t.close()
}

// ServeHTTP handles a call or a health check.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(platform.InstanceIDHeader, string(t.id))
	h.Set(platform.LoadHeader, fmt.Sprintf("%d,0,%d,100", t.inFlight.Load(), slots))
	if r.URL.Path == healthPath {
		if t.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := hop.CallID(r.Header.Get(platform.RequestIDHeader))
	h.Set(platform.RequestIDHeader, string(id))
	if want := r.Header.Get(platform.TargetHeader); want != "" && want != string(t.id) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.announce(w, r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.inFlight.Add(1) > slots {
		t.inFlight.Add(-1)
		h.Set(platform.NotExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.inFlight.Add(-1)
	t.checker.RecordExecution(id, t.id, t.drain)
	if caller := callerServiceOf(id); r.Header.Get(platform.CallerServiceHeader) != string(caller) {
		t.checker.RecordViolation(CallerService, "call %s of service %s arrived with caller service %s", id, caller, r.Header.Get(platform.CallerServiceHeader))
	}
	t.respond(w, id, body)
}

// announce checks a call against what the target has announced, and adds its announcements to the response.
func (t *Target) announce(w http.ResponseWriter, r *http.Request) {
	if l := t.rateLimit.Load(); l != nil {
		if calls, allowed := l.arrived(); !allowed {
			t.checker.RecordViolation(RateLimited, "%s, limited to %.1f calls/s, got %d in %v", t.id, l.perSecond, calls, limitWindow)
		}
		w.Header().Set(platform.RateLimitHeader, strconv.FormatFloat(float64(l.perSecond), 'f', 1, 64))
		l.named()
	}
	vm := r.Header.Get(vmHeader)
	if since, ok := t.checker.LeavingPassedOn(t.id, vm); ok && since > t.drain {
		t.checker.RecordViolation(AnnouncedLeaving, "%s got a call of %s %v after that one passed on its leaving", t.id, vm, since.Round(time.Millisecond))
	}
	if t.draining.Load() {
		w.Header().Set(platform.LeavingHeader, "1")
	}
}

// longFailure is the length, in bytes, of the long failures of targets; nodes buffer less.
const longFailure = 2 << 20

// fail answers a call that has run with a failure: signed, long, or with a status that promises that the call has not run.
func fail(w http.ResponseWriter) {
	switch rand.IntN(4) {
	case 0:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write(make([]byte, longFailure)) // the caller may have disconnected
	case 1:
		w.WriteHeader(http.StatusServiceUnavailable)
	case 2:
		w.Header().Set(platform.SignatureHeader, "s")
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		w.Header().Set(platform.SignatureHeader, "s")
		w.WriteHeader(http.StatusInternalServerError)
	}
}

// respond sleeps for the service time and sends the response, or fails as the faults require.
func (t *Target) respond(w http.ResponseWriter, id hop.CallID, body []byte) {
	f := t.faults.Load()
	time.Sleep(time.Duration(max(f.SlowFactor, 1) * float64(minServiceTime+rand.N(maxServiceTime-minServiceTime))))
	switch p := rand.Float64(); {
	case p < f.DropResponses:
		panic(http.ErrAbortHandler)
	case p < f.DropResponses+f.Errors:
		fail(w)
		return
	}
	w.Header().Set(platform.SignatureHeader, "s")
	_, _ = io.WriteString(w, expectedResponse(id, body)) // the caller may have disconnected
}

// expectedResponse returns the only correct response to a call.
func expectedResponse(id hop.CallID, body []byte) string {
	return fmt.Sprintf("%s %08x %s", id, crc32.ChecksumIEEE(body), strings.Repeat(string(id), idRepeats))
}
