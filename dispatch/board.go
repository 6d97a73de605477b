package dispatch

import (
	"sync"
	"sync/atomic"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/member"
)

// Place is where a node stands.
type Place struct {
	Node       fleet.NodeID
	DataCentre fleet.DataCentre
	Region     fleet.Region
}

// Board holds the peers of each service; readers see an immutable table.
type Board struct {
	self  Place
	mu    sync.Mutex
	peers map[peerKey]*Peer
	table atomic.Pointer[map[config.ServiceName][]*Peer]
}

type peerKey struct {
	node     fleet.NodeID
	address  fleet.Address
	instance lifecycle.ID
	born     lifecycle.Born
	inc      fleet.Incarnation
}

// NewBoard returns an empty board for a node at a place.
func NewBoard(self Place) *Board {
	b := &Board{self: self, peers: map[peerKey]*Peer{}}
	b.table.Store(&map[config.ServiceName][]*Peer{})
	return b
}

// Publish takes the members that a node knows of.
func (b *Board) Publish(members []member.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := map[peerKey]*Peer{}
	table := map[config.ServiceName][]*Peer{}
	for _, m := range members {
		if !m.Serves() {
			continue
		}
		key := peerKey{m.Node, m.Address, m.Target.ID, m.Target.Born, m.Incarnation}
		p := b.peers[key]
		if p == nil || p.Slots != m.Target.Slots {
			p = newPeer(m, b.distance(m.Record))
		}
		kept[key] = p
		table[m.Target.Service] = append(table[m.Target.Service], p)
	}
	b.peers = kept
	b.table.Store(&table)
}

func (b *Board) distance(r member.Record) Distance {
	switch {
	case r.Node == b.self.Node:
		return SameVM
	case r.DataCentre == b.self.DataCentre:
		return SameDataCentre
	case r.Region == b.self.Region:
		return SameRegion
	}
	return OtherRegion
}

// Peers returns the peers that serve a service.
func (b *Board) Peers(s config.ServiceName) []*Peer { return (*b.table.Load())[s] }

// Find returns the peers of a node.
func (b *Board) Find(n fleet.NodeID) []*Peer {
	var found []*Peer
	for _, peers := range *b.table.Load() {
		for _, p := range peers {
			if p.Node == n {
				found = append(found, p)
			}
		}
	}
	return found
}

// Services returns how many peers serve each service.
func (b *Board) Services() map[config.ServiceName]int {
	n := map[config.ServiceName]int{}
	for s, peers := range *b.table.Load() {
		n[s] = len(peers)
	}
	return n
}
