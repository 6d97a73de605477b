package control_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
)

const (
	inForceLimit = 5 * time.Second // requirement
	drainLimit   = 3 * time.Second
	settleTime   = 15 * time.Second
)

var dataCentres = []string{"costa/norte", "costa/sur", "llanos/arauca", "llanos/casanare"}

// newSettledWorld returns a world in which version 1 is active on all nodes.
func newSettledWorld(seed uint64, n int, dcs ...string) *world {
	w := newWorld(seed)
	w.start(n, dcs...)
	w.commit(document(0))
	w.run(settleTime)
	Expect(w.inForce(1, nil)()).To(BeTrue(), "version 1 active before the failure")
	return w
}

// expectInForce commits a version and expects it to be active on the nodes that match filter within inForceLimit.
func expectInForce(w *world, n int, filter func(*member) bool) {
	GinkgoHelper()
	v := w.commit(document(n))
	elapsed, ok := w.runUntil(inForceLimit, w.inForce(v, filter))
	Expect(ok).To(BeTrue(), "version %d active within %s: %s", v, inForceLimit, describeLagging(w, v, filter))
	AddReportEntry(fmt.Sprintf("version %d active after %s", v, elapsed))
}

func describeLagging(w *world, v config.Version, filter func(*member) bool) string {
	out := ""
	for _, m := range w.live() {
		_, held := m.core.Config()
		if (filter == nil || filter(m)) && (held.Version < v || !m.core.Ready()) {
			s := m.core.Status()
			out += fmt.Sprintf("\n%s at %d minimum %d ready %v root %v parent %q backup %q", m.record.Node, held.Version, s.MinVersion,
				s.Ready, s.Root, s.Parent, s.BackupParent)
		}
	}
	return out
}

func inDataCentres(dcs ...fleet.DataCentre) func(*member) bool {
	return func(m *member) bool {
		for _, dc := range dcs {
			if m.record.DataCentre == dc {
				return true
			}
		}
		return false
	}
}

func except(filter func(*member) bool) func(*member) bool {
	return func(m *member) bool { return !filter(m) }
}

// partition drops all messages between the nodes that match side and the rest; links stay open.
func (w *world) partition(side func(*member) bool) {
	w.blackholed = func(a, b *member) bool { return side(a) != side(b) }
	w.unreachable = w.blackholed
}

func (w *world) heal() {
	w.blackholed = func(*member, *member) bool { return false }
	w.unreachable = w.blackholed
}

