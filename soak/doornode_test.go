package soak_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cassialead/cassialead/cmds"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/platform/standin"
)

// ownFleet is a fleet of one node that an operator has started by hand: store, node and target, each a process with lowered limits.
type ownFleet struct {
	store, node, target                            *process
	storeAddress, call, link, local, targetAddress fleet.Address
}

// startOwnFleet starts a fleet and waits until it serves.
func startOwnFleet(t *testing.T) *ownFleet {
	t.Helper()
	host := standin.LoopbackIP()
	free := func() fleet.Address { return fleet.Address(fmt.Sprintf("%s:%d", host, doorPorts.Add(1))) }
	f := &ownFleet{storeAddress: free(), call: free(), link: free(), local: free()}
	limits := fmt.Sprintf(" --memory %d --descriptors %d", doorMemoryMB, doorDescriptors)
	f.store = startCommand(t, strings.Fields(fmt.Sprintf("standin store --listen %s%s", f.storeAddress, limits))...)
	dir := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	f.node = startCommand(t, "node", write("node.ini", fmt.Sprintf("[node]\nvm = door\ndata-centre = dc\nregion = r\ncall = %s\nlink = %s\nlocal = %s\nseeds = %s\n"+
		"[store]\naddress = http://%s\n[limits]\nmemory = %d\ndescriptors = %d\n", f.call, f.link, f.local, f.link, f.storeAddress, doorMemoryMB, doorDescriptors)))
	f.target = startCommand(t, strings.Fields(fmt.Sprintf("standin target --service stock --node %s%s", f.local, limits))...)
	document := write("document.ini", "[defaults]\ntimeout = 2s\n[service stock]\ncalls = idempotent\n[route stock]\npath = /stock\nservice = stock\n")
	applied := retry(10*time.Second, func() int {
		if cmds.Run([]string{"apply", document, "--store", "http://" + string(f.storeAddress)}, io.Discard, io.Discard) == 0 {
			return http.StatusOK
		}
		return 0
	})
	if applied != http.StatusOK {
		t.Fatal("the document was not accepted")
	}
	if status := retry(20*time.Second, f.request); status != http.StatusOK {
		t.Fatalf("the fleet does not serve without a crowd: %d", status)
	}
	output, _ := os.ReadFile(f.target.log)
	address := regexp.MustCompile(`target of stock listens on (\S+)`).FindSubmatch(output)
	if address == nil {
		t.Fatalf("the target's address is not known: %s", output)
	}
	f.targetAddress = fleet.Address(address[1])
	return f
}

