package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/feed"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/upgrade"
)

const (
	pingPath      = "/cassialead/ping"
	viewPath      = "/cassialead/view"
	peerTimeout   = 600 * time.Millisecond // a round trip between regions and one lost packet
	probeInterval = 100 * time.Millisecond // between two scans for members to ping
	pingInterval  = 800 * time.Millisecond // between two pings of a member; three fit into the grace period of an unlisted one
	pullInterval  = 400 * time.Millisecond // between two requests for updates while the store is disconnected
	maxViewBytes  = 4 << 20                // bytes of a view update
	remoteShare   = 0.15                   // fraction of requests for updates that may go to other data centres
)

// servePeer serves the calls and membership requests of other nodes.
func (a *Agent) servePeer(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pingPath:
		writeJSON(w, a.pingResponse())
		return
	case viewPath:
		a.serveView(w, r)
		return
	case feed.Path:
		a.serveChild(w, r)
		return
	case demandPath:
		a.serveDemand(w, r)
		return
	case evidencePath:
		a.serveEvidence(w, r)
		return
	}
	a.inflight.add()
	defer a.inflight.done()
	now := a.deps.Now()
	c, err := hop.ReadCall(r, now)
	if err != nil {
		a.deps.Log.Warn("malformed call from a node", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	conn := listener.FromContext(r.Context())
	conn.Keep()
	_ = conn.SetReadDeadline(time.Time{}) // the body may wait for the downlink until the call's deadline
	interim := &interimWriter{w: w}
	timer := time.AfterFunc(hop.AckDelay(), interim.sendProcessing)
	o := a.runCall(r, c, interim)
	timer.Stop()
	interim.stop()
	if o == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h := http.Header{}
	status := hop.WriteOutcome(h, c.ID, o)
	answered, ok := o.(*hop.Answered)
	if !ok {
		answered = &hop.Answered{Header: http.Header{}, Release: func() {}}
	}
	hop.RemoveConnectionHeaders(answered.Header)
	for name, values := range h {
		answered.Header[name] = values
	}
	if answered.WaitToSend != nil {
		w = &pacedWriter{ResponseWriter: w, ctx: r.Context(), send: answered.WaitToSend}
	}
	writeAnswer(w, answered, status)
}

// runCall runs a call from another node on the target; it returns nil if the body was not received completely.
func (a *Agent) runCall(r *http.Request, c *hop.Call, interim *interimWriter) hop.Outcome {
	if c.ExpectContinue {
		closed := func() bool { return exchange.PeerClosed(listener.FromContext(r.Context())) }
		if refused := a.gate.AdmitBody(r.Context(), c, int(r.ContentLength), closed); refused != nil {
			return *refused
		}
		interim.sendContinue()
	}
	body, cause := readBody(r, listener.PeerBody(r.ContentLength, a.maxBody()))
	switch {
	case cause == hop.BodiesFull:
		return hop.Refused{Cause: cause, RetryAfter: bodyMemoryRetry}
	case cause != "":
		a.deps.Log.Info("body of a call from a node not received", "call", c.ID, "from", r.RemoteAddr, "cause", cause)
		return nil
	}
	c.Body = body
	return a.gate.Do(r.Context(), c)
}

// pacedWriter sends the header of an answer at once, which tells the calling node that the answer exists, and the body in
// chunks as the link has capacity for them.
type pacedWriter struct {
	http.ResponseWriter
	ctx  context.Context
	send func(context.Context, int)
}

// WriteHeader sends the header at once.
func (w *pacedWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	_ = http.NewResponseController(w.ResponseWriter).Flush() // an error of the connection is returned when the body is written
}

// Write sends p in chunks, each after the link has admitted it.
func (w *pacedWriter) Write(p []byte) (int, error) {
	sent := 0
	for len(p) > 0 {
		chunk := p[:min(len(p), hop.BulkSize)]
		w.send(w.ctx, len(chunk))
		n, err := w.ResponseWriter.Write(chunk)
		sent += n
		if err != nil {
			return sent, err
		}
		p = p[len(chunk):]
	}
	return sent, nil
}

// interimWriter sends informational (1xx) responses. 102 Processing tells the calling node that its call has arrived; it is not
// sent once the call has been answered.
type interimWriter struct {
	mu   sync.Mutex
	w    http.ResponseWriter
	done bool
}

func (i *interimWriter) sendProcessing() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.done {
		i.w.WriteHeader(http.StatusProcessing)
	}
}

// sendContinue requests the body of a call that expects 100 Continue.
func (i *interimWriter) sendContinue() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.w.WriteHeader(http.StatusContinue)
}

func (i *interimWriter) stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.done = true
}

// pingResponse is a node's response to a ping.
type pingResponse struct {
	Record member.Record  `json:"record"`
	Plan   config.Version `json:"plan"`
}

func (a *Agent) pingResponse() pingResponse {
	return pingResponse{a.registrar.current(), a.planVersion()}
}

// viewUpdate carries configuration and members between nodes while the store is disconnected.
type viewUpdate struct {
	Plan    []byte          `json:"plan,omitempty"` // compressed
	Version config.Version  `json:"version,omitempty"`
	Records []member.Record `json:"records,omitempty"`
	Digest  uint64          `json:"digest"` // of all records of the sender
	// Rollouts are the orders of new versions and the decisions on them, or nil if there are none.
	Rollouts *upgrade.Set `json:"rollouts,omitempty"`
}

