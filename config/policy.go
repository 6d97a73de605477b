package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Class is a call's expected service time, that is how long it occupies a slot.
type Class string

// The classes an operator may declare; ClassAuto derives the class from measured durations.
const (
	ClassAuto  Class = "auto"
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Semantics states whether a call may be executed more than once.
type Semantics string

// The semantics an operator may declare; ByMethod derives them from the HTTP method.
const (
	ByMethod   Semantics = "by-method"
	Idempotent Semantics = "idempotent"
	AtMostOnce Semantics = "at-most-once"
)

// SpillScope limits how far from the caller's data centre a call may be sent.
type SpillScope string

// SpillNone keeps calls in the caller's data centre, SpillRegion in its region.
const (
	SpillNone     SpillScope = "none"
	SpillRegion   SpillScope = "region"
	SpillAnywhere SpillScope = "anywhere"
)

// Policy holds the settings that apply to one call.
type Policy struct {
	Timeout   time.Duration
	Class     Class
	Semantics Semantics
	Retries   int
	Hedge     bool
	Spill     SpillScope
	MaxWait   time.Duration
	LongShare int // percentage of a target's slots that long calls may always use
	Weight    int // the tenant's weight in fair queueing
}

const (
	maxTimeout = 24 * time.Hour
	maxRetries = 5
	maxWeight  = 100
)

// DefaultPolicy returns the settings that apply unless a document overrides them.
func DefaultPolicy() Policy {
	return Policy{
		Timeout: 10 * time.Second, Class: ClassAuto, Semantics: ByMethod, Retries: 2, Hedge: true,
		Spill: SpillAnywhere, MaxWait: time.Second, LongShare: 60, Weight: 1,
	}
}

// overlay is a list of changes to fields of a policy, applied in order.
type overlay []func(*Policy)

func (o overlay) apply(p Policy) Policy {
	for _, set := range o {
		set(&p)
	}
	return p
}

var errUnknownKey = errors.New("unknown key")

// parsePolicyKey returns the change that one key of a section makes to a policy.
func parsePolicyKey(key, value string) (func(*Policy), error) {
	switch key {
	case "timeout":
		d, err := parseDuration(value, time.Millisecond, maxTimeout)
		return func(p *Policy) { p.Timeout = d }, err
	case "max-wait":
		d, err := parseDuration(value, 0, maxTimeout)
		return func(p *Policy) { p.MaxWait = d }, err
	case "class":
		v := Class(value)
		return func(p *Policy) { p.Class = v }, oneOf(v, ClassAuto, ClassShort, ClassLong)
	case "calls":
		v := Semantics(value)
		return func(p *Policy) { p.Semantics = v }, oneOf(v, ByMethod, Idempotent, AtMostOnce)
	case "spill":
		v := SpillScope(value)
		return func(p *Policy) { p.Spill = v }, oneOf(v, SpillNone, SpillRegion, SpillAnywhere)
	case "retries":
		n, err := parseInt(value, 0, maxRetries)
		return func(p *Policy) { p.Retries = n }, err
	case "hedge":
		b, err := strconv.ParseBool(value)
		if err != nil {
			err = errors.Newf("want true or false, got %q", value)
		}
		return func(p *Policy) { p.Hedge = b }, err
	case "long-share":
		n, err := parseInt(strings.TrimSuffix(value, "%"), 5, 90)
		return func(p *Policy) { p.LongShare = n }, err
	case "weight":
		n, err := parseInt(value, 1, maxWeight)
		return func(p *Policy) { p.Weight = n }, err
	}
	return nil, errUnknownKey
}

func parseDuration(s string, lower, upper time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Newf("want a duration with a unit such as 2s, got %q", s)
	}
	if d < lower || d > upper {
		return 0, errors.Newf("want a duration from %s to %s, got %s", lower, upper, d)
	}
	return d, nil
}

func parseInt(s string, lower, upper int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, errors.Newf("want a whole number, got %q", s)
	}
	if n < lower || n > upper {
		return 0, errors.Newf("want a number from %d to %d, got %d", lower, upper, n)
	}
	return n, nil
}

func oneOf[T ~string](v T, allowed ...T) error {
	names := make([]string, len(allowed))
	for i, a := range allowed {
		if v == a {
			return nil
		}
		names[i] = string(a)
	}
	return errors.Newf("want one of %s, got %q", strings.Join(names, ", "), string(v))
}

// Describe returns the policy as keys and values in the form that a document uses.
func (p Policy) Describe() map[string]string {
	return map[string]string{
		"timeout": p.Timeout.String(), "max-wait": p.MaxWait.String(), "class": string(p.Class), "calls": string(p.Semantics),
		"spill": string(p.Spill), "retries": strconv.Itoa(p.Retries), "hedge": strconv.FormatBool(p.Hedge),
		"long-share": strconv.Itoa(p.LongShare) + "%", "weight": strconv.Itoa(p.Weight),
	}
}
