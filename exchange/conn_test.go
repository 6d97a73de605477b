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

// serveRaw answers each connection's requests with the given bytes, one answer a request; a nil answer closes the
// connection, "reset" resets it and "silent" says nothing.
func serveRaw(answers ...string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerRaw(c, answers)
		}
	}()
	return l.Addr().String()
}

func answerRaw(c net.Conn, answers []string) {
	br := bufio.NewReader(c)
	for _, a := range answers {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_ = r.Body.Close()
		switch a {
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
		_, _ = c.Write([]byte(strings.ReplaceAll(a, "\n", "\r\n")))
		if strings.Contains(a, "unframed") {
			_ = c.Close()
			return
		}
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\nId: %s\nContent-Length: %d\n\n%s", id, len(body), body)
}

func request(id string) *exchange.Request {
	return &exchange.Request{Method: http.MethodGet, URI: "/a/b?c", Host: "example", Header: http.Header{},
		Match: func(resp *http.Response) exchange.Match {
			switch resp.Header.Get("Id") {
			case id:
				return exchange.Own
			case "":
				return exchange.Foreign
			}
			return exchange.Earlier
		}}
}

// outcome is what a caller sees of an exchange.
type outcome struct {
	body string
	err  error
	kept bool
}

func do(c *exchange.Conn, id string) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a, err := c.Do(ctx, request(id))
	if err != nil {
		return outcome{err: err}
	}
	body, _, err := a.ReadWhole(1 << 20)
	kept := a.Release(time.Now()) != nil
	return outcome{string(body), err, kept}
}

var _ = Describe("an exchange", func() {
	cases := map[string]struct {
		answers []string
		body    string
		err     error
		kept    bool
	}{
		"a whole answer":                               {[]string{answer("1", "abc")}, "abc", nil, true},
		"in chunks":                                    {[]string{"HTTP/1.1 200 OK\nId: 1\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n"}, "abc", nil, true},
		"informational answers first":                  {[]string{"HTTP/1.1 102 Processing\n\n" + answer("1", "abc")}, "abc", nil, true},
		"an earlier request's answer first":            {[]string{answer("0", "other") + answer("1", "abc")}, "abc", nil, true},
		"bytes after the answer end the connection":    {[]string{answer("1", "abc") + "more"}, "abc", nil, false},
		"the peer closes the connection":               {[]string{"HTTP/1.1 200 OK\nId: 1\nConnection: close\nContent-Length: 3\n\nabc"}, "abc", nil, false},
		"without a length, to the connection's end":    {[]string{"HTTP/1.1 200 OK\nId: 1\nX: unframed\n\nabc"}, "abc", nil, false},
		"cut short":                                    {[]string{"HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\nX: unframed\n\nabc"}, "", exchange.ErrBroken, false},
		"cut short in chunks":                          {[]string{"HTTP/1.1 200 OK\nId: 1\nX: unframed\nTransfer-Encoding: chunked\n\n9\nabc"}, "", exchange.ErrBroken, false},
		"closed without an answer":                     {[]string{""}, "", exchange.ErrBroken, false},
		"reset without an answer":                      {[]string{"reset"}, "", exchange.ErrBroken, false},
		"bytes that are no answer":                     {[]string{"\x00\x01\x02 garbage\n\n"}, "", exchange.ErrMalformed, false},
		"an answer that names nobody":                  {[]string{"HTTP/1.1 200 OK\nContent-Length: 3\n\nabc"}, "", exchange.ErrMalformed, false},
		"an earlier request's answer that has no end":  {[]string{"HTTP/1.1 200 OK\nId: 0\nX: unframed\n\nabc"}, "", exchange.ErrMalformed, false},
		"an earlier request's answer and nothing more": {[]string{answer("0", "other") + "HTTP/1.1 200 OK\nId: 1\nContent-Length: 9\nX: unframed\n\nabc"}, "", exchange.ErrBroken, false},
	}
	for name, c := range cases {
		It(name, func() {
			conn, err := exchange.Dial(context.Background(), serveRaw(c.answers...), timeout)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			o := do(conn, "1")
			if c.err != nil {
				Expect(o.err).To(MatchError(c.err))
				return
			}
			Expect(o.err).NotTo(HaveOccurred())
			Expect(o.body).To(Equal(c.body))
			Expect(o.kept).To(Equal(c.kept))
		})
	}
	endless := map[string]struct{ begin, again string }{
		"a head of lines":                     {"HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("y", 100) + "\r\n"},
		"a head of one line":                  {"HTTP/1.1 200 OK\r\nX: ", "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
		"bytes without a line's end":          {"", "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"},
		"informational answers":               {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"earlier answers":                     {"", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"},
		"the body of an earlier answer":       {"HTTP/1.1 200 OK\r\nId: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"an earlier answer of a great length": {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 999999999999\r\n\r\n", "abcdefghijklmnopqrst"},
		"the extension of a chunk":            {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4;", "yyyyyyyyyyyyyyyyyyyyyyyyyyy"},
		"trailers":                            {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n", "X: yyyyyyyyyyyyyyyyyyyyyyyy\r\n"},
	}
	for name, c := range endless {
		It("is ended when "+name+" come without end", func() {
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
			Expect(o.kept).To(BeFalse())
			Eventually(sent).WithTimeout(timeout).Should(Receive(BeNumerically("<", 8<<20)), "with what the sockets hold")
		})
	}
	announced := map[string]struct {
		answers []string
		body    string
		err     error
		got     bool // the peer was sent the body
	}{
		"is sent once the peer asks for it":             {[]string{"HTTP/1.1 100 Continue\n\n", answer("1", "abc")}, "abc", nil, true},
		"is sent after signs of the peer":               {[]string{"HTTP/1.1 102 Processing\n\nHTTP/1.1 100 Continue\n\n", answer("1", "abc")}, "abc", nil, true},
		"is not sent to a peer that refuses":            {[]string{answer("1", "no")}, "no", nil, false},
		"is known not to have been sent when it breaks": {[]string{"HTTP/1.1 102 Processing\n\n", ""}, "", exchange.ErrNotSent, false},
		"may have been taken when it breaks later":      {[]string{"HTTP/1.1 100 Continue\n\n", ""}, "", exchange.ErrBroken, true},
	}
	for name, c := range announced {
		It("with an announced body: it "+name, func() {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(l.Close)
			got := make(chan bool, 1)
			go func() {
				defer GinkgoRecover()
				nc, err := l.Accept()
				Expect(err).NotTo(HaveOccurred())
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				r, err := http.ReadRequest(br)
				Expect(err).NotTo(HaveOccurred())
				Expect(r.Header.Get("Expect")).To(Equal("100-continue"))
				_, _ = nc.Write([]byte(strings.ReplaceAll(c.answers[0], "\n", "\r\n")))
				_ = nc.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				body := make([]byte, len("body"))
				_, err = io.ReadFull(br, body)
				got <- err == nil && string(body) == "body"
				if len(c.answers) > 1 {
					_, _ = nc.Write([]byte(strings.ReplaceAll(c.answers[1], "\n", "\r\n")))
				}
			}()
			conn, err := exchange.Dial(context.Background(), l.Addr().String(), timeout)
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			r := request("1")
			r.Method, r.Body, r.Announced = http.MethodPost, []byte("body"), true
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			a, err := conn.Do(ctx, r)
			Expect(<-got).To(Equal(c.got))
			if c.err != nil {
				Expect(err).To(MatchError(c.err))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			body, _, err := a.ReadWhole(1 << 20)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(c.body))
			time.Sleep(50 * time.Millisecond) // the peer may have answered before the sending of the body has returned
			Expect(a.Release(time.Now()) != nil).To(Equal(c.got), "a peer that was not sent the body may take other bytes for it")
		})
	}
	It("skips an extra answer that comes late, where the next answer is due", func() {
		conn, err := exchange.Dial(context.Background(), serveRaw(answer("1", "first"), answer("1", "first again")+answer("2", "second")), timeout)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		Expect(do(conn, "1").body).To(Equal("first"))
		Expect(do(conn, "2").body).To(Equal("second"))
	})
	It("says that nothing was sent when no connection can be made", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		_, err = exchange.Dial(context.Background(), l.Addr().String(), timeout)
		Expect(err).To(MatchError(exchange.ErrNotSent))
	})
	It("ends at once when it is cancelled", func() {
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

var _ = Describe("the pool", func() {
	dialled := func(answers ...string) *exchange.Conn {
		c, err := exchange.Dial(context.Background(), serveRaw(answers...), timeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(do(c, "1").err).NotTo(HaveOccurred())
		return c
	}
	It("gives back the connection used last, unless it has been idle for too long", func() {
		p, c := exchange.NewPool(4), dialled(answer("1", "a"))
		p.Put(c)
		now := time.Now()
		Expect(p.Take(now.Add(2*time.Second), time.Second)).To(BeNil(), "an order wants a connection used within a second")
		Expect(p.Take(now.Add(2*time.Second), time.Hour)).To(BeIdenticalTo(c))
		p.Put(c)
		Expect(p.Take(now.Add(time.Minute), time.Hour)).To(BeNil(), "the peer may have closed it")
	})
	It("keeps the time that the peer states", func() {
		p := exchange.NewPool(4)
		p.Put(dialled("HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=20\nContent-Length: 1\n\na"))
		Expect(p.Take(time.Now().Add(13*time.Second), time.Hour)).To(BeNil())
		p.Put(dialled("HTTP/1.1 200 OK\nId: 1\nKeep-Alive: timeout=20\nContent-Length: 1\n\na"))
		Expect(p.Take(time.Now().Add(11*time.Second), time.Hour)).NotTo(BeNil())
	})
	It("does not give out a connection that the peer has closed or sent bytes on", func() {
		p := exchange.NewPool(4)
		p.Put(dialled(answer("1", "a"), ""))
		closing := dialled("HTTP/1.1 200 OK\nId: 1\nContent-Length: 1\n\na")
		p.Put(closing)
		Eventually(func() *exchange.Conn { return p.Take(time.Now(), time.Hour) }).WithTimeout(timeout).ShouldNot(BeIdenticalTo(closing))
	})
	It("uses connections sooner after it has found one dropped", func() {
		p, c := exchange.NewPool(4), dialled(answer("1", "a"))
		now := time.Now()
		p.Dropped(now, 300*time.Millisecond)
		p.Put(c)
		Expect(p.Take(now.Add(200*time.Millisecond), time.Hour)).To(BeNil())
	})
})
