package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/listener"
)

// servePeer handles a call from another node to a target on this VM.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerClock, g.inbound.clock().String())
	if !g.beginCall() {
		g.writeRefusal(w, notExecuted(http.StatusServiceUnavailable, CauseDraining, "node shutting down; call not executed"))
		return
	}
	defer g.inflight.Done()
	c, err := parseCall(r.Header, g.deps.Now())
	if err != nil {
		g.writeRefusal(w, notExecuted(http.StatusBadRequest, CauseBadRequest, err.Error()))
		return
	}
	w = listener.FromContext(r.Context()).Writer(w)
	if refusal := receiveBody(r); refusal != nil {
		g.writeRefusal(w, *refusal)
		return
	}
	enableFullDuplex(w, r)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	var resp *http.Response
	if c.startBy != nil {
		resp = g.inbound.doAtMostOnce(ctx, c, r, func() { w.WriteHeader(http.StatusProcessing) })
	} else {
		resp = g.inbound.doIdempotent(ctx, c, r)
	}
	copyHeader(w, resp)
	w.WriteHeader(resp.StatusCode)
	if !copyResponse(w, resp, cancel) {
		panic(http.ErrAbortHandler)
	}
}

// receiveBody reads a body of limited length before the call takes a slot of the target, and bounds the pauses of a longer one.
func receiveBody(r *http.Request) *Refusal {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedPeerBody {
		conn := listener.FromContext(r.Context())
		r.Body = &pacedBody{arrivingBody{r.Body, conn.Arriving()}, conn}
		return nil
	}
	body, err := listener.ReadBody(r, listener.PeerBody(r.ContentLength, maxBufferedPeerBody))
	if err != nil {
		refusal := refuseBody(err)
		return &refusal
	}
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	return nil
}

const (
	maxBufferedPeerBody = 1 << 20         // bytes; a longer body, or one of unknown length, is passed on as it arrives
	peerBodyPause       = 2 * time.Second // without a byte of such a body
)

// pacedBody is a body that fails if it pauses too long.
type pacedBody struct {
	arrivingBody
	conn *listener.Conn
}

// Read reads from the body.
func (b *pacedBody) Read(p []byte) (int, error) {
	_ = b.conn.SetReadDeadline(time.Now().Add(peerBodyPause)) // without a deadline, the call's own ends the read
	n, err := b.arrivingBody.Read(p)
	if err != nil {
		_ = b.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

func (g *Gateway) writeRefusal(w http.ResponseWriter, r Refusal) {
	g.meters.countRefusal(r.Cause)
	resp := r.response()
	copyHeader(w, resp)
	w.WriteHeader(resp.StatusCode)
	copyResponse(w, resp, func() {})
}

// readMessage reads a message of another node in JSON; it answers one that is not received or malformed, and reports false.
func readMessage(w http.ResponseWriter, r *http.Request, maxBytes int64, message any) bool {
	body, err := listener.ReadBody(r, listener.PeerBody(r.ContentLength, maxBytes))
	if err == nil {
		err = json.Unmarshal(body, message)
	}
	switch {
	case errors.Is(err, listener.ErrNoMemory):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}
