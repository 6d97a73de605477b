package upgrade

import (
	"fmt"
	"time"

	"github.com/cassialead/cassialead/lifecycle"
)

// Limits are the tolerances of a deployment.
type Limits struct {
	// Share and Slack bound the requests that a bad version gets between the order and the deadline: a share of all requests of its
	// service, plus a number.
	Share float64
	Slack float64
}

// On reports whether the deployment asks for rollouts by order.
func (l Limits) On() bool { return l.Share > 0 }

const (
	usedShare  = 0.9                     // part of Limits.Share that is used; the rest is for random variation and late delivery
	usedSlack  = 0.6                     // part of Limits.Slack that is used, for services with few requests
	peakShare  = 1.4                     // times Limits.Share, up to which the share makes up for the time before it was raised and after the decision
	maxShare   = 0.5                     // of a service with few requests; more would leave too few answers of the old version to compare with
	firstPart  = 0.5                     // of the share in the first intervals
	raiseAfter = 1                       // intervals with answers after which the share is raised
	settleTime = 2 * time.Second         // from the decision to complete to its report, in which all nodes learn it and calls to old targets end
	decideTime = 1500 * time.Millisecond // before the report, for two writes to the store and their delivery
	maxUnheard = 2                       // intervals in a row without news of the new version, after which it gets no requests
	minTrial   = 2 * time.Second         // in which a version must be tried at least
	minAnswers = 10                      // of the new version, without which it is not completed
)

// Interval is what has been collected since the previous one.
type Interval struct {
	New, Old Report
	Rate     float64 // requests per second of the service, zero if unknown
	Heard    bool    // a target of the new version was heard of, if only that it has answered nothing
}

// Facts are the present targets of a service.
type Facts struct {
	New int                 // targets of the ordered version that accept calls
	Old []lifecycle.Version // versions of the other targets, sorted
}

// Machine decides on one order; it is not safe for concurrent use. A machine that takes over starts from the stored decision.
type Machine struct {
	order     Order
	limits    Limits
	began     time.Time // when the order was first seen
	evidence  evidence
	intervals int // with answers
	rate      float64
	unheard   int       // intervals in a row in which no target of the new version was heard of
	promoted  time.Time // when this machine first saw the decision to complete
}

// NewMachine returns a machine for an order that was first seen at a time.
func NewMachine(o Order, l Limits, began time.Time) *Machine {
	return &Machine{order: o, limits: l, began: began, evidence: newEvidence()}
}

// Order returns the order that the machine decides on.
func (m *Machine) Order() Order { return m.order }

// Observe adds the evidence of an interval.
func (m *Machine) Observe(i Interval) {
	m.evidence.observe(i.New, i.Old)
	if len(i.New)+len(i.Old) > 0 {
		m.intervals++
	}
	if m.unheard++; i.Heard {
		m.unheard = 0
	}
	if i.Rate > 0 {
		m.rate = i.Rate
	}
}

// share returns the largest share until a time that keeps within the limits over the order's duration.
func (m *Machine) share(now, until time.Time) float64 {
	remaining := max(until.Sub(now), minTrial).Seconds()
	s := min(usedShare*m.limits.Share*m.order.Duration.Seconds()/remaining, peakShare*m.limits.Share)
	if m.rate > 0 {
		s += usedSlack * m.limits.Slack / (m.rate * remaining)
	}
	return min(s, maxShare)
}

// Bad reports whether the evidence shows that the version is worse than the old one.
func (m *Machine) Bad() bool { return m.evidence.differs(badScore) }

func (m *Machine) doubtful() bool { return m.evidence.differs(doubtScore) }

// Next returns the decision that follows the stored one; it returns the same one if nothing changes.
func (m *Machine) Next(now time.Time, d Decision, f Facts) Decision {
	deadline := m.began.Add(m.order.Duration)
	last := deadline.Add(-min(settleTime+decideTime, m.order.Duration/2)) // latest time of the decision
	switch d.State {
	case Waiting:
		if f.New == 0 {
			return d
		}
		d.Old, d.Began = f.Old, m.began.UnixMilli()
		if last.Sub(now) < min(minTrial, m.order.Duration/4) {
			return rolledBack(d)
		}
		d.State, d.Share, d.Reported = Running, firstPart*usedShare*m.limits.Share, Running
	case Running:
		switch {
		case m.Bad():
			return rolledBack(d)
		case m.unheard >= maxUnheard && now.Before(last):
			d.Share = 0 // nobody would notice that the version is bad
		case now.Before(last):
			if d.Share <= firstPart*usedShare*m.limits.Share && m.intervals >= raiseAfter && !m.doubtful() {
				d.Share = m.share(now, last.Add(decideTime))
			}
		case m.evidence.answers < minAnswers, m.unheard >= maxUnheard, m.doubtful(), !now.Before(deadline):
			return rolledBack(d)
		default:
			d.State, d.Share = Completed, 1
		}
	case Completed:
		if m.promoted.IsZero() {
			m.promoted = now
		}
		if now.Sub(m.promoted) >= settleTime || !now.Add(decideTime).Before(deadline) {
			d.Reported = Completed
		}
	case RolledBack:
		d.Reported = RolledBack
	}
	return d
}

func rolledBack(d Decision) Decision {
	d.State, d.Share, d.Reported = RolledBack, 0, RolledBack
	return d
}

// String summarizes the evidence for logs.
func (m *Machine) String() string {
	all := m.evidence.courses[allRoutes]
	if all == nil {
		return "none"
	}
	return fmt.Sprintf("%d answers, %.1f failures and %.1f slow ones above the old versions (scores %.1f, %.1f)", m.evidence.answers,
		all[failures].total.excess(), all[slowness].total.excess(), all[failures].total.score(), all[slowness].total.score())
}
