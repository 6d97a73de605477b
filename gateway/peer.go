package gateway

import (
	"context"
	"net/http"
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

func (g *Gateway) writeRefusal(w http.ResponseWriter, r Refusal) {
	g.meters.countRefusal(r.Cause)
	resp := r.response()
	copyHeader(w, resp)
	w.WriteHeader(resp.StatusCode)
	copyResponse(w, resp, func() {})
}
