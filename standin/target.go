package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

const (
	announceInterval = 2 * time.Second
	attemptHeader    = "Cassialead-Attempt"
	defaultWork      = 2 * time.Millisecond
	streamChunk      = 16 << 10
)

// TargetFaults are the faults of a stand-in target that can be switched at run time.
type TargetFaults struct {
	// SlowFactor multiplies the time of each call; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// Stall makes each call wait until it is given up.
	Stall bool `json:"stall"`
	// Shed answers every call with status 503.
	Shed bool `json:"shed"`
	// Cross returns another call's attempt id.
	Cross bool `json:"cross"`
	// Truncate breaks each answer off in the middle.
	Truncate bool `json:"truncate"`
	// BreakAfterRun closes the connection after the work was done and before the answer.
	BreakAfterRun bool `json:"break_after_run"`
}

// TargetSettings describe a stand-in target.
type TargetSettings struct {
	Service     string
	Slots       int
	Connections int
	// Node is the local address of the node on its VM; empty means that nobody is told of the target.
	Node string
	// Work is the time of a call that names none.
	Work time.Duration
	// Limit bounds the calls that are worked on at once; the rest waits inside. Zero means no bound.
	Limit int
	// ColdStart is how long after its start a target's calls take ten times as long.
	ColdStart time.Duration
}

// Target is a target whose calls take the time that their query asks for: ?work=20ms, ?bytes=N for a long answer.
type Target struct {
	cfg      TargetSettings
	listener net.Listener
	server   *http.Server
	started  time.Time
	limit    chan struct{}

	mu      sync.Mutex
	faults  TargetFaults
	runs    map[string]int // by the call's order name
	running int
	peak    int
	served  int
	stop    context.CancelFunc
	ended   chan struct{}
}

// NewTarget starts a target on a free loopback port and announces it.
func NewTarget(cfg TargetSettings) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.Work == 0 {
		cfg.Work = defaultWork
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{cfg: cfg, listener: l, started: time.Now(), runs: map[string]int{}, stop: cancel, ended: make(chan struct{})}
	if cfg.Limit > 0 {
		t.limit = make(chan struct{}, cfg.Limit)
	}
	t.server = &http.Server{Handler: t.handler()}
	go func() { _ = t.server.Serve(l) }()
	go t.keepAnnouncing(ctx)
	return t, nil
}

// Address returns where the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns how often each named order was run.
func (t *Target) Runs() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := map[string]int{}
	for k, n := range t.runs {
		runs[k] = n
	}
	return runs
}

// Served returns how many calls were answered, and Peak how many ran at once at most.
func (t *Target) Served() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.served
}

// Peak returns how many calls ran at once at most.
func (t *Target) Peak() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peak
}

// Close withdraws the target and ends it after the calls in flight.
func (t *Target) Close() {
	t.stop()
	<-t.ended
	if t.cfg.Node != "" {
		req, _ := http.NewRequest(http.MethodDelete, "http://"+t.cfg.Node+"/v1/targets/"+t.cfg.Service, nil)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceInterval)
	defer cancel()
	_ = t.server.Shutdown(ctx)
}

// Kill ends the target at once, as a crash does.
func (t *Target) Kill() {
	t.stop()
	_ = t.server.Close()
}

func (t *Target) keepAnnouncing(ctx context.Context) {
	defer close(t.ended)
	if t.cfg.Node == "" {
		return
	}
	body, _ := json.Marshal(map[string]any{"service": t.cfg.Service, "address": t.Address(), "slots": t.cfg.Slots,
		"connections": t.cfg.Connections, "echo": true})
	for {
		wait := announceInterval
		resp, err := http.Post("http://"+t.cfg.Node+"/v1/targets", "application/json", bytes.NewReader(body))
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
		_ = json.NewEncoder(w).Encode(t.Runs())
	})
	r.PathPrefix("/").HandlerFunc(t.serve)
	return r
}

func (t *Target) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f TargetFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetFaults(f)
}

// serve runs one call. An order is named by ?order=NAME and counted when its work is done.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	f := t.begin()
	defer t.finish()
	q := r.URL.Query()
	id := r.Header.Get(attemptHeader)
	if f.Cross {
		id += "-of-another"
	}
	w.Header().Set(attemptHeader, id)
	if f.Shed {
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.Stall {
		<-r.Context().Done()
		return
	}
	if order := q.Get("order"); order != "" {
		t.mu.Lock()
		t.runs[order]++
		t.mu.Unlock()
	}
	if !t.work(r, t.workOf(q.Get("work"), f)) {
		return
	}
	if f.BreakAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Standin-Target", t.Address())
	t.answer(w, q.Get("bytes"), f, body)
}

// work holds one of the target's own slots for a time; it reports false when the call was given up.
func (t *Target) work(r *http.Request, d time.Duration) bool {
	if t.limit != nil {
		select {
		case t.limit <- struct{}{}:
			defer func() { <-t.limit }()
		case <-r.Context().Done():
			return false
		}
	}
	return sleep(r, d)
}

func (t *Target) answer(w http.ResponseWriter, size string, f TargetFaults, body []byte) {
	n, _ := strconv.Atoi(size)
	if n == 0 && !f.Truncate {
		_, _ = fmt.Fprintf(w, "served %d bytes by %s\n", len(body), t.Address())
		return
	}
	n = max(n, streamChunk)
	w.Header().Set("Content-Length", strconv.Itoa(n))
	chunk := bytes.Repeat([]byte{'x'}, streamChunk)
	for sent := 0; sent < n; sent += len(chunk) {
		if f.Truncate && sent >= n/2 {
			panic(http.ErrAbortHandler)
		}
		if f.Truncate {
			chunk = chunk[:min(len(chunk), n/2)]
		}
		if _, err := w.Write(chunk[:min(len(chunk), n-sent)]); err != nil {
			return
		}
	}
}

func (t *Target) workOf(asked string, f TargetFaults) time.Duration {
	d := t.cfg.Work
	if asked != "" {
		if parsed, err := time.ParseDuration(asked); err == nil {
			d = parsed
		}
	}
	if time.Since(t.started) < t.cfg.ColdStart {
		d *= 10
	}
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

func (t *Target) begin() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running++
	t.peak = max(t.peak, t.running)
	return t.faults
}

func (t *Target) finish() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.served++
}
