package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/platform"
)

// answerFunc works on a request that an upstream runs and answers it.
type answerFunc func(u *upstream, w http.ResponseWriter, r *http.Request, id string)

// upstream is an application upstream that follows the platform's pages.
type upstream struct {
	rec         *recorder
	id, service string
	address     string
	control     string
	slots       int
	answer      answerFunc
	born        int64
	sequence    atomic.Int64
	running     atomic.Int64
	runs        atomic.Int64
	slot        chan struct{}
	server      *http.Server
	stop        chan struct{}
	once        sync.Once
}

func newUpstream(rec *recorder, id, service, address, control string, slots int, answer answerFunc) (*upstream, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	u := &upstream{rec: rec, id: id, service: service, address: address, control: control, slots: slots, answer: answer, born: time.Now().UnixMilli(),
		slot: make(chan struct{}, slots), stop: make(chan struct{})}
	u.server = &http.Server{Handler: u}
	go func() { _ = u.server.Serve(l) }()
	go u.beat()
	return u, nil
}

func (u *upstream) close() {
	u.once.Do(func() {
		close(u.stop)
		_ = u.server.Close()
	})
}

// beat sends heartbeats until the upstream is closed.
func (u *upstream) beat() {
	for {
		body := fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":%q,"version":"v1","zone":"ishikari-a","slots":%d},"status":{"state":"ready","sequence":%d,"coldLeftS":0}}`,
			u.born, u.address, u.service, u.slots, u.sequence.Add(1))
		_, _ = post(u.control, u.id, body) // a heartbeat that is lost is followed by the next one
		select {
		case <-u.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// post sends a heartbeat to the control address of a machine and returns the status of the response.
func post(control, id, body string) (status int, err error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+control+strings.Replace(platform.HeartbeatPath, "{id}", id, 1), "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

const queueFactor = 4 // requests that an upstream queues for each slot

// ServeHTTP takes a request or a health check.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set(platform.LoadHeader, fmt.Sprintf("%d,0,%d,100", len(u.slot), u.slots))
	if r.URL.Path == healthPath {
		h.Set(platform.InstanceIDHeader, u.id)
		return
	}
	id := r.Header.Get(platform.RequestIDHeader)
	h.Set(platform.RequestIDHeader, id)
	if want := r.Header.Get(platform.TargetHeader); want != "" && want != u.id {
		h.Set(platform.InstanceIDHeader, u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeoutOf(r))
	defer cancel()
	r = r.WithContext(ctx)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if u.running.Add(1) > int64(u.slots*(queueFactor+1)) {
		u.running.Add(-1)
		h.Set(platform.NotExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	select {
	case u.slot <- struct{}{}:
	case <-ctx.Done():
		h.Set(platform.NotExecutedHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slot }()
	u.runs.Add(1)
	u.rec.printf("run       %s at %s, Timeout-Ms %s", id, u.id, r.Header.Get(platform.TimeoutHeader))
	u.answer(u, w, r, id)
}

// timeoutOf returns how long the sender of a request waits.
func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(platform.TimeoutHeader), 64)
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// work works on a request for a time, or until its sender has left or waits no longer; it reports whether it came to the end.
func work(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
