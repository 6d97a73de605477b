package hop

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/lifecycle"
)

func (c *Call) set(w callWire) {
	c.Route, c.Service = config.RouteName(w.Route), config.ServiceName(w.Service)
	c.Instance, c.Origin = lifecycle.ID(w.Instance), config.ServiceName(w.Origin)
}

// connectionHeaders hold for one connection only.
var connectionHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Expect", "Transfer-Encoding", "Upgrade", "Content-Length"}

// RemoveConnectionHeaders deletes what must not be passed on to another connection.
func RemoveConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
	delete(h, callHeader)
	delete(h, outcomeHeader)
}
