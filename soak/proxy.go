package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Weather is what a proxy does to the connections that pass it.
type Weather struct {
	// Delay holds up each piece of data.
	Delay time.Duration
	// Deaf swallows what the caller sends, Mute what the server sends; both together are a cut.
	Deaf, Mute bool
	// Silent makes the connections that are open at that moment go silent for good, while new ones work.
	Silent bool
	// Reset resets the connections that are open at that moment.
	Reset bool
}

// Proxy passes connections on to a server and spoils them.
type Proxy struct {
	listener net.Listener
	to       string

	mu      sync.Mutex
	weather Weather
	conns   map[*passage]bool
}

// passage is one connection on its way through a proxy.
type passage struct {
	p              *Proxy
	caller, server *net.TCPConn
	mu             sync.Mutex
	silent         bool
}

const (
	pieceSize    = 16 << 10              // bytes that are passed on at a time
	dialPatience = 2 * time.Second       // for a connection to a server on this machine
	cutPoll      = 20 * time.Millisecond // between two looks at whether a cut has ended
)

// NewProxy returns a proxy that listens at an address.
func NewProxy(listen, to string) (*Proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &Proxy{listener: l, to: to, conns: map[*passage]bool{}}
	go p.serve()
	return p, nil
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.each(func(c *passage) { c.close() })
}

// Set changes the weather.
func (p *Proxy) Set(w Weather) {
	p.mu.Lock()
	p.weather = w
	p.mu.Unlock()
	if w.Silent {
		p.each(func(c *passage) { c.silence() })
	}
	if w.Reset {
		p.each(func(c *passage) { c.reset() })
	}
}

func (p *Proxy) now() Weather {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.weather
}

func (p *Proxy) each(f func(*passage)) {
	p.mu.Lock()
	conns := make([]*passage, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.pass(c.(*net.TCPConn))
	}
}

func (p *Proxy) pass(caller *net.TCPConn) {
	s, err := net.DialTimeout("tcp4", p.to, dialPatience)
	if err != nil {
		_ = caller.SetLinger(0) // the caller sees a refused connection as a reset
		_ = caller.Close()
		return
	}
	c := &passage{p: p, caller: caller, server: s.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(c.server, caller, func(w Weather) bool { return w.Deaf }) })
	both.Go(func() { c.copy(caller, c.server, func(w Weather) bool { return w.Mute }) })
	both.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy passes data on in one direction and holds it back while that direction is cut.
func (c *passage) copy(to, from *net.TCPConn, cut func(Weather) bool) {
	buffer := make([]byte, pieceSize)
	for {
		n, err := from.Read(buffer)
		w := c.p.now()
		time.Sleep(w.Delay)
		for cut(c.p.now()) {
			time.Sleep(cutPoll)
		}
		if c.isSilent() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite() // the other end may have gone already
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

func (c *passage) silence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = true
}

func (c *passage) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *passage) reset() {
	_ = c.caller.SetLinger(0)
	_ = c.server.SetLinger(0)
	c.close()
}

func (c *passage) close() {
	_ = c.caller.Close()
	_ = c.server.Close()
}
