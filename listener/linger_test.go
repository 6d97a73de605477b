package listener_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassialead/cassialead/listener"
)

// slowly reads from a connection in small pieces with pauses.
type slowly struct{ net.Conn }

func (c slowly) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return c.Conn.Read(p[:min(len(p), 16<<10)])
}

// A server that closed a connection after an answer reset it if the client had sent a further request, and the client lost what it had not yet
// taken of the answer.
func TestLastAnswerIsDeliveredToClientsThatSendAhead(t *testing.T) {
	const answer = 400 << 10
	get := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct {
		sent  string        // with the first request
		later string        // while the answer is on its way
		after time.Duration // before that
	}{
		"one request":                                     {sent: get},
		"a further one in the same packet":                {sent: get + get, later: get, after: 20 * time.Millisecond},
		"a further one while the first one runs":          {sent: get, later: get, after: 20 * time.Millisecond},
		"many further ones":                               {sent: get, later: strings.Repeat(get, 200), after: 20 * time.Millisecond},
		"a further one while the answer is written":       {sent: get, later: get, after: 60 * time.Millisecond},
		"a part of a further one":                         {sent: get, later: get[:5], after: 20 * time.Millisecond},
		"a further one ahead and one in the answer's way": {sent: get + get, later: get, after: 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, listener.Server{Name: "test", Connections: 10, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(50 * time.Millisecond)
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, strings.Repeat("x", answer))
			})})
			conn, err := net.Dial("tcp4", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, c.sent); err != nil {
				t.Fatal(err)
			}
			time.AfterFunc(c.after, func() { _, _ = io.WriteString(conn, c.later) })
			resp, err := http.ReadResponse(bufio.NewReader(slowly{conn}), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != answer {
				t.Errorf("%d of %d bytes, error %v", n, answer, err)
			}
		})
	}
}
