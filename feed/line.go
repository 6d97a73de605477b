package feed

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/cassialead/cassialead/fleet"
)

// Path is where a node takes children.
const Path = "/cassialead/feed"

const (
	dialTimeout  = 500 * time.Millisecond // a round trip between regions and one lost packet
	writeTimeout = time.Second            // a child that reads nothing for so long has to come again
	bufferSize   = 1 << 10                // bytes; most messages only say that the parent lives
	maxMessage   = 16 << 20               // bytes of a message
)

// Line is one end of a feed.
type Line struct {
	ws     *websocket.Conn
	parent fleet.NodeID // whose news are expected
}

// Dial connects to a parent and says hello.
func Dial(ctx context.Context, parent fleet.NodeID, to fleet.Address, h Hello) (*Line, error) {
	d := websocket.Dialer{ReadBufferSize: bufferSize, WriteBufferSize: bufferSize, HandshakeTimeout: dialTimeout,
		NetDialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	ws, resp, err := d.DialContext(ctx, "ws://"+string(to)+Path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "feed of %s", to)
	}
	_ = resp.Body.Close()
	l := newLine(ws)
	l.parent = parent
	if err := l.send(h); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Accept takes a child and reads its hello.
func Accept(w http.ResponseWriter, r *http.Request) (*Line, Hello, error) {
	u := websocket.Upgrader{ReadBufferSize: bufferSize, WriteBufferSize: bufferSize, CheckOrigin: func(*http.Request) bool { return true }}
	ws, err := u.Upgrade(w, r, nil)
	if err != nil {
		return nil, Hello{}, errors.Wrap(err, "take a child")
	}
	l := newLine(ws)
	var h Hello
	if err := l.receive(&h, writeTimeout); err != nil {
		l.Close()
		return nil, Hello{}, err
	}
	return l, h, nil
}

func newLine(ws *websocket.Conn) *Line {
	ws.SetReadLimit(maxMessage)
	return &Line{ws: ws}
}

// Send sends news to the child.
func (l *Line) Send(n News) error { return l.send(n) }

func (l *Line) send(v any) error {
	b, err := encode(v)
	if err != nil {
		return err
	}
	if err := l.ws.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "send news")
	}
	return errors.Wrap(l.ws.WriteMessage(websocket.BinaryMessage, b), "send news")
}

// Receive waits for news from the parent, at most for the given time; it returns ErrStranger for another node's news.
func (l *Line) Receive(most time.Duration) (News, error) {
	var n News
	if err := l.receive(&n, most); err != nil {
		return News{}, err
	}
	if n.Full && n.From != l.parent {
		return News{}, errors.Wrapf(ErrStranger, "%s in place of %s", n.From, l.parent)
	}
	return n, nil
}

func (l *Line) receive(v any, most time.Duration) error {
	if err := l.ws.SetReadDeadline(time.Now().Add(most)); err != nil {
		return errors.Wrap(err, "receive news")
	}
	_, b, err := l.ws.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "receive news")
	}
	return decode(b, v)
}

// Close ends the line.
func (l *Line) Close() { _ = l.ws.Close() }
