package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/cassialead/cassialead/config"
)

const (
	connectTimeout   = time.Second
	idleConnections  = 64              // kept open to each node or target and class
	idleLife         = 3 * time.Minute // a pair of nodes in a large data centre calls each other every few seconds
	continueTimeout  = time.Second
	transportBuffer  = 8 << 10
	maxHeaderBytes   = 64 << 10
	keepAliveProbing = 5 * time.Second
)

// newTransport returns a client transport that bounds the connections to each host; zero means no bound.
func newTransport(connections int) *http.Transport {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveProbing}
	return &http.Transport{
		DialContext:            d.DialContext,
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idleLife,
		ExpectContinueTimeout:  continueTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
	}
}

// peerTransport keeps the connections of short and long calls apart, so that long ones never use up the short ones'.
type peerTransport struct {
	short, long, fresh *http.Transport
}

func newPeerTransport() *peerTransport {
	fresh := newTransport(0)
	fresh.DisableKeepAlives = true
	return &peerTransport{short: newTransport(0), long: newTransport(0), fresh: fresh}
}

func (p *peerTransport) of(c config.Class) *http.Transport {
	if c == config.ClassLong {
		return p.long
	}
	return p.short
}
