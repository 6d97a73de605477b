package config

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Class says how long a call is expected to hold a slot.
type Class string

// The classes an operator may declare; ClassAuto learns it from measured durations.
const (
	ClassAuto  Class = "auto"
	ClassShort Class = "short"
	ClassLong  Class = "long"
)

// Semantics says whether a call may be repeated.
type Semantics string

// The semantics an operator may declare; ByMethod follows the HTTP method.
const (
	ByMethod   Semantics = "by-method"
	Idempotent Semantics = "idempotent"
	AtMostOnce Semantics = "at-most-once"
)

// Spill says how far from the caller's data centre a call may go.
type Spill string

// The reach of spilled calls.
const (
	SpillNone     Spill = "none"
	SpillRegion   Spill = "region"
	SpillAnywhere Spill = "anywhere"
)

// Policy is the resolved behaviour for one call.
type Policy struct {
	Timeout   time.Duration
	Class     Class
	Calls     Semantics
	Retries   int
	Hedge     bool
	Spill     Spill
	MaxWait   time.Duration
	LongShare int // percent of a target's slots
	Weight    int // the tenant's share in a queue
}

const (
	maxTimeout = 24 * time.Hour
	maxRetries = 5
	maxWeight  = 100
)

// DefaultPolicy returns the policy in force where the document is silent.
func DefaultPolicy() Policy {
	return Policy{
		Timeout: 10 * time.Second, Class: ClassAuto, Calls: ByMethod, Retries: 2, Hedge: true,
		Spill: SpillAnywhere, MaxWait: time.Second, LongShare: 60, Weight: 1,
	}
}

// overlay changes some fields of a policy.
type overlay []func(*Policy)

func (o overlay) apply(p Policy) Policy {
	for _, set := range o {
		set(&p)
	}
	return p
}

var errNotPolicyKey = errors.New("unknown key")

// policyKey turns one key of a section into a policy change.
func policyKey(key, value string) (func(*Policy), error) {
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
		return func(p *Policy) { p.Calls = v }, oneOf(v, ByMethod, Idempotent, AtMostOnce)
	case "spill":
		v := Spill(value)
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
	return nil, errNotPolicyKey
}

func parseDuration(s string, least, most time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Newf("want a duration with a unit such as 2s, got %q", s)
	}
	if d < least || d > most {
		return 0, errors.Newf("want %s to %s, got %s", least, most, d)
	}
	return d, nil
}

func parseInt(s string, least, most int) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil {
		return 0, errors.Newf("want a whole number, got %q", s)
	}
	if n < least || n > most {
		return 0, errors.Newf("want %d to %d, got %d", least, most, n)
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

// Describe returns the policy's settings by their document keys.
func (p Policy) Describe() map[string]string {
	return map[string]string{
		"timeout": p.Timeout.String(), "max-wait": p.MaxWait.String(), "class": string(p.Class), "calls": string(p.Calls),
		"spill": string(p.Spill), "retries": strconv.Itoa(p.Retries), "hedge": strconv.FormatBool(p.Hedge),
		"long-share": strconv.Itoa(p.LongShare) + "%", "weight": strconv.Itoa(p.Weight),
	}
}
