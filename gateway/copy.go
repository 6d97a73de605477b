package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	copyBytes = 32 << 10
	idleLimit = 30 * time.Second // an answer that makes no progress for this long is aborted
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBytes); return &b }}

// copyAnswer sends an answer's body and trailers; it reports false for one that broke off.
func copyAnswer(w http.ResponseWriter, resp *http.Response, giveUp context.CancelFunc) bool {
	defer func() { _ = resp.Body.Close() }()
	known := resp.ContentLength >= 0
	if known && resp.ContentLength <= maxBuffered {
		n, err := io.Copy(w, resp.Body)
		return err == nil && n == resp.ContentLength || resp.Request != nil && resp.Request.Method == http.MethodHead
	}
	if !copyStream(w, resp, known, giveUp) {
		return false
	}
	for name, values := range resp.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
	return true
}

// copyStream copies until the end, and gives up when either side makes no progress.
func copyStream(w http.ResponseWriter, resp *http.Response, known bool, giveUp context.CancelFunc) bool {
	control := http.NewResponseController(w)
	idle := time.AfterFunc(idleLimit, giveUp)
	defer idle.Stop()
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	var copied int64
	for {
		n, err := resp.Body.Read(*p)
		if n > 0 {
			idle.Reset(idleLimit)
			_ = control.SetWriteDeadline(time.Now().Add(idleLimit))
			if _, werr := w.Write((*p)[:n]); werr != nil {
				return false
			}
			copied += int64(n)
			if !known {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			_ = control.SetWriteDeadline(time.Time{})
			return !known || copied == resp.ContentLength
		}
		if err != nil {
			return false
		}
	}
}

// allowBothWays lets an answer begin before its request has been read; otherwise the server throws away a part of the
// request when the answer begins.
func allowBothWays(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > maxReplayable {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// copyHeader adds an answer's header to w and announces its trailers.
func copyHeader(w http.ResponseWriter, resp *http.Response) {
	h := w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopHeaders(h)
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
}
