package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/settings"
)

const (
	announceInterval   = 2 * time.Second
	attemptHeader      = "Cassialead-Attempt"
	defaultServiceTime = 2 * time.Millisecond
	responseChunkBytes = 16 << 10
	maxTargetBody      = 64 << 20 // bytes of a request
)

// TargetFaults are the faults that a simulated target injects.
type TargetFaults struct {
	// SlowFactor multiplies the service time of each call; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// Stall leaves each call unanswered until the caller cancels it.
	Stall bool `json:"stall"`
	// Shed rejects every call with status 503, as load shedding does.
	Shed bool `json:"shed"`
	// WrongAttemptID sends a wrong attempt id in each response, as if it belonged to another call.
	WrongAttemptID bool `json:"cross"`
	// TruncateResponse closes the connection in the middle of each response.
	TruncateResponse bool `json:"truncate"`
	// DropResponse closes the connection after a call was executed and before the response.
	DropResponse bool `json:"break_after_run"`
}

// TargetSettings are the settings of a simulated target.
type TargetSettings struct {
	Service     string
	Slots       int
	Connections int
	// NodeAddress is the local address of the node on the target's VM; if empty, the target is not announced.
	NodeAddress string
	// ServiceTime is the service time of calls without ?work=.
	ServiceTime time.Duration
	// MaxConcurrency limits the calls that are executed at once; further calls queue in the target. Zero means no limit.
	MaxConcurrency int
	// WarmUp is the time after the target's start during which calls take ten times as long.
	WarmUp time.Duration
	// Limits are the resources of the target's process.
	Limits settings.Limits
}

// Target is a simulated target. A call's query chooses its service time (?work=20ms) and the size of its response (?bytes=N).
type Target struct {
	cfg       TargetSettings
	listener  net.Listener
	server    *http.Server
	started   time.Time
	semaphore chan struct{}

	mu             sync.Mutex
	faults         TargetFaults
	executions     map[string]int // by the order parameter of the calls
	inFlight       int
	peakInFlight   int
	served         int
	stopAnnouncing context.CancelFunc
	announcerDone  chan struct{}
}

// NewTarget starts a target on a free loopback port and announces it to its node.
func NewTarget(cfg TargetSettings) (*Target, error) {
	l, err := exchange.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.ServiceTime == 0 {
		cfg.ServiceTime = defaultServiceTime
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{cfg: cfg, listener: l, started: time.Now(), executions: map[string]int{},
		stopAnnouncing: cancel, announcerDone: make(chan struct{})}
	if cfg.MaxConcurrency > 0 {
		t.semaphore = make(chan struct{}, cfg.MaxConcurrency)
	}
	t.server = serve(l, "target", bounded(t.handler()), cfg.Limits)
	go t.announceLoop(ctx)
	return t, nil
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Executions returns how often each named order was executed.
func (t *Target) Executions() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := map[string]int{}
	for k, n := range t.executions {
		runs[k] = n
	}
	return runs
}

// Served returns the number of calls that have ended.
func (t *Target) Served() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served
}

// PeakConcurrency returns the highest number of calls in flight at once.
func (t *Target) PeakConcurrency() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peakInFlight
}

// Close deregisters the target and shuts it down after the calls in flight.
func (t *Target) Close() {
	t.stopAnnouncing()
	<-t.announcerDone
	if t.cfg.NodeAddress != "" {
		req, _ := http.NewRequest(http.MethodDelete, "http://"+t.cfg.NodeAddress+"/v1/targets/"+t.cfg.Service, nil)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
	defer cancel()
	_ = t.server.Shutdown(ctx)
}

// Kill closes the listener and all connections at once, as a crash does, without deregistering the target.
func (t *Target) Kill() {
	t.stopAnnouncing()
	_ = t.server.Close()
}

func (t *Target) announceLoop(ctx context.Context) {
	defer close(t.announcerDone)
	if t.cfg.NodeAddress == "" {
		return
	}
	body, _ := json.Marshal(map[string]any{"service": t.cfg.Service, "address": t.Address(), "slots": t.cfg.Slots,
		"connections": t.cfg.Connections, "echo": true})
	for {
		wait := announceInterval
		resp, err := http.Post("http://"+t.cfg.NodeAddress+"/v1/targets", "application/json", bytes.NewReader(body))
		if err != nil {
			wait = announceInterval / 20
		} else {
			_ = resp.Body.Close()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (t *Target) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/standin/faults", t.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(t.Executions())
	})
	r.PathPrefix("/").HandlerFunc(t.serve)
	return r
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxMessage)
	if !ok {
		return
	}
	var f TargetFaults
	if err := json.Unmarshal(body, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

// serve executes one call. A call with ?order=NAME is counted as one execution of that order before its service time begins.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	f := t.startCall()
	defer t.endCall()
	q := r.URL.Query()
	id := r.Header.Get(attemptHeader)
	if f.WrongAttemptID {
		id += "-of-another"
	}
	w.Header().Set(attemptHeader, id)
	if f.Shed {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	body, ok := readBody(w, r, maxTargetBody)
	if !ok {
		return
	}
	if f.Stall {
		<-r.Context().Done()
		return
	}
	if order := q.Get("order"); order != "" {
		t.mu.Lock()
		t.executions[order]++
		t.mu.Unlock()
	}
	if !t.execute(r, t.serviceTime(q.Get("work"), f)) {
		return
	}
	if f.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Standin-Target", t.Address())
	t.writeResponse(w, q.Get("bytes"), f, body)
}

// execute waits for a free execution slot and for the service time; it reports false if the caller cancels the call.
func (t *Target) execute(r *http.Request, d time.Duration) bool {
	if t.semaphore != nil {
		select {
		case t.semaphore <- struct{}{}:
			defer func() { <-t.semaphore }()
		case <-r.Context().Done():
			return false
		}
	}
	return sleep(r, d)
}

func (t *Target) writeResponse(w http.ResponseWriter, size string, f TargetFaults, body []byte) {
	n, _ := strconv.Atoi(size)
	if n == 0 && !f.TruncateResponse {
		_, _ = fmt.Fprintf(w, "served %d bytes by %s\n", len(body), t.Address())
		return
	}
	n = max(n, responseChunkBytes)
	w.Header().Set("Content-Length", strconv.Itoa(n))
	chunk := bytes.Repeat([]byte{'x'}, responseChunkBytes)
	for sent := 0; sent < n; sent += len(chunk) {
		if f.TruncateResponse && sent >= n/2 {
			panic(http.ErrAbortHandler)
		}
		if f.TruncateResponse {
			chunk = chunk[:min(len(chunk), n/2)]
		}
		if _, err := w.Write(chunk[:min(len(chunk), n-sent)]); err != nil {
			return
		}
	}
}

func (t *Target) serviceTime(requested string, f TargetFaults) time.Duration {
	d := t.cfg.ServiceTime
	if requested != "" {
		if parsed, err := time.ParseDuration(requested); err == nil {
			d = parsed
		}
	}
	if time.Since(t.started) < t.cfg.WarmUp {
		d *= 10
	}
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

func (t *Target) startCall() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
	return t.faults
}

func (t *Target) endCall() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.served++
}
