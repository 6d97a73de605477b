package control_test

import (
	"fmt"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// checker holds the promises that every session must keep; it looks at a node after each of its steps.
type checker struct {
	committed map[config.Lineage][]config.Digest
	// served is the highest version that each node has served, over all of its restarts.
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
		c.fail(w, m, "version %d was never accepted", held.Version)
		return
	}
	previous := c.highestServed[m.record.Node]
	if !m.core.Ready() {
		return
	}
	if held.Version < previous {
		c.fail(w, m, "went back from version %d to %d", previous, held.Version)
	}
	if held.Version == previous {
		return
	}
	c.highestServed[m.record.Node] = held.Version
	if got := m.core.Document().Digest(); got != committed[held.Version-1] {
		c.fail(w, m, "version %d is not what was accepted", held.Version)
	}
	for _, r := range cfg.Routes {
		if cfg.Services[r.Service] == nil {
			c.fail(w, m, "route %s points at service %s, which the node does not hold", r.Name, r.Service)
		}
	}
}
