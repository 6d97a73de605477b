package listener

import (
	"net"
	"sync/atomic"

	"github.com/cassialead/cassialead/fleet"
)

// Hosts is a set of hosts from which connections are expected; it is empty at first and safe for concurrent use.
type Hosts struct {
	hosts atomic.Pointer[map[string]struct{}]
}

// Set replaces the hosts by those of addresses.
func (h *Hosts) Set(addresses []fleet.Address) {
	hosts := make(map[string]struct{}, len(addresses))
	for _, a := range addresses {
		if host, _, err := net.SplitHostPort(string(a)); err == nil {
			hosts[host] = struct{}{}
		}
	}
	h.hosts.Store(&hosts)
}

// Has reports whether an address is of one of the hosts.
func (h *Hosts) Has(a net.Addr) bool {
	hosts := h.hosts.Load()
	tcp, ok := a.(*net.TCPAddr)
	if hosts == nil || !ok {
		return false
	}
	_, ok = (*hosts)[tcp.IP.String()]
	return ok
}
