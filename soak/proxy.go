package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Impairment is a network fault that a proxy applies to its connections.
type Impairment struct {
	// Delay is added to each chunk of data.
	Delay time.Duration
	// BlockToServer and BlockToCaller hold back data in one direction until the impairment ends; both together act as a
	// partition.
	BlockToServer, BlockToCaller bool
	// Blackhole drops all further data on the connections that are open at that moment without closing them; new
	// connections work.
	Blackhole bool
	// Reset resets the connections that are open at that moment.
	Reset bool
}

// Proxy forwards connections to a server and impairs them.
type Proxy struct {
	listener net.Listener
	server   string

	mu         sync.Mutex
	impairment Impairment
	conns      map[*proxiedConn]bool
}

// proxiedConn is a caller's connection and its counterpart to the server.
type proxiedConn struct {
	proxy          *Proxy
	caller, server *net.TCPConn
	mu             sync.Mutex
	blackholed     bool
}

const (
	bufferSize  = 16 << 10              // bytes forwarded at a time
	dialTimeout = 2 * time.Second       // for a connection to a server on the same machine
	blockPoll   = 20 * time.Millisecond // between two checks of whether a block has ended
)

// NewProxy starts a proxy that listens on one address and forwards to another.
func NewProxy(listen, server string) (*Proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, errors.Wrap(err, "start proxy")
	}
	p := &Proxy{listener: l, server: server, conns: map[*proxiedConn]bool{}}
	go p.acceptConns()
	return p, nil
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.forEachConn(func(c *proxiedConn) { c.close() })
}

// SetImpairment replaces the impairment in effect.
func (p *Proxy) SetImpairment(i Impairment) {
	p.mu.Lock()
	p.impairment = i
	p.mu.Unlock()
	if i.Blackhole {
		p.forEachConn(func(c *proxiedConn) { c.blackhole() })
	}
	if i.Reset {
		p.forEachConn(func(c *proxiedConn) { c.reset() })
	}
}

func (p *Proxy) currentImpairment() Impairment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment
}

func (p *Proxy) forEachConn(f func(*proxiedConn)) {
	p.mu.Lock()
	conns := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	p.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

func (p *Proxy) acceptConns() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *Proxy) forward(caller *net.TCPConn) {
	server, err := net.DialTimeout("tcp4", p.server, dialTimeout)
	if err != nil {
		_ = caller.SetLinger(0) // a refused connection appears to the caller as a reset
		_ = caller.Close()
		return
	}
	c := &proxiedConn{proxy: p, caller: caller, server: server.(*net.TCPConn)}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.copy(c.server, caller, func(i Impairment) bool { return i.BlockToServer }) })
	both.Go(func() { c.copy(caller, c.server, func(i Impairment) bool { return i.BlockToCaller }) })
	both.Wait()
	c.close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copy forwards data in one direction and holds it back while that direction is blocked.
func (c *proxiedConn) copy(to, from *net.TCPConn, blocked func(Impairment) bool) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		i := c.proxy.currentImpairment()
		time.Sleep(i.Delay)
		for blocked(c.proxy.currentImpairment()) {
			time.Sleep(blockPoll)
		}
		if c.isBlackholed() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				c.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite() // the other end may already be closed
			return
		case err != nil:
			c.reset()
			return
		}
	}
}

func (c *proxiedConn) blackhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blackholed = true
}

func (c *proxiedConn) isBlackholed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blackholed
}

func (c *proxiedConn) reset() {
	_ = c.caller.SetLinger(0)
	_ = c.server.SetLinger(0)
	c.close()
}

func (c *proxiedConn) close() {
	_ = c.caller.Close()
	_ = c.server.Close()
}
