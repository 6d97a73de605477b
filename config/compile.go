package config

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ServiceName is the name of a service.
type ServiceName string

// RouteName is the name of a route.
type RouteName string

// Tenant is the client account on whose behalf a call is made.
type Tenant string

// Config is a compiled document; it is immutable.
type Config struct {
	Services   map[ServiceName]*Service
	Routes     []*Route // longest path first
	Exceptions []*Exception
	// SpillBandwidth limits the rate at which all nodes of a region together send spilled calls to other regions.
	SpillBandwidth BitsPerSecond
}

// BitsPerSecond is a data rate.
type BitsPerSecond float64

const (
	defaultSpillBandwidth BitsPerSecond = 3e6
	maxSpillBandwidth     BitsPerSecond = 100e9
)

func parseBandwidth(s string) (BitsPerSecond, error) {
	for unit, factor := range map[string]float64{"kbit": 1e3, "Mbit": 1e6, "Gbit": 1e9} {
		number, ok := strings.CutSuffix(s, unit)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if rate := BitsPerSecond(n * factor); err == nil && rate > 0 && rate <= maxSpillBandwidth {
			return rate, nil
		}
	}
	return 0, errors.Newf("want a rate with a unit such as 3Mbit, got %q", s)
}

// Service is a group of interchangeable targets.
type Service struct {
	Name   ServiceName
	policy overlay
}

// Route forwards calls to a host under a path to a service.
type Route struct {
	Name    RouteName
	Host    string
	Path    string
	Service ServiceName

	basePolicy Policy
	exceptions []*Exception
}

// Exception overrides the policy of the calls that it matches.
type Exception struct {
	Name    string      `json:"name"`
	Service ServiceName `json:"service,omitempty"`
	Route   RouteName   `json:"route,omitempty"`
	Tenant  Tenant      `json:"tenant,omitempty"`
	Reason  string      `json:"reason"`
	Author  string      `json:"author"`
	Until   time.Time   `json:"until,omitzero"`

	policy overlay
}

// Expired reports whether the exception has an end and now is not before it.
func (e *Exception) Expired(now time.Time) bool {
	return !e.Until.IsZero() && !now.Before(e.Until)
}

// Policy returns the route's policy for a tenant at now, and the exceptions applied to it.
func (r *Route) Policy(tenant Tenant, now time.Time) (Policy, []*Exception) {
	p := r.basePolicy
	var applied []*Exception
	for _, e := range r.exceptions {
		if e.Expired(now) || (e.Tenant != "" && e.Tenant != tenant) {
			continue
		}
		p = e.policy.apply(p)
		applied = append(applied, e)
	}
	return p, applied
}

// Match returns the route with the longest path prefix that matches the request, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.Routes {
		if r.Host != "" && r.Host != host {
			continue
		}
		if hasPathPrefix(r.Path, path) {
			return r
		}
	}
	return nil
}

func hasPathPrefix(prefix, path string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}

// Compile validates and compiles a document; errors are of type Problems and match ErrInvalid.
func Compile(file string, d Document) (*Config, error) {
	c := compiler{
		file: file,
		cfg: &Config{Services: map[ServiceName]*Service{}, Exceptions: []*Exception{},
			SpillBandwidth: defaultSpillBandwidth},
	}
	for _, name := range d.SectionNames() {
		c.compileSection(name, d[name])
	}
	c.checkReferences()
	c.resolve()
	if err := c.problems.OrNil(); err != nil {
		return nil, err
	}
	return c.cfg, nil
}

type compiler struct {
	file          string
	cfg           *Config
	defaults      overlay
	routePolicies map[RouteName]overlay
	problems      Problems
}

func (c *compiler) fail(section SectionName, key, message string) {
	c.problems = append(c.problems, Problem{File: c.file, Section: string(section), Key: key, Message: message})
}

func (c *compiler) compileSection(name SectionName, body Section) {
	kind, label, _ := strings.Cut(string(name), " ")
	switch kind {
	case "defaults":
		if label != "" {
			c.fail(name, "", "the defaults section must not have a name")
		}
		c.defaults = c.parseOverlay(name, body, "spill-bandwidth")
		c.compileSpillBandwidth(name, body["spill-bandwidth"])
		return
	case "service", "route", "exception":
	default:
		c.fail(name, "", "unknown section; want defaults, service, route or exception")
		return
	}
	if !validName(label) {
		c.fail(name, "", "want a name of letters, digits, '-', '_' or '.' after "+kind)
		return
	}
	switch kind {
	case "service":
		c.addService(name, ServiceName(label), body)
	case "route":
		c.addRoute(name, RouteName(label), body)
	case "exception":
		c.addException(name, label, body)
	}
}

func (c *compiler) compileSpillBandwidth(name SectionName, value string) {
	if value == "" {
		return
	}
	rate, err := parseBandwidth(value)
	if err != nil {
		c.fail(name, "spill-bandwidth", err.Error())
	}
	c.cfg.SpillBandwidth = rate
}

