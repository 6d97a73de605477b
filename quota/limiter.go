package quota

import (
	"math"
	"sync"
	"time"

	"github.com/cassialead/cassialead/tenant"
)

// Rules are the tolerances of the limits: in any window all nodes together may admit (limit x window + burst) x (1 + Over) + Slack
// requests of a tenant.
type Rules struct {
	Window time.Duration
	Over   float64
	Slack  float64 // requests
}

const (
	sharePeriod   = 20 * time.Second       // time constant of the demand from which shares follow
	recentPeriod  = time.Second            // time constant of the demand that the admission of all nodes has to fit
	priorRequests = 0.3                    // requests of each node that a share assumes beside those counted, so that few requests make no share
	shareGrowth   = 0.15                   // a share grows by this part of itself per second at most
	newcomerRatio = 3                      // between the share that a node's demand calls for and the one it has, from which the latter may double per second
	shareDecline  = 0.3                    // a share declines by this part of itself per second at most
	fleetPart     = 0.66                   // of what a window allows, at which all nodes together are held
	stalePart     = 0.85                   // of fleetPart while reports are old or leave out nodes: nodes that are cut off can't see that demand rises on the other side as well
	nodePart      = 0.7                    // of a node's part of a window, which it may use whatever the other nodes do
	usualPart     = 0.47                   // of what a window allows, that a tenant usually asks for
	usualNoise    = 1.7                    // standard deviations of its usual requests that a node admits where its part of a window is small
	usualSpare    = 0.6                    // requests that a node admits beyond that
	elsewhere     = 100 * time.Millisecond // until a caller may try again if only this node's part is used up; it often reaches another node
	demandDelay   = 6                      // refreshes by which a node's own demand is delayed, as the demand of other nodes arrives late as well
	youngPart     = 0.2                    // of its part of a window that a node may use at once after its start; the rest grows with its age
	settleTime    = 2 * time.Second        // of counting until other nodes rely on a node's demand
	horizon       = 2 * time.Second        // in which all nodes together return to fleetPart; longer than a report takes to reach all nodes
	windowSlots   = 10                     // parts of a window in which admitted requests are counted
	negligible    = 0.005                  // requests per second below which a tenant is forgotten
)

// Limiter admits requests within this node's part of each tenant's limit; it is safe for concurrent use.
type Limiter struct {
	rules     Rules
	random    func() float64
	mu        sync.Mutex
	startedAt time.Time // zero until the first call
	others    Others    // at the last refresh
	refreshAt time.Time
	local     map[tenant.Name]*account
}

// account is the state of one tenant at this node.
type account struct {
	demand    average              // requests, admitted or not, over sharePeriod
	earlier   [demandDelay]float64 // demand at the last refreshes, latest first
	recent    average              // over recentPeriod
	refreshes int                  // since this node met the tenant
	share     float64              // of the limit, from 0 to 1
	admitted  [windowSlots + 1]int
	slotAt    time.Time // start of the current part of the window
	rounding  float64   // from 0 to 1; a window that allows 2.3 requests allows 3 with a probability of 0.3
}

// average is an exponential moving average of a rate per second.
type average struct {
	rate float64
	at   time.Time
}

func (a *average) add(now time.Time, period time.Duration) {
	a.rate = a.now(now, period) + 1/period.Seconds()
	a.at = now
}

func (a *average) now(now time.Time, period time.Duration) float64 {
	return a.rate * math.Exp(-max(now.Sub(a.at), 0).Seconds()/period.Seconds())
}

// NewLimiter returns a limiter that knows of no other node; random returns independent numbers from 0 to 1.
func NewLimiter(r Rules, random func() float64) *Limiter {
	return &Limiter{rules: r, random: random, others: Others{Nodes: 1}, local: map[tenant.Name]*account{}}
}

// windowLimit returns the number of requests of a tenant that all nodes together may admit in a window.
func (l *Limiter) windowLimit(a *tenant.Account) float64 {
	return (float64(a.Limit)*l.rules.Window.Seconds()+a.Burst)*(1+l.rules.Over) + l.rules.Slack
}