// viewUpdate returns what a node with the given version and digest of records lacks.
func (a *Agent) viewUpdate(heldVersion config.Version, digest uint64) viewUpdate {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := a.view.Members()
	update := viewUpdate{Digest: member.Digest(members), Rollouts: a.rolloutsSince(new(uint64))}
	if v := a.planVersion(); v > heldVersion {
		update.Plan, update.Version = a.compressPlan(), v
	}
	if update.Digest != digest {
		for _, m := range members {
			update.Records = append(update.Records, m.Record)
		}
	}
	return update
}

func (a *Agent) applyViewUpdate(update viewUpdate, from string) {
	a.applyCompressedPlan(update.Plan, update.Version, from)
	a.receiveRollouts(update.Rollouts, from)
	a.mergePeerRecords(update.Records, from)
	if len(update.Records) > 0 {
		a.membersLoaded.Store(true)
		a.synced.Store(true)
		a.registrar.reportMembers()
	}
}

// serveView returns an update to the requesting node, or applies one that another node has sent.
func (a *Agent) serveView(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, cause := readBody(r, listener.PeerBody(0, maxViewBytes))
		if cause != "" {
			a.deps.Log.Warn("view update from a node not received", "from", r.RemoteAddr, "cause", cause)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var update viewUpdate
		if err := json.Unmarshal(body, &update); err != nil {
			a.deps.Log.Warn("malformed view update from a node", "from", r.RemoteAddr, "error", err)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.applyViewUpdate(update, r.RemoteAddr)
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("plan"), 10, 64)
	digest, err2 := strconv.ParseUint(r.URL.Query().Get("digest"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, a.viewUpdate(config.Version(version), digest))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the requesting node retries
}

// probeMembers pings members that may have failed, and requests updates from others while the store is disconnected.
func (a *Agent) probeMembers(ctx context.Context) {
	pinged := map[fleet.NodeID]time.Time{}
	var lastPull time.Time
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		now := a.deps.Now()
		a.mu.Lock()
		members := a.view.Members()
		a.publishMembers(a.view.Expire(now))
		a.mu.Unlock()
		for _, m := range members {
			if a.needsPing(m, now) && now.Sub(pinged[m.Node]) >= pingInterval {
				pinged[m.Node] = now
				go a.ping(ctx, m)
			}
		}
		a.logStoreConnection(nil)
		if !a.storeConnected() && now.Sub(lastPull) >= pullInterval {
			lastPull = now
			a.pullViewUpdate(ctx, members)
		}
	}
}

func (a *Agent) needsPing(m member.Member, now time.Time) bool {
	if m.Node == a.cfg.Load().VM {
		return false
	}
	if m.Unlisted {
		return true
	}
	for _, p := range a.peers.PeersOnNode(m.Node) {
		if p.Unreachable() && p.Available(now) {
			return true
		}
	}
	return false
}

// ping checks whether a member is alive.
func (a *Agent) ping(ctx context.Context, m member.Member) {
	var response pingResponse
	err := a.requestPeer(ctx, http.MethodGet, m.Address, pingPath, nil, &response)
	now := a.deps.Now()
	peers := a.peers.PeersOnNode(m.Node)
	if err != nil || response.Record.Node != m.Node {
		for _, peer := range peers {
			peer.MarkUnresponsive(now)
		}
		return
	}
	for _, peer := range peers {
		peer.MarkResponsive()
	}
	a.mu.Lock()
	a.view.MarkAlive(m.Node, response.Record.Incarnation, now)
	a.mu.Unlock()
	a.mergePeerRecords([]member.Record{response.Record}, string(m.Node))
	if response.Plan == 0 && a.planVersion() > 0 {
		// The member has started during a store outage and has no list of members to request updates from.
		if err := a.requestPeer(ctx, http.MethodPost, m.Address, viewPath, a.viewUpdate(0, 0), nil); err != nil {
			a.deps.Log.Info("view update not delivered", "node", m.Node, "error", err)
		}
	}
}

// pullViewUpdate requests an update from a random member, usually of the own data centre: all nodes may do so at the same time,
// and links between regions are narrow.
func (a *Agent) pullViewUpdate(ctx context.Context, members []member.Member) {
	cfg := a.cfg.Load()
	remote := rand.Float64() < remoteShare
	var candidates []member.Member
	for _, m := range members {
		if m.Node != cfg.VM && (remote || m.DataCentre == cfg.DataCentre) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return
	}
	m := candidates[rand.IntN(len(candidates))]
	var update viewUpdate
	path := fmt.Sprintf("%s?plan=%d&digest=%d", viewPath, a.planVersion(), member.Digest(members))
	if err := a.requestPeer(ctx, http.MethodGet, m.Address, path, nil, &update); err != nil {
		a.deps.Log.Info("view update not received", "node", m.Node, "error", err)
		return
	}
	a.applyViewUpdate(update, string(m.Node))
}

// requestPeer sends a request to a node and decodes the response.
func (a *Agent) requestPeer(ctx context.Context, method string, to fleet.Address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode peer request")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(to)+path, body)
	if err != nil {
		return errors.Wrap(err, "create peer request")
	}
	resp, err := a.peerClient.Do(req)
	if err != nil {
		return errors.Wrapf(err, "request to %s", to)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("request to %s: status %d", to, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxViewBytes)).Decode(out), "request to %s", to)
}
