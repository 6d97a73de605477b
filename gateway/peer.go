package gateway

import (
	"context"
	"net/http"
)

// servePeer takes a call from another node for a target on this VM.
func (g *Gateway) servePeer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerClock, g.inward.clock().String())
	if !g.enter() {
		g.writeRefusal(w, notRun(http.StatusServiceUnavailable, CauseDraining, "the node is leaving; the call has not run"))
		return
	}
	defer g.inflight.Done()
	c, err := readCall(r.Header, g.deps.Now())
	if err != nil {
		g.writeRefusal(w, notRun(http.StatusBadRequest, CauseBadRequest, err.Error()))
		return
	}
	allowBothWays(w, r)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	var resp *http.Response
	if c.startBy != nil {
		resp = g.inward.doOnce(ctx, c, r, func() { w.WriteHeader(http.StatusProcessing) })
	} else {
		resp = g.inward.do(ctx, c, r)
	}
	copyHeader(w, resp)
	w.WriteHeader(resp.StatusCode)
	if !copyAnswer(w, resp, cancel) {
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) writeRefusal(w http.ResponseWriter, r Refusal) {
	g.meters.refusal(r.Cause)
	resp := r.response()
	copyHeader(w, resp)
	w.WriteHeader(resp.StatusCode)
	copyAnswer(w, resp, func() {})
}
