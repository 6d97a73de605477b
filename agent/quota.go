package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/dispatch"
	"github.com/cassialead/cassialead/feed"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/listener"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/quota"
)

const (
	demandPath      = "/cassialead/demand"
	demandInterval  = 150 * time.Millisecond // between two reports on one link of the tree; six of them pass between the farthest nodes
	tenantInterval  = 500 * time.Microsecond // added to it for each tenant reported, which bounds the bytes per second
	refreshInterval = 250 * time.Millisecond // between two computations of the shares
	exchangePause   = time.Second            // after an exchange with another region that has failed
	maxDemandBytes  = 1 << 20                // bytes of a message between regions
	maxRegions      = 64                     // in one message
	noReportLimit   = 24 * time.Hour         // children without limited tenants send no report; a broken connection is noticed when an update is written
)

// quotas holds this node's part of the tenants' limits and the demand that other nodes report.
type quotas struct {
	limiter *quota.Limiter
	mu      sync.Mutex // guards sums
	sums    quota.Sums
	partial bool // the figures of the other nodes at the last refresh; used by refreshShares only
}

// limited reports whether the configuration in force limits any tenant.
func (a *Agent) limited() bool {
	p := a.dispatcher.Plan()
	return p != nil && p.Tenants.Limited()
}

// acceptDemand removes tenants that the configuration in force does not have from a report, and reports whether nodes may have sent it.
func (a *Agent) acceptDemand(r quota.Report, from string) bool {
	p := a.dispatcher.Plan()
	if p == nil {
		return false
	}
	for name := range r.Demand {
		if _, ok := p.Tenants.ByName(name); !ok {
			delete(r.Demand, name)
		}
	}
	if !r.Valid() {
		a.deps.Log.Warn("demand refused", "from", from, "tenants", len(r.Demand))
		return false
	}
	return true
}

// ownDemand returns the demand at this node.
func (a *Agent) ownDemand() quota.Report {
	now := a.deps.Now()
	return quota.Report{Demand: a.quotas.limiter.Demand(now), Settled: a.quotas.limiter.Settled(now), Nodes: 1}
}

// demandBelow returns the demand at this node and the nodes below it, without one of them.
func (a *Agent) demandBelow(excluded fleet.NodeID) quota.Report {
	own := a.ownDemand()
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	return a.quotas.sums.Below(a.deps.Now(), own, excluded)
}

// demandTotals returns the totals of all regions; a head adds up that of its own.
func (a *Agent) demandTotals() []quota.Total {
	now, head, own := a.deps.Now(), a.treePosition().Parent == nil, a.ownDemand()
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	if head {
		a.quotas.sums.SetTotal(now, quota.Total{Region: a.cfg.Load().Region, Report: a.quotas.sums.Below(now, own, "")})
	}
	return a.quotas.sums.Totals(now)
}

// receiveTotals records the totals that another node has sent.
func (a *Agent) receiveTotals(totals []quota.Total, from string) {
	for _, t := range totals[:min(len(totals), maxRegions)] {
		if t.Region == "" || !a.acceptDemand(t.Report, from) {
			continue
		}
		a.quotas.mu.Lock()
		a.quotas.sums.SetTotal(a.deps.Now(), t)
		a.quotas.mu.Unlock()
	}
}

// refreshShares recomputes this node's shares of the limits until ctx ends.
func (a *Agent) refreshShares(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, refreshInterval)
		if !a.limited() {
			continue
		}
		a.demandTotals()
		now, own, listed := a.deps.Now(), a.ownDemand(), a.population()
		a.quotas.mu.Lock()
		a.quotas.sums.SetListed(listed)
		others := a.quotas.sums.Others(now, a.cfg.Load().Region, own.Demand)
		a.quotas.mu.Unlock()
		a.logCoverage(others)
		a.quotas.limiter.Refresh(now, a.dispatcher.Plan().Tenants, others)
	}
}

// population returns the number of members in each region.
func (a *Agent) population() quota.Population {
	p := quota.Population{}
	for _, m := range a.members() {
		p[m.Region]++
	}
	return p
}

// logCoverage logs when the figures of the other nodes become partial or complete.
func (a *Agent) logCoverage(o quota.Others) {
	a.deps.Metrics.GetOrCreateGauge("cassialead_demand_nodes", nil).Set(float64(o.Counted))
	if o.Partial != a.quotas.partial {
		a.quotas.partial = o.Partial
		a.deps.Log.Info("demand of other nodes", "partial", o.Partial, "counted", o.Counted, "listed", o.Nodes)
	}
}

// reportInterval returns the time until the next report on a link.
func reportInterval(tenants int) time.Duration {
	return demandInterval + time.Duration(tenants)*tenantInterval
}

// tenantsIn returns the largest number of tenants in one of the totals.
func tenantsIn(totals []quota.Total) (n int) {
	for _, t := range totals {
		n = max(n, len(t.Report.Demand))
	}
	return n
}

// reporter sends the demand on this side of a link to the parent, or the other head, at the other end.
type reporter struct {
	to    fleet.NodeID
	takes bool // the other end adds up reports
	dueAt time.Time
}

// exchange records the totals that an update carries and sends a report if one is due.
func (r *reporter) exchange(a *Agent, conn *feed.Conn, u feed.Update) error {
	r.takes = r.takes || u.TakesReports
	a.receiveTotals(u.Totals, string(r.to))
	now := a.deps.Now()
	if !r.takes || !a.limited() || now.Before(r.dueAt) {
		return nil
	}
	report := a.demandBelow(r.to)
	r.dueAt = now.Add(reportInterval(len(report.Demand)))
	return conn.SendReport(report)
}

