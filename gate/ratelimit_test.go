package gate_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gate"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/platform"
)

const (
	limitWindow = 4 * time.Second // in which a target's calls are counted against its limit
	limitFactor = 1.5             // times what the limit allows in a window
	limitSlack  = 5               // calls per window
)

// announcingTarget is a target that answers with announcements in its headers.
type announcingTarget struct {
	server *httptest.Server

	mu            sync.Mutex
	announcements http.Header
	arrivals      []time.Time
}

const announcingServiceTime = 20 * time.Millisecond

func newAnnouncingTarget() *announcingTarget {
	t := &announcingTarget{announcements: http.Header{}}
	t.server = httptest.NewServer(t)
	DeferCleanup(t.server.Close)
	return t
}

func (t *announcingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	for name, values := range t.announcements {
		w.Header()[name] = values
	}
	t.mu.Unlock()
	time.Sleep(announcingServiceTime)
	w.Header().Set(platform.RequestIDHeader, r.Header.Get(platform.RequestIDHeader))
	w.Header().Set(platform.SignatureHeader, "s")
	_, _ = io.WriteString(w, "body")
}

// announce sets a header of all further answers; an empty value removes it.
func (t *announcingTarget) announce(name, value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if value == "" {
		t.announcements.Del(name)
		return
	}
	t.announcements.Set(name, value)
}

// busiest returns the largest number of calls in a window that begins after a time.
func (t *announcingTarget) busiest(after time.Time, window time.Duration) (most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, from := range t.arrivals {
		n := 0
		for _, a := range t.arrivals[i:] {
			if a.Sub(from) <= window {
				n++
			}
		}
		if from.After(after) {
			most = max(most, n)
		}
	}
	return most
}

func (t *announcingTarget) calls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.arrivals)
}

// newGateFor returns a gate whose target is open.
func newGateFor(t *announcingTarget) *gate.Gate {
	address := fleet.Address(t.server.Listener.Addr().String())
	g := gate.New(gate.Deps{Dialect: platform.Dialect{}, Log: slog.New(slog.NewTextHandler(GinkgoWriter, nil)), Metrics: metrics.NewSet(), Now: time.Now,
		Uplink: gate.NewLink(0, time.Now), Downlink: gate.NewLink(0, time.Now), OnChange: func() {}}, "stock", address)
	for sequence := range uint64(2) {
		g.HandleHeartbeat(lifecycle.Heartbeat{ID: "i-1", StartTime: 1, Sequence: sequence + 1, Service: "stock", Address: address, Slots: 9})
	}
	Expect(g.Target().State).To(Equal(lifecycle.Open))
	return g
}

func callTo(id string, policy hop.QueuePolicy, timeout time.Duration) *hop.Call {
	now := time.Now()
	return &hop.Call{ID: hop.CallID(id), Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{platform.RequestIDHeader: {id}}, Route: "r", Service: "stock", Instance: "i-1", Idempotent: true,
		QueuePolicy: policy, SoftDeadline: now.Add(timeout / 2), Deadline: now.Add(timeout)}
}

var _ = Describe("a target that names a rate limit", Label("known-red"), func() {
	It("gets no more calls than the limit allows while nodes offer many times as many", func() {
		const perSecond, interval = 5, 20 * time.Millisecond
		t := newAnnouncingTarget()
		t.announce(platform.RateLimitHeader, fmt.Sprintf("%d.0", perSecond))
		g := newGateFor(t)
		Expect(g.Do(context.Background(), callTo("first", hop.AllowQueueing, time.Second))).To(BeAssignableToTypeOf(&hop.Answered{}))
		told := time.Now()
		var wg sync.WaitGroup
		for i := 0; time.Since(told) < limitWindow+time.Second; i++ {
			wg.Go(func() { g.Do(context.Background(), callTo(fmt.Sprint(i), hop.AllowQueueing, time.Second)) })
			time.Sleep(interval)
		}
		wg.Wait()
		Expect(t.busiest(told, limitWindow)).To(BeNumerically("<=", int(limitFactor*perSecond*limitWindow.Seconds())+limitSlack))
		Expect(t.calls()).To(BeNumerically(">=", perSecond*int(limitWindow.Seconds())), "the calls that the limit allows are sent")
	})
})
