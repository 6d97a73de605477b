package gateway_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gateway"
)

const uploadBytes = 3 << 20

// echoTarget starts a target that streams each request body back, with the received headers and a trailer.
func echoTarget() *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Trailer", "Checksum")
		w.Header().Set("Seen-Connection-Header", r.Header.Get("Secret-Hop"))
		w.Header().Set("Seen-Service-Header", r.Header.Get("Cassialead-Service"))
		w.Header().Set("Seen-Depth", r.Header.Get("Cassialead-Depth"))
		n, _ := io.Copy(w, r.Body)
		if n == uploadBytes {
			w.Header().Set("Checksum", "whole")
		}
	}))
	DeferCleanup(s.Close)
	return s
}

var _ = Describe("streams", func() {
	for _, method := range []string{http.MethodPut, http.MethodPost} {
		It("are forwarded completely in both directions with their trailers, without hop-by-hop headers: "+method, func() {
			cluster := newTestCluster(2, 0)
			target := echoTarget()
			node := cluster.nodes[1]
			node.mu.Lock()
			for _, name := range []config.ServiceName{"stock", "orders"} {
				node.localTargets[name] = gateway.LocalTarget{Service: name, Address: fleet.Address(target.Listener.Addr().String()), Slots: 4}
			}
			node.mu.Unlock()
			cluster.publish(1)
			// A reader of unknown length makes the request chunked, and the gateway streams it instead of buffering it.
			body := io.MultiReader(bytes.NewReader(bytes.Repeat([]byte("a"), uploadBytes)))
			req, err := http.NewRequest(method, cluster.nodes[0].ingressServer.URL+"/stock", body)
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Connection", "Secret-Hop")
			req.Header.Set("Secret-Hop", "1")
			req.Header.Set("Cassialead-Service", "forged")
			req.Header.Set("Cassialead-Depth", "4")
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = resp.Body.Close() }()
			got, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK), string(got[:min(len(got), 200)]))
			Expect(got).To(HaveLen(uploadBytes))
			Expect(resp.Trailer.Get("Checksum")).To(Equal("whole"))
			Expect(resp.Header.Get("Seen-Connection-Header")).To(BeEmpty())
			Expect(resp.Header.Get("Seen-Service-Header")).To(BeEmpty())
			Expect(resp.Header.Get("Seen-Depth")).To(Equal("5"))
		})
	}
})
