package gate_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/config"
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

const (
	announcingServiceTime = 20 * time.Millisecond
	announcingHealthPath  = "/health"
)

func newAnnouncingTarget() *announcingTarget {
	t := &announcingTarget{announcements: http.Header{}}
	t.server = httptest.NewServer(t)
	DeferCleanup(t.server.Close)
	return t
}

func (t *announcingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == announcingHealthPath {
		w.Header().Set(platform.InstanceIDHeader, "i-1")
		return
	}
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
	p, err := config.CompilePlan(1, []config.PlanService{{Name: "stock", HealthPath: announcingHealthPath}}, nil, config.CallerLimits{})
	Expect(err).NotTo(HaveOccurred())
	g.HandleHeartbeat(lifecycle.Heartbeat{ID: "i-1", StartTime: 1, Sequence: 1, Service: "stock", Address: address, Slots: 9})
	g.ApplyPlan(p)
	Eventually(func() lifecycle.State { return g.Target().State }).Should(Equal(lifecycle.Open))
	return g
}

func callTo(id string, policy hop.QueuePolicy, timeout time.Duration) *hop.Call {
	now := time.Now()
	return &hop.Call{ID: hop.CallID(id), Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{platform.RequestIDHeader: {id}}, Route: "r", Service: "stock", Instance: "i-1", Idempotent: true,
		QueuePolicy: policy, SoftDeadline: now.Add(timeout / 2), Deadline: now.Add(timeout)}
}

var _ = Describe("a target that names a rate limit", func() {
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
	It("gets few calls from a node that has restarted until its first answer", func() {
		const slots, policy = 9, hop.FailFast
		t := newAnnouncingTarget()
		t.announce(platform.RateLimitHeader, "0.5")
		g := newGateFor(t)
		var wg sync.WaitGroup
		for i := range 2 * slots {
			wg.Go(func() { g.Do(context.Background(), callTo(fmt.Sprint(i), policy, time.Second)) })
		}
		wg.Wait()
		g.Do(context.Background(), callTo("later", policy, time.Second))
		Expect(t.calls()).To(BeNumerically("<=", limitSlack))
	})
	It("is called without a limit again once an answer to a later call names none", func() {
		t := newAnnouncingTarget()
		t.announce(platform.RateLimitHeader, "4")
		g := newGateFor(t)
		do := func(id string) hop.Outcome {
			return g.Do(context.Background(), callTo(id, hop.AllowQueueing, 2*time.Second))
		}
		do("first")
		t.announce(platform.RateLimitHeader, "")
		do("second")
		for i := range 10 {
			Expect(g.Do(context.Background(), callTo(fmt.Sprint(i), hop.FailFast, time.Second))).To(BeAssignableToTypeOf(&hop.Answered{}))
		}
	})
})

var _ = Describe("a target that announces its leaving in an answer", func() {
	It("gets no further call, although its heartbeats go on", func() {
		t := newAnnouncingTarget()
		t.announce(platform.LeavingHeader, "1")
		g := newGateFor(t)
		first := g.Do(context.Background(), callTo("first", hop.AllowQueueing, time.Second))
		Expect(first).To(BeAssignableToTypeOf(&hop.Answered{}))
		Expect(hop.LoadOf(first).Leaving).To(BeTrue())
		g.HandleHeartbeat(lifecycle.Heartbeat{ID: "i-1", StartTime: 1, Sequence: 9, Service: "stock", Address: g.Target().Address, Slots: 9})
		later := g.Do(context.Background(), callTo("later", hop.AllowQueueing, time.Second))
		Expect(later).To(BeAssignableToTypeOf(hop.Refused{}))
		Expect(later.(hop.Refused).Cause).To(Equal(hop.Closed))
		Expect(t.calls()).To(Equal(1))
	})
})