// nodeLimit returns the number of requests that this node may admit in a window. All nodes that use their part of it stay within the
// limit. A node with a part of few requests admits its usual requests with their noise instead, and the reports of all nodes hold the limit.
func (l *Limiter) nodeLimit(now time.Time, s *account, a *tenant.Account) float64 {
	part := s.share * l.windowLimit(a)
	usual := usualPart * part
	n := max(nodePart*part, usual+usualNoise*math.Sqrt(usual)+usualSpare)
	if l.others.doubtful() {
		n = max(nodePart*part, usual+math.Sqrt(usual))
	}
	if age := now.Sub(l.startedAt); age < l.rules.Window {
		// An earlier process of this node may have used up the window, and all nodes may have started together.
		n *= max(age.Seconds()/l.rules.Window.Seconds(), youngPart)
	}
	return math.Floor(n + s.rounding)
}

// fleetShare returns the share of the requests to admit now, so that all nodes together stay within fleetPart of the limit: as many as
// leave the window, and what is missing within the horizon.
func (l *Limiter) fleetShare(now time.Time, s *account, a *tenant.Account) float64 {
	o := l.others.Demand[a.Name]
	admitted := o.Admitted + float64(s.used())
	demand := o.Recent + s.recent.now(now, recentPeriod)
	part := fleetPart
	if l.others.doubtful() {
		part *= stalePart
	}
	rate := admitted/max(l.rules.Window.Seconds(), 1) + (part*l.windowLimit(a)-admitted)/horizon.Seconds()
	if rate >= demand {
		return 1
	}
	return max(rate, 0) / demand
}

// Decision is the limiter's decision on a request.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // of a request that is not admitted
	Excess     bool          // the tenant asks for more than its limit at the moment
}

// Admit counts a request of a tenant and decides on it.
func (l *Limiter) Admit(now time.Time, a *tenant.Account) Decision {
	if a.Limit <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.account(now, a)
	s.demand.add(now, sharePeriod)
	s.recent.add(now, recentPeriod)
	l.advance(now, s)
	p := l.fleetShare(now, s, a)
	d := Decision{Excess: p < 1}
	switch {
	case float64(s.used()) >= l.nodeLimit(now, s, a):
		d.RetryAfter = l.windowWait(now, s)
		if !d.Excess {
			d.RetryAfter = min(d.RetryAfter, elsewhere)
		}
	case d.Excess && l.random() >= p:
		d.RetryAfter = horizon
	default:
		d.Admitted = true
		s.admitted[0]++
	}
	return d
}

// account returns the state of a tenant; mu must be held.
func (l *Limiter) account(now time.Time, a *tenant.Account) *account {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	s := l.local[a.Name]
	if s == nil {
		s = &account{slotAt: now, rounding: l.random(), share: 1 / float64(max(l.others.Nodes, 1))}
		l.local[a.Name] = s
	}
	return s
}

// share returns this node's part of the demand of all nodes. Requests that each node is assumed to have beside those counted keep the
// share of a node that has counted few near an equal one.
func (l *Limiter) share(s *account, name tenant.Name) float64 {
	nodes := float64(max(l.others.Nodes, 1))
	if !l.others.Known {
		return 1 / nodes
	}
	counted := s.earlier[demandDelay-1] * sharePeriod.Seconds()
	all := counted + l.others.Demand[name].Slow*sharePeriod.Seconds()
	return (counted + priorRequests) / (all + priorRequests*nodes)
}

// Standing is what a node holds of a tenant's limit.
type Standing struct {
	Share   float64 // of the limit, from 0 to 1
	Used    int     // requests that this node has admitted in the last window
	Allowed float64 // requests that it may admit
	Fleet   float64 // share of the requests that all nodes are to admit now
	Others  Figures // of all other nodes, as far as they have reported
}

// Standing returns what this node holds of a tenant's limit, for logs.
func (l *Limiter) Standing(now time.Time, a *tenant.Account) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.account(now, a)
	return Standing{s.share, s.used(), l.nodeLimit(now, s, a), l.fleetShare(now, s, a), l.others.Demand[a.Name]}
}

// Refund takes back the admission of a request that was admitted at the given time and has reached no target.
func (l *Limiter) Refund(a *tenant.Account, at time.Time) {
	if a.Limit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.local[a.Name]
	if s == nil {
		return
	}
	if part := s.partOf(at, l.slotLength()); part < len(s.admitted) {
		s.admitted[part] = max(s.admitted[part]-1, 0)
	}
}

