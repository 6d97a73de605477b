package control_test

import (
	"fmt"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// checker verifies the invariants of a session after each step of a node.
type checker struct {
	committed map[config.Lineage][]config.Digest
	// highestServed is the highest version that each node has served, across restarts.
	highestServed map[fleet.NodeID]config.Version
	failures      []string
}

func newChecker() *checker {
	return &checker{committed: map[config.Lineage][]config.Digest{}, highestServed: map[fleet.NodeID]config.Version{}}
}

func (c *checker) fail(w *world, m *member, format string, args ...any) {
	if len(c.failures) < 10 {
		c.failures = append(c.failures, fmt.Sprintf("%s %s: ", w.now.Format("05.000"), m.record.Node)+fmt.Sprintf(format, args...))
	}
}

func (c *checker) check(w *world, m *member) {
	cfg, held := m.core.Config()
	if held.Version == 0 {
		return
	}
	committed := c.committed[held.Lineage]
	if int(held.Version) > len(committed) {
		c.fail(w, m, "version %d was never committed", held.Version)
		return
	}
	previous := c.highestServed[m.record.Node]
	if !m.core.Ready() {
		return
	}
	if held.Version < previous {
		c.fail(w, m, "active version decreased from %d to %d", previous, held.Version)
	}
	if held.Version == previous {
		return
	}
	c.highestServed[m.record.Node] = held.Version
	if got := m.core.Document().Digest(); got != committed[held.Version-1] {
		c.fail(w, m, "document of version %d differs from the committed one", held.Version)
	}
	for _, r := range cfg.Routes {
		if cfg.Services[r.Service] == nil {
			c.fail(w, m, "route %s refers to service %s, which is not in the configuration", r.Name, r.Service)
		}
	}
}
