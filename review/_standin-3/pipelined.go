package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	leavers   = 16                      // clients that leave
	ahead     = 3                       // requests that each sends before the first is answered
	workTime  = 1200 * time.Millisecond // of a call; the sheet has 240 ms on average and 2,500 ms at most
	leaveTime = 400 * time.Millisecond  // after the first request, half of the latency objective
	goneAfter = 500 * time.Millisecond  // after the close
	fewCalls  = 5                       // that may reach an upstream later than that
)

// pipelinedLeave has clients that send requests ahead of the first answer and leave before it.
func pipelinedLeave(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	front := f.add("kbh-a", "hovedstaden", "rental-desk")
	f.add("kbh-b", "hovedstaden", "tour-catalog")
	f.add("kbh-a", "hovedstaden", "tour-catalog")
	f.putConfig(1, []route{{"tour-sync", "tours.example", "/sync/", "safe", "tour-catalog", 10}, {"rental-issue", "desk.example", "/desk/", "unsafe", "rental-desk", 10}})
	type arrival struct {
		at    time.Time
		ended time.Time
		done  bool
	}
	var mu sync.Mutex
	arrivals := map[string]arrival{}
	behave := behaviour{slots: 9, handle: func(u *upstream, c *call, gone <-chan struct{}) []byte {
		rec.add("upstream %s: runs %s", u.id, c.id)
		mu.Lock()
		arrivals[c.id] = arrival{at: time.Now()}
		mu.Unlock()
		end := func(done bool) {
			mu.Lock()
			a := arrivals[c.id]
			a.ended, a.done = time.Now(), done
			arrivals[c.id] = a
			mu.Unlock()
			rec.add("upstream %s: ends %s, whole: %v", u.id, c.id, done)
		}
		select {
		case <-time.After(workTime):
			end(true)
			return u.ok(c, "whole")
		case <-gone:
			end(false)
			return nil
		}
	}}
	if err := f.start(func(*machine) behaviour { return behave }); err != nil {
		return notRun, err
	}
	time.Sleep(4500 * time.Millisecond) // contactS and a margin
	var warm sync.WaitGroup
	for i := range leavers {
		warm.Go(func() { // a node uses all slots of a target only once that has answered
			status, err := request(front.outbound(), fmt.Sprintf("GET /sync/first HTTP/1.1\r\nHost: tours.example\r\nRequest-Id: first%02d\r\nTimeout-Ms: 2000\r\n\r\n", i), nil)
			rec.add("client %d: first request gets %d, %v", i, status, err)
		})
	}
	warm.Wait()
	closed := map[string]time.Time{}
	var wait sync.WaitGroup
	for i := range leavers {
		wait.Go(func() {
			c, err := net.Dial("tcp4", front.outbound())
			if err != nil {
				return
			}
			defer c.Close()
			began := time.Now()
			send := func(n int) {
				id := fmt.Sprintf("c%02d%02d%012x", i, n, began.UnixNano()&0xffffffffffff)
				_, _ = fmt.Fprintf(c, "GET /sync/%d HTTP/1.1\r\nHost: tours.example\r\nRequest-Id: %s\r\nTimeout-Ms: 2000\r\n\r\n", n, id)
				rec.add("client %d: sends %s", i, id)
				mu.Lock()
				closed[id] = time.Time{}
				mu.Unlock()
			}
			for n := range ahead {
				send(n)
				time.Sleep(50 * time.Millisecond)
			}
			if trouble {
				time.Sleep(time.Until(began.Add(leaveTime)))
				rec.add("client %d: closes its connection", i)
				mu.Lock()
				for id := range closed {
					if id[:3] == fmt.Sprintf("c%02d", i) {
						closed[id] = time.Now()
					}
				}
				mu.Unlock()
				return
			}
			br := bufio.NewReader(c)
			for range ahead {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					rec.add("client %d: %v", i, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				rec.add("client %d: gets %d", i, resp.StatusCode)
			}
		})
	}
	wait.Wait()
	time.Sleep(ahead*workTime + time.Second)
	mu.Lock()
	defer mu.Unlock()
	late, atWork, wouldLast := 0, 0, 0
	for id, at := range closed {
		a, ran := arrivals[id]
		if at.IsZero() || !ran {
			continue
		}
		limit := at.Add(goneAfter)
		switch {
		case a.at.After(limit):
			late++
		case a.at.Add(workTime).After(limit):
			wouldLast++
			if a.ended.IsZero() || a.ended.After(limit) {
				atWork++
			}
		}
	}
	rec.add("requests that reached an upstream over %v after their client had closed: %d (more than %d break the rule)", goneAfter, late, fewCalls)
	rec.add("requests at work %v after the close: %d of %d that would have lasted so long (more than a quarter break the rule)", goneAfter, atWork, wouldLast)
	fmt.Printf("late arrivals %d, at work %d of %d\n", late, atWork, wouldLast)
	if late > fewCalls || atWork*4 > wouldLast {
		return broken, nil
	}
	return held, nil
}
