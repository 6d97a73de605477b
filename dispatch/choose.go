package dispatch

import (
	"time"

	"github.com/cassialead/cassialead/balance"
	"github.com/cassialead/cassialead/hop"
)

// chooseSlot chooses a target that probably has a free slot, or returns nil.
func (d *delivery) chooseSlot(peers []*Peer, excluded func(*Peer) bool, now time.Time) *Peer {
	if p, ok := balance.Slot(peers, d.properties(), excluded, now, d.rng); ok {
		return p
	}
	return nil
}

// chooseQueue chooses a target at which the call may wait, or returns nil if there is none.
func (d *delivery) chooseQueue(peers []*Peer, excluded func(*Peer) bool, now time.Time) *Peer {
	p, _ := balance.Queue(peers, d.properties(), excluded, now, d.rng)
	return p
}

// properties returns the properties of the call by which its target is chosen.
func (d *delivery) properties() balance.Call {
	return balance.Call{BodyBytes: len(d.call.Body), AnswerBytes: d.dispatcher.sizes.of(d.rule.Name)}
}

// lacksCapacity reports whether a cause means that the target lacks capacity.
func lacksCapacity(c hop.Cause) bool {
	return c == hop.Busy || c == hop.TooLate || c == hop.QueueFull
}
