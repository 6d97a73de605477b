package lint

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/tenant"
)

// Kind names a class of findings.
type Kind string

// The kinds of findings.
const (
	Invalid            Kind = "invalid"              // the configuration would be refused
	UnknownValue       Kind = "unknown-value"        // replaced by the safest known value
	HiddenEntry        Kind = "hidden-entry"         // replaced by a later entry of the same name
	UnmatchableRoute   Kind = "unmatchable-route"    // no request has this host or path
	ZeroWeight         Kind = "zero-weight"          // a service gets no calls of a route
	UnusedService      Kind = "unused-service"       // a service gets no calls at all
	NoKeys             Kind = "no-keys"              // nobody can call as this tenant
	RepeatedKey        Kind = "repeated-key"         // a tenant lists a key more than once
	UnusedTenants      Kind = "unused-tenants"       // no route asks for a key
	BurstWithoutLimit  Kind = "burst-without-limit"  // a burst applies only beyond a limit
	QuotaAboveCapacity Kind = "quota-above-capacity" // a tenant's limit exceeds what the slots serve
	TimeoutBelowTarget Kind = "timeout-below-target" // a call ends before its latency objective
	AttemptsOverBudget Kind = "attempts-over-budget" // the retry budget can't give a single call its attempts
)

// Finding is an entry that is invalid, can't take effect, or contradicts another one.
type Finding struct {
	Kind    Kind   `json:"kind"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return config.Problem{Section: f.Section, Key: f.Key, Message: f.Message}.String() + " (" + string(f.Kind) + ")"
}

// FromProblems returns problems as findings of a kind.
func FromProblems(kind Kind, problems config.Problems) []Finding {
	var findings []Finding
	for _, p := range problems {
		findings = append(findings, Finding{Kind: kind, Section: p.Section, Key: p.Key, Message: p.Message})
	}
	return findings
}

// Budget is the retry budget of all nodes: in each window, Ratio retries per call and Slack retries besides.
type Budget struct {
	Ratio, Slack float64
}

// Facts describe the deployment of a plan; findings that need a missing fact are left out.
type Facts struct {
	Slots  map[config.ServiceName]int // of all targets of a service together
	Budget *Budget
}

// Check returns the findings of a plan, sorted by section and key.
func Check(p *config.Plan, facts Facts) []Finding {
	l := &linter{plan: p, facts: facts, findings: FromProblems(UnknownValue, p.Warnings)}
	l.findings = append(l.findings, FromProblems(HiddenEntry, p.Hidden)...)
	rules := p.Rules()
	for _, r := range rules {
		l.checkMatch(r)
		l.checkWeights(r)
		l.checkLimits(r)
	}
	l.checkServices(rules)
	l.checkTenants(rules)
	slices.SortStableFunc(l.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Section, b.Section), cmp.Compare(a.Key, b.Key))
	})
	return l.findings
}

type linter struct {
	plan     *config.Plan
	facts    Facts
	findings []Finding
}

func (l *linter) add(kind Kind, section, key, format string, args ...any) {
	l.findings = append(l.findings, Finding{Kind: kind, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

func routeSection(r *config.Rule) string { return "route " + string(r.Name) }

func serviceSection(s config.ServiceName) string { return "service " + string(s) }

func tenantSection(n tenant.Name) string { return "tenant " + string(n) }

// checkMatch finds routes that no request matches: hosts are compared as a whole, paths without their query. A route with the host
// and prefix of another one is refused by config.CompilePlan; a longer prefix hides only a part of a shorter one.
func (l *linter) checkMatch(r *config.Rule) {
	if r.Host == "" || strings.ContainsAny(string(r.Host), "*/ ") {
		l.add(UnmatchableRoute, routeSection(r), "host", "no request names the host %q; hosts are compared as a whole", r.Host)
	}
	if strings.ContainsAny(r.Prefix, "?# ") {
		l.add(UnmatchableRoute, routeSection(r), "prefix", "no path contains %q: want a path without query, fragment or spaces", r.Prefix)
	}
}

func (l *linter) checkWeights(r *config.Rule) {
	for _, w := range r.WeightedServices {
		if w.Weight == 0 {
			l.add(ZeroWeight, routeSection(r), "weight", "service %q has a weight of 0 and gets no calls", w.Service)
		}
	}
}

func (l *linter) checkLimits(r *config.Rule) {
	if r.Timeout < r.LatencyObjective {
		l.add(TimeoutBelowTarget, routeSection(r), "timeout", "a call ends after %s, before its latency objective of %s", r.Timeout, r.LatencyObjective)
	}
	b := l.facts.Budget
	// Calls that may run only once are sent again only if they have not run, which costs no budget.
	if b == nil || !r.Idempotent() {
		return
	}
	// Repeats of one call beyond these need other calls in the same window.
	if repeats, most := r.MaxAttempts-1, math.Floor(b.Ratio+b.Slack); float64(repeats) > most {
		l.add(AttemptsOverBudget, routeSection(r), "attempts", "%d attempts are %d more than the first; the retry budget gives a call that is alone in its window %.0f",
			r.MaxAttempts, repeats, most)
	}
}

func (l *linter) checkServices(rules []*config.Rule) {
	used := map[config.ServiceName]bool{}
	for _, r := range rules {
		for _, w := range r.WeightedServices {
			used[w.Service] = used[w.Service] || w.Weight > 0
		}
	}
	for name := range l.plan.Services {
		if !used[name] {
			l.add(UnusedService, serviceSection(name), "", "no route sends calls to the service")
		}
	}
}

func (l *linter) checkTenants(rules []*config.Rule) {
	if l.plan.Tenants == nil {
		return
	}
	if !slices.ContainsFunc(rules, func(r *config.Rule) bool { return !r.Public }) {
		l.add(UnusedTenants, "tenants", "", "no route asks its callers for a key")
	}
	capacity, known := l.capacity(rules)
	for _, a := range l.plan.Tenants.Accounts() {
		section := tenantSection(a.Name)
		if len(a.Keys) == 0 {
			l.add(NoKeys, section, "keys", "the tenant has no keys, no caller can belong to it")
		}
		l.checkKeys(section, a.Keys)
		if a.Burst > 0 && a.Limit == 0 {
			l.add(BurstWithoutLimit, section, "burst", "the tenant has no limit, its burst has no effect")
		}
		if known && float64(a.Limit) > capacity {
			l.add(QuotaAboveCapacity, section, "limit", "%s requests per second exceed the %s that the slots serve if each call takes its latency objective",
				number(float64(a.Limit)), number(math.Round(capacity)))
		}
	}
}

// checkKeys names keys by their position in the list only.
func (l *linter) checkKeys(section string, keys []tenant.Key) {
	first := map[tenant.Key]int{}
	for i, k := range keys {
		if j, ok := first[k]; ok {
			l.add(RepeatedKey, section, "keys", "key %d of the list is the same as key %d", i+1, j+1)
			continue
		}
		first[k] = i
	}
}

// capacity returns the requests per second that the slots of the services serve if each call takes the latency objective of its
// route, the shortest one of a service with several routes. It is unknown if a service has no known slots or no objective.
func (l *linter) capacity(rules []*config.Rule) (perSecond float64, known bool) {
	shortest := map[config.ServiceName]float64{} // seconds
	for _, r := range rules {
		// A tenant's limit counts only calls of routes that ask for a key.
		if r.Public {
			continue
		}
		for _, w := range r.WeightedServices {
			if w.Weight == 0 {
				continue
			}
			objective := r.LatencyObjective.Seconds()
			if s, ok := shortest[w.Service]; !ok || objective < s {
				shortest[w.Service] = objective
			}
		}
	}
	for service, objective := range shortest {
		slots, ok := l.facts.Slots[service]
		if !ok || objective <= 0 {
			return 0, false
		}
		perSecond += float64(slots) / objective
	}
	return perSecond, len(shortest) > 0
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