// get returns the status of a request on a new connection, or zero.
func get(url string) int {
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := c.Get(url)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// request sends a call through the node, and a query that its control loop answers.
func (f *ownFleet) request() int {
	if status := get("http://" + string(f.local) + "/v1/status"); status != http.StatusOK {
		return status
	}
	return get("http://" + string(f.call) + "/stock/1")
}

// pipeline returns many requests that are sent ahead on one connection.
func pipeline(path, fields string, n int) string {
	return strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: a.example\r\n"+fields+"\r\n", n)
}

// stoppedFrame returns the handshake of a WebSocket and a frame of the given length that stops one byte short of its end.
func stoppedFrame(path string, length int) (handshake, frame string) {
	f := binary.BigEndian.AppendUint64([]byte{0x82, 0x80 | 127}, uint64(length))
	f = append(f, 0, 0, 0, 0) // the mask
	return "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n", string(f) + strings.Repeat("x", length-1)
}

const peerFields = "Cassialead-Attempt: a\r\nCassialead-Service: stock\r\nCassialead-Timeout-Ms: 60000\r\nCassialead-Max-Wait-Ms: 60000\r\n"

// Each form guards against a node of an operator that loses its memory, its descriptors or its control loop to such clients.
func TestDoorOwnNode(t *testing.T) {
	const third = doorCrowd / 3
	for name, attack := range map[string]func(*ownFleet){
		"bodies with a length stop one byte short": func(f *ownFleet) {
			f.node.crowd(third, f.call, withLength("/stock/1", 64<<10, 64<<10-1))
			f.node.crowd(third, f.link, head("/stock/1", peerFields+"Content-Length: 1048576\r\n")+strings.Repeat("x", 1<<20-1))
			f.node.crowd(third, f.local, withLength("/v1/targets", 64<<10, 64<<10-1))
		},
		"bodies in chunks stop short of their end": func(f *ownFleet) {
			f.node.crowd(third, f.call, inChunks("/stock/1", doorBody))
			f.node.crowd(third, f.link, inChunks("/keys", doorBody))
			f.node.crowd(third, f.local, inChunks("/v1/targets", doorBody))
		},
		"bodies stop in the text of messages of nodes": func(f *ownFleet) {
			f.node.crowd(doorCrowd, f.link, head("/keys", "Content-Length: 8000000\r\n")+`{"Operation":"`+strings.Repeat("A", 7<<20))
		},
		"bodies arrive a byte at a time": func(f *ownFleet) {
			f.node.trickle(third, f.call, withLength("/stock/1", 64<<10, 32<<10))
			f.node.trickle(third, f.link, withLength("/keys", 64<<10, 32<<10))
			f.node.trickle(third, f.local, withLength("/v1/targets", 64<<10, 32<<10))
		},
		"bodies far over the limit": func(f *ownFleet) {
			f.node.crowd(third, f.call, withLength("/none", 1<<40, 8*doorBody))
			f.node.crowd(third, f.link, withLength("/keys", 1<<40, 8*doorBody))
			f.node.crowd(third, f.local, inChunks("/v1/targets", 8*doorBody))
		},
		"heads of many short fields that stop": func(f *ownFleet) {
			for _, address := range []fleet.Address{f.call, f.link, f.local} {
				f.node.crowd(third, address, strings.TrimSuffix(head("/stock/1", shortFields(100_000)), "\r\n"))
			}
		},
		"heads of many short fields before a body that stops": func(f *ownFleet) {
			for _, address := range []fleet.Address{f.call, f.link, f.local} {
				f.node.crowd(third, address, head("/stock/1", shortFields(2400)+"Content-Length: 1000\r\n")+"x")
			}
		},
		"many requests on a connection without reading answers": func(f *ownFleet) {
			f.node.crowd(doorCrowd, f.call, pipeline("/stock/1?bytes=250000", "", 5000))
		},
		"many calls of nodes on a connection without reading answers": func(f *ownFleet) {
			f.node.crowd(doorCrowd, f.link, pipeline("/stock/1?bytes=250000", peerFields, 5000))
		},
		"many queries on a connection without reading answers": func(f *ownFleet) {
			f.node.crowd(third, f.local, pipeline("/v1/records", "", 20_000))
			f.node.crowd(third, f.link, pipeline("/v1/document", "", 20_000))
			f.node.crowd(third, f.link, pipeline("/metrics", "", 20_000))
		},
		"answers are read a byte at a time": func(f *ownFleet) {
			f.node.slowReaders(third, f.call, pipeline("/stock/1?bytes=250000", "", 100))
			f.node.slowReaders(third, f.link, pipeline("/stock/1?bytes=250000", peerFields, 100))
			f.node.slowReaders(third, f.local, pipeline("/metrics", "", 1000))
		},
		"frames of links stop one byte short": func(f *ownFleet) {
			handshake, frame := stoppedFrame("/link", 4<<20-1)
			f.node.upgradedCrowd(doorCrowd, f.link, handshake, frame)
		},
		"connections of all listeners stay silent or stop in their first line": func(f *ownFleet) {
			for _, address := range []fleet.Address{f.call, f.link, f.local} {
				f.node.crowd(doorCrowd/2, address, "")
				f.node.crowd(doorCrowd/2, address, "GET / HT")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startOwnFleet(t)
			attack(f)
			f.node.check(f.request)
		})
	}
}

// Guards against a node of an operator that leaves out what the kernel holds for its connections.
func TestDoorOwnNodeSockets(t *testing.T) {
	for name, attack := range map[string]func(*ownFleet){
		"answers that callers do not read": func(f *ownFleet) {
			f.node.crowd(doorCrowd, f.call, pipeline("/stock/1?bytes=250000", "", 2000))
		},
		"answers that nodes do not read": func(f *ownFleet) {
			f.node.crowd(doorCrowd, f.link, pipeline("/stock/1?bytes=250000", peerFields, 2000))
		},
		"answers to operators that are not read": func(f *ownFleet) {
			f.node.crowd(doorCrowd, f.local, pipeline("/metrics", "", 20_000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startOwnFleet(t)
			stop := f.node.watchFootprint(t)
			attack(f)
			f.node.check(f.request)
			worst := stop()
			t.Logf("resident %.1f MB and sockets %.1f MB", float64(worst.resident)/(1<<20), float64(worst.sockets)/(1<<20))
			if worst.total() > doorMemoryMB<<20 {
				t.Errorf("%d bytes resident and %d in sockets, want at most %d MB", worst.resident, worst.sockets, doorMemoryMB)
			}
		})
	}
}

// forms are the requests of misbehaving clients at a path of a server that reads bodies and sends long answers.
func (p *process) forms(address fleet.Address, method, path, long string) map[string]func() {
	as := func(text string) string { return method + strings.TrimPrefix(text, http.MethodPost) }
	return map[string]func(){
		"bodies with a length stop one byte short": func() { p.crowd(doorCrowd, address, as(withLength(path, doorBody, doorBody-1))) },
		"bodies in chunks stop short of their end": func() { p.crowd(doorCrowd, address, as(inChunks(path, doorBody-4000))) },
		"bodies arrive a byte at a time":           func() { p.trickle(doorCrowd, address, as(withLength(path, doorBody, doorBody/4))) },
		"bodies far over the limit": func() {
			p.crowd(doorCrowd/2, address, as(withLength(path, 1<<40, 8*doorBody)))
			p.crowd(doorCrowd/2, address, as(inChunks(path, 8*doorBody)))
		},
		"heads of many short fields that stop": func() {
			p.crowd(doorCrowd, address, as(strings.TrimSuffix(head(path, shortFields(100_000)), "\r\n")))
		},
		"many requests on a connection without reading answers": func() { p.crowd(doorCrowd, address, pipeline(long, "", 5000)) },
		"answers are read a byte at a time":                     func() { p.slowReaders(doorCrowd, address, pipeline(long, "", 100)) },
		"connections stay silent or stop in their first line": func() {
			p.crowd(doorCrowd/2, address, "")
			p.crowd(doorCrowd/2, address, "GET / HT")
		},
	}
}

// formNames are the keys of forms.
var formNames = []string{"bodies with a length stop one byte short", "bodies in chunks stop short of their end", "bodies arrive a byte at a time",
	"bodies far over the limit", "heads of many short fields that stop", "many requests on a connection without reading answers", "answers are read a byte at a time",
	"connections stay silent or stop in their first line"}

// Guards against a stand-in store that ends, and takes the fleet with it, when clients of the machine misbehave.
func TestDoorStandinStore(t *testing.T) {
	for _, name := range formNames {
		t.Run(name, func(t *testing.T) {
			f := startOwnFleet(t)
			long := "http://" + string(f.storeAddress) + "/v1/kv/long"
			r, _ := http.NewRequest(http.MethodPut, long, strings.NewReader(strings.Repeat("x", 200_000)))
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			f.store.forms(f.storeAddress, http.MethodPut, "/v1/kv/one", "/v1/kv/long")[name]()
			f.store.check(func() int { return get(long) })
		})
	}
}

// Guards against a stand-in target that ends when clients reach it past the nodes.
func TestDoorStandinTarget(t *testing.T) {
	for _, name := range formNames {
		t.Run(name, func(t *testing.T) {
			f := startOwnFleet(t)
			f.target.forms(f.targetAddress, http.MethodPost, "/stock/1", "/stock/1?bytes=250000")[name]()
			f.target.check(func() int { return get("http://" + string(f.targetAddress) + "/stock/1") })
		})
	}
}
