package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/exchange"
)

const timeout = 2 * time.Second

// serveRaw starts a server that answers each connection's requests with the given bytes, one response per request; an empty
// response closes the connection, "reset" resets it and "silent" sends nothing.
func serveRaw(responses ...string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, responses)
		}
	}()
	return l.Addr().String()
}

func serveConn(c net.Conn, responses []string) {
	br := bufio.NewReader(c)
	for _, response := range responses {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = r.Body.Close()
		switch response {
		case "":
			_ = c.Close()
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			return
		case "silent":
			continue
		}
		_, _ = c.Write([]byte(strings.ReplaceAll(response, "\n", "\r\n")))
		if strings.Contains(response, "unframed") {
			_ = c.Close()
			return
		}
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nId: %s\nContent-Length: %d\n\n%s", id, len(body), body)
}

func request(id string) *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, URI: "/a/b?c", Host: "example", Header: http.Header{},
		Match: func(resp *http.Response) exchange.Match {
			switch resp.Header.Get("Id") {
			case id:
				return exchange.Current
			case "":
				return exchange.Unrelated
			}
			return exchange.Stale
		}}
}

// outcome is the result of an exchange.
type outcome struct {
	body   string
	err    error
	reused bool
}

func do(c *exchange.Conn, id string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := c.Do(ctx, request(id))
	if err != nil {
		return outcome{err: err}
	}
	body, _, err := resp.ReadBody(1 << 20)
	reused := resp.Release(time.Now()) != nil
	return outcome{string(body), err, reused}
}