func (l *Limiter) slotLength() time.Duration { return max(l.rules.Window, time.Second) / windowSlots }

// advance drops the requests that have left the window.
func (l *Limiter) advance(now time.Time, s *account) {
	n := int(now.Sub(s.slotAt) / l.slotLength())
	if n <= 0 {
		return
	}
	s.slotAt = s.slotAt.Add(time.Duration(n) * l.slotLength())
	if n > windowSlots {
		s.admitted = [windowSlots + 1]int{}
		s.rounding = l.random()
		return
	}
	copy(s.admitted[n:], s.admitted[:len(s.admitted)-n])
	clear(s.admitted[:n])
}

// partOf returns the index of the part of the window to which a time belongs; it is beyond the window if that part has left it.
func (s *account) partOf(at time.Time, length time.Duration) int {
	if !at.Before(s.slotAt) {
		return 0
	}
	return 1 + int((s.slotAt.Sub(at)-1)/length)
}

// used returns the requests admitted in the last window.
func (s *account) used() int {
	used := 0
	for _, n := range s.admitted {
		used += n
	}
	return used
}

// windowWait returns the time until the window has room for a request.
func (l *Limiter) windowWait(now time.Time, s *account) time.Duration {
	oldest := 0
	for i, n := range s.admitted {
		if n > 0 {
			oldest = i
		}
	}
	return s.slotAt.Add(time.Duration(windowSlots+1-oldest) * l.slotLength()).Sub(now)
}

// Settled reports whether this node has been counting for long enough that others may rely on its demand.
func (l *Limiter) Settled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.startedAt.IsZero() && now.Sub(l.startedAt) >= settleTime
}

// slow returns a tenant's demand over a longer time, corrected for the short time that this node has been counting.
func (l *Limiter) slow(now time.Time, s *account) float64 {
	age := max(now.Sub(l.startedAt), time.Second)
	return s.demand.now(now, sharePeriod) / -math.Expm1(-age.Seconds()/sharePeriod.Seconds())
}

// Demand returns the figures of this node by tenant.
func (l *Limiter) Demand(now time.Time) Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := Demand{}
	for name, s := range l.local {
		l.advance(now, s)
		if f := (Figures{l.slow(now, s), s.recent.now(now, recentPeriod), float64(s.used())}); f.Slow >= negligible {
			d[name] = f
		}
	}
	return d
}

// Others are the figures of all other nodes as far as they are known.
type Others struct {
	Demand Demand
	Known  bool // a neighbour has reported that is not young itself
	Stale  bool // a part of it is old, since its nodes are cut off
	// Partial means that the figures leave out too many of the listed nodes, or count too many of them twice, to take shares from them.
	Partial bool
	Counted int // nodes that the figures count, this one included
	Nodes   int // of the fleet, this one included
}

// doubtful reports whether the figures may miss demand, so that a node has to keep to what its own part allows.
func (o Others) doubtful() bool { return o.Stale || o.Partial }

// Refresh sets the node's shares from the figures of all other nodes. It is called at regular intervals, and forgets tenants without
// demand. While the figures are stale no share grows, while they are partial none changes.
func (l *Limiter) Refresh(now time.Time, accounts *tenant.Directory, o Others) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	o.Known = o.Known && !o.Partial || l.others.Known
	first := o.Known && !l.others.Known
	elapsed := max(now.Sub(l.refreshAt), 0).Seconds()
	l.others, l.refreshAt = o, now
	for name, s := range l.local {
		if _, ok := accounts.ByName(name); !ok || s.demand.now(now, sharePeriod) < negligible {
			delete(l.local, name)
			continue
		}
		copy(s.earlier[1:], s.earlier[:])
		s.earlier[0] = l.slow(now, s)
		if s.refreshes++; s.refreshes < demandDelay && !first {
			continue
		}
		share := l.share(s, name)
		switch {
		case o.Partial:
			continue
		case first, now.Sub(l.startedAt) < l.rules.Window:
		case o.Stale:
			share = min(share, s.share)
		default:
			growth := shareGrowth
			if share > newcomerRatio*s.share {
				growth = 1
			}
			share = max(min(share, s.share*(1+growth*elapsed)), s.share*(1-shareDecline*elapsed))
		}
		s.share = share
	}
}
