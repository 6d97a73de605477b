package config

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassialead/cassialead/tenant"
)

// Host is the authority of a caller's request (its Host header).
type Host string

// Plan is the platform's configuration, compiled for matching requests; it is immutable.
type Plan struct {
	Version     Version
	Services    map[ServiceName]PlanService
	Limits      CallerLimits
	Tenants     *tenant.Directory // client accounts; nil if callers need no key
	Warnings    Problems          // unrecognized values, replaced by the safest known ones; they don't invalidate the plan
	Hidden      Problems          // entries that a later one of the same name replaces; they don't invalidate the plan
	rulesByHost map[Host]map[string]*Rule
}

// PlanService is a service of a plan.
type PlanService struct {
	Name           ServiceName
	HealthPath     string // path of the health check
	MaxConnections int    // limit of connections to one target, from all callers together
}

// CallerLimits limit the size of callers' requests, the time for sending a header and the time a connection may be idle.
type CallerLimits struct {
	MaxHeaderBytes int // bytes
	MaxBodyBytes   int // bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Rule is a routing rule: how calls to one host under one path prefix are forwarded.
type Rule struct {
	Name             RouteName
	Host             Host
	Prefix           string
	Semantics        Semantics
	Download         bool
	MaxAttempts      int               // maximum number of targets that one call is sent to, the first included
	Timeout          time.Duration     // maximum time the caller waits for its answer
	LatencyObjective time.Duration     // time within which an answer is of full value to the caller
	Priority         int               // 0 is the most urgent
	WeightedServices []WeightedService // services among which calls are split; at least one
	Public           bool              // callers need no key
}

// WeightedService is a service to which a rule sends calls, in proportion to its weight.
type WeightedService struct {
	Service ServiceName
	Weight  int
}

// Idempotent reports whether calls of the rule may be executed more than once.
func (r *Rule) Idempotent() bool { return r.Semantics == Idempotent }

// CompilePlan validates services and rules and builds a plan; errors are of type Problems and match ErrInvalid.
func CompilePlan(v Version, services []PlanService, rules []*Rule, limits CallerLimits) (*Plan, error) {
	p := &Plan{Version: v, Services: map[ServiceName]PlanService{}, Limits: limits, rulesByHost: map[Host]map[string]*Rule{}}
	var problems Problems
	fail := func(r *Rule, key, message string) {
		problems = append(problems, Problem{File: "plan " + strconv.FormatUint(uint64(v), 10), Section: "route " + string(r.Name), Key: key, Message: message})
	}
	for _, s := range services {
		if _, ok := p.Services[s.Name]; ok {
			p.Hidden = append(p.Hidden, Problem{Section: "service " + string(s.Name), Message: "a later service of the same name replaces it"})
		}
		p.Services[s.Name] = s
	}
	for _, r := range rules {
		switch {
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			fail(r, "prefix", "want a path that begins and ends with a slash")
		case r.MaxAttempts < 1:
			fail(r, "attempts", "want at least one attempt")
		case r.Semantics != Idempotent && r.Semantics != AtMostOnce:
			fail(r, "calls", "unknown semantics "+strconv.Quote(string(r.Semantics)))
		}
		p.checkWeights(r, fail)
		rulesByPrefix := p.rulesByHost[r.Host]
		if rulesByPrefix == nil {
			rulesByPrefix = map[string]*Rule{}
			p.rulesByHost[r.Host] = rulesByPrefix
		}
		if other := rulesByPrefix[r.Prefix]; other != nil {
			fail(r, "prefix", "route "+strconv.Quote(string(other.Name))+" has the same host and prefix")
		}
		rulesByPrefix[r.Prefix] = r
	}
	if err := problems.OrNil(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Plan) checkWeights(r *Rule, fail func(r *Rule, key, message string)) {
	totalWeight := 0
	for _, weighted := range r.WeightedServices {
		if _, ok := p.Services[weighted.Service]; !ok {
			fail(r, "service", "service "+strconv.Quote(string(weighted.Service))+" does not exist")
		}
		if weighted.Weight < 0 {
			fail(r, "weight", "want a weight of at least 0")
		}
		totalWeight += weighted.Weight
	}
	if totalWeight <= 0 {
		fail(r, "weight", "want a service with a weight above 0")
	}
}

// Match returns the rule of the host with the longest matching path prefix, or nil.
func (p *Plan) Match(host Host, path string) *Rule {
	rulesByPrefix := p.rulesByHost[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0 && rulesByPrefix != nil; end = strings.LastIndexByte(path[:end], '/') {
		if r := rulesByPrefix[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Rules returns the rules in the order of host and prefix.
func (p *Plan) Rules() []*Rule {
	var rules []*Rule
	for _, rulesByPrefix := range p.rulesByHost {
		rules = slices.AppendSeq(rules, maps.Values(rulesByPrefix))
	}
	slices.SortFunc(rules, func(a, b *Rule) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	return rules
}

// RuleCount returns the number of rules in the plan.
func (p *Plan) RuleCount() int {
	n := 0
	for _, rulesByPrefix := range p.rulesByHost {
		n += len(rulesByPrefix)
	}
	return n
}
