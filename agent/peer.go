package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	"github.com/cassialead/cassialead/member"
)

const (
	pingPath    = "/cassialead/ping"
	viewPath    = "/cassialead/view"
	peerTimeout = 600 * time.Millisecond // a round trip between regions and one lost packet
	probePeriod = 100 * time.Millisecond // between two looks at members in doubt
	recheck     = 800 * time.Millisecond // between two questions to an unlisted member; three fit into its grace
	askPeriod   = 400 * time.Millisecond // between two questions for news while the store does not answer
	maxView     = 4 << 20                // bytes of a view
	farShare    = 0.15                   // questions for news that go to other data centres
)

// servePeer takes calls and questions of other nodes.
func (a *Agent) servePeer(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case pingPath:
		writeJSON(w, a.pong())
		return
	case viewPath:
		a.serveView(w, r)
		return
	case feed.Path:
		a.serveChild(w, r)
		return
	}
	a.inflight.enter()
	defer a.inflight.leave()
	now := a.deps.Now()
	c, err := hop.ReadCall(r, now)
	if err != nil {
		a.deps.Log.Warn("malformed call of a node", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := &sign{w: w}
	timer := time.AfterFunc(hop.SignAfter(), s.give)
	o := a.takeCall(w, r, c, s)
	timer.Stop()
	s.end()
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
	if answered.Send != nil {
		w = &pacedWriter{ResponseWriter: w, ctx: r.Context(), send: answered.Send}
	}
	writeAnswer(w, answered, status)
}

// takeCall brings another node's call to the target; it returns nil if the call's body did not come whole.
func (a *Agent) takeCall(w http.ResponseWriter, r *http.Request, c *hop.Call, s *sign) hop.Outcome {
	if c.Announced {
		gone := func() bool { return exchange.Ended(connection(r.Context())) }
		if refused := a.gate.Receive(r.Context(), c, int(r.ContentLength), gone); refused != nil {
			return *refused
		}
		s.goAhead()
	}
	body, cause := a.readBody(w, r, bodyTime)
	switch {
	case cause == hop.BodiesFull:
		return hop.Refused{Cause: cause, RetryAfter: bodiesRetry}
	case cause != "":
		a.deps.Log.Info("call of a node not read", "call", c.ID, "from", r.RemoteAddr, "cause", cause)
		return nil
	}
	defer a.bodies.release(len(body))
	c.Body = body
	return a.gate.Do(r.Context(), c)
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connection returns the connection that a request came on.
func connection(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	return c
}

// pacedWriter sends the head of an answer at once, which tells the caller's node that the answer is there, and pieces of
// the body when the link has room for them.
type pacedWriter struct {
	http.ResponseWriter
	ctx  context.Context
	send func(context.Context, int)
}

// WriteHeader sends the head.
func (w *pacedWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	_ = http.NewResponseController(w.ResponseWriter).Flush() // a broken connection shows at the body
}

// Write sends a piece of the body.
func (w *pacedWriter) Write(p []byte) (int, error) {
	sent := 0
	for len(p) > 0 {
		piece := p[:min(len(p), hop.BulkSize)]
		w.send(w.ctx, len(piece))
		n, err := w.ResponseWriter.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
		p = p[len(piece):]
	}
	return sent, nil
}

// sign says once that a call has come, unless it has been answered.
type sign struct {
	mu   sync.Mutex
	w    http.ResponseWriter
	done bool
}

func (s *sign) give() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.done {
		s.w.WriteHeader(http.StatusProcessing)
	}
}

// goAhead asks for the body of an announced call.
func (s *sign) goAhead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.WriteHeader(http.StatusContinue)
}

func (s *sign) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
}

// pong is a node's answer to a ping.
type pong struct {
	Record member.Record  `json:"record"`
	Plan   config.Version `json:"plan"`
}

func (a *Agent) pong() pong { return pong{a.registrar.current(), a.version()} }

// news is what a node tells another that the store does not answer.
type news struct {
	Plan    []byte          `json:"plan,omitempty"` // compressed
	Version config.Version  `json:"version,omitempty"`
	Records []member.Record `json:"records,omitempty"`
	Digest  uint64          `json:"digest"` // of all records that the teller holds
}

// news returns what a node that holds a version and records of a digest does not know.
func (a *Agent) news(held config.Version, digest uint64) news {
	a.mu.Lock()
	defer a.mu.Unlock()
	members := a.view.Members()
	n := news{Digest: member.Digest(members)}
	if v := a.version(); v > held {
		n.Plan, n.Version = a.pack(), v
	}
	if n.Digest != digest {
		for _, m := range members {
			n.Records = append(n.Records, m.Record)
		}
	}
	return n
}

