package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards the connections of other machines to a node.
type proxy struct {
	listener net.Listener
	to       string

	mu       sync.Mutex
	pairs    map[*pair]bool
	refusing bool // connections are reset
}

// pair is a connection and its counterpart.
type pair struct {
	a, b   net.Conn
	silent chan struct{}
	once   sync.Once
}

const socketBuffer = 64 << 10 // bytes that the proxy's sockets take in without being read; links have small windows

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, pairs: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		a, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(a)
	}
}

func (p *proxy) forward(a net.Conn) {
	b, err := net.Dial("tcp4", p.to)
	if err != nil {
		reset(a)
		return
	}
	if tc, ok := b.(*net.TCPConn); ok {
		_ = tc.SetReadBuffer(socketBuffer)
	}
	c := &pair{a: a, b: b, silent: make(chan struct{})}
	p.mu.Lock()
	if p.refusing {
		p.mu.Unlock()
		reset(a)
		reset(b)
		return
	}
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(b, a) })
	both.Go(func() { c.copy(a, b) })
	both.Wait()
	select {
	case <-c.silent:
		return // it stays open and silent until the proxy closes
	default:
	}
	_, _ = a.Close(), b.Close()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy forwards bytes until the source ends or the connection has gone silent.
func (c *pair) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-c.silent:
			return
		default:
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == nil {
			continue
		}
		select {
		case <-c.silent:
			return
		default:
		}
		if err != io.EOF {
			reset(to)
			reset(from)
			return
		}
		if tc, ok := to.(*net.TCPConn); ok {
			_ = tc.CloseWrite()
		}
		return
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

// silence makes all open connections silent for good: neither side receives anything more, not even an end. New connections
// work. It returns how many there were.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.once.Do(func() { close(c.silent) })
	}
	return len(p.pairs)
}

// refuse resets all open connections and, until it is called with false, all new ones.
func (p *proxy) refuse(refusing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refusing
	if !refusing {
		return
	}
	for c := range p.pairs {
		reset(c.a)
		reset(c.b)
	}
}

// close stops the proxy and closes all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		_, _ = c.a.Close(), c.b.Close()
	}
}