// receiveReports records the demand that a child, or the other head, reports until its connection ends, and closes that. A node reports to the
// one that it follows, which counts it whatever its own tree says: what a total counts twice or leaves out shows in its number of nodes.
func (a *Agent) receiveReports(conn *feed.Conn, child member.Record) {
	defer conn.Close()
	for {
		r, err := conn.ReceiveReport(noReportLimit)
		if err != nil {
			a.endReports(child.Node, errors.Is(err, feed.ErrLeft))
			return
		}
		region := a.cfg.Load().Region
		accepted := child.Region == region && a.acceptDemand(r, string(child.Node))
		a.quotas.mu.Lock()
		if accepted && !a.quotas.sums.Circular(region, r) {
			a.quotas.sums.SetChild(a.deps.Now(), child.Node, r)
		} else {
			a.quotas.sums.Drop(child.Node)
		}
		a.quotas.mu.Unlock()
	}
}

// endReports forgets a child that follows another node, and keeps the figures of one that is lost for a short time.
func (a *Agent) endReports(child fleet.NodeID, left bool) {
	a.quotas.mu.Lock()
	defer a.quotas.mu.Unlock()
	if left {
		a.quotas.sums.Drop(child)
	} else {
		a.quotas.sums.Part(a.deps.Now(), child)
	}
}

// exchangeDemand exchanges totals with the other regions until ctx ends: the first head of each region asks the first head of the region
// whose name comes first.
func (a *Agent) exchangeDemand(ctx context.Context) {
	interval := demandInterval
	for ctx.Err() == nil {
		sleep(ctx, interval)
		if !a.limited() || !a.firstHead() {
			continue
		}
		to, ok := a.demandPartner()
		if !ok {
			continue
		}
		totals := a.demandTotals()
		interval = reportInterval(tenantsIn(totals))
		var others []quota.Total
		if err := a.requestPeer(ctx, http.MethodPost, to.Address, demandPath, totals, &others); err != nil {
			a.deps.Log.Info("demand not exchanged", "region", to.Region, "node", to.Node, "error", err)
			sleep(ctx, exchangePause)
			continue
		}
		a.receiveTotals(others, string(to.Node))
	}
}

// heads returns the heads of a region.
func (a *Agent) heads(members []member.Member, r fleet.Region) []member.Member {
	now := a.deps.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return member.Heads(members, r, func(n fleet.NodeID) bool { return !now.Before(a.excludedUntil[n]) })
}

func (a *Agent) members() []member.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.view.Members()
}

// firstHead reports whether this node exchanges the demand of its region with other regions.
func (a *Agent) firstHead() bool {
	cfg := a.cfg.Load()
	heads := a.heads(a.members(), cfg.Region)
	return len(heads) > 0 && heads[0].Node == cfg.VM
}

// demandPartner returns the first head of the first region, unless this node belongs to that region.
func (a *Agent) demandPartner() (member.Member, bool) {
	cfg, members := a.cfg.Load(), a.members()
	first := cfg.Region
	for _, m := range members {
		first = min(first, m.Region)
	}
	if first == cfg.Region {
		return member.Member{}, false
	}
	heads := a.heads(members, first)
	if len(heads) == 0 {
		return member.Member{}, false
	}
	return heads[0], true
}

// serveDemand records the totals of another region and answers with the known ones.
func (a *Agent) serveDemand(w http.ResponseWriter, r *http.Request) {
	var in []quota.Total
	body, cause := readBody(r, listener.PeerBody(r.ContentLength, maxDemandBytes))
	if cause != "" {
		a.deps.Log.Warn("demand of another region not received", "from", r.RemoteAddr, "cause", cause)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := json.Unmarshal(body, &in); err != nil {
		a.deps.Log.Warn("malformed demand of another region", "from", r.RemoteAddr, "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.receiveTotals(in, r.RemoteAddr)
	writeJSON(w, a.demandTotals())
}

// admitQuota reports whether a request is within its tenant's limit; release takes the admission back if the request has not run.
func (a *Agent) admitQuota(in *dispatch.Request, adm dispatch.Admission) (refused *hop.Refused, release func(hop.Outcome)) {
	if adm.Account == nil {
		return nil, func(hop.Outcome) {}
	}
	now := a.deps.Now()
	d := a.quotas.limiter.Admit(now, adm.Account)
	if !d.Admitted {
		a.deps.Metrics.GetOrCreateCounter("cassialead_over_quota_total").Inc()
		s := a.quotas.limiter.Standing(a.deps.Now(), adm.Account)
		a.deps.Log.Info("tenant over its limit here", "tenant", adm.Account.Name, "limit", adm.Account.Limit, "share", s.Share, "used", s.Used, "allowed", s.Allowed,
			"fleet", s.Fleet, "others_recent", s.Others.Recent, "others_admitted", s.Others.Admitted)
		return &hop.Refused{Cause: hop.OverQuota, RetryAfter: d.RetryAfter}, nil
	}
	in.Excess = d.Excess
	return nil, func(o hop.Outcome) {
		if _, refused := o.(hop.Refused); refused {
			a.quotas.limiter.Refund(adm.Account, now)
		}
	}
}
