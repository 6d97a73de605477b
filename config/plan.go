package config

import (
	"strconv"
	"strings"
	"time"
)

// Host is the authority that a caller names in its request.
type Host string

// Plan is a configuration from the platform, compiled for matching calls; it is immutable.
type Plan struct {
	Version  Version
	Services map[ServiceName]PlanService
	Limits   CallerLimits
	Doubts   Problems // what was not understood and has been read in the most careful way
	hosts    map[Host]map[string]*Rule
}

// PlanService is what the configuration says of one service.
type PlanService struct {
	Name        ServiceName
	Health      string // path of the health check
	Connections int    // bound on connections to one target, from all callers
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	Header        int // bytes
	Body          int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Rule says how the calls under one prefix are carried.
type Rule struct {
	Name     RouteName
	Host     Host
	Prefix   string
	Calls    Semantics
	Download bool
	Attempts int           // targets that one call may be sent to
	Timeout  time.Duration // longest wait of the caller for its answer
	Aim      time.Duration // time within which an answer is of full use
	Priority int           // 0 is the most urgent
	Parts    []Part        // at least one
}

// Part is one service's weight in a rule.
type Part struct {
	Service ServiceName
	Weight  int
}

// Repeatable reports whether calls of the rule may run more than once.
func (r *Rule) Repeatable() bool { return r.Calls == Idempotent }

// CompilePlan checks services and rules and builds the plan; it returns Problems, which match ErrInvalid.
func CompilePlan(v Version, services []PlanService, rules []*Rule, limits CallerLimits) (*Plan, error) {
	p := &Plan{Version: v, Services: map[ServiceName]PlanService{}, Limits: limits, hosts: map[Host]map[string]*Rule{}}
	var problems Problems
	fail := func(r *Rule, key, message string) {
		problems = append(problems, Problem{File: "plan " + strconv.FormatUint(uint64(v), 10), Section: "route " + string(r.Name), Key: key, Message: message})
	}
	for _, s := range services {
		p.Services[s.Name] = s
	}
	for _, r := range rules {
		switch {
		case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
			fail(r, "prefix", "want a path that begins and ends with a slash")
		case r.Attempts < 1:
			fail(r, "attempts", "want at least one attempt")
		case r.Calls != Idempotent && r.Calls != AtMostOnce:
			fail(r, "calls", "unknown semantics "+strconv.Quote(string(r.Calls)))
		}
		p.checkParts(r, fail)
		paths := p.hosts[r.Host]
		if paths == nil {
			paths = map[string]*Rule{}
			p.hosts[r.Host] = paths
		}
		if other := paths[r.Prefix]; other != nil {
			fail(r, "prefix", "route "+strconv.Quote(string(other.Name))+" has the same host and prefix")
		}
		paths[r.Prefix] = r
	}
	if err := problems.OrNil(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Plan) checkParts(r *Rule, fail func(r *Rule, key, message string)) {
	total := 0
	for _, part := range r.Parts {
		if _, ok := p.Services[part.Service]; !ok {
			fail(r, "service", "service "+strconv.Quote(string(part.Service))+" does not exist")
		}
		if part.Weight < 0 {
			fail(r, "weight", "want a weight of at least 0")
		}
		total += part.Weight
	}
	if total <= 0 {
		fail(r, "weight", "want a service with a weight above 0")
	}
}

// Match returns the rule with the longest prefix of the path, or nil.
func (p *Plan) Match(host Host, path string) *Rule {
	paths := p.hosts[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0 && paths != nil; end = strings.LastIndexByte(path[:end], '/') {
		if r := paths[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Rules returns how many rules the plan has.
func (p *Plan) Rules() int {
	n := 0
	for _, paths := range p.hosts {
		n += len(paths)
	}
	return n
}
