package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/platform/standin"
)

// Event is a fault or a planned operation that is applied to a fleet: one of the types below.
type Event interface{ event() }

// Kill ends a node's process with SIGKILL.
type Kill struct{ VM int }

// Pause suspends a node's process for a duration.
type Pause struct {
	VM       int
	Duration time.Duration
}

// Stop shuts a node down with SIGTERM.
type Stop struct{ VM int }

// Reload makes a node read its settings again, with SIGHUP.
type Reload struct{ VM int }

// KillMany kills several nodes at the same moment.
type KillMany struct{ VMs []int }

// ImpairLink impairs the connections from other nodes to a node.
type ImpairLink struct {
	VM         int
	Impairment Impairment
	Duration   time.Duration
}

// ImpairStoreLink impairs a node's connections to the store.
type ImpairStoreLink struct {
	VM         int
	Impairment Impairment
	Duration   time.Duration
}

// FailStore makes the store fail for all nodes.
type FailStore struct {
	Faults   standin.Faults
	Duration time.Duration
}

// RemoveMembers deletes the nodes' records from the store.
type RemoveMembers struct{}

// CompactStore compacts the store's history.
type CompactStore struct{}

// ReturnStore makes the store unreachable and lets it return from a copy, after which the operator writes the lost configuration
// again and a new one.
type ReturnStore struct {
	Lost   time.Duration // before the absence, in which what the store acknowledges is lost
	Away   time.Duration
	Others int // values that nodes do not read, written after the configurations; they raise the store's revision
}

// FailTargets makes all targets of a service fail a share of their calls; nodes would soon route calls around a
// single failing target.
type FailTargets struct {
	Service  int // index into services
	Faults   TargetFaults
	Duration time.Duration
}

// LimitTargets makes all targets of a service name a rate limit.
type LimitTargets struct {
	Service   int // index into services
	PerSecond hop.CallRate
	Duration  time.Duration
}

// CrashTarget stops a target without notice and starts a new one after a duration.
type CrashTarget struct {
	VM       int
	Duration time.Duration
}

// ReplaceTarget drains a target and starts a new one.
type ReplaceTarget struct{ VM int }

// PublishVersions writes configuration versions one after the other.
type PublishVersions struct {
	Count    int
	Interval time.Duration
}

func (Kill) event()            {}
func (Pause) event()           {}
func (Stop) event()            {}
func (Reload) event()          {}
func (KillMany) event()        {}
func (ImpairLink) event()      {}
func (ImpairStoreLink) event() {}
func (FailStore) event()       {}
func (RemoveMembers) event()   {}
func (CompactStore) event()    {}
func (ReturnStore) event()     {}
func (FailTargets) event()     {}
func (LimitTargets) event()    {}
func (CrashTarget) event()     {}
func (ReplaceTarget) event()   {}
func (PublishVersions) event() {}

// isPlanned reports whether an event is a planned operation, which must not make any call fail.
func isPlanned(e Event) bool {
	switch e.(type) {
	case Stop, Reload, ReplaceTarget, PublishVersions:
		return true
	}
	return false
}

// Step is an event and its start, counted from the start of the schedule.
type Step struct {
	At    time.Duration
	Event Event
}

// String formats the step as one line of the report.
func (s Step) String() string {
	return fmt.Sprintf("%8.3f s  %T %+v", s.At.Seconds(), s.Event, s.Event)
}

const (
	meanInterval = 600 * time.Millisecond // between two events, which last longer and therefore overlap
	firstEventAt = time.Second
	maxDuration  = 3 * time.Second
	minDuration  = 200 * time.Millisecond
	quietShare   = 0.15 // of the steps that are followed by a planned operation between two pauses, which no fault overlaps
	quietPause   = maxDuration + quietPeriod + minDuration
	maxRateLimit = 20   // calls per second that a target with a limit accepts at most; nodes offer each target more
	maxOthers    = 12   // values that others write after a return, one less at most
	burstShare   = 0.25 // of the steps that are followed by the next one after minDuration
)

