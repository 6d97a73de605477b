package dispatch

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/balance"
	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
)

// Location is the position of a node in the fleet.
type Location struct {
	Node       fleet.NodeID
	DataCentre fleet.DataCentre
	Region     fleet.Region
}

// PeerTable holds the peers of each service; readers use an immutable snapshot without locking.
type PeerTable struct {
	self      Location
	mu        sync.Mutex
	peers     map[peerKey]*Peer
	departed  lifecycle.Departures // targets that have left or announced their leaving, whatever later records of their nodes say
	byService atomic.Pointer[map[config.ServiceName][]*Peer]
	rollouts  map[config.ServiceName]Rollout
	splits    atomic.Pointer[map[config.ServiceName]*versionSplit] // of the services with a rollout; nil if there is none
}

type peerKey struct {
	node        fleet.NodeID
	address     fleet.Address
	instance    lifecycle.ID
	startTime   lifecycle.StartTime
	incarnation fleet.Incarnation
}

// NewPeerTable returns an empty table for a node at a location.
func NewPeerTable(self Location) *PeerTable {
	t := &PeerTable{self: self, peers: map[peerKey]*Peer{}, departed: lifecycle.NewDepartures(maxDeparted)}
	t.byService.Store(&map[config.ServiceName][]*Peer{})
	return t
}

const maxDeparted = 4096 // more targets than leave while their nodes' records may still say that they accept calls

// RecordDeparture removes a peer whose target has announced its leaving; only a later start of the target is added again.
func (t *PeerTable) RecordDeparture(p *Peer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.departed.Contains(p.Instance, p.startTime) {
		return
	}
	t.departed.Add(p.Instance, p.startTime, now)
	byService := maps.Clone(*t.byService.Load())
	byService[p.Service] = slices.DeleteFunc(slices.Clone(byService[p.Service]), func(other *Peer) bool { return other == p })
	t.publish(byService)
}

// Update replaces the table's contents with the members that serve calls; peers that stay keep their load and back-off state. A
// target that a record has named as leaving stays out, because its node may restart and not know it.
func (t *PeerTable) Update(members []member.Member, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := map[peerKey]*Peer{}
	byService := map[config.ServiceName][]*Peer{}
	for _, m := range members {
		if m.Target.State == lifecycle.Leaving && !t.departed.Contains(m.Target.ID, m.Target.StartTime) {
			t.departed.Add(m.Target.ID, m.Target.StartTime, now)
		}
		if !m.AcceptsCalls() || t.departed.Contains(m.Target.ID, m.Target.StartTime) {
			continue
		}
		key := peerKey{m.Node, m.Address, m.Target.ID, m.Target.StartTime, m.Incarnation}
		p := t.peers[key]
		if p == nil || p.Slots != m.Target.Slots || p.Version != m.Target.Version {
			p = newPeer(m, t.distance(m.Record))
		}
		kept[key] = p
		byService[m.Target.Service] = append(byService[m.Target.Service], p)
	}
	t.peers = kept
	t.publish(byService)
}

func (t *PeerTable) distance(r member.Record) balance.Distance {
	switch {
	case r.Node == t.self.Node:
		return balance.SameVM
	case r.DataCentre == t.self.DataCentre:
		return balance.SameDataCentre
	case r.Region == t.self.Region:
		return balance.SameRegion
	}
	return balance.OtherRegion
}

// Peers returns the peers that serve a service.
func (t *PeerTable) Peers(s config.ServiceName) []*Peer { return (*t.byService.Load())[s] }

// PeersOnNode returns the peers on a node.
func (t *PeerTable) PeersOnNode(n fleet.NodeID) []*Peer {
	var found []*Peer
	for _, peers := range *t.byService.Load() {
		for _, p := range peers {
			if p.Node == n {
				found = append(found, p)
			}
		}
	}
	return found
}

// Services returns the number of peers of each service.
func (t *PeerTable) Services() map[config.ServiceName]int {
	n := map[config.ServiceName]int{}
	for s, peers := range *t.byService.Load() {
		n[s] = len(peers)
	}
	return n
}
