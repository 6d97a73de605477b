package lifecycle

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// ID names a target; a target may start again under the id that it had.
type ID string

// Born is the start of a target, Unix milliseconds; zero means unknown.
type Born int64

// State says whether a target takes calls.
type State string

// The states of a target.
const (
	Unknown State = ""        // nothing proves yet that a target lives here
	Open    State = "open"    // takes calls
	Down    State = "down"    // takes no connections; a heartbeat opens it again
	Leaving State = "leaving" // has said that it leaves; never opens again
)

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	ID       ID
	Born     Born
	Sequence uint64
	Service  config.ServiceName
	Address  fleet.Address
	Version  string
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer it is slow
}

// Occupant is the target that a node holds to be beside it.
type Occupant struct {
	ID       ID
	Born     Born
	Service  config.ServiceName
	Address  fleet.Address
	Slots    int
	State    State
	WarmAt   time.Time
	sequence uint64
}

// Same reports whether o is the same start of the same target.
func (o Occupant) Same(id ID, born Born) bool {
	return o.ID == id && (o.Born == born || o.Born == 0 || born == 0)
}

// Life follows the targets that start and end beside one node; it is not safe for concurrent use.
type Life struct {
	now      Occupant
	departed map[ID]Born // starts that have left; a late heartbeat does not bring them back
}

const maxDeparted = 256 // departures remembered; far more than a VM's targets within the life of a late heartbeat

// NewLife returns a life of which nothing is known.
func NewLife() *Life { return &Life{departed: map[ID]Born{}} }

// Occupant returns what is known of the target.
func (l *Life) Occupant() Occupant { return l.now }

// Hear takes a heartbeat. It reports whether the occupant changed and whether a health check has to settle if it lives:
// the first heartbeat that a new process hears may be a late one of a target that has already left.
func (l *Life) Hear(h Heartbeat, now time.Time) (changed, doubt bool) {
	if born, ok := l.departed[h.ID]; ok && h.Born <= born {
		return false, false
	}
	if !l.now.Same(h.ID, h.Born) {
		if l.now.ID != "" && h.Born != 0 && l.now.Born > h.Born {
			return false, false
		}
		return l.arrive(h, now)
	}
	if h.Sequence <= l.now.sequence {
		return false, false
	}
	first := l.now.sequence == 0
	before := l.now
	l.now.sequence, l.now.Address = h.Sequence, h.Address
	if l.now.Born == 0 {
		l.now.Born = h.Born
	}
	if h.Slots > 0 {
		l.now.Slots = h.Slots
	}
	if h.Cold > 0 {
		l.now.WarmAt = now.Add(h.Cold)
	}
	switch {
	case l.now.State == Leaving:
	case h.Draining:
		l.now.State = Leaving
		l.remember(h.ID, h.Born)
	case l.now.State == Down, l.now.State == Unknown && !first:
		l.now.State = Open
	}
	return l.now.State != before.State || l.now.Slots != before.Slots || l.now.Address != before.Address || l.now.Born != before.Born, false
}

// arrive takes the first heartbeat of another start.
func (l *Life) arrive(h Heartbeat, now time.Time) (changed, doubt bool) {
	known := l.now.ID != ""
	l.now = Occupant{ID: h.ID, Born: h.Born, Service: h.Service, Address: h.Address, Slots: h.Slots, sequence: h.Sequence, WarmAt: now.Add(h.Cold)}
	switch {
	case h.Draining:
		l.now.State = Leaving
		l.remember(h.ID, h.Born)
	case known:
		// A later start than the one that this process has seen can't have left before.
		l.now.State = Open
	default:
		return true, true
	}
	return true, false
}

// Depart takes a target's word that it goes; it reports whether the occupant changed.
func (l *Life) Depart(id ID, born Born) bool {
	if l.now.ID == id && born != 0 && l.now.Born > born {
		return false // a departure of an earlier start, which came late
	}
	if born == 0 && l.now.ID == id {
		born = l.now.Born
	}
	l.remember(id, born)
	if l.now.ID != id || l.now.State == Leaving {
		return false
	}
	l.now.State = Leaving
	return true
}

// Restore takes what an earlier process of this node has published of its target; a departure stays in force.
func (l *Life) Restore(id ID, born Born, s State) bool {
	if s != Leaving || id == "" {
		return false
	}
	return l.Depart(id, born)
}

// Health takes the answer of a health check by the target with an id; it reports whether the occupant changed.
func (l *Life) Health(id ID, healthy bool, slots int, service config.ServiceName, address fleet.Address) bool {
	if id == "" || !healthy {
		return false
	}
	if born, ok := l.departed[id]; ok && (l.now.ID != id || l.now.Born <= born) {
		return false
	}
	switch {
	case l.now.ID == "":
		l.now = Occupant{ID: id, Service: service, Address: address, Slots: slots, State: Open}
		return true
	case l.now.ID == id && (l.now.State == Unknown || l.now.State == Down):
		l.now.State = Open
		return true
	}
	return false
}

// Fail notes that the target takes no connections; it reports whether the occupant changed.
func (l *Life) Fail(id ID) bool {
	if l.now.ID != id || l.now.State != Open {
		return false
	}
	l.now.State = Down
	return true
}

// Replaced notes that another target answers at the address; heartbeats or a health check tell which.
func (l *Life) Replaced(id ID) bool {
	if l.now.ID != id {
		return false
	}
	l.remember(id, l.now.Born)
	l.now = Occupant{}
	return true
}

func (l *Life) remember(id ID, born Born) {
	if len(l.departed) >= maxDeparted {
		clear(l.departed)
	}
	if born >= l.departed[id] {
		l.departed[id] = born
	}
}
