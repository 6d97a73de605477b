package dispatch

import (
	"strings"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/tenant"
)

// Admission is what the configuration in force says of a request before it costs anything.
type Admission struct {
	Account *tenant.Account // that the request belongs to, or nil

	plan          *config.Plan
	rule          *config.Rule
	rank          hop.Rank
	parentRetried bool // the request is made on behalf of a retry
}

func (a Admission) tenantName() tenant.Name {
	if a.Account == nil {
		return ""
	}
	return a.Account.Name
}

// Admit finds the route and the account of a request, or refuses the request. It needs the head of the request only, so that a refused
// one costs no memory for its body.
func (d *Dispatcher) Admit(in *Request) (Admission, *hop.Refused) {
	a := Admission{plan: d.plan.Load()}
	if a.plan == nil {
		return a, &hop.Refused{Cause: hop.NoPlan, RetryAfter: noPlanRetryAfter}
	}
	path, _, _ := strings.Cut(in.URI, "?")
	if a.rule = a.plan.Match(config.Host(in.Host), path); a.rule == nil {
		return a, &hop.Refused{Cause: hop.NoRoute}
	}
	nested := false
	if in.Parent != "" {
		nested, a.parentRetried = d.deps.Gate.Runs(in.Parent)
	}
	if a.plan.Tenants != nil && !a.rule.Public {
		if refused := a.authorize(in, nested); refused != nil {
			return a, refused
		}
	}
	a.rank = a.rankOf(in, nested)
	return a, nil
}

// authorize finds the account of a request. A call that the target on this VM makes for one that it is running carries no key.
func (a *Admission) authorize(in *Request, nested bool) *hop.Refused {
	switch {
	case len(in.Keys) == 0 && nested:
		return nil
	case len(in.Keys) == 0 && in.Parent != "":
		return &hop.Refused{Cause: hop.ParentEnded}
	case len(in.Keys) != 1:
		return &hop.Refused{Cause: hop.Unauthorized}
	}
	account, ok := a.plan.Tenants.ByKey(in.Keys[0])
	if !ok {
		return &hop.Refused{Cause: hop.Unauthorized}
	}
	a.Account = account
	return nil
}

// routeRanks is the number of ranks within one priority of an account; routes of a higher number share the last one.
const routeRanks = 64

// rankOf returns the queueing priority of a request. A nested call, made while the target on this VM is running its parent, ranks
// first. The priority of the account precedes that of the route; an account that asks for more than its limit comes behind the others of
// the same rank, so that it does not take their slots.
func (a *Admission) rankOf(in *Request, nested bool) hop.Rank {
	if nested {
		return hop.RankNested
	}
	if a.Account == nil {
		return hop.Rank(a.rule.Priority)
	}
	rank := min(a.rule.Priority, routeRanks-1)
	if p := a.Account.Priority; p != nil {
		rank += max(int(*p), 0) * routeRanks
	}
	rank *= 2
	if in.Excess {
		rank++
	}
	return hop.Rank(rank)
}
