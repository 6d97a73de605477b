package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/cassialead/cassialead/config"
	dialer "github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/listener"
)

const (
	connectTimeout     = time.Second
	maxIdleConnections = 64                           // for each node or target, and class
	idleConnTimeout    = listener.IdleTimeout * 3 / 4 // the other side closes idle connections after IdleTimeout
	continueTimeout    = time.Second
	transportBuffer    = 8 << 10
	maxHeaderBytes     = 64 << 10
	keepAliveInterval  = 5 * time.Second
)

// newTransport returns an HTTP transport with a limit on connections per host; zero means no limit.
func newTransport(connections int) *http.Transport {
	d := &net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext:            dialer.DialContext(d),
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        idleConnTimeout,
		ExpectContinueTimeout:  continueTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         transportBuffer,
		WriteBufferSize:        transportBuffer,
	}
}

// peerTransport has separate connection pools for short and long calls, to keep long calls from starving short ones.
type peerTransport struct {
	short, long, unpooled *http.Transport
}

func newPeerTransport() *peerTransport {
	unpooled := newTransport(0)
	unpooled.DisableKeepAlives = true
	return &peerTransport{short: newTransport(0), long: newTransport(0), unpooled: unpooled}
}

func (p *peerTransport) forClass(c config.Class) *http.Transport {
	if c == config.ClassLong {
		return p.long
	}
	return p.short
}