// Schedule returns the events of a seed for a fleet with the given number of nodes.
func Schedule(seed uint64, nodes int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for at := firstEventAt; at < length; {
		steps = append(steps, Step{at, randomEvent(rng, nodes)})
		switch p := rng.Float64(); {
		case p < burstShare:
			at += minDuration
		case p < burstShare+quietShare:
			at += quietPause
			steps = append(steps, Step{at, randomPlannedEvent(rng, nodes)})
			at += quietPause
		default:
			at += time.Duration(rng.ExpFloat64() * float64(meanInterval))
		}
	}
	steps = append(steps, writerSteps(seed, nodes, length)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	last := steps[len(steps)-1].At
	if rng.IntN(2) == 0 {
		// No version follows that would hide one that a node has missed.
		return append(steps, Step{max(length, last), randomReturn(rng)})
	}
	return append(steps, Step{last + quietPause, randomTurnAway(rng, nodes)}) // no other fault overlaps
}

// randomEvent returns a random event.
func randomEvent(rng *rand.Rand, nodes int) Event {
	vm := rng.IntN(nodes)
	duration := minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration)))
	switch rng.IntN(19) {
	case 0:
		return Kill{vm}
	case 1:
		return Pause{vm, duration}
	case 2:
		return KillMany{rng.Perm(nodes)[:(nodes+1)/2]}
	case 3, 4:
		return ImpairLink{vm, randomImpairment(rng), duration}
	case 5:
		return ImpairStoreLink{vm, randomImpairment(rng), duration}
	case 6:
		return FailStore{randomStoreFaults(rng), duration}
	case 7:
		return RemoveMembers{}
	case 8:
		return CompactStore{}
	case 9:
		return FailTargets{vm % len(services), TargetFaults{DropResponses: 0.2 * rng.Float64(), Errors: 0.2 * rng.Float64(), SlowFactor: 1 + 4*rng.Float64()}, duration}
	case 10:
		return CrashTarget{vm, duration}
	case 11, 12:
		return LimitTargets{vm % len(services), hop.CallRate(maxRateLimit * rng.Float64()), limitSettles + limitWindow + duration}
	case 13, 14:
		return randomReturn(rng)
	}
	return randomPlannedEvent(rng, nodes)
}

// randomPlannedEvent returns a random planned operation.
func randomPlannedEvent(rng *rand.Rand, nodes int) Event {
	vm := rng.IntN(nodes)
	switch rng.IntN(5) {
	case 0, 1:
		return Stop{vm}
	case 2:
		return Reload{vm}
	case 3:
		return ReplaceTarget{vm}
	}
	return PublishVersions{1 + rng.IntN(12), minDuration / 2}
}

func randomReturn(rng *rand.Rand) ReturnStore {
	return ReturnStore{Lost: time.Duration(rng.Int64N(int64(maxDuration))), Away: time.Duration(rng.Int64N(int64(time.Second))), Others: rng.IntN(maxOthers)}
}

func randomImpairment(rng *rand.Rand) Impairment {
	switch rng.IntN(6) {
	case 0:
		return Impairment{Delay: time.Duration(rng.Int64N(int64(minDuration)))}
	case 1:
		return Impairment{BlockToServer: true}
	case 2:
		return Impairment{BlockToCaller: true}
	case 3:
		return Impairment{BlockToServer: true, BlockToCaller: true}
	case 4:
		return Impairment{Blackhole: true}
	}
	return Impairment{Reset: true}
}

func randomStoreFaults(rng *rand.Rand) standin.Faults {
	switch rng.IntN(5) {
	case 0:
		return standin.Faults{Status: http.StatusServiceUnavailable}
	case 1:
		return standin.Faults{Status: http.StatusTooManyRequests}
	case 2:
		return standin.Faults{NoResponse: true}
	case 3:
		return standin.Faults{DropResponses: true}
	}
	return standin.Faults{DropResponses: true, WriteDelay: minDuration + time.Duration(rng.Int64N(int64(maxDuration)))}
}
