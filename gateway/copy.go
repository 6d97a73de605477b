package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	copyBufferSize  = 32 << 10
	progressTimeout = 30 * time.Second // a response without progress for this long is aborted
)

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }}

// copyResponse writes a response's body and trailers, and reports whether the body was complete.
func copyResponse(w http.ResponseWriter, resp *http.Response, cancel context.CancelFunc) bool {
	defer func() { _ = resp.Body.Close() }()
	knownLength := resp.ContentLength >= 0
	if knownLength && resp.ContentLength <= maxBufferedResponse {
		n, err := io.Copy(w, resp.Body)
		return err == nil && n == resp.ContentLength || resp.Request != nil && resp.Request.Method == http.MethodHead
	}
	if !copyStream(w, resp, knownLength, cancel) {
		return false
	}
	for name, values := range resp.Trailer {
		for _, v := range values {
			w.Header().Add(http.TrailerPrefix+name, v)
		}
	}
	return true
}

// copyStream copies a body to its end, and aborts when the target or the caller makes no progress.
func copyStream(w http.ResponseWriter, resp *http.Response, knownLength bool, cancel context.CancelFunc) bool {
	control := http.NewResponseController(w)
	idle := time.AfterFunc(progressTimeout, cancel)
	defer idle.Stop()
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	var copied int64
	for {
		n, err := resp.Body.Read(*p)
		if n > 0 {
			idle.Reset(progressTimeout)
			_ = control.SetWriteDeadline(time.Now().Add(progressTimeout))
			if _, werr := w.Write((*p)[:n]); werr != nil {
				return false
			}
			copied += int64(n)
			if !knownLength {
				_ = control.Flush()
			}
		}
		if err == io.EOF {
			_ = control.SetWriteDeadline(time.Time{})
			return !knownLength || copied == resp.ContentLength
		}
		if err != nil {
			return false
		}
	}
}

// enableFullDuplex allows the response to start before a streamed request has been read; by default, the HTTP server
// discards part of the unread request when the response starts.
func enableFullDuplex(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > maxBufferedRequest {
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// copyHeader copies a response's end-to-end headers to w and announces its trailers.
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
