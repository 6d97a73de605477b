package exchange

import (
	"sync"
	"time"
)

// Pool keeps idle connections to one address and hands them out in last-in, first-out order.
type Pool struct {
	mu   sync.Mutex
	idle []*Conn
	// learnedLimit is a safe idle time, derived from connections that the peer dropped without a visible close; zero means
	// unknown.
	learnedLimit time.Duration
	learnedAt    time.Time
	maxIdle      int
	closed       bool
}

const (
	learnedLimitShare = 0.5              // of the idle time of a connection that was found dropped
	learnedLimitTTL   = 30 * time.Second // after which the limit is discarded
)

// NewPool returns a pool of at most maxIdle idle connections.
func NewPool(maxIdle int) *Pool { return &Pool{maxIdle: maxIdle} }

// Get returns the most recently used connection, or nil if it has been idle for longer than maxIdleTime; expired and closed
// connections are discarded.
func (p *Pool) Get(now time.Time, maxIdleTime time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		idle := now.Sub(c.idleSince)
		limit := p.idleLimit(now, c)
		if idle <= limit && idle > maxIdleTime {
			return nil
		}
		p.idle = p.idle[:len(p.idle)-1]
		if idle <= limit && c.reusable() {
			return c
		}
		c.Close()
	}
	return nil
}

func (p *Pool) idleLimit(now time.Time, c *Conn) time.Duration {
	if p.learnedLimit > 0 && now.Sub(p.learnedAt) < learnedLimitTTL {
		return min(p.learnedLimit, c.idleLimit)
	}
	return c.idleLimit
}

// Put adds an idle connection, or closes it if the pool is full or closed; nil is ignored.
func (p *Pool) Put(c *Conn) {
	if c == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= p.maxIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// ReportDropped updates the learned idle limit after a connection with the given idle time was found dropped on use.
func (p *Pool) ReportDropped(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Duration(float64(idle) * learnedLimitShare)
	if p.learnedLimit == 0 || limit < p.learnedLimit || now.Sub(p.learnedAt) >= learnedLimitTTL {
		p.learnedLimit = limit
	}
	p.learnedAt = now
}

// IdleTime returns how long the connection has been idle at time now; it is zero before the first exchange.
func (c *Conn) IdleTime(now time.Time) time.Duration {
	if !c.used {
		return 0
	}
	return now.Sub(c.idleSince)
}

// Clear closes the idle connections.
func (p *Pool) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Close closes the idle connections; connections in use are closed when they are put back.
func (p *Pool) Close() {
	p.Clear()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}
