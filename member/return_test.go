package member_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
)

// modelNode is a node of the model with its view and its own record.
type modelNode struct {
	id     fleet.NodeID
	region int
	record member.Record
	view   *member.View
	alive  bool
	stored bool // the node has written its entry
}

// model is a store with leases, and nodes in two regions that may lose each other and the store.
type model struct {
	now     time.Time
	entries map[fleet.NodeID]member.Record
	nodes   []*modelNode
	cut     bool // region 1 reaches neither the store nor region 0
}

func newModel(nodes int) *model {
	m := &model{now: time.Unix(1_800_000_000, 0), entries: map[fleet.NodeID]member.Record{}}
	for i := range nodes {
		n := &modelNode{id: fleet.NodeID(fmt.Sprintf("vm-%d", i)), region: i % 2, view: member.NewView()}
		m.nodes = append(m.nodes, n)
		m.start(n)
	}
	m.settle()
	return m
}

func (m *model) start(n *modelNode) {
	n.alive, n.stored = true, false
	n.record = member.Record{Node: n.id, Incarnation: fleet.Incarnation(m.now.UnixMilli()), Sequence: 1, Address: fleet.Address("10.0.0.1:" + string(n.id[3:]) + "1"),
		Target: member.Target{ID: lifecycle.ID("i-" + n.id), State: lifecycle.Open}}
	n.view = member.NewView()
}

func (m *model) reachesStore(n *modelNode) bool { return !m.cut || n.region == 0 }

// sync lets a node write its entry if the store lacks it, list the store, and ping unlisted members.
func (m *model) sync(n *modelNode) {
	if !n.alive {
		return
	}
	if m.reachesStore(n) {
		if _, ok := m.entries[n.id]; !ok {
			if n.stored {
				n.record.Sequence++ // as the registrar does
			}
			n.stored = true
			m.entries[n.id] = n.record
		}
		var listed []member.Record
		for _, r := range m.entries {
			listed = append(listed, r)
		}
		n.view.Replace(listed, m.now)
	}
	for _, o := range m.nodes {
		if v, ok := n.view.Get(o.id); ok && v.Unlisted && o.alive && (!m.cut || o.region == n.region) {
			n.view.MarkAlive(o.id, o.record.Incarnation, m.now)
		}
	}
	n.view.Expire(m.now)
}

// settle lets time pass without trouble until every entry is written and listed.
func (m *model) settle() {
	for range 8 {
		m.now = m.now.Add(member.UnlistedGrace / 2)
		for _, n := range m.nodes {
			m.sync(n)
		}
	}
}

// A region that came back after its leases had lapsed stayed unknown to the other one for ten minutes.
var _ = Describe("the views of nodes in regions that lose each other", func() {
	It("hold all living nodes and no other once every entry is written again", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			m := newModel(rapid.IntRange(2, 5).Draw(t, "nodes"))
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				n := rapid.SampledFrom(m.nodes).Draw(t, "node")
				switch rapid.SampledFrom([]string{"sync", "sync", "lapse", "lapse region", "cut", "heal", "kill", "start", "change", "gossip"}).Draw(t, "event") {
				case "sync":
					m.sync(n)
				case "lapse":
					if !n.alive || !m.reachesStore(n) {
						delete(m.entries, n.id)
					}
				case "lapse region":
					for _, o := range m.nodes {
						if !m.reachesStore(o) {
							delete(m.entries, o.id)
						}
					}
				case "cut":
					m.cut = true
				case "heal":
					m.cut = false
				case "kill":
					n.alive = false
				case "start":
					if !n.alive {
						m.start(n)
					}
				case "change":
					if n.alive {
						n.record.Sequence++
						if _, ok := m.entries[n.id]; ok && m.reachesStore(n) {
							m.entries[n.id] = n.record
						}
					}
				case "gossip":
					from := rapid.SampledFrom(m.nodes).Draw(t, "from")
					if from.alive && n.alive && (!m.cut || from.region == n.region) {
						_, removed, _ := from.view.ChangedSince(0)
						for _, r := range removed {
							n.view.Remove(r, m.now)
						}
						for _, r := range from.view.Members() {
							n.view.Merge(r.Record, false, m.now)
						}
					}
				}
			}
			m.cut = false
			var alive []fleet.NodeID
			for _, n := range m.nodes {
				if n.alive {
					alive = append(alive, n.id)
				} else {
					delete(m.entries, n.id) // its lease has lapsed
				}
			}
			m.settle()
			for _, n := range m.nodes {
				if !n.alive {
					continue
				}
				var held []fleet.NodeID
				for _, v := range n.view.Members() {
					held = append(held, v.Node)
				}
				slices.Sort(held)
				if !slices.Equal(held, alive) {
					t.Fatalf("%s holds %v, alive are %v", n.id, held, alive)
				}
			}
		})
	})
})
