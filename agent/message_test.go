package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A message that was cut was acknowledged without effect, and a deregistration that can't be read took the target out of use.
var _ = Describe("a message of a target that can't be read", func() {
	It("is not acknowledged and changes nothing", func() {
		s := newCluster("orders", "stock")
		n := s.nodes[0]
		draining := fmt.Sprintf(`{"born":%d,"address":%q,"info":{"service":"orders","version":"v1","zone":"z","slots":9},"status":{"state":"draining","sequence":99,"coldLeftS":0}}`,
			n.target.startTime, n.target.address)
		for name, c := range map[string]struct{ kind, head, body string }{
			"a heartbeat that ends early":                        {"Heartbeat", fmt.Sprintf("Content-Length: %d", len(draining)), draining[:40]},
			"a heartbeat with a malformed chunk":                 {"Heartbeat", "Transfer-Encoding: chunked", "xyz\r\n" + draining},
			"a heartbeat that is longer than any target's":       {"Heartbeat", "Content-Length: 20000", draining + strings.Repeat(" ", 20000-len(draining))},
			"a deregistration that ends early":                   {"Deregister", "Content-Length: 400", `{"born":`},
			"a deregistration of bytes that are no message":      {"Deregister", "Content-Length: 2", "\x00\x01"},
			"a deregistration with a start time of another type": {"Deregister", "Content-Length: 12", `{"born":"7"}`},
			"a deregistration with a fraction as start time":     {"Deregister", "Content-Length: 12", `{"born":1.5}`},
		} {
			Expect(n.send(fmt.Sprintf("POST /api/Instances.%s/%s HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s", c.kind, n.target.id, c.head, c.body))).To(Equal(http.StatusBadRequest), name)
			status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
			Expect(status).To(Equal(http.StatusOK), name)
		}
	})
	It("is told from one without a body or start time, which is acknowledged", func() {
		for _, body := range []string{"", "{}"} {
			s := newCluster("orders", "stock")
			n := s.nodes[0]
			Expect(n.post("/api/Instances.Deregister/"+n.target.id, body)).To(Equal(http.StatusOK))
			status, _, _ := s.nodes[1].call(http.MethodPost, "/orders/1", "order")
			Expect(status).To(Equal(http.StatusServiceUnavailable))
		}
	})
})

// send writes bytes to the control address, ends its direction of the connection, and returns the status of the answer.
func (n *node) send(message string) int {
	conn, err := net.Dial("tcp4", string(n.cfg.ControlAddress))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, message)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	return readStatus(conn)
}

// readStatus returns the status of the next answer on a connection, or zero if there is none.
func readStatus(conn net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
