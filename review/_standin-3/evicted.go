package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slowSenders = 1000                   // clients of the crowd
	sendPause   = 150 * time.Millisecond // between two bytes that one of them sends
	ordinary    = 10                     // ordinary clients
	videoSize   = 200 << 10              // bytes of each answer
	linkPiece   = 16 << 10               // bytes that an ordinary client's link brings at a time
	linkPause   = 25 * time.Millisecond  // between two of them, about 5 Mbit/s
	crowdTime   = 12 * time.Second
	lostAllowed = 3
)

// ordinaryLink reads from a connection as fast as an ordinary client's link is.
type ordinaryLink struct{ net.Conn }

func (l ordinaryLink) Read(p []byte) (int, error) {
	time.Sleep(linkPause)
	return l.Conn.Read(p[:min(len(p), linkPiece)])
}

// answersEvicted has a crowd that sends slowly beside ordinary clients that read answers.
func answersEvicted(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	f.memoryMB = machineMemory
	front := f.add("ishikari-a", "ishikari", "orders")
	f.add("ishikari-b", "ishikari", "renders")
	f.add("ishikari-a", "ishikari", "renders")
	f.putConfig(1, []route{{"video-fetch", "renders.example", "/renders/", "download", "renders", 4}, {"final-approve", "orders.example", "/orders/", "unsafe", "orders", 4}})
	video := strings.Repeat("v", videoSize)
	var mu sync.Mutex
	ran := map[string]bool{}
	if err := f.start(func(*machine) behaviour {
		return behaviour{slots: 18, handle: func(u *upstream, c *call, _ <-chan struct{}) []byte {
			time.Sleep(250 * time.Millisecond)
			rec.add("upstream %s: has run %s", u.id, c.id)
			mu.Lock()
			ran[c.id] = true
			mu.Unlock()
			if strings.HasSuffix(c.URL.Path, "/poster") {
				return u.ok(c, video[:2000])
			}
			return u.ok(c, video)
		}}
	}); err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	end := time.Now().Add(crowdTime)
	var wait sync.WaitGroup
	crowdConns := 0
	if trouble {
		for range slowSenders {
			wait.Go(func() {
				for time.Now().Before(end) {
					c, err := net.Dial("tcp4", front.outbound())
					if err != nil {
						time.Sleep(sendPause)
						continue
					}
					mu.Lock()
					crowdConns++
					mu.Unlock()
					_, err = io.WriteString(c, "GET /renders/1 HTTP/1.1\r\nHost: renders.example\r\nX-Text: ")
					for err == nil && time.Now().Before(end) {
						time.Sleep(sendPause)
						_, err = io.WriteString(c, "x")
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(2 * time.Second)
	}
	whole, cut, other := 0, 0, 0
	for i := range ordinary {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, err := net.Dial("tcp4", front.outbound())
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(8 * time.Second))
				smallWindow(c)
				br := bufio.NewReader(ordinaryLink{c})
				for k, path := range []string{"poster", "video"} { // the second on the kept connection
					id := fmt.Sprintf("o%02d-%04d-%s", i, n, path)
					_, _ = fmt.Fprintf(c, "GET /renders/%d/%s HTTP/1.1\r\nHost: renders.example\r\nRequest-Id: %s\r\nTimeout-Ms: 8000\r\n\r\n", n, path, id)
					resp, err := http.ReadResponse(br, nil)
					got := int64(0)
					if err == nil {
						got, err = io.Copy(io.Discard, resp.Body)
					}
					mu.Lock()
					switch {
					case err == nil && resp.StatusCode == http.StatusOK:
						whole += k
					case err != nil && ran[id]:
						cut += k
					default:
						other++
					}
					rec.add("client %d: %s ends with %d bytes, %v", i, id, got, err)
					mu.Unlock()
					if err != nil {
						break
					}
				}
				_ = c.Close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	rec.add("crowd: %d connections; machine %s: resident %d MiB", crowdConns, front.name, front.memory("VmRSS"))
	rec.add("ordinary clients, requests for a video on kept connections: %d whole answers, %d that an upstream had run and whose connection was closed without a whole answer (more than 3 break the rule); other ends: %d", whole, cut, other)
	fmt.Printf("whole %d, cut %d, other %d; crowd's connections %d\n", whole, cut, other, crowdConns)
	if cut > lostAllowed {
		return broken, nil
	}
	return held, nil
}