var _ = Describe("fleet under failure", func() {
	cases := map[string]func(w *world){
		"the leader fails during the propagation of a change": func(w *world) {
			v := w.commit(document(1))
			w.run(2 * storeLatency)
			w.kill(w.leaseHolder("norte").record.Node, false)
			_, ok := w.runUntil(inForceLimit, w.inForce(v, nil))
			Expect(ok).To(BeTrue(), describeLagging(w, v, nil))
		},
		"the leader is partitioned and new links to it fail": func(w *world) {
			leader := w.leaseHolder("norte")
			w.partition(func(m *member) bool { return m == leader })
			expectInForce(w, 1, func(m *member) bool { return m != leader })
		},
		"all leaders fail during a store outage and the store recovers": func(w *world) {
			w.setStoreDown(true)
			w.run(5 * time.Second)
			for _, dc := range []fleet.DataCentre{"norte", "sur", "arauca", "casanare"} {
				w.kill(w.leaseHolder(dc).record.Node, false)
			}
			w.run(20 * time.Second)
			w.store.leases = map[fleet.DataCentre]*fakeLease{}
			w.setStoreDown(false)
			w.run(4 * time.Second)
			expectInForce(w, 1, nil)
		},
		"a leader is paused beyond its lease and resumes": func(w *world) {
			leader := w.leaseHolder("norte")
			leader.paused = true
			w.run(25 * time.Second)
			expectInForce(w, 1, func(m *member) bool { return m != leader })
			w.resume(leader)
			w.run(5 * time.Second)
			Expect(w.leaseHolder("norte")).NotTo(BeIdenticalTo(leader))
			expectInForce(w, 2, nil)
		},
		"each store response takes two seconds": func(w *world) {
			w.store.extraLatency = 2 * time.Second
			expectInForce(w, 1, nil)
			w.kill(w.leaseHolder("sur").record.Node, true)
			w.run(20 * time.Second)
			expectInForce(w, 2, nil)
		},
		"a region's leaders fail during a partition between regions and a store outage": func(w *world) {
			w.setStoreDown(true)
			w.partition(inDataCentres("arauca", "casanare"))
			for _, dc := range []fleet.DataCentre{"arauca", "casanare"} {
				w.kill(w.leaseHolder(dc).record.Node, true)
			}
			w.run(15 * time.Second)
			w.heal()
			w.setStoreDown(false)
			w.run(15 * time.Second)
			expectInForce(w, 1, nil)
		},
		"regions are partitioned, one side gets a change, and the partition heals": func(w *world) {
			w.partition(inDataCentres("arauca", "casanare"))
			storeSide := except(inDataCentres("arauca", "casanare"))
			w.run(10 * time.Second)
			expectInForce(w, 1, storeSide)
			w.heal()
			w.run(5 * time.Second)
			expectInForce(w, 2, nil)
		},
		"half of a data centre fails at once and restarts": func(w *world) {
			for i := range 10 {
				w.kill(nodeName("sur", i), i%2 == 0)
			}
			w.run(time.Second)
			expectInForce(w, 1, nil)
			for i := range 10 {
				w.startNode(nodeName("sur", i), "sur", "costa")
			}
			_, ok := w.runUntil(inForceLimit, w.inForce(2, nil))
			Expect(ok).To(BeTrue(), describeLagging(w, 2, nil))
		},
		"every node restarts at once": func(w *world) {
			for _, m := range w.live() {
				w.kill(m.record.Node, false)
			}
			for _, m := range w.members {
				w.startNode(m.record.Node, m.record.DataCentre, m.record.Region)
			}
			elapsed, ok := w.runUntil(2*settleTime, w.inForce(1, nil))
			Expect(ok).To(BeTrue(), describeLagging(w, 1, nil))
			AddReportEntry(fmt.Sprintf("all nodes ready after %s", elapsed))
		},
		"deltas are lost, resent and corrupted": func(w *world) {
			n := 0
			w.tamper = func(m control.Message) control.Message {
				update, ok := m.(control.ConfigUpdate)
				if !ok || len(update.Deltas) == 0 {
					return m
				}
				n++
				switch n % 3 {
				case 0:
					return nil
				case 1:
					update.Deltas = append([]config.Delta(nil), update.Deltas...)
					update.Deltas[0].Set = map[config.SectionName]config.Section{"defaults": {"timeout": "9s"}}
					return update
				}
				return m
			}
			expectInForce(w, 1, nil)
			expectInForce(w, 2, nil)
		},
		"a node restarts in a data centre that is partitioned from the store": func(w *world) {
			expectInForce(w, 1, nil)
			w.setStoreDown(true)
			w.partition(inDataCentres("sur"))
			w.kill("sur-004", false)
			w.run(time.Second)
			w.startNode("sur-004", "sur", "costa")
			_, ok := w.runUntil(inForceLimit, w.inForce(2, inDataCentres("sur")))
			Expect(ok).To(BeTrue(), describeLagging(w, 2, inDataCentres("sur")))
		},
		"the store is restored from an old backup": func(w *world) {
			expectInForce(w, 1, nil)
			expectInForce(w, 2, nil)
			w.store.versions, w.store.deltas = w.store.versions[:1], w.store.deltas[:1]
			w.store.watchers = nil
			w.kill(w.leaseHolder("norte").record.Node, false)
			w.run(20 * time.Second)
			Expect(w.inForce(3, nil)()).To(BeTrue(), describeLagging(w, 3, nil))
			reporting := 0
			for _, m := range w.live() {
				if m.core.Status().StoreBehind {
					reporting++
				}
			}
			Expect(reporting).To(BeNumerically(">", 0), "at least one node reports that the store is behind")
		},
		"a draining node is propagated to all nodes": func(w *world) {
			m := w.members["arauca-003"]
			w.step(m, control.Leave{})
			_, ok := w.runUntil(drainLimit, func() bool {
				for _, other := range w.live() {
					for _, r := range other.core.Records() {
						if r.Node == m.record.Node && r.State != fleet.Leaving {
							return false
						}
					}
				}
				return true
			})
			Expect(ok).To(BeTrue())
		},
	}
	for name, run := range cases {
		It("preserves its invariants when "+name, func() {
			w := newSettledWorld(7, 24, dataCentres...)
			run(w)
			w.run(time.Second)
			Expect(w.checker.failures).To(BeEmpty())
		})
	}

	It("declares a node gone that fails without closing its links, and readmits it after a restart", func() {
		w := newSettledWorld(3, 24, dataCentres...)
		allSeeState := func(state fleet.State) func() bool {
			return func() bool {
				for _, m := range w.live() {
					for _, r := range m.core.Records() {
						if r.Node == "norte-007" && r.State != state {
							return false
						}
					}
				}
				return true
			}
		}
		w.kill("norte-007", true)
		elapsed, ok := w.runUntil(15*time.Second, allSeeState(fleet.Gone))
		Expect(ok).To(BeTrue())
		AddReportEntry(fmt.Sprintf("declared gone on all nodes after %s", elapsed))
		w.startNode("norte-007", "norte", "costa")
		_, ok = w.runUntil(inForceLimit, allSeeState(fleet.Serving))
		Expect(ok).To(BeTrue())
	})

	It("does not let a restarted node serve a version older than before the restart", func() {
		w := newSettledWorld(5, 24, dataCentres...)
		expectInForce(w, 1, nil)
		w.setStoreDown(true)
		parent := w.members["sur-009"].core.Status().Parent
		w.kill("sur-009", false)
		w.startNode("sur-009", "sur", "costa")
		_, ok := w.runUntil(inForceLimit, func() bool { return w.members["sur-009"].core.Ready() })
		Expect(ok).To(BeTrue(), "under parent %s", parent)
		Expect(w.checker.failures).To(BeEmpty())
	})
})
