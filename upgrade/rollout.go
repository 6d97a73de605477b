package upgrade

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/lifecycle"
	"github.com/cassialead/cassialead/store"
)

// State is the state of a rollout.
type State string

// The states of a rollout; an order that no decision refers to yet is waiting.
const (
	Waiting    State = ""
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Final reports whether no other state follows.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Order is the operator's order to move a service to a version.
type Order struct {
	Version  lifecycle.Version
	Duration time.Duration  // from the order to its deadline
	Revision store.Revision // at which the order was written; zero means that there is none
}

const maxDuration = 24 * time.Hour // from an order to its deadline

// Valid reports whether the order names a version and a duration that nodes follow.
func (o Order) Valid() bool {
	return o.Version != "" && len(o.Version) <= lifecycle.MaxVersionBytes && o.Duration > 0 && o.Duration <= maxDuration
}

// Decision is what one node has decided on an order and all nodes apply.
type Decision struct {
	Order    store.Revision      `json:"order"` // revision of the order that it refers to
	Version  lifecycle.Version   `json:"version"`
	State    State               `json:"state"`
	Share    float64             `json:"share"`              // of the service's requests, while running
	Old      []lifecycle.Version `json:"old,omitempty"`      // versions that the ordered one replaces
	Reported State               `json:"reported,omitempty"` // state that the operator has been told
	Began    int64               `json:"began"`              // when the order was first seen, in Unix milliseconds
	Refused  []lifecycle.Version `json:"refused,omitempty"`  // versions of earlier orders that were not completed; they get no requests
}

// Valid reports whether the decision is one that a node takes.
func (d Decision) Valid() bool {
	switch d.State {
	case Running:
		return d.Share >= 0 && d.Share <= maxShare
	case Completed, RolledBack:
		return d.Share >= 0 && d.Share <= 1
	}
	return false
}

// Rollout is the order of a service and the decision on it.
type Rollout struct {
	Service  config.ServiceName
	Order    Order
	Decision Decision
	Revision store.Revision // of the decision's key; zero means that the store does not hold it
	Age      time.Duration  // since the order was first seen, when the rollout was sent
	Lost     bool           // the store has returned from a copy that lacks the decision
}

const maxRefused = 8 // versions of earlier orders that are remembered; their targets stop long before so many orders follow

// Current returns the decision on the present order; without one the order is waiting. The version of an earlier order that was not
// completed does not become an old one by that.
func (r Rollout) Current() Decision {
	d := r.Decision
	if d.Order == r.Order.Revision && d.Version == r.Order.Version {
		return d
	}
	refused := slices.Clone(d.Refused)
	if d.State == Running || d.State == RolledBack {
		refused = append(refused, d.Version)
	}
	refused = slices.DeleteFunc(refused, func(v lifecycle.Version) bool { return v == r.Order.Version })
	if len(refused) > maxRefused {
		refused = refused[len(refused)-maxRefused:]
	}
	return Decision{Order: r.Order.Revision, Version: r.Order.Version, Refused: refused}
}

// Set holds the rollouts of all services as the store held them at a position.
type Set struct {
	Era      store.Era
	Revision store.Revision
	Rollouts []Rollout
}

// Compare orders sets by the positions at which they were read.
func (s Set) Compare(o Set) int {
	return cmp.Or(cmp.Compare(s.Era, o.Era), cmp.Compare(s.Revision, o.Revision))
}

// Valid reports whether the set holds only orders and decisions that nodes take, each or both of a service.
func (s Set) Valid() bool {
	for _, r := range s.Rollouts {
		if r.Order != (Order{}) && !r.Order.Valid() || r.Decision.State != Waiting && !r.Decision.Valid() || r.Age < 0 {
			return false
		}
	}
	return true
}

// Find returns the index of a service's rollout, or -1.
func (s Set) Find(name config.ServiceName) int {
	for i, r := range s.Rollouts {
		if r.Service == name {
			return i
		}
	}
	return -1
}

// Keep carries final decisions over from an earlier set. A store that has returned from an older copy must not take back what the
// operator's targets have acted on.
func (s Set) Keep(earlier Set) {
	for i, r := range s.Rollouts {
		j := earlier.Find(r.Service)
		if j < 0 || earlier.Rollouts[j].Order != r.Order || r.Current().State.Final() {
			continue
		}
		if d := earlier.Rollouts[j].Current(); d.State.Final() {
			s.Rollouts[i].Decision, s.Rollouts[i].Lost = d, true
		}
	}
}
