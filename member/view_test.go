package member_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/member"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func record(n fleet.NodeID, inc fleet.Incarnation, seq fleet.Sequence) member.Record {
	return member.Record{Node: n, Incarnation: inc, Sequence: seq, DataCentre: "costa-norte", Region: "costa", Address: "192.0.2.1:80"}
}

func withAddress(r member.Record, a fleet.Address) member.Record {
	r.Address = a
	return r
}

func names(v *member.View) []fleet.NodeID {
	var ns []fleet.NodeID
	for _, m := range v.Members() {
		ns = append(ns, m.Node)
	}
	return ns
}

var _ = Describe("the membership view", func() {
	It("keeps the newest record regardless of the order of arrival", func() {
		v := member.NewView()
		v.Merge(record("a", 2, 1), true, start)
		Expect(v.Merge(record("a", 1, 9), true, start)).To(BeEmpty())
		v.Merge(record("a", 2, 3), true, start)
		Expect(v.Merge(record("a", 2, 2), true, start)).To(BeEmpty())
		m, _ := v.Get("a")
		Expect(m.Sequence).To(Equal(fleet.Sequence(3)))
	})
	It("keeps an unlisted member for the grace period, and longer while it responds", func() {
		v := member.NewView()
		v.Merge(record("a", 1, 1), true, start)
		v.Unlist("a", start)
		v.Expire(start.Add(member.UnlistedGrace - time.Millisecond))
		Expect(names(v)).To(ConsistOf(fleet.NodeID("a")))
		v.MarkAlive("a", 1, start.Add(2*time.Second))
		v.Expire(start.Add(member.UnlistedGrace + time.Second))
		Expect(names(v)).To(ConsistOf(fleet.NodeID("a")))
		v.MarkAlive("a", 2, start.Add(4*time.Second)) // another process responds at the address
		v.Expire(start.Add(2*time.Second + member.UnlistedGrace))
		Expect(names(v)).To(BeEmpty())
	})
	It("removes a leaving member as soon as it is unlisted, and ignores outdated records of it", func() {
		v := member.NewView()
		r := record("a", 1, 2)
		r.Leaving = true
		v.Merge(r, true, start)
		v.Unlist("a", start)
		Expect(names(v)).To(BeEmpty())
		Expect(v.Merge(record("a", 1, 1), false, start)).To(BeEmpty())
		Expect(v.Merge(record("a", 2, 1), false, start)).NotTo(BeEmpty(), "a later incarnation is a new process")
	})
	It("removes a node whose address is taken over by a later node", func() {
		v := member.NewView()
		v.Merge(record("a", 1, 1), true, start)
		v.Merge(record("c", 2, 1), true, start)
		Expect(names(v)).To(ConsistOf(fleet.NodeID("c")))
	})
	It("returns the members changed and removed since a revision", func() {
		v := member.NewView()
		v.Merge(record("a", 1, 1), true, start)
		v.Merge(withAddress(record("b", 1, 1), "192.0.2.2:80"), true, start)
		_, _, revision := v.ChangedSince(0)
		v.Merge(record("a", 1, 2), true, start)
		v.Remove(withAddress(record("b", 1, 1), "192.0.2.2:80"), start)
		changed, removed, _ := v.ChangedSince(revision)
		Expect(changed).To(HaveLen(1))
		Expect(changed[0].Node).To(Equal(fleet.NodeID("a")))
		Expect(removed).To(ConsistOf(withAddress(record("b", 1, 1), "192.0.2.2:80")))
	})
})

var _ = Describe("the distribution tree", func() {
	allUsable := func(fleet.NodeID) bool { return true }
	It("gives each region at most two heads, no cycles and a bounded number of children at any size", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var members []member.Member
			n := rapid.IntRange(1, 200).Draw(t, "nodes")
			for i := range n {
				dc := rapid.IntRange(0, 3).Draw(t, "data centre")
				r := withAddress(record(fleet.NodeID(fmt.Sprintf("node-%d", i)), 1, 1), fleet.Address(fmt.Sprintf("192.0.2.1:%d", i)))
				r.DataCentre, r.Region = fleet.DataCentre(fmt.Sprintf("dc-%d", dc)), fleet.Region(fmt.Sprintf("region-%d", dc/2))
				members = append(members, member.Member{Record: r})
			}
			parents := map[fleet.NodeID]fleet.NodeID{}
			children, heads := map[fleet.NodeID]int{}, map[fleet.Region]int{}
			for _, m := range members {
				p := member.Locate(members, m.Node, allUsable)
				if p.Parent == nil {
					heads[m.Region]++
					continue
				}
				if p.Parent.Region != m.Region {
					t.Fatalf("%s has a parent in another region", m.Node)
				}
				parents[m.Node] = p.Parent.Node
				children[p.Parent.Node]++
			}
			for region, n := range heads {
				if n > 2 {
					t.Fatalf("%d heads in %s", n, region)
				}
			}
			for node, n := range children {
				if n > member.FanOut+4 {
					t.Fatalf("%d children of %s", n, node)
				}
			}
			for node := range parents {
				depth := 0
				for at := node; parents[at] != ""; at = parents[at] {
					if depth++; depth > len(members) {
						t.Fatalf("%s is part of a cycle", node)
					}
				}
			}
		})
	})
	It("selects another parent for a node that can't use one, and makes it a head when none is left", func() {
		var members []member.Member
		for _, n := range []fleet.NodeID{"a", "b", "c", "d"} {
			members = append(members, member.Member{Record: record(n, 1, 1)})
		}
		unusable := map[fleet.NodeID]bool{}
		usable := func(n fleet.NodeID) bool { return !unusable[n] }
		for range 4 {
			p := member.Locate(members, "c", usable)
			if p.Parent == nil {
				Expect(len(unusable)).To(BeNumerically("<=", 3))
				return
			}
			Expect(unusable[p.Parent.Node]).To(BeFalse())
			unusable[p.Parent.Node] = true
		}
		Fail("c still has a parent")
	})

	It("selects parents with the highest bandwidth, and others only when none of these is usable", func() {
		var members []member.Member
		for i := range 40 {
			r := withAddress(record(fleet.NodeID(fmt.Sprintf("node-%d", i)), 1, 1), fleet.Address(fmt.Sprintf("192.0.2.1:%d", i)))
			r.DataCentre, r.LinkBandwidth = fleet.DataCentre(fmt.Sprintf("dc-%d", i%2)), 7e6
			if i >= 36 {
				r.LinkBandwidth = 140e6
			}
			members = append(members, member.Member{Record: r})
		}
		lowBandwidthParents := map[fleet.NodeID]int{}
		for _, m := range members {
			p := member.Locate(members, m.Node, allUsable)
			if p.Parent != nil && p.Parent.LinkBandwidth < 140e6 {
				lowBandwidthParents[p.Parent.Node]++
			}
			if p.Parent == nil {
				Expect(m.LinkBandwidth).To(Equal(fleet.BitRate(140e6)), "%s is a head", m.Node)
			}
		}
		Expect(lowBandwidthParents).To(BeEmpty())
		highBandwidth := func(n fleet.NodeID) bool {
			return slices.Contains([]fleet.NodeID{"node-36", "node-37", "node-38", "node-39"}, n)
		}
		p := member.Locate(members, "node-0", func(n fleet.NodeID) bool { return !highBandwidth(n) })
		Expect(p.Parent != nil || p.Sibling != nil).To(BeTrue())
	})
})
