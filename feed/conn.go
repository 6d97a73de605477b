package feed

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/quota"
)

// Path is the HTTP path at which a node accepts connections of its children.
const Path = "/cassialead/feed"

const (
	dialTimeout     = 500 * time.Millisecond // covers a round trip between regions and one lost packet
	writeTimeout    = time.Second            // a child that reads nothing for this long is disconnected and has to reconnect
	bufferSize      = 1 << 10                // bytes; most messages are keepalives, which hold no changes
	maxMessageBytes = 16 << 20               // per message, in bytes
	maxHelloBytes   = 64 << 10               // of a child's handshake, in bytes; one holds a record of a few hundred
	maxReportBytes  = 1 << 20                // per message of a child, in bytes
)

// Conn is one end of a feed connection between a parent and a child.
type Conn struct {
	ws     *websocket.Conn
	parent fleet.NodeID // expected sender; empty on the parent's end
}

// Dial connects to the parent at an address and sends the handshake.
func Dial(ctx context.Context, parent fleet.NodeID, to fleet.Address, h Hello) (*Conn, error) {
	d := websocket.Dialer{ReadBufferSize: bufferSize, WriteBufferSize: bufferSize, HandshakeTimeout: dialTimeout,
		NetDialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	ws, resp, err := d.DialContext(ctx, "ws://"+string(to)+Path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to feed at %s", to)
	}
	_ = resp.Body.Close()
	c := newConn(ws)
	c.parent = parent
	if err := c.send(h); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Accept upgrades a child's request to a feed connection and reads the child's handshake.
func Accept(w http.ResponseWriter, r *http.Request) (*Conn, Hello, error) {
	u := websocket.Upgrader{ReadBufferSize: bufferSize, WriteBufferSize: bufferSize, CheckOrigin: func(*http.Request) bool { return true }}
	ws, err := u.Upgrade(w, r, nil)
	if err != nil {
		return nil, Hello{}, errors.Wrap(err, "accept child's feed connection")
	}
	c := newConn(ws)
	ws.SetReadLimit(maxHelloBytes)
	var h Hello
	if err := c.receive(&h, writeTimeout); err != nil {
		c.Close()
		return nil, Hello{}, err
	}
	ws.SetReadLimit(maxReportBytes)
	return c, h, nil
}

func newConn(ws *websocket.Conn) *Conn {
	ws.SetReadLimit(maxMessageBytes)
	return &Conn{ws: ws}
}

// Send sends an update to the child.
func (c *Conn) Send(u Update) error { return c.send(u) }

func (c *Conn) send(v any) error {
	b, err := encode(v)
	if err != nil {
		return err
	}
	if err := c.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "send feed message")
	}
	return errors.Wrap(c.ws.WriteMessage(websocket.BinaryMessage, b), "send feed message")
}

// SendReport sends the demand at the child and the nodes behind it to the parent.
func (c *Conn) SendReport(r quota.Report) error { return c.send(r) }

// ErrLeft is returned if the other end has ended the connection to follow another node.
var ErrLeft = errors.New("other end follows another node")

// ReceiveReport waits until the timeout for a report of the child; it returns ErrLeft if the child has left.
func (c *Conn) ReceiveReport(timeout time.Duration) (quota.Report, error) {
	var r quota.Report
	err := c.receive(&r, timeout)
	if ce := (*websocket.CloseError)(nil); errors.As(err, &ce) && ce.Code == websocket.CloseNormalClosure {
		err = ErrLeft
	}
	return r, err
}

// Leave tells the parent that the child follows another node, and closes the connection. A parent that does not hear of it takes the child
// for lost.
func (c *Conn) Leave() {
	_ = c.ws.WriteControl(websocket.CloseMessage, websocket.FormatCloseMessage(websocket.CloseNormalClosure, ""), time.Now().Add(writeTimeout))
	c.Close()
}

// Receive waits until the timeout for an update from the parent; it returns ErrUnexpectedNode if another node sent it.
func (c *Conn) Receive(timeout time.Duration) (Update, error) {
	var u Update
	if err := c.receive(&u, timeout); err != nil {
		return Update{}, err
	}
	if u.Full && u.From != c.parent {
		return Update{}, errors.Wrapf(ErrUnexpectedNode, "update sent by %s instead of %s", u.From, c.parent)
	}
	return u, nil
}

func (c *Conn) receive(v any, timeout time.Duration) error {
	if err := c.ws.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "receive feed message")
	}
	_, b, err := c.ws.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "receive feed message")
	}
	return decode(b, v)
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.ws.Close() }