func (a *Agent) takeNews(n news, from string) {
	a.takePacked(n.Plan, n.Version, from)
	a.merge(n.Records, false)
	if len(n.Records) > 0 {
		a.listed.Store(true)
		a.loaded.Store(true)
	}
}

// serveView tells the asking node what is new to it, or takes what another node tells.
func (a *Agent) serveView(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var n news
		if err := json.NewDecoder(io.LimitReader(r.Body, maxView)).Decode(&n); err != nil {
			a.deps.Log.Warn("malformed news of a node", "from", r.RemoteAddr, "error", err)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.takeNews(n, r.RemoteAddr)
		return
	}
	held, err := strconv.ParseUint(r.URL.Query().Get("plan"), 10, 64)
	digest, err2 := strconv.ParseUint(r.URL.Query().Get("digest"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, a.news(config.Version(held), digest))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the asking node asks again
}

// probe asks the members in doubt whether they live, and others for news while the store does not answer.
func (a *Agent) probe(ctx context.Context) {
	asked := map[fleet.NodeID]time.Time{}
	var lastNews time.Time
	for ctx.Err() == nil {
		sleep(ctx, probePeriod)
		now := a.deps.Now()
		a.mu.Lock()
		members := a.view.Members()
		a.publishMembers(a.view.Expire(now))
		a.mu.Unlock()
		for _, m := range members {
			if a.doubtful(m, now) && now.Sub(asked[m.Node]) >= recheck {
				asked[m.Node] = now
				go a.ping(ctx, m)
			}
		}
		a.lookAtStore(nil)
		if !a.inTouch() && now.Sub(lastNews) >= askPeriod {
			lastNews = now
			a.askNews(ctx, members)
		}
	}
}

func (a *Agent) doubtful(m member.Member, now time.Time) bool {
	if m.Node == a.cfg.Load().VM {
		return false
	}
	if m.Unlisted {
		return true
	}
	for _, p := range a.board.Find(m.Node) {
		if p.Unreachable() && p.Available(now) {
			return true
		}
	}
	return false
}

// ping asks a member whether it lives.
func (a *Agent) ping(ctx context.Context, m member.Member) {
	var p pong
	err := a.ask(ctx, http.MethodGet, m.Address, pingPath, nil, &p)
	now := a.deps.Now()
	peers := a.board.Find(m.Node)
	if err != nil || p.Record.Node != m.Node {
		for _, peer := range peers {
			peer.Silent(now)
		}
		return
	}
	for _, peer := range peers {
		peer.Answered()
	}
	a.mu.Lock()
	a.view.Confirm(m.Node, p.Record.Incarnation, now)
	a.mu.Unlock()
	a.merge([]member.Record{p.Record}, false)
	if p.Plan == 0 && a.version() > 0 {
		// The member has started while the store is out; it knows nobody to ask.
		if err := a.ask(ctx, http.MethodPost, m.Address, viewPath, a.news(0, 0), nil); err != nil {
			a.deps.Log.Info("news not delivered", "node", m.Node, "error", err)
		}
	}
}

// askNews asks a random member for what is new: of the own data centre as a rule, since all nodes may ask at the same time
// and links between regions are narrow.
func (a *Agent) askNews(ctx context.Context, members []member.Member) {
	cfg := a.cfg.Load()
	far := rand.Float64() < farShare
	var others []member.Member
	for _, m := range members {
		if m.Node != cfg.VM && (far || m.DataCentre == cfg.DataCentre) {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	m := others[rand.IntN(len(others))]
	var n news
	path := fmt.Sprintf("%s?plan=%d&digest=%d", viewPath, a.version(), member.Digest(members))
	if err := a.ask(ctx, http.MethodGet, m.Address, path, nil, &n); err != nil {
		a.deps.Log.Info("no news", "node", m.Node, "error", err)
		return
	}
	a.takeNews(n, string(m.Node))
}

// ask puts a question to a node.
func (a *Agent) ask(ctx context.Context, method string, to fleet.Address, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode a question")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+string(to)+path, body)
	if err != nil {
		return errors.Wrap(err, "make a question")
	}
	resp, err := a.peers.Do(req)
	if err != nil {
		return errors.Wrapf(err, "ask %s", to)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("ask %s: status %d", to, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxView)).Decode(out), "ask %s", to)
}