var _ = Describe("an exchange", func() {
	cases := map[string]struct {
		responses []string
		body      string
		err       error
		reused    bool
	}{
		"a complete response":                                     {[]string{okResponse("1", "abc")}, "abc", nil, true},
		"a chunked response":                                      {[]string{"HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n"}, "abc", nil, true},
		"informational responses first":                           {[]string{"HTTP/1.1 102 Processing\n\n" + okResponse("1", "abc")}, "abc", nil, true},
		"a stale response first":                                  {[]string{okResponse("0", "other") + okResponse("1", "abc")}, "abc", nil, true},
		"extra bytes after the response close the connection":     {[]string{okResponse("1", "abc") + "more"}, "abc", nil, false},
		"the peer sends Connection: close":                        {[]string{"HTTP/1.1 200 OK\nId: 1\nConnection: close\nContent-Length: 3\n\nabc"}, "abc", nil, false},
		"a response delimited by the end of the connection":       {[]string{"HTTP/1.1 200 OK\nId: 1\nX: unframed\n\nabc"}, "abc", nil, false},
		"a truncated response":                                    {[]string{"HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\nX: unframed\n\nabc"}, "", exchange.ErrBroken, false},
		"a response truncated within a chunk":                     {[]string{"HTTP/1.1 200 OK\nId: 1\nX: unframed\nTransfer-Encoding: chunked\n\n9\nabc"}, "", exchange.ErrBroken, false},
		"closed without a response":                               {[]string{""}, "", exchange.ErrBroken, false},
		"reset without a response":                                {[]string{"reset"}, "", exchange.ErrBroken, false},
		"an invalid response":                                     {[]string{"\x00\x01\x02 garbage\n\n"}, "", exchange.ErrMalformed, false},
		"a response without an id":                                {[]string{"HTTP/1.1 200 OK\nContent-Length: 3\n\nabc"}, "", exchange.ErrMalformed, false},
		"a stale response delimited by the end of the connection": {[]string{"HTTP/1.1 200 OK\nId: 0\nX: unframed\n\nabc"}, "", exchange.ErrMalformed, false},
		"a truncated response after a stale one":                  {[]string{okResponse("0", "other") + "HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\nX: unframed\n\nabc"}, "", exchange.ErrBroken, false},
	}
	for name, c := range cases {
		It(name, func() {
			conn, err := exchange.Dial(context.Background(), serveRaw(c.responses...), timeout)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			o := do(conn, "1")
			if c.err != nil {
				Expect(o.err).To(MatchError(c.err))
				return
			}
			Expect(o.err).NotTo(HaveOccurred())
			Expect(o.body).To(Equal(c.body))
			Expect(o.reused).To(Equal(c.reused))
		})
	}
	endless := map[string]struct{ begin, again string }{
		"header lines":                                     {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("y", 100) + "\r\n"},
		"the bytes of one header line":                     {"HTTP/1.1 200 OK\r\nX: ", "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
		"bytes without a line break":                       {"", "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
		"informational responses":                          {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"stale responses":                                  {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		"the chunks of a stale response":                   {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"the bytes of a stale response with a huge length": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 999999999999\r\n\r\n", "abcdefghijklmnopqrst"},
		"the bytes of a chunk extension":                   {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "yyyyyyyyyyyyyyyyyyyyyyyyyyy"},
		"trailers":                                         {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n", "X: yyyyyyyyyyyyyyyyyyyyyyyy\r\n"},
	}
	for name, c := range endless {
		It("fails when "+name+" do not end", func() {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			sent := make(chan int, 1)
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				_ = nc.(*net.TCPConn).SetWriteBuffer(64 << 10)
				n, err := io.WriteString(nc, c.begin)
				again := strings.Repeat(c.again, 100)
				for err == nil {
					var m int
					m, err = io.WriteString(nc, again)
					n += m
				}
				sent <- n
			}()
			conn, err := exchange.Dial(context.Background(), l.Addr().String(), timeout)
			Expect(err).NotTo(HaveOccurred())
			o := do(conn, "1")
			Expect(o.err).To(MatchError(exchange.ErrMalformed))
			Expect(o.reused).To(BeFalse())
			Eventually(sent).WithTimeout(timeout).Should(Receive(BeNumerically("<", 8<<20)), "including what the socket buffers hold")
		})
	}
	expectContinue := map[string]struct {
		responses []string
		body      string
		err       error
		sent      bool // the peer received the body
	}{
		"is sent after 100 Continue": {[]string{"HTTP/1.1 100 Continue\n\n", okResponse("1", "abc")}, "abc", nil, true},
		"is sent after 100 Continue that follows another informational response": {[]string{"HTTP/1.1 102 Processing\n\nHTTP/1.1 100 Continue\n\n", okResponse("1", "abc")}, "abc", nil, true},
		"is not sent to a peer that sends a final response":                      {[]string{okResponse("1", "no")}, "no", nil, false},
		"is reported as not sent if the connection breaks before 100 Continue":   {[]string{"HTTP/1.1 102 Processing\n\n", ""}, "", exchange.ErrNotSent, false},
		"may have been received if the connection breaks after 100 Continue":     {[]string{"HTTP/1.1 100 Continue\n\n", ""}, "", exchange.ErrBroken, true},
	}
	for name, c := range expectContinue {
		It("with Expect: 100-continue: the body "+name, func() {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			received := make(chan bool, 1)
			go func() {
				defer GinkgoRecover()
				nc, err := l.Accept()
				Expect(err).NotTo(HaveOccurred())
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				r, err := http.ReadRequest(br)
				Expect(err).NotTo(HaveOccurred())
				Expect(r.Header.Get("Expect")).To(Equal("100-continue"))
				_, _ = nc.Write([]byte(strings.ReplaceAll(c.responses[0], "\n", "\r\n")))
				_ = nc.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				body := make([]byte, len("body"))
				_, err = io.ReadFull(br, body)
				received <- err == nil && string(body) == "body"
				if len(c.responses) > 1 {
					_, _ = nc.Write([]byte(strings.ReplaceAll(c.responses[1], "\n", "\r\n")))
				}
			}()
			conn, err := exchange.Dial(context.Background(), l.Addr().String(), timeout)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			r := request("1")
			r.Method, r.Body, r.ExpectContinue = http.MethodPost, []byte("body"), true
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			resp, err := conn.Do(ctx, r)
			Expect(<-received).To(Equal(c.sent))
			if c.err != nil {
				Expect(err).To(MatchError(c.err))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			body, _, err := resp.ReadBody(1 << 20)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(c.body))
			time.Sleep(50 * time.Millisecond) // the response may arrive before the write of the body has returned
			Expect(resp.Release(time.Now()) != nil).To(Equal(c.sent), "a peer that did not receive the body may read the next request as the body")
		})
	}
	It("skips a duplicate response that arrives before the next response", func() {
		conn, err := exchange.Dial(context.Background(), serveRaw(okResponse("1", "first"), okResponse("1", "first again")+okResponse("2", "second")), timeout)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(do(conn, "1").body).To(Equal("first"))
		Expect(do(conn, "2").body).To(Equal("second"))
	})
	It("returns ErrNotSent when the connection is refused", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = exchange.Dial(context.Background(), l.Addr().String(), timeout)
		Expect(err).To(MatchError(exchange.ErrNotSent))
	})
	It("returns at once when it is cancelled", func() {
		conn, err := exchange.Dial(context.Background(), serveRaw("silent"), timeout)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		begun := time.Now()
		_, err = conn.Do(ctx, request("1"))
		Expect(err).To(MatchError(exchange.ErrBroken))
		Expect(time.Since(begun)).To(BeNumerically("<", timeout/2))
	})
})

var _ = Describe("a connection pool", func() {
	usedConn := func(responses ...string) *exchange.Conn {
		c, err := exchange.Dial(context.Background(), serveRaw(responses...), timeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(do(c, "1").err).NotTo(HaveOccurred())
		return c
	}
	It("returns the most recently used connection, unless it has been idle for too long", func() {
		p, c := exchange.NewPool(4), usedConn(okResponse("1", "a"))
		p.Put(c)
		now := time.Now()
		Expect(p.Get(now.Add(2*time.Second), time.Second)).To(BeNil(), "a non-idempotent request needs a connection used within the last second")
		Expect(p.Get(now.Add(2*time.Second), time.Hour)).To(BeIdenticalTo(c))
		p.Put(c)
		Expect(p.Get(now.Add(time.Minute), time.Hour)).To(BeNil(), "beyond the default idle limit")
	})
	It("applies the peer's Keep-Alive timeout", func() {
		p := exchange.NewPool(4)
		p.Put(usedConn("HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=20\nContent-Length: 1\n\na"))
		Expect(p.Get(time.Now().Add(13*time.Second), time.Hour)).To(BeNil())
		p.Put(usedConn("HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=20\nContent-Length: 1\n\na"))
		Expect(p.Get(time.Now().Add(11*time.Second), time.Hour)).NotTo(BeNil())
	})
	It("does not return a connection that the peer has closed or sent bytes on", func() {
		p := exchange.NewPool(4)
		p.Put(usedConn(okResponse("1", "a"), ""))
		closing := usedConn("HTTP/1.1 200 OK\nId: 1\nContent-Length: 1\n\na")
		p.Put(closing)
		Eventually(func() *exchange.Conn { return p.Get(time.Now(), time.Hour) }).WithTimeout(timeout).ShouldNot(BeIdenticalTo(closing))
	})
	It("shortens the idle limit after a connection was found dropped", func() {
		p, c := exchange.NewPool(4), usedConn(okResponse("1", "a"))
		now := time.Now()
		p.ReportDropped(now, 300*time.Millisecond)
		p.Put(c)
		Expect(p.Get(now.Add(200*time.Millisecond), time.Hour)).To(BeNil())
	})
})
