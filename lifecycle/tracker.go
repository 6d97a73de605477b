package lifecycle

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// ID identifies a target; it may stay the same across restarts of the target.
type ID string

// StartTime is the start time of a target in Unix milliseconds; zero means unknown.
type StartTime int64

// Version is the version of a target's service, as its heartbeats name it; an empty one is unknown.
type Version string

// MaxVersionBytes is the length of the longest version that nodes pass on.
const MaxVersionBytes = 128

// State tells whether a target accepts calls.
type State string

// The states of a target.
const (
	Unknown State = ""        // no evidence yet that the target is running
	Open    State = "open"    // accepts calls
	Down    State = "down"    // refuses connections; the next heartbeat reopens it
	Leaving State = "leaving" // draining or deregistered; only a restart reopens it
)

// Heartbeat is a target's periodic report about itself.
type Heartbeat struct {
	ID        ID
	StartTime StartTime
	Sequence  uint64
	Service   config.ServiceName
	Address   fleet.Address
	Version   string
	Slots     int
	Draining  bool
	WarmUp    time.Duration // remaining warm-up time
}

// Target is the current target on a node's VM.
type Target struct {
	ID        ID
	StartTime StartTime
	Service   config.ServiceName
	Address   fleet.Address
	Version   Version
	Slots     int
	State     State
	WarmAt    time.Time
	sequence  uint64
}

// SameStart reports whether t has this id and start time; an unknown start time matches any.
func (t Target) SameStart(id ID, startTime StartTime) bool {
	return t.ID == id && (t.StartTime == startTime || t.StartTime == 0 || startTime == 0)
}

// Tracker tracks successive targets on one node's VM; it is not safe for concurrent use.
type Tracker struct {
	current  Target
	departed Departures // targets that have left; their delayed heartbeats are ignored
}

// NewTracker returns a tracker without a target.
func NewTracker() *Tracker { return &Tracker{departed: NewDepartures(maxDeparted)} }

const maxDeparted = 256 // far more targets than leave one VM in the time that a heartbeat may be delayed

// Target returns the current target; its ID is empty if there is none.
func (t *Tracker) Target() Target { return t.current }

// Contradicts reports whether a heartbeat can't come from a target on this VM: the current one has named its start time, as the
// ones after it do, or has named another service or address for the same start.
func (t *Tracker) Contradicts(h Heartbeat) bool {
	c := t.current
	if c.State == Unknown {
		return false
	}
	named := c.StartTime != 0
	return named && h.StartTime == 0 || c.SameStart(h.ID, h.StartTime) && (c.Service != h.Service || named && c.Address != h.Address)
}

// HandleHeartbeat applies a heartbeat. It reports whether the target changed and whether a health check has to confirm that it
// is running: the heartbeats that a restarted node receives may be delayed ones from a target that has already left.
func (t *Tracker) HandleHeartbeat(h Heartbeat, now time.Time) (changed, unconfirmed bool) {
	if t.departed.Contains(h.ID, h.StartTime) {
		return false, false
	}
	laterStart := t.current.State == Leaving && t.current.StartTime == 0 // since this one has not left
	if laterStart || !t.current.SameStart(h.ID, h.StartTime) {
		if t.current.ID != "" && h.StartTime != 0 && t.current.StartTime > h.StartTime {
			return false, false
		}
		return t.replaceTarget(h, now)
	}
	if h.Draining {
		return t.Deregister(h.ID, h.StartTime, now), false // holds for the whole start, whatever heartbeats have overtaken it
	}
	if h.Sequence <= t.current.sequence {
		return false, false
	}
	before := t.current
	t.current.sequence, t.current.Address, t.current.Version = h.Sequence, h.Address, Version(h.Version)
	if t.current.StartTime == 0 {
		t.current.StartTime = h.StartTime
	}
	if h.Slots > 0 {
		t.current.Slots = h.Slots
	}
	if h.WarmUp > 0 {
		t.current.WarmAt = now.Add(h.WarmUp)
	}
	if t.current.State == Down {
		t.current.State = Open
	}
	changed = t.current.State != before.State || t.current.Slots != before.Slots || t.current.Address != before.Address || t.current.StartTime != before.StartTime ||
		t.current.Version != before.Version
	return changed, t.current.State == Unknown
}

// replaceTarget applies the first heartbeat of another target, or of another start of the same one.
func (t *Tracker) replaceTarget(h Heartbeat, now time.Time) (changed, unconfirmed bool) {
	replaces := t.current.ID != "" && t.current.State != Unknown
	t.current = Target{ID: h.ID, StartTime: h.StartTime, Service: h.Service, Address: h.Address, Version: Version(h.Version), Slots: h.Slots, sequence: h.Sequence, WarmAt: now.Add(h.WarmUp)}
	switch {
	case h.Draining:
		t.current.State = Leaving
		t.departed.Add(h.ID, h.StartTime, now)
	case replaces:
		// It started after the target that this process has observed running, so the heartbeat can't be a delayed one from before that.
		t.current.State = Open
	default:
		return true, true
	}
	return true, false
}

// Deregister marks a target as leaving; it reports whether the current target changed.
func (t *Tracker) Deregister(id ID, startTime StartTime, now time.Time) bool {
	if t.current.ID == id && startTime != 0 && t.current.StartTime > startTime {
		return false // a delayed deregistration of an earlier start
	}
	if startTime == 0 && t.current.ID == id {
		startTime = t.current.StartTime
	}
	t.departed.Add(id, startTime, now)
	if t.current.ID != id || t.current.State == Leaving {
		return false
	}
	t.current.State = Leaving
	return true
}

// MarkLeaving records that the current target has announced its leaving in an answer; it reports whether that changed it.
func (t *Tracker) MarkLeaving(id ID, startTime StartTime, now time.Time) bool {
	return t.current.SameStart(id, startTime) && t.Deregister(id, startTime, now)
}

// Restore applies the target state that a previous process of this node published; only a departure is carried over.
func (t *Tracker) Restore(id ID, startTime StartTime, s State, now time.Time) bool {
	if s != Leaving || id == "" {
		return false
	}
	return t.Deregister(id, startTime, now)
}

// HandleHealthCheck applies the result of a health check that the target with this id answered; it reports whether the current
// target changed.
func (t *Tracker) HandleHealthCheck(id ID, healthy bool, slots int, service config.ServiceName, address fleet.Address) bool {
	if id == "" || !healthy {
		return false
	}
	startTime := StartTime(0)
	if t.current.ID == id {
		startTime = t.current.StartTime
	}
	if t.departed.Contains(id, startTime) {
		return false
	}
	switch {
	case t.current.ID == "":
		t.current = Target{ID: id, Service: service, Address: address, Slots: slots, State: Open}
		return true
	case t.current.ID == id && (t.current.State == Unknown || t.current.State == Down):
		t.current.State = Open
		return true
	}
	return false
}

// MarkDown records that the target refuses connections; it reports whether the current target changed.
func (t *Tracker) MarkDown(id ID) bool {
	if t.current.ID != id || t.current.State != Open {
		return false
	}
	t.current.State = Down
	return true
}

// MarkReplaced records that another target answers at the address; a heartbeat or health check will identify it. It reports
// whether the current target changed.
func (t *Tracker) MarkReplaced(id ID, now time.Time) bool {
	if t.current.ID != id {
		return false
	}
	t.departed.Add(id, t.current.StartTime, now)
	t.current = Target{}
	return true
}
