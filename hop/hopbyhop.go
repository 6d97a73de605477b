package hop

import (
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/tenant"
)

func (c *Call) setNames(w wireCall) {
	c.Route, c.Service = config.RouteName(w.Route), config.ServiceName(w.Service)
	c.Instance, c.Origin, c.Tenant = lifecycle.ID(w.Instance), config.ServiceName(w.Origin), tenant.Name(w.Tenant)
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Expect", "Transfer-Encoding", "Upgrade", "Content-Length"}

// RemoveConnectionHeaders deletes hop-by-hop headers, those that the Connection header lists, and the headers of this package.
func RemoveConnectionHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	delete(h, callHeader)
	delete(h, outcomeHeader)
}
