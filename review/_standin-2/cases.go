package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/platform"
)

// settle is the time from readiness to the load; it exceeds contactS.
const settle = 4 * time.Second

// every calls f in the background at an interval until the time is up, and waits for all calls.
func every(interval, length time.Duration, f func()) {
	var calls sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		calls.Go(f)
	}
	calls.Wait()
}

// signedOK answers a request with a success of the upstream's own.
func signedOK(w http.ResponseWriter, r *http.Request, size int) {
	if deadline, ok := r.Context().Deadline(); ok {
		_ = http.NewResponseController(w).SetWriteDeadline(deadline) // an upstream stops work when the request's time is over
	}
	h := w.Header()
	h.Set(platform.SignatureHeader, fmt.Sprintf("3e1b.07.5a2.%d.0.c9f2a4d1", size))
	h.Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, 64<<10)
	for size > 0 {
		n, err := w.Write(chunk[:min(len(chunk), size)])
		if err != nil {
			return
		}
		size -= n
	}
}

// endlessCase: some answers of an upstream are bytes that are no answer and come without end, in a body.
func endlessCase(w *world, trouble bool) (bool, error) {
	const timeout = 3 * time.Second
	var faulty atomic.Bool
	var endless sync.Map
	orders := func(u *upstream, rw http.ResponseWriter, r *http.Request, id string) {
		if !work(r, 50*time.Millisecond) {
			return
		}
		if !faulty.Load() || rand.Float64() > 0.03 {
			signedOK(rw, r, 1500)
			return
		}
		endless.Store(id, true)
		rw.WriteHeader(http.StatusInternalServerError)
		sent := 0
		for chunk := make([]byte, 16<<10); ; {
			n, err := rw.Write(chunk)
			sent += n
			if err != nil || r.Context().Err() != nil {
				w.rec.printf("run ends  %s: %d bytes without end were sent", id, sent)
				panic(http.ErrAbortHandler)
			}
		}
	}
	w.putConfig([]route{{"r-1", "/xapu221/ny95/", "unsafe", "orders", 2, 0.6, 1, 2}})
	for i := range 5 {
		if _, err := w.addMachine(fmt.Sprintf("sidecar-%d", i+1), "orders", "ishikari-a", "ishikari", 18, orders); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	faulty.Store(trouble)
	var looksWhole, ended, asked atomic.Int64
	every(10*time.Millisecond, 5*time.Second, func() {
		m := w.machines[rand.IntN(len(w.machines))]
		res := request(w.rec, m, http.MethodPost, "/xapu221/ny95/2f", "approve", timeout, timeout)
		asked.Add(1)
		if _, ok := endless.Load(res.id); !ok {
			return
		}
		ended.Add(1)
		if res.status == http.StatusInternalServerError && res.whole && res.bytes > 4<<10 {
			looksWhole.Add(1)
		}
	})
	w.rec.printf("%d requests, %d of them answered without end by an upstream, %d of these looked complete to the client", asked.Load(), ended.Load(), looksWhole.Load())
	return looksWhole.Load() > 0, nil
}

// silentCase: the open connections between the machines go silent for good, three times, while new ones work.
func silentCase(w *world, trouble bool) (bool, error) {
	const (
		timeout = 3 * time.Second
		size    = 16 << 20 // bytes of a download
		length  = 90 * time.Second
		first   = 6 // seconds from the start of the load to the first disruption
		pause   = 6 // seconds between two disruptions
		times   = 3
		clients = 10
	)
	renders := func(u *upstream, rw http.ResponseWriter, r *http.Request, id string) {
		if work(r, 400*time.Millisecond) {
			signedOK(rw, r, size)
		}
	}
	drafts := func(u *upstream, rw http.ResponseWriter, r *http.Request, id string) {
		if work(r, 100*time.Millisecond) {
			signedOK(rw, r, 5000)
		}
	}
	w.putConfig([]route{{"r-1", "/lepu270/", "safe", "drafts", 3, 1, 2, 2}, {"r-2", "/fiti832/ti23/", "download", "renders", 3, 2.5, 2, 2}})
	for i := range 4 {
		service, answer := "drafts", drafts
		if i%2 == 1 {
			service, answer = "renders", renders
		}
		if _, err := w.addMachine(fmt.Sprintf("sidecar-%d", i+1), service, "ishikari-a", "ishikari", 4, answer); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	var served, asked [2]atomic.Int64
	end := time.Now().Add(length)
	ask := func(kind int, path string) {
		for time.Now().Before(end) {
			res := request(w.rec, w.machines[2*rand.IntN(2)], http.MethodGet, path, "", timeout, timeout)
			asked[kind].Add(1)
			if res.status == http.StatusOK && res.whole {
				served[kind].Add(1)
			}
			time.Sleep(max(res.retryAfter, 20*time.Millisecond))
		}
	}
	var load sync.WaitGroup
	for range clients {
		load.Go(func() { ask(1, "/fiti832/ti23/2f") })
	}
	for range 4 {
		load.Go(func() { ask(0, "/lepu270/2f") })
	}
	for i := range int(length.Seconds()) {
		time.Sleep(time.Second)
		if trouble && i >= first && (i-first)%pause == 0 && (i-first)/pause < times {
			n := 0
			for _, m := range w.machines {
				n += m.link.silence()
			}
			w.rec.printf("disruption: the %d open connections between machines go silent; new ones work", n)
		}
		w.rec.printf("so far served: drafts %d of %d, renders %d of %d; requests that the renders upstreams have: %d and %d", served[0].Load(), asked[0].Load(), served[1].Load(),
			asked[1].Load(), w.machines[1].upstream.running.Load(), w.machines[3].upstream.running.Load())
	}
	load.Wait()
	share := func(kind int) float64 { return float64(served[kind].Load()) / float64(max(asked[kind].Load(), 1)) }
	all := float64(served[0].Load()+served[1].Load()) / float64(max(asked[0].Load()+asked[1].Load(), 1))
	w.rec.printf("served: drafts %.3f, renders %.3f, all %.3f", share(0), share(1), all)
	return share(1) < all/4, nil
}

// foreignBeats are heartbeats of another writer: each lacks a field, or has one of another type.
var foreignBeats = []string{
	`{"born":%d,"address":%q,"info":{"service":"orders","version":"v1","slots":18},"status":{"state":"ready","sequence":1,"coldLeftS":0}}`,          // no zone
	`{"born":%d,"address":%q,"info":{"service":"orders","version":"v1","zone":7,"slots":18},"status":{"state":"ready","sequence":1,"coldLeftS":0}}`, // a zone of another type
	`{"born":%d,"address":%q,"info":{"service":"orders","zone":"ishikari-a","slots":18},"status":{"state":"ready","sequence":1,"coldLeftS":0}}`,     // no version
	`{"born":%d,"address":%q,"info":{"service":"orders","version":"v1","zone":"ishikari-a","slots":18},"status":{"state":"ready","sequence":1}}`,    // no coldLeftS
}

// foreignCase: each node beside an upstream of one service gets one heartbeat of another writer.
func foreignCase(w *world, trouble bool) (bool, error) {
	const (
		timeout = 4 * time.Second
		length  = 70 * time.Second
		before  = 5 * time.Second
		pause   = 100 * time.Millisecond
	)
	answer := func(u *upstream, rw http.ResponseWriter, r *http.Request, id string) {
		if work(r, 50*time.Millisecond) {
			signedOK(rw, r, 1500)
		}
	}
	w.putConfig([]route{{"r-1", "/lepu270/", "safe", "drafts", 1.5, 0.5, 2, 2}, {"r-2", "/xapu221/ny95/", "unsafe", "orders", 2, 0.6, 1, 2}})
	for i := range 6 {
		service := "orders"
		if i >= len(foreignBeats) {
			service = "drafts"
		}
		if _, err := w.addMachine(fmt.Sprintf("sidecar-%d", i+1), service, "ishikari-a", "ishikari", 18, answer); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	var served, asked [2]atomic.Int64
	ask := func(kind int, method, path, body string) func() {
		return func() {
			res := request(w.rec, w.machines[rand.IntN(len(w.machines))], method, path, body, timeout, timeout)
			asked[kind].Add(1)
			if res.status == http.StatusOK && res.whole && res.signed {
				served[kind].Add(1)
			}
		}
	}
	var load sync.WaitGroup
	load.Go(func() { every(pause, length, ask(0, http.MethodGet, "/lepu270/2f", "")) })
	load.Go(func() { every(pause, length, ask(1, http.MethodPost, "/xapu221/ny95/2f", "approve")) })
	time.Sleep(before)
	if trouble {
		for i, beat := range foreignBeats {
			address, err := freeAddress()
			if err != nil {
				return false, err
			}
			body := fmt.Sprintf(beat, time.Now().UnixMilli(), address)
			status, err := post(w.machines[i].control, fmt.Sprintf("i-other-%d", i), body)
			w.rec.printf("disruption: one heartbeat of another writer at the control address of %s: %s -> %d %v", w.machines[i].name, body, status, err)
		}
	}
	load.Wait()
	share := func(kind int) float64 { return float64(served[kind].Load()) / float64(max(asked[kind].Load(), 1)) }
	all := float64(served[0].Load()+served[1].Load()) / float64(max(asked[0].Load()+asked[1].Load(), 1))
	w.rec.printf("served: drafts %.3f, orders %.3f, all %.3f", share(0), share(1), all)
	return share(1) < all/4, nil
}

// promisesNotRun reports whether a status promises that a request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// greyCase: upstreams fail some requests, after having run them, with a 503 that doesn't say that they were not run.
func greyCase(w *world, trouble bool) (bool, error) {
	const timeout = 4 * time.Second
	var faulty atomic.Bool
	var ran sync.Map
	orders := func(u *upstream, rw http.ResponseWriter, r *http.Request, id string) {
		ran.Store(id, true)
		if !work(r, 50*time.Millisecond) {
			return
		}
		if faulty.Load() && rand.Float64() < 0.3 {
			w.rec.printf("run ends  %s: 503 without %s", id, platform.NotExecutedHeader)
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		signedOK(rw, r, 1500)
	}
	w.putConfig([]route{{"r-1", "/xapu221/ny95/", "unsafe", "orders", 2, 0.6, 1, 2}})
	for i := range 3 {
		if _, err := w.addMachine(fmt.Sprintf("sidecar-%d", i+1), "orders", "ishikari-a", "ishikari", 18, orders); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	faulty.Store(trouble)
	var asked, refused, again atomic.Int64
	every(50*time.Millisecond, 5*time.Second, func() {
		m := w.machines[rand.IntN(len(w.machines))]
		first := request(w.rec, m, http.MethodPost, "/xapu221/ny95/2f", "approve", timeout, timeout)
		asked.Add(1)
		if _, run := ran.Load(first.id); !run || !promisesNotRun(first.status) {
			return
		}
		refused.Add(1)
		// The client trusts the promise and asks again.
		time.Sleep(first.retryAfter)
		second := request(w.rec, m, http.MethodPost, "/xapu221/ny95/2f", "approve", timeout, timeout)
		if _, run := ran.Load(second.id); run {
			again.Add(1)
			w.rec.printf("run twice %s, and again as %s after the promise that it had not run", first.id, second.id)
		}
	})
	w.rec.printf("%d orders, %d answered with the promise that they had not run although they had, %d of these run again when the client asked again", asked.Load(), refused.Load(), again.Load())
	return refused.Load() > 0, nil
}

// unlistedCase: the store turns one machine of five away and takes its key; meanwhile its node is killed and starts again. Later,
// with the store serving all, that machine freezes for a moment.
func unlistedCase(w *world, trouble bool) (bool, error) {
	const (
		timeout  = 3 * time.Second
		length   = 105 * time.Second
		pause    = 100 * time.Millisecond
		away     = 9 * time.Second
		killed   = time.Second // after the store has begun to turn the machine away
		down     = 300 * time.Millisecond
		between  = 4 * time.Second // from the store's serving it again to the freeze; it exceeds contactS
		freeze   = 4 * time.Second
		disturbs = 1 // index of the machine; it is none of the two heads of its region
	)
	answer := func(u *upstream, rw http.ResponseWriter, r *http.Request, id string) {
		if work(r, 50*time.Millisecond) {
			signedOK(rw, r, 1500)
		}
	}
	w.putConfig([]route{{"r-1", "/lepu270/", "safe", "drafts", 1.5, 0.5, 2, 2}, {"r-2", "/xapu221/ny95/", "unsafe", "orders", 2, 0.6, 1, 2}})
	for i := range 5 {
		service := "drafts"
		if i == disturbs {
			service = "orders"
		}
		if _, err := w.addMachine(fmt.Sprintf("sidecar-%d", i+1), service, "ishikari-a", "ishikari", 18, answer); err != nil {
			return false, err
		}
	}
	if err := w.waitReady(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	var served, asked [2]atomic.Int64
	ask := func(kind int, method, path, body string) func() {
		return func() {
			res := request(w.rec, w.machines[2+rand.IntN(3)], method, path, body, timeout, timeout)
			asked[kind].Add(1)
			if res.status == http.StatusOK && res.whole && res.signed {
				served[kind].Add(1)
			}
		}
	}
	var load sync.WaitGroup
	load.Go(func() { every(pause, length, ask(0, http.MethodGet, "/lepu270/2f", "")) })
	load.Go(func() { every(pause, length, ask(1, http.MethodPost, "/xapu221/ny95/2f", "approve")) })
	m := w.machines[disturbs]
	tell := func(what string) {
		_, listed := w.store.Get(string(platform.MemberKey(fleet.NodeID(m.name))))
		w.rec.printf("%s; so far served: drafts %d of %d, orders %d of %d; the store lists the machine: %v", what, served[0].Load(), asked[0].Load(), served[1].Load(), asked[1].Load(), listed)
	}
	if trouble {
		tell("disruption: the store turns " + m.name + " away and takes its key")
		m.storeLink.refuse(true)
		w.store.RemovePrefix(string(platform.MemberKey(fleet.NodeID(m.name))))
		time.Sleep(killed)
		tell("disruption: its node is killed")
		m.kill()
		time.Sleep(down)
		if err := m.startNode(w.program); err != nil {
			return false, err
		}
		time.Sleep(away - killed - down)
		m.storeLink.refuse(false)
		tell("the store serves " + m.name + " again")
		time.Sleep(between)
		tell("disruption: " + m.name + " freezes")
		m.pause(freeze)
		tell(m.name + " wakes")
		for range 8 {
			time.Sleep(10 * time.Second)
			tell("no disruption")
		}
	}
	load.Wait()
	share := func(kind int) float64 { return float64(served[kind].Load()) / float64(max(asked[kind].Load(), 1)) }
	all := float64(served[0].Load()+served[1].Load()) / float64(max(asked[0].Load()+asked[1].Load(), 1))
	w.rec.printf("served: drafts %.3f, orders %.3f, all %.3f", share(0), share(1), all)
	return share(1) < all/4, nil
}
