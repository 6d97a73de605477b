package trial_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/link"
	"github.com/cassialead/cassialead/standin"
	"github.com/cassialead/cassialead/trial"
)

func TestTrial(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "trial")
}

const testTimeout = 30 * time.Second

func layout() trial.Layout {
	return trial.Layout{
		DataCentres: []trial.DataCentre{{Name: "norte", Region: "costa"}, {Name: "arauca", Region: "llanos"}},
		Services:    []trial.Service{{Name: "drawings", Targets: 4, Slots: 4, Connections: 32}},
	}
}

func document(timeout string) config.Document {
	return config.Document{
		"defaults":         {"timeout": timeout},
		"service drawings": {"calls": "idempotent"},
		"route drawings":   {"path": "/drawings", "service": "drawings", "class": "long"},
	}
}

// startFleet starts a fleet and waits until every node has an endpoint for every target.
func startFleet() *trial.Fleet {
	f, err := trial.New(layout(), 1, nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.Close)
	_, err = f.Apply(context.Background(), document("20s"), "first")
	Expect(err).NotTo(HaveOccurred())
	Expect(f.AwaitTargets(layout(), testTimeout)).To(Succeed())
	return f
}

func get(v *trial.VM, path string) (int, string, error) {
	resp, err := http.Get("http://" + v.CallAddress() + path)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

var _ = Describe("a fleet of complete nodes", func() {
	It("completes a download while all other nodes are replaced", func() {
		f := startFleet()
		caller := f.VMs[0]
		type download struct {
			n   int
			err error
		}
		done := make(chan download, 1)
		go func() {
			_, body, err := get(caller, "/drawings?bytes=5000000&work=6s")
			done <- download{len(body), err}
		}()
		Eventually(func() int {
			n := 0
			for _, v := range f.VMs {
				n += v.Target.PeakConcurrency()
			}
			return n
		}, testTimeout).Should(Equal(1))
		for _, v := range f.VMs[1:] {
			f.Stop(v)
			_, err := f.Restart(v, layout().Services[0])
			Expect(err).NotTo(HaveOccurred())
		}
		var result download
		Eventually(done, testTimeout).Should(Receive(&result))
		Expect(result.err).NotTo(HaveOccurred())
		Expect(result.n).To(Equal(5000000))
	})

	It("serves calls and keeps its version during a store outage in which a leader crashes", func() {
		f := startFleet()
		f.Store.SetFaults(standin.StoreFaults{Outage: true})
		var leader *trial.VM
		for _, v := range f.VMs {
			if v.Node.Status().LeaseHeld {
				leader = v
			}
		}
		Expect(leader).NotTo(BeNil())
		f.Kill(leader)
		for _, v := range f.VMs {
			Eventually(func() int {
				status, _, _ := get(v, "/drawings")
				return status
			}, testTimeout).Should(Equal(http.StatusOK))
			Expect(v.Node.ConfigVersion()).To(Equal(config.Version(1)))
		}
		f.Store.SetFaults(standin.StoreFaults{})
		v, err := f.Apply(context.Background(), document("19s"), "after")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.AwaitVersion(v, testTimeout)
		Expect(err).NotTo(HaveOccurred())
	})

	It("closes links that carry malformed frames and applies changes afterwards", func() {
		f := startFleet()
		_, address, _ := f.VMs[0].Node.Addresses()
		frames := map[string][]byte{
			"garbage":             []byte("not a frame at all"),
			"a truncated message": {1, 0, 0xa3, 0x61},
			"a huge frame":        make([]byte, link.MaxFrameBytes+1),
			"no hello":            {3, 0, 0xa0},
		}
		for name, frame := range frames {
			ws, resp, err := websocket.DefaultDialer.Dial("ws://"+string(address)+link.Path, nil)
			Expect(err).NotTo(HaveOccurred(), name)
			_ = resp.Body.Close()
			_ = ws.WriteMessage(websocket.BinaryMessage, frame)
			Expect(ws.SetReadDeadline(time.Now().Add(testTimeout))).To(Succeed())
			_, _, err = ws.ReadMessage()
			Expect(err).To(HaveOccurred(), name)
			Expect(strings.Contains(err.Error(), "i/o timeout")).To(BeFalse(), "%s: the node has to close the link", name)
		}
		v, err := f.Apply(context.Background(), document("18s"), "after")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.AwaitVersion(v, testTimeout)
		Expect(err).NotTo(HaveOccurred())
	})

	It("counts messages of an unknown type, which a later release may send", func() {
		f := startFleet()
		before := f.Counter("cassialead_link_unknown_messages_total")
		_, address, _ := f.VMs[0].Node.Addresses()
		ws, resp, err := websocket.DefaultDialer.Dial("ws://"+string(address)+link.Path, nil)
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		defer func() { _ = ws.Close() }()
		Expect(ws.WriteMessage(websocket.BinaryMessage, []byte{200, 0, 0xa0})).To(Succeed())
		Eventually(func() float64 { return f.Counter("cassialead_link_unknown_messages_total") - before }, testTimeout).
			Should(Equal(1.0))
	})

	It("goes on controlling a node whose records clients ask for and don't read", func() {
		f, err := trial.New(trial.Uniform(40, 4), 1, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		n := f.VMs[0].Node
		Eventually(n.KnownNodes, testTimeout).Should(Equal(40))
		_, _, address := n.Addresses()
		for range 30 {
			conn, err := net.Dial("tcp", string(address))
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			Expect(conn.(*net.TCPConn).SetReadBuffer(4 << 10)).To(Succeed())
			go func() {
				_, _ = io.WriteString(conn, strings.Repeat("GET /v1/records HTTP/1.1\r\nHost: a\r\n\r\n", 2000))
			}() // ends with the connection
		}
		time.Sleep(5 * time.Second) // for the answers to fill the buffers of the connections
		status := make(chan struct{})
		go func() {
			n.Status()
			close(status)
		}()
		Eventually(status, testTimeout).Should(BeClosed())
	})

	It("removes a target that stops announcing itself", func() {
		f := startFleet()
		v := f.VMs[1]
		v.Target.Kill()
		_, err := f.Await(testTimeout, func(o *trial.VM) bool { return o.Node.EndpointCount("drawings") == 3 })
		Expect(err).NotTo(HaveOccurred())
		Expect(fmt.Sprint(get(f.VMs[0], "/drawings"))).To(HavePrefix("200"))
	})
})