var _ = Describe("a queue with a rate limit", func() {
	It("keeps the arrivals of any window within the limits named while they rise, fall and end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const slots, serviceTime, step = 9, 60 * time.Millisecond, 10 * time.Millisecond
			q := gate.NewQueue()
			q.SetLimit(start, slots)
			offered := rapid.Float64Range(0.5, 6).Draw(t, "calls per step")
			steps := rapid.IntRange(500, 1500).Draw(t, "steps")
			rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
			limit := hop.CallRate(rapid.Float64Range(0, 40).Draw(t, "limit"))
			volatility := rapid.Float64Range(0, 0.02).Draw(t, "share of steps in which the limit changes")
			q.SetRateLimit(start, gate.RateLimit{Named: true, PerSecond: limit})
			var arrivals []int
			var limits []hop.CallRate
			var running []time.Time // when the running calls end
			for i := range steps {
				now := start.Add(time.Duration(i) * step)
				arrived := 0
				for len(running) > 0 && !running[0].After(now) {
					running = running[1:]
					q.Release(now, "", serviceTime)
				}
				if rng.Float64() < volatility {
					limit = hop.CallRate(rng.Float64() * 40)
					q.SetRateLimit(now, gate.RateLimit{Named: true, PerSecond: limit})
				}
				admitted := func(d gate.Decision) {
					if _, ok := d.(gate.Admitted); ok {
						arrived++
						running = append(running, now.Add(serviceTime))
					}
				}
				q.Refresh(now)
				for n := offered; rng.Float64() < n; n-- {
					admitted(q.Offer(now, &gate.Ticket{SoftDeadline: now.Add(time.Second), Deadline: now.Add(2 * time.Second), QueuePolicy: hop.QueuePolicy(rng.IntN(2)), OnDecision: admitted}))
				}
				arrivals, limits = append(arrivals, arrived), append(limits, limit)
			}
			window := int(limitWindow / step)
			for from := range arrivals {
				calls, allowed := 0, float64(limitSlack)
				for i := from; i < min(from+window, steps); i++ {
					calls += arrivals[i]
					allowed += limitFactor * float64(limits[i]) * step.Seconds()
				}
				if from+window <= steps && float64(calls) > allowed {
					t.Fatalf("%d calls in the window from step %d, %.0f allowed", calls, from, allowed)
				}
			}
		})
	})
	It("sends the calls that the limit allows, whatever is offered", func() {
		const perSecond, seconds = 7, 20
		q := gate.NewQueue()
		q.SetLimit(start, 9)
		q.SetRateLimit(start, gate.RateLimit{Named: true, PerSecond: perSecond})
		sent := 0
		for ms := 0; ms < seconds*1000; ms += 20 {
			q.Refresh(at(ms))
			count := func(d gate.Decision) {
				if _, ok := d.(gate.Admitted); ok {
					sent++
					q.Release(at(ms), "", 0)
				}
			}
			count(q.Offer(at(ms), &gate.Ticket{SoftDeadline: at(ms + 600), Deadline: at(ms + 2000), QueuePolicy: hop.AllowQueueing, OnDecision: count}))
		}
		Expect(sent).To(BeNumerically("~", perSecond*seconds, 3))
	})
	It("refuses at once what the limit can't admit in time, and says when it can", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 9)
		q.SetRateLimit(start, gate.RateLimit{Named: true, PerSecond: 2})
		offer := func(ms int, policy hop.QueuePolicy) gate.Decision {
			return q.Offer(at(ms), &gate.Ticket{SoftDeadline: at(1200), Deadline: at(5000), QueuePolicy: policy})
		}
		Expect(offer(0, hop.FailFast)).To(Equal(gate.Rejected{Cause: hop.Busy, Wait: 500 * time.Millisecond}))
		Expect(offer(0, hop.AllowQueueing)).To(Equal(gate.Queued{}))
		Expect(offer(1, hop.AllowQueueing)).To(Equal(gate.Queued{}))
		Expect(offer(2, hop.AllowQueueing)).To(Equal(gate.Rejected{Cause: hop.TooLate, Wait: 1498 * time.Millisecond}))
	})
	It("admits queued calls at once when the limit is lifted", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 9)
		q.SetRateLimit(start, gate.RateLimit{Named: true, PerSecond: 2})
		w := offerTicket(q, start, "waits", 1, at(1200), at(5000))
		Expect(w.decision).To(Equal(gate.Queued{}))
		q.SetRateLimit(at(10), gate.RateLimit{})
		Expect(w.decision).To(BeAssignableToTypeOf(gate.Admitted{}))
	})
	It("is not set back by a question about an earlier time", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 9)
		q.SetRateLimit(start, gate.RateLimit{Named: true, PerSecond: 2})
		Expect(q.RateWait(at(250))).To(Equal(250 * time.Millisecond))
		Expect(q.RateWait(at(125))).To(Equal(250*time.Millisecond), "as of the latest time")
		Expect(q.RateWait(at(500))).To(BeZero())
	})
	It("does not count a call that was admitted and not sent", func() {
		q := gate.NewQueue()
		q.SetLimit(start, 9)
		q.SetRateLimit(start, gate.RateLimit{Named: true, PerSecond: 2})
		Expect(offerTicket(q, at(500), "first", 1, at(1200), at(5000)).decision).To(Equal(gate.Admitted{}))
		q.ReleaseUnsent(at(500))
		Expect(offerTicket(q, at(500), "second", 1, at(1200), at(5000)).decision).To(Equal(gate.Admitted{}))
	})
})
