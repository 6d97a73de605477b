package exchange

import (
	"sync"
	"time"
)

// Pool keeps idle connections to one address; the last one used is the first one taken.
type Pool struct {
	mu   sync.Mutex
	idle []*Conn
	// limit is the idle time after which the peer was seen to drop connections without notice; zero means unknown.
	limit   time.Duration
	limitAt time.Time
	most    int
	closed  bool
}

const (
	learntLimitShare = 0.5              // of the idle time at which a connection was found dropped
	learntLimitKept  = 30 * time.Second // after which the limit is forgotten
)

// NewPool returns a pool that keeps at most the given number of idle connections.
func NewPool(most int) *Pool { return &Pool{most: most} }

// Take returns a usable connection that has been idle for at most the given time, or nil.
func (p *Pool) Take(now time.Time, most time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		idle := now.Sub(c.idleSince)
		limit := p.idleLimit(now, c)
		if idle <= limit && idle > most {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if idle <= limit && c.quiet() {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) idleLimit(now time.Time, c *Conn) time.Duration {
	if p.limit > 0 && now.Sub(p.limitAt) < learntLimitKept {
		return min(p.limit, c.idleLimit)
	}
	return c.idleLimit
}

// Put keeps a connection for the next exchange; nil is ignored.
func (p *Pool) Put(c *Conn) {
	if c == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.most {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Dropped notes that a connection which had been idle for a time was found dropped when it was used.
func (p *Pool) Dropped(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Duration(float64(idle) * learntLimitShare)
	if p.limit == 0 || limit < p.limit || now.Sub(p.limitAt) >= learntLimitKept {
		p.limit = limit
	}
	p.limitAt = now
}

// Idle returns how long the connection had been idle at a time.
func (c *Conn) Idle(now time.Time) time.Duration {
	if !c.used {
		return 0
	}
	return now.Sub(c.idleSince)
}

// Clear closes the idle connections; connections in use are closed when they come back after Close.
func (p *Pool) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Close clears the pool and keeps no further connections.
func (p *Pool) Close() {
	p.Clear()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
