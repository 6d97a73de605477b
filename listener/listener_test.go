package listener_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/listener"
)

const memory = 64 << 20 // bytes, of which bodies may use an eighth

// serve starts a server within the limits of a process and returns its address.
func serve(t *testing.T, s listener.Server) string {
	t.Helper()
	l, err := exchange.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := listener.New(memory, listener.Deps{Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewSet(), Now: time.Now})
	server := g.Serve(l, s)
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// A body that can't be received was taken for a complete one, or for one that fails for another reason.
func TestReadBody(t *testing.T) {
	limits := listener.BodyLimits{Bytes: 100_000, Total: 300 * time.Millisecond, Stall: 300 * time.Millisecond}
	for name, c := range map[string]struct {
		fields, body string
		bytes        int64
		want         error
		length       int
	}{
		"none":                          {"", "", 100_000, nil, 0},
		"with a length":                 {"Content-Length: 5\r\n", "hello", 100_000, nil, 5},
		"in chunks":                     {"Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", 100_000, nil, 5},
		"as long as allowed":            {"Content-Length: 100000\r\n", strings.Repeat("x", 100_000), 100_000, nil, 100_000},
		"announced as too long":         {"Content-Length: 100001\r\n", "", 100_000, listener.ErrTooLarge, 0},
		"too long in chunks":            {"Transfer-Encoding: chunked\r\n", "8\r\ntoo long\r\n", 7, listener.ErrTooLarge, 0},
		"stops":                         {"Content-Length: 5\r\n", "hell", 100_000, listener.ErrLate, 0},
		"malformed":                     {"Transfer-Encoding: chunked\r\n", "hello\r\n", 100_000, listener.ErrIncomplete, 0},
		"longer than the memory for it": {"Content-Length: 9000000\r\n", "", 10_000_000, listener.ErrNoMemory, 0},
	} {
		t.Run(name, func(t *testing.T) {
			type result struct {
				length int
				err    error
			}
			results := make(chan result, 1)
			l := limits
			l.Bytes = c.bytes
			address := serve(t, listener.Server{Name: "test", Connections: 10, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				body, err := listener.ReadBody(r, l)
				results <- result{len(body), err}
			})})
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+c.fields+"\r\n"+c.body); err != nil {
				t.Fatal(err)
			}
			if got := <-results; !errors.Is(got.err, c.want) || got.length != c.length {
				t.Errorf("%d bytes and error %v, want %d and %v", got.length, got.err, c.length, c.want)
			}
		})
	}
}

// A node could not connect because clients of other hosts had taken all places.
func TestHosts(t *testing.T) {
	var h listener.Hosts
	at := func(ip string) net.Addr { return &net.TCPAddr{IP: net.ParseIP(ip), Port: 7} }
	if h.Has(at("10.0.0.1")) {
		t.Error("an empty set has a host")
	}
	h.Set([]fleet.Address{"10.0.0.1:9", "[2001:db8::1]:9", "malformed"})
	for ip, want := range map[string]bool{"10.0.0.1": true, "2001:db8::1": true, "10.0.0.2": false} {
		if got := h.Has(at(ip)); got != want {
			t.Errorf("%s: %v, want %v", ip, got, want)
		}
	}
}
