package agent_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/agent"
	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/feed"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform/standin"
	"github.com/cassialead/cassialead/settings"
)

const (
	changeTime  = 2 * time.Second       // for a change to be in force on the nodes that the store serves
	changeDelay = 50 * time.Millisecond // after the store has turned nodes away
	versionPoll = 20 * time.Millisecond
	contactTime = 3 * time.Second // after which a node that reaches the store has to follow changes again
)

// twoCentres moves every other node into a second data centre, so that each has a head, its children and a deeper position.
func twoCentres(cfg *settings.Agent) {
	switch cfg.VM {
	case "vm-1", "vm-3", "vm-5":
		cfg.DataCentre = "costa-sur"
	}
}

// without returns the names of nodes that are not in a set.
func (s *cluster) without(names map[string]bool) []*node {
	var others []*node
	for _, n := range s.nodes {
		if !names[string(n.cfg.VM)] {
			others = append(others, n)
		}
	}
	return others
}

// A node that follows a parent relied on the parent's word for 2.5 s before it looked for another one, above the time in which a
// change has to be in force.
var _ = Describe("a node that the store serves, while the store turns away the nodes above it", func() {
	faults := map[string]standin.Faults{
		"silence":    {NoResponse: true},
		"resets":     {Reset: true},
		"status 503": {Status: 503},
		"status 429": {Status: 429},
	}
	away := map[string]func(*cluster) map[string]bool{
		"one head": func(s *cluster) map[string]bool {
			for n := range s.heads() {
				return map[string]bool{n: true}
			}
			return nil
		},
		"both heads": (*cluster).heads,
		"both heads and half of the other nodes": func(s *cluster) map[string]bool {
			names := s.heads()
			for _, n := range s.without(names)[:2] {
				names[string(n.cfg.VM)] = true
			}
			return names
		},
	}
	for name, fault := range faults {
		for position, away := range away {
			It("has a change in force in time if those are "+position+" and get "+name, func() {
				s := newClusterWith(twoCentres, "stock", "orders", "stock", "orders", "stock", "orders")
				turnedAway := away(s)
				// The heads' watches return with this change, so that their contact is as recent as it can be when the store turns them away.
				s.store.Put("op/config", plan(2, "/stock/", "stock"))
				for _, n := range s.nodes {
					Eventually(n.version).WithPolling(versionPoll).Should(Equal(2), string(n.cfg.VM))
				}
				fault.AppliesTo = func(n string) bool { return turnedAway[n] }
				s.store.SetFaults(fault)
				time.Sleep(changeDelay)
				s.store.Put("op/config", plan(3, "/stock/", "stock"))
				written := time.Now()
				for _, n := range s.without(turnedAway) {
					Eventually(n.version).WithTimeout(changeTime-time.Since(written)).WithPolling(versionPoll).Should(Equal(3), string(n.cfg.VM))
				}
			})
		}
	}
})

// A node asked again and again for changes that it could not read, and used an old version until the store had dropped them.
var _ = Describe("a node that has missed more versions than it reads in one answer", func() {
	const versions, bytes = 24, 400 << 10
	for name, away := range map[string]time.Duration{"in a short absence": time.Second, "in a long absence": 4 * time.Second} {
		It("has a change in force in time after them: "+name, func() {
			s := newCluster("stock")
			n := s.nodes[0]
			s.store.SetFaults(standin.Faults{NoResponse: true})
			end := time.Now().Add(away)
			long := []byte(`{"filler":"` + strings.Repeat("x", bytes) + `",`)
			for v := 2; v < 2+versions; v++ {
				s.store.Put("op/config", append(long[:len(long):len(long)], plan(v, "/stock/", "stock")[1:]...))
			}
			time.Sleep(time.Until(end))
			s.store.SetFaults(standin.Faults{})
			time.Sleep(contactTime)
			s.store.Put("op/config", plan(100, "/stock/", "stock"))
			Eventually(n.version).WithTimeout(changeTime).WithPolling(versionPoll).Should(Equal(100))
		})
	}
})

var _ = Describe("an update to a child", func() {
	// A child that took the age of such an update for that of its own state did not look for the version that it lacked.
	It("says so if a newer configuration is left out of it", func() {
		s := newCluster("stock")
		n := s.nodes[0]
		conn, err := feed.Dial(context.Background(), n.cfg.VM, n.cfg.LinkAddress,
			feed.Hello{Child: member.Record{Node: "vm-child", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1}, PlanVersion: 1})
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		left := 0
		for held := config.Version(1); held < 3; {
			u, err := conn.Receive(waitTimeout)
			Expect(err).NotTo(HaveOccurred())
			switch {
			case held == 1 && u.Full:
				s.store.Put("op/config", plan(2, "/stock/", "stock"))
			case u.PlanVersion == 2:
				s.store.Put("op/config", plan(3, "/stock/", "stock")) // too soon to be sent at once
				Eventually(n.version).WithPolling(time.Millisecond).Should(Equal(3))
			case u.Incomplete:
				left++
			default:
				Expect(u.PlanVersion == 3 || left == 0).To(BeTrue(), "an update without version 3 vouches for the child's state")
			}
			held = max(held, u.PlanVersion)
		}
		Expect(left).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the times of a node's state", func() {
	for name, apply := range map[string]time.Duration{"2 s": 2 * time.Second, "3 s": 3 * time.Second, "5 s": 5 * time.Second} {
		It("leave a node that reads the store itself within a bound of "+name+" and no other node reading it", func() {
			t := agent.NewSyncTimes(apply)
			for depth := 1; depth <= agent.MaxTreeDepth; depth++ {
				usual := t.Watch() + agent.WatchInterval + time.Duration(depth)*agent.KeepaliveInterval
				Expect(t.ReadAge(depth)).To(BeNumerically(">=", usual+agent.AgeSlack), "depth %d", depth)
				Expect(t.ReadAge(depth)+agent.ReadReserve).To(BeNumerically("<=", apply), "depth %d", depth)
				if depth > 1 {
					Expect(t.ReadAge(depth)-t.ReadAge(depth-1)).To(BeNumerically(">=", agent.KeepaliveInterval), "depth %d", depth)
				}
			}
		})
	}
	It("leave a node reading the store within a bound that is too short for the tree", func() {
		t := agent.NewSyncTimes(time.Second)
		Expect(t.ReadAge(agent.MaxTreeDepth)).To(BeNumerically("<", time.Second))
		Expect(t.ReadAge(1)).To(BeNumerically(">", 0))
	})
})
