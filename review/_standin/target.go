package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/platform"
)

const slots = 9

// target is a stand-in upstream that speaks HTTP/1.1 on raw connections.
type target struct {
	d       *deployment
	n       *node
	id      string
	born    int64
	work    time.Duration
	seq     atomic.Uint64
	leaving atomic.Bool // the health check fails and heartbeats say draining
	beating atomic.Bool
	ln      net.Listener

	mu   sync.Mutex
	runs map[string]int
}

func (d *deployment) addTarget(n *node, id string, work time.Duration) (*target, error) {
	ln, err := net.Listen("tcp4", n.app)
	if err != nil {
		return nil, err
	}
	t := &target{d: d, n: n, id: id, born: time.Now().UnixMilli(), work: work, ln: ln, runs: map[string]int{}}
	t.beating.Store(true)
	d.onClose(func() { _ = ln.Close() })
	go t.accept()
	go t.beat()
	return t, nil
}

func (t *target) accept() {
	for {
		c, err := t.ln.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

func (t *target) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == healthPath {
			t.writeHealth(c)
			continue
		}
		id := r.Header.Get(platform.RequestIDHeader)
		if want := r.Header.Get(platform.TargetHeader); want != "" && want != t.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, t.id)
			continue
		}
		t.run(id)
		time.Sleep(t.work)
		if _, err := c.Write(t.success(id, body)); err != nil {
			return
		}
	}
}

func (t *target) writeHealth(c net.Conn) {
	status := "200 OK"
	if t.leaving.Load() {
		status = "503 Service Unavailable"
	}
	t.d.record("%s answers a health check with %s", t.id, status)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nInstance-Id: %s\r\nServer-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", status, t.id, slots)
}

// run records that the target has begun to work on a request.
func (t *target) run(id string) {
	t.d.record("%s runs %s", t.id, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id]++
}

// ran returns how often the target has run a request.
func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// success returns the answer to a request that was run to a good end.
func (t *target) success(id string, body []byte) []byte {
	var b bytes.Buffer
	leaving := ""
	if t.leaving.Load() {
		leaving = platform.LeavingHeader + ": 1\r\n"
	}
	content := "done " + id + " " + strconv.Itoa(len(body)) + "\n"
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nInstance-Id: %s\r\nServer-Load: 1,0,%d,100\r\n%sContent-Length: %d\r\n\r\n%s",
		id, t.id, id, t.id, slots, leaving, len(content), content)
	return b.Bytes()
}

// beat sends heartbeats to the node beside the target.
func (t *target) beat() {
	for t.beating.Load() {
		state := "ready"
		if t.leaving.Load() {
			state = "draining"
		}
		if _, err := t.sendState(t.seq.Add(1), state); err != nil {
			t.d.record("%s: heartbeat not acknowledged: %v", t.id, err)
		}
		time.Sleep(heartbeat)
	}
}

// announceDrain reports that the target drains and returns when that was acknowledged; heartbeats go on.
func (t *target) announceDrain() (ackAt time.Time, err error) {
	t.leaving.Store(true)
	status, err := t.sendState(t.seq.Add(1), "draining")
	if err != nil || status/100 != 2 {
		return time.Time{}, fmt.Errorf("draining not acknowledged: status %d, %w", status, err)
	}
	t.d.record("the draining of %s is acknowledged", t.id)
	return time.Now(), nil
}

// sendBeat sends a heartbeat that says ready.
func (t *target) sendBeat(seq uint64) (status int, err error) { return t.sendState(seq, "ready") }

func (t *target) sendState(seq uint64, state string) (status int, err error) {
	return t.post("/api/Instances.Heartbeat/"+t.id, fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":%q,"sequence":%d,"coldLeftS":0}}`,
		t.born, t.n.app, t.n.service, t.n.zone, slots, state, seq))
}

// deregister announces that the target leaves.
func (t *target) deregister() (status int, err error) {
	return t.post("/api/Instances.Deregister/"+t.id, fmt.Sprintf(`{"born":%d}`, t.born))
}

func (t *target) post(path, body string) (status int, err error) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+t.n.control+path, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}
