package listener_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassialead/cassialead/listener"
)

// A server stopped watching a connection once the first byte of a further request had arrived: requests of clients that had left ran to
// their end, and those behind them were then served.
func TestRequestsOfClientsThatHaveLeftEnd(t *testing.T) {
	const (
		notice = 300 * time.Millisecond // for a server to notice that a client has left
		work   = 2 * time.Second
	)
	get := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
	for name, c := range map[string]struct {
		sent  []string // with a pause after each
		reset bool     // the client resets the connection instead of closing it
		stays bool     // the client leaves only after all answers
		want  int      // requests served
	}{
		"one request":                             {sent: []string{get}, want: 1},
		"further requests":                        {sent: []string{get, get, get}, want: 1},
		"further requests in the same packet":     {sent: []string{get + get + get}, want: 1},
		"further requests in part":                {sent: []string{get, get[:9]}, want: 1},
		"further requests behind a body":          {sent: []string{post, get}, want: 1},
		"further requests beyond the buffer":      {sent: []string{get, strings.Repeat(get, 500)}, want: 1},
		"further requests, reset":                 {sent: []string{get, get}, reset: true, want: 1},
		"further requests of a client that stays": {sent: []string{get, get, get}, stays: true, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			began, ended := make(chan struct{}, 1000), make(chan time.Time, 1000)
			address := serve(t, listener.Server{Name: "test", Connections: 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := listener.ReadBody(r, listener.BodyLimits{Bytes: 10, Total: time.Second, Stall: time.Second}); err != nil {
					t.Errorf("body not read: %v", err)
				}
				began <- struct{}{}
				select {
				case <-r.Context().Done():
				case <-time.After(work / 10):
					if !c.stays {
						select {
						case <-r.Context().Done():
						case <-time.After(work):
						}
					}
				}
				ended <- time.Now()
			})})
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			for _, s := range c.sent {
				if _, err := io.WriteString(conn, s); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if c.stays {
				for range c.want {
					select {
					case <-ended:
					case <-time.After(2 * work):
						t.Fatal("a request of a client that stays was not served")
					}
				}
				return
			}
			<-began
			if c.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
			left := time.Now()
			if late := (<-ended).Sub(left); late > notice {
				t.Errorf("a request ran for %v after its client had left", late)
			}
			time.Sleep(notice)
			if further := len(began); further > 0 {
				t.Errorf("%d further requests were served after their client had left", further)
			}
		})
	}
}
