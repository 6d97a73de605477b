package soak

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	slots         = 8                      // of each target
	heartbeatGap  = 500 * time.Millisecond // between two heartbeats
	ackPatience   = time.Second            // for the acknowledgement of a heartbeat or a departure
	departTries   = 8                      // to have a departure acknowledged
	shortestWork  = 2 * time.Millisecond
	longestWork   = 40 * time.Millisecond
	healthPath    = "/health"
	paddingFactor = 40 // length of an answer in times of its call's id
)

// Sickness is how a target fails; shares are of its calls.
type Sickness struct {
	LoseAnswers float64 // works and closes the connection
	Errors      float64 // answers with an error of its own
	Slow        float64 // times the usual work, if above zero
}

// Target is a stand-in for an application beside a node.
type Target struct {
	book    *Book
	service config.ServiceName
	drain   time.Duration
	beats   string // where heartbeats go
	address string

	id       lifecycle.ID
	born     lifecycle.StartTime
	sequence atomic.Uint64
	leaving  atomic.Bool
	running  atomic.Int32
	sickness atomic.Pointer[Sickness]
	server   *http.Server
	stop     chan struct{}
	ended    sync.Once
}

// targetConfig is what a target is started with.
type targetConfig struct {
	id             lifecycle.ID
	service        config.ServiceName
	address, beats fleet.Address
	drain          time.Duration
}

// startTarget starts a target that listens and sends heartbeats.
func startTarget(b *Book, cfg targetConfig) (*Target, error) {
	l, err := net.Listen("tcp4", string(cfg.address))
	if err != nil {
		return nil, errors.Wrap(err, "target")
	}
	t := &Target{book: b, id: cfg.id, service: cfg.service, drain: cfg.drain, beats: "http://" + string(cfg.beats), address: string(cfg.address),
		born: lifecycle.StartTime(time.Now().UnixMilli()), stop: make(chan struct{})}
	t.sickness.Store(&Sickness{})
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(l) }() // ends with end
	go t.beat()
	return t, nil
}

// Sicken changes how the target fails.
func (t *Target) Sicken(s Sickness) { t.sickness.Store(&s) }

// end stops the target at once, as a crash does.
func (t *Target) end() {
	t.ended.Do(func() {
		close(t.stop)
		_ = t.server.Close()
	})
}

// beat sends heartbeats until the target ends.
func (t *Target) beat() {
	for {
		t.say(platform.HeartbeatPath, t.heartbeat())
		select {
		case <-t.stop:
			return
		case <-time.After(heartbeatGap):
		}
	}
}

func (t *Target) heartbeat() []byte {
	return platform.FormatHeartbeat(lifecycle.Heartbeat{StartTime: t.born, Sequence: t.sequence.Add(1), Service: t.service, Address: fleet.Address(t.address),
		Version: "v1", Slots: slots, Draining: t.leaving.Load()})
}

// say tells the node something and reports whether it was acknowledged.
func (t *Target) say(path string, body []byte) bool {
	c := http.Client{Timeout: ackPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post(t.beats+strings.Replace(path, "{id}", string(t.id), 1), "application/json", bytes.NewReader(body))
	if err != nil {
		return false // the node may be down
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// leave announces the departure, serves on for the drain time and ends.
func (t *Target) leave() {
	t.leaving.Store(true)
	for range departTries {
		if t.say(platform.HeartbeatPath, t.heartbeat()) {
			t.book.Depart(t.id)
			break
		}
	}
	time.Sleep(t.drain + t.drain/2)
	t.say(platform.DeregistrationPath, fmt.Appendf(nil, `{"born":%d}`, t.born))
	t.end()
}

// ServeHTTP answers a call or a health check.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(platform.InstanceIDHeader, string(t.id))
	h.Set(platform.LoadHeader, fmt.Sprintf("%d,0,%d,100", t.running.Load(), slots))
	if r.URL.Path == healthPath {
		if t.leaving.Load() {
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
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if t.running.Add(1) > slots {
		t.running.Add(-1)
		h.Set(platform.NotExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.running.Add(-1)
	t.book.Ran(id, t.id, t.drain)
	if origin := originOf(id); r.Header.Get(platform.CallerServiceHeader) != string(origin) {
		t.book.Break(CallerService, "call %s of %s came as one of %s", id, origin, r.Header.Get(platform.CallerServiceHeader))
	}
	t.work(w, id, body)
}

// work takes its time and answers, or fails as it is sick.
func (t *Target) work(w http.ResponseWriter, id hop.CallID, body []byte) {
	s := t.sickness.Load()
	time.Sleep(time.Duration(max(s.Slow, 1) * float64(shortestWork+rand.N(longestWork-shortestWork))))
	switch luck := rand.Float64(); {
	case luck < s.LoseAnswers:
		panic(http.ErrAbortHandler)
	case luck < s.LoseAnswers+s.Errors:
		w.Header().Set(platform.SignatureHeader, "s")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(platform.SignatureHeader, "s")
	_, _ = io.WriteString(w, answerOf(id, body)) // a caller that has gone misses nothing
}

// answerOf returns the only right answer to a call.
func answerOf(id hop.CallID, body []byte) string {
	return fmt.Sprintf("%s %08x %s", id, crc32.ChecksumIEEE(body), strings.Repeat(string(id), paddingFactor))
}
