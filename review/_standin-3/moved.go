package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// endpoint is an address at which the store can be reached.
type endpoint struct {
	l  net.Listener
	mu sync.Mutex
	cs map[net.Conn]bool
}

func newEndpoint(store string) (*endpoint, error) {
	l, err := net.Listen("tcp4", freeIP()+":8627")
	if err != nil {
		return nil, err
	}
	e := &endpoint{l: l, cs: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s, err := net.Dial("tcp4", store)
			if err != nil {
				_ = c.Close()
				continue
			}
			e.mu.Lock()
			e.cs[c] = true
			e.mu.Unlock()
			go func() { _, _ = io.Copy(s, c); _ = s.Close() }()
			go func() {
				_, _ = io.Copy(c, s)
				_ = c.Close()
				e.mu.Lock()
				delete(e.cs, c)
				e.mu.Unlock()
			}()
		}
	}()
	return e, nil
}

func (e *endpoint) address() string { return e.l.Addr().String() }

// close ends the endpoint and its connections.
func (e *endpoint) close() {
	_ = e.l.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.cs {
		_ = c.Close()
	}
}

const (
	applyTime = 3 * time.Second // configApplyS
	watched   = 15 * time.Second
)

// storeMoved changes the store's address in the settings files, with SIGHUP, and the configuration afterwards.
func storeMoved(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	before, err := newEndpoint(f.store.Address())
	if err != nil {
		return notRun, err
	}
	defer before.close()
	f.storeAddress = before.address()
	for i, service := range []string{"drafts", "orders", "renders", "drafts", "orders"} {
		f.add([]string{"ishikari-a", "tokachi-a"}[i%2], []string{"ishikari", "tokachi"}[i%2], service)
	}
	routes := []route{{"draft-view", "drafts.example", "/drafts/", "safe", "drafts", 3}, {"order", "orders.example", "/orders/", "unsafe", "orders", 4}, {"fetch", "renders.example", "/renders/", "download", "renders", 3},
		{"moved", "drafts.example", "/moved/", "safe", "drafts", 3}}
	f.putConfig(1, routes)
	var mu sync.Mutex
	ranBy := map[string]string{}
	if err := f.start(func(*machine) behaviour {
		return behaviour{slots: 18, handle: func(u *upstream, c *call, _ <-chan struct{}) []byte {
			rec.add("upstream %s of %s: runs %s, %s", u.id, u.m.service, c.id, c.URL.Path)
			mu.Lock()
			ranBy[c.id] = u.m.service
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
			return u.ok(c, "whole")
		}}
	}); err != nil {
		return notRun, err
	}
	time.Sleep(contact)
	n, older, total := 0, 0, 0
	ask := func(path, want string) {
		for _, m := range f.machines {
			n++
			id := fmt.Sprintf("r%04d", n)
			status, err := request(m.outbound(), fmt.Sprintf("GET %s HTTP/1.1\r\nHost: drafts.example\r\nRequest-Id: %s\r\nTimeout-Ms: 3000\r\n\r\n", path, id), nil)
			mu.Lock()
			by := ranBy[id]
			mu.Unlock()
			rec.add("client at %s: %s %s gets %d, %v, run by %q", m.name, id, path, status, err, by)
			if want == "" {
				continue
			}
			total++
			if by != "" && by != want || status == 404 {
				older++
			}
		}
	}
	ask("/moved/1", "")
	if trouble {
		after, err := newEndpoint(f.store.Address())
		if err != nil {
			return notRun, err
		}
		defer after.close()
		rec.add("platform: the store can be reached at %s too", after.address())
		for i, m := range f.machines {
			if i == 3 {
				time.Sleep(2 * time.Second) // three of the five machines first
			}
			b, err := os.ReadFile(m.settings)
			if err != nil {
				return notRun, err
			}
			b = []byte(strings.ReplaceAll(string(b), "platform.address="+before.address(), "platform.address="+after.address()))
			if err := os.WriteFile(m.settings, b, 0o600); err != nil {
				return notRun, err
			}
			rec.add("machine %s: platform.address=%s", m.name, after.address())
			f.signal(m, syscall.SIGHUP)
		}
		time.Sleep(5 * time.Second)
		rec.add("platform: the store can no longer be reached at %s", before.address())
		before.close()
	}
	time.Sleep(contact)
	ask("/moved/2", "")
	routes[3].service = "orders"
	f.putConfig(2, append(routes, route{"new", "drafts.example", "/new/", "safe", "orders", 3}))
	acked := time.Now()
	time.Sleep(applyTime + 200*time.Millisecond)
	for i := 0; time.Since(acked) < watched; i++ {
		ask(fmt.Sprintf("/moved/%d", 3+i), "orders")
		ask(fmt.Sprintf("/new/%d", i), "orders")
		time.Sleep(time.Second)
	}
	rec.add("requests sent later than %v after the acknowledgement of version 2: %d of %d handled as only version 1 allows", applyTime, older, total)
	fmt.Printf("%d of %d requests handled as only the older version allows\n", older, total)
	if older > 0 {
		return broken, nil
	}
	return held, nil
}
