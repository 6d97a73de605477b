package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readers     = 12                     // clients that read tour content
	contentSize = 400 << 10              // bytes of each answer
	syncWork    = 240 * time.Millisecond // of a call, as on the sheet
	readPiece   = 16 << 10               // bytes that a client's link brings at a time
	readPause   = 6 * time.Millisecond   // between two of them, about 20 Mbit/s
	routeLimit  = 1200 * time.Millisecond
)

// slowLink reads from a connection as fast as a client's link is.
type slowLink struct{ net.Conn }

func (l slowLink) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return l.Conn.Read(p[:min(len(p), readPiece)])
}

// answerCut stops a node while clients that send one request ahead read their answers.
func answerCut(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	front := f.add("kbh-a", "hovedstaden", "rental-desk")
	f.add("kbh-b", "hovedstaden", "tour-catalog")
	f.add("kbh-a", "hovedstaden", "tour-catalog")
	f.putConfig(1, []route{{"tour-sync", "tours.example", "/sync/", "safe", "tour-catalog", routeLimit.Seconds()}, {"rental-issue", "desk.example", "/desk/", "unsafe", "rental-desk", 1.2}})
	content := strings.Repeat("t", contentSize)
	var mu sync.Mutex
	ran := map[string]bool{}
	if err := f.start(func(*machine) behaviour {
		return behaviour{slots: 9, handle: func(u *upstream, c *call, _ <-chan struct{}) []byte {
			time.Sleep(syncWork)
			rec.add("upstream %s: has run %s", u.id, c.id)
			mu.Lock()
			ran[c.id] = true
			mu.Unlock()
			return u.ok(c, content)
		}}
	}); err != nil {
		return notRun, err
	}
	time.Sleep(4500 * time.Millisecond) // contactS and a margin
	var stopped time.Time
	stop, lost, whole := make(chan struct{}), 0, 0
	var wait sync.WaitGroup
	for i := range readers {
		wait.Go(func() {
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			c, err := net.Dial("tcp4", front.outbound())
			if err != nil {
				return
			}
			defer c.Close()
			smallWindow(c)
			br := bufio.NewReader(slowLink{c})
			sent := map[int]time.Time{}
			send := func(n int) {
				sent[n] = time.Now()
				_, _ = fmt.Fprintf(c, "GET /sync/%d HTTP/1.1\r\nHost: tours.example\r\nRequest-Id: c%02d-%04d\r\nTimeout-Ms: 2000\r\n\r\n", n, i, n)
				rec.add("client %d: sends c%02d-%04d", i, i, n)
			}
			send(0)
			time.Sleep(50 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
				default:
					send(n + 1) // ahead of the answer to n
				}
				if sent[n].IsZero() {
					return
				}
				resp, err := http.ReadResponse(br, nil)
				got := int64(0)
				if err == nil {
					got, err = io.Copy(io.Discard, resp.Body)
				}
				age := time.Since(sent[n])
				id := fmt.Sprintf("c%02d-%04d", i, n)
				mu.Lock()
				switch {
				case err == nil:
					whole++
				case ran[id] && !stopped.IsZero() && age < routeLimit:
					lost++
				}
				rec.add("client %d: %s ends after %v with %d bytes, %v", i, id, age.Round(time.Millisecond), got, err)
				mu.Unlock()
				if err != nil || resp.Close {
					return
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		mu.Lock()
		stopped = time.Now()
		mu.Unlock()
		f.signal(front, syscall.SIGTERM)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()
	rec.add("requests that an upstream had run and whose connection ended without a complete answer after the SIGTERM: %d; complete answers: %d", lost, whole)
	fmt.Printf("lost %d, complete %d\n", lost, whole)
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
