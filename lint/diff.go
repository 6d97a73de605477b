package lint

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/tenant"
)

// Op states how a key of a section has changed.
type Op string

// The changes of a key.
const (
	Added   Op = "added"
	Removed Op = "removed"
	Changed Op = "changed"
)

// Change is a key of a section that differs between two plans; Old is empty if it was added, New if it was removed.
type Change struct {
	Op      Op     `json:"op"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
}

// Diff returns the differences between two plans by section and key. Of API keys it states only how many there are and how many
// were added and removed.
func Diff(from, to *config.Plan) []Change {
	ambiguous := repeatedNames(from)
	maps.Copy(ambiguous, repeatedNames(to))
	before, after := describe(from, ambiguous), describe(to, ambiguous)
	for name, n := range keyChanges(from.Tenants, to.Tenants) {
		body := after[config.SectionName(tenantSection(name))]
		body["keys"] += fmt.Sprintf(" (%d added, %d removed)", n.added, n.removed)
	}
	var changes []Change
	for _, name := range sortedUnion(before, after) {
		old, body := before[name], after[name]
		for _, key := range sortedUnion(old, body) {
			o, inOld := old[key]
			n, inNew := body[key]
			c := Change{Op: Changed, Section: string(name), Key: key, Old: o, New: n}
			switch {
			case !inOld:
				c.Op = Added
			case !inNew:
				c.Op = Removed
			case o == n:
				continue
			}
			changes = append(changes, c)
		}
	}
	return changes
}

type keyCounts struct{ added, removed int }

// keyChanges returns the tenants of both directories whose sets of keys differ.
func keyChanges(from, to *tenant.Directory) map[tenant.Name]keyCounts {
	changes := map[tenant.Name]keyCounts{}
	if to == nil {
		return changes
	}
	for _, a := range to.Accounts() {
		old, ok := from.ByName(a.Name)
		if !ok {
			continue
		}
		if n := (keyCounts{added: missing(a.Keys, old.Keys), removed: missing(old.Keys, a.Keys)}); n != (keyCounts{}) {
			changes[a.Name] = n
		}
	}
	return changes
}

// missing returns the number of distinct keys that others lack.
func missing(keys, others []tenant.Key) int {
	lacking := map[tenant.Key]bool{}
	for _, k := range keys {
		if !slices.Contains(others, k) {
			lacking[k] = true
		}
	}
	return len(lacking)
}

// repeatedNames returns the names that several routes of a plan have: only host and prefix need to be unique.
func repeatedNames(p *config.Plan) map[config.RouteName]bool {
	seen, repeated := map[config.RouteName]bool{}, map[config.RouteName]bool{}
	for _, r := range p.Rules() {
		if seen[r.Name] {
			repeated[r.Name] = true
		}
		seen[r.Name] = true
	}
	return repeated
}

// describe returns a plan as sections of keys and values, except for its version. Sections of routes with ambiguous names also
// name host and prefix.
func describe(p *config.Plan, ambiguous map[config.RouteName]bool) config.Document {
	d := config.Document{"limits": {
		"header-bytes": strconv.Itoa(p.Limits.MaxHeaderBytes), "body-bytes": strconv.Itoa(p.Limits.MaxBodyBytes),
		"header-timeout": p.Limits.HeaderTimeout.String(), "idle-timeout": p.Limits.IdleTimeout.String(),
	}}
	for name, s := range p.Services {
		d[config.SectionName(serviceSection(name))] = config.Section{"health-path": s.HealthPath, "connections": strconv.Itoa(s.MaxConnections)}
	}
	for _, r := range p.Rules() {
		name := config.SectionName(routeSection(r))
		if ambiguous[r.Name] {
			name += config.SectionName(" " + string(r.Host) + r.Prefix)
		}
		d[name] = describeRule(r)
	}
	if p.Tenants != nil {
		for _, a := range p.Tenants.Accounts() {
			d[config.SectionName(tenantSection(a.Name))] = describeAccount(a)
		}
	}
	return d
}

func describeRule(r *config.Rule) config.Section {
	var services []string
	for _, w := range r.WeightedServices {
		services = append(services, string(w.Service)+":"+strconv.Itoa(w.Weight))
	}
	return config.Section{
		"host": string(r.Host), "prefix": r.Prefix, "calls": string(r.Semantics), "download": strconv.FormatBool(r.Download),
		"attempts": strconv.Itoa(r.MaxAttempts), "timeout": r.Timeout.String(), "objective": r.LatencyObjective.String(),
		"priority": strconv.Itoa(r.Priority), "services": strings.Join(services, " "), "public": strconv.FormatBool(r.Public),
	}
}

func describeAccount(a *tenant.Account) config.Section {
	priority := "of the route"
	if a.Priority != nil {
		priority = strconv.Itoa(int(*a.Priority))
	}
	limit := "none"
	if a.Limit > 0 {
		limit = number(float64(a.Limit))
	}
	return config.Section{"keys": strconv.Itoa(len(a.Keys)), "priority": priority, "limit": limit, "burst": number(a.Burst)}
}

func sortedUnion[K ~string, V any, M ~map[K]V](a, b M) []K {
	all := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(all)
	return slices.Compact(all)
}