func validName(s string) bool {
	if s == "" || len(s) > 100 {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool {
		return !(r == '-' || r == '_' || r == '.' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z')
	}) < 0
}

// parseOverlay parses the policy keys of a section, skipping the space-separated keys in otherKeys.
func (c *compiler) parseOverlay(name SectionName, body Section, otherKeys string) overlay {
	var o overlay
	skip := strings.Fields(otherKeys)
	for _, key := range sortedKeys(body) {
		if slices.Contains(skip, key) {
			continue
		}
		set, err := parsePolicyKey(key, body[key])
		if err != nil {
			c.fail(name, key, err.Error())
			continue
		}
		o = append(o, set)
	}
	return o
}

func (c *compiler) addService(name SectionName, label ServiceName, body Section) {
	c.cfg.Services[label] = &Service{Name: label, policy: c.parseOverlay(name, body, "")}
}

func (c *compiler) addRoute(name SectionName, label RouteName, body Section) {
	r := &Route{Name: label, Host: body["host"], Path: body["path"], Service: ServiceName(body["service"])}
	if !strings.HasPrefix(r.Path, "/") {
		c.fail(name, "path", "want a path that starts with /")
	}
	if r.Service == "" {
		c.fail(name, "service", "the key is required")
	}
	if c.routePolicies == nil {
		c.routePolicies = map[RouteName]overlay{}
	}
	c.routePolicies[label] = c.parseOverlay(name, body, "host path service")
	c.cfg.Routes = append(c.cfg.Routes, r)
}

func (c *compiler) addException(name SectionName, label string, body Section) {
	e := &Exception{Name: label, Reason: body["reason"], Author: body["author"]}
	if strings.TrimSpace(e.Reason) == "" {
		c.fail(name, "reason", "an exception needs a written reason")
	}
	if e.Author == "" {
		c.fail(name, "author", "the key is required")
	}
	c.parseMatch(name, e, body["match"])
	if until := body["until"]; until != "" {
		t, err := time.Parse(time.DateOnly, until)
		if err != nil {
			c.fail(name, "until", "want a date such as 2027-01-31, got \""+until+"\"")
		}
		e.Until = t
	}
	e.policy = c.parseOverlay(name, body, "match reason author until")
	if len(e.policy) == 0 {
		c.fail(name, "", "the exception overrides no policy key")
	}
	c.cfg.Exceptions = append(c.cfg.Exceptions, e)
}

func (c *compiler) parseMatch(name SectionName, e *Exception, match string) {
	terms := strings.Fields(match)
	if len(terms) == 0 {
		c.fail(name, "match", "want terms such as service=NAME route=NAME tenant=NAME")
	}
	for _, term := range terms {
		key, value, _ := strings.Cut(term, "=")
		switch {
		case value == "":
			c.fail(name, "match", "want NAME=VALUE, got \""+term+"\"")
		case key == "service":
			e.Service = ServiceName(value)
		case key == "route":
			e.Route = RouteName(value)
		case key == "tenant":
			e.Tenant = Tenant(value)
		default:
			c.fail(name, "match", "unknown term \""+key+"\"; want service, route or tenant")
		}
	}
}

func (c *compiler) checkReferences() {
	paths := map[string]RouteName{}
	for _, r := range c.cfg.Routes {
		section := SectionName("route " + string(r.Name))
		if _, ok := c.cfg.Services[r.Service]; !ok && r.Service != "" {
			c.fail(section, "service", "service \""+string(r.Service)+"\" does not exist")
		}
		if other, ok := paths[r.Host+" "+r.Path]; ok {
			c.fail(section, "path", "route \""+string(other)+"\" has the same host and path")
		}
		paths[r.Host+" "+r.Path] = r.Name
	}
	for _, e := range c.cfg.Exceptions {
		section := SectionName("exception " + e.Name)
		if _, ok := c.cfg.Services[e.Service]; !ok && e.Service != "" {
			c.fail(section, "match", "service \""+string(e.Service)+"\" does not exist")
		}
		if _, ok := c.routePolicies[e.Route]; !ok && e.Route != "" {
			c.fail(section, "match", "route \""+string(e.Route)+"\" does not exist")
		}
	}
}

func (c *compiler) resolve() {
	slices.SortStableFunc(c.cfg.Routes, func(a, b *Route) int {
		if n := len(b.Path) - len(a.Path); n != 0 {
			return n
		}
		if n := len(b.Host) - len(a.Host); n != 0 {
			return n
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	broadestFirst := slices.Clone(c.cfg.Exceptions)
	slices.SortStableFunc(broadestFirst, func(a, b *Exception) int { return a.matchTermCount() - b.matchTermCount() })
	for _, r := range c.cfg.Routes {
		p := c.defaults.apply(DefaultPolicy())
		if s := c.cfg.Services[r.Service]; s != nil {
			p = s.policy.apply(p)
		}
		r.basePolicy = c.routePolicies[r.Name].apply(p)
		for _, e := range broadestFirst {
			if (e.Service == "" || e.Service == r.Service) && (e.Route == "" || e.Route == r.Name) {
				r.exceptions = append(r.exceptions, e)
			}
		}
	}
}

// matchTermCount returns the number of match terms; an exception with more terms is applied later and so overrides a broader one.
func (e *Exception) matchTermCount() int {
	n := 0
	for _, s := range []string{string(e.Service), string(e.Route), string(e.Tenant)} {
		if s != "" {
			n++
		}
	}
	return n
}

// Warnings returns a message for each exception that has expired at now.
func (c *Config) Warnings(now time.Time) []string {
	var warnings []string
	for _, e := range c.Exceptions {
		if e.Expired(now) {
			warnings = append(warnings, "exception \""+e.Name+"\" expired on "+e.Until.Format(time.DateOnly))
		}
	}
	return warnings
}
