package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/door"
	"github.com/cassialead/cassialead/fleet"
)

const (
	// Path is the HTTP path on which a node accepts links.
	Path = "/link"

	handshakeTimeout = 2 * time.Second
	writeTimeout     = 3 * time.Second
	readTimeout      = 10 * time.Second
	queueLength      = 256 // messages queued for writing; the link is closed if the queue is full
	bufferBytes      = 2048
)

// Traffic counts the bytes and unknown messages of all links of a node.
type Traffic struct {
	sent, received, unknownMessages *metrics.Counter
}

// NewTraffic creates the counters and registers them in set.
func NewTraffic(set *metrics.Set) *Traffic {
	return &Traffic{
		sent:            set.NewCounter(`cassialead_link_bytes_total{direction="sent"}`),
		received:        set.NewCounter(`cassialead_link_bytes_total{direction="received"}`),
		unknownMessages: set.NewCounter(`cassialead_link_unknown_messages_total`),
	}
}

// Bytes returns the total bytes sent and received, including WebSocket framing.
func (t *Traffic) Bytes() (sent, received uint64) { return t.sent.Get(), t.received.Get() }

// Conn is a WebSocket connection to another node.
type Conn struct {
	ws        *websocket.Conn
	traffic   *Traffic
	memory    *door.Budget // of received frames; nil if they are not counted
	queue     chan control.Message
	done      chan struct{}
	closeOnce sync.Once
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(n)
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(n)
	return n, err
}

// CloseWrite ends the sending side, so that a client that is still sending receives an answer before the connection is reset.
func (c countingConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn returns the raw connection.
func (c countingConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection has no descriptor")
	}
	return sc.SyscallConn()
}

// WrapListener returns a listener that counts the bytes of its connections.
func (t *Traffic) WrapListener(l net.Listener) net.Listener { return countingListener{l, t} }

type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

// Dial opens a link to a node.
func Dial(ctx context.Context, a fleet.Address, t *Traffic) (*Conn, error) {
	d := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		ReadBufferSize:   bufferBytes,
		WriteBufferSize:  bufferBytes,
		NetDialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			var nd net.Dialer
			c, err := nd.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return countingConn{c, t}, nil
		},
	}
	ws, resp, err := d.DialContext(ctx, "ws://"+string(a)+Path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "dial link to %s", a)
	}
	_ = resp.Body.Close()
	return newConn(ws, t), nil
}

// Accept upgrades an HTTP request to a link, whose frames count as memory of requests.
func Accept(w http.ResponseWriter, r *http.Request, t *Traffic, memory *door.Budget) (*Conn, error) {
	u := websocket.Upgrader{HandshakeTimeout: handshakeTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	ws, err := u.Upgrade(w, r, nil)
	if err != nil {
		return nil, errors.Wrap(err, "upgrade request to link")
	}
	c := newConn(ws, t)
	c.memory = memory
	return c, nil
}

func newConn(ws *websocket.Conn, t *Traffic) *Conn {
	ws.SetReadLimit(MaxFrameBytes)
	return &Conn{ws: ws, traffic: t, queue: make(chan control.Message, queueLength), done: make(chan struct{})}
}

// Send queues a message and reports whether it was queued; if the queue is full, it closes the link.
func (c *Conn) Send(m control.Message) bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case c.queue <- m:
		return true
	default:
		c.closeNow()
		return false
	}
}

// Close closes the link after the queued messages have been written.
func (c *Conn) Close() {
	select {
	case c.queue <- nil:
	default:
		c.closeNow()
	}
}

// Abort closes the link immediately and discards queued messages.
func (c *Conn) Abort() { c.closeNow() }

func (c *Conn) closeNow() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.ws.Close()
	})
}

// Run calls receive for each message until the link is closed, and returns the cause.
func (c *Conn) Run(receive func(control.Message)) error {
	go c.writeLoop()
	defer c.closeNow()
	for {
		if err := c.ws.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return errors.Wrap(err, "set read deadline of link")
		}
		m, err := c.readMessage()
		switch {
		case errors.Is(err, ErrUnknownKind):
			c.traffic.unknownMessages.Inc()
		case err != nil:
			return errors.Wrap(err, "read from link")
		default:
			receive(m)
		}
	}
}

func (c *Conn) writeLoop() {
	defer c.closeNow()
	for {
		select {
		case <-c.done:
			return
		case m := <-c.queue:
			if m == nil {
				return
			}
			if err := c.writeMessage(m); err != nil {
				return
			}
		}
	}
}

func (c *Conn) writeMessage(m control.Message) error {
	frame, err := Encode(m)
	if err != nil {
		return err
	}
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return c.ws.WriteMessage(websocket.BinaryMessage, frame)
}
