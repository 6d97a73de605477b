package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cassialead/cassialead/platform/standin"
)

// Trouble is something that is done to a fleet: one of the types below.
type Trouble interface{ trouble() }

// Kill ends a node's process without a word.
type Kill struct{ VM int }

// Pause stops a node's process for a time.
type Pause struct {
	VM  int
	For time.Duration
}

// Stop asks a node's process to end.
type Stop struct{ VM int }

// Reload tells a node that its settings have changed.
type Reload struct{ VM int }

// Herd kills many nodes at the same moment.
type Herd struct{ VMs []int }

// Link spoils the connections of other nodes to a node.
type Link struct {
	VM      int
	Weather Weather
	For     time.Duration
}

// StoreLink spoils a node's connections to the store.
type StoreLink struct {
	VM      int
	Weather Weather
	For     time.Duration
}

// StoreFault makes the store fail for all nodes.
type StoreFault struct {
	Faults standin.Faults
	For    time.Duration
}

// Revoke takes the nodes' entries out of the store.
type Revoke struct{}

// Compact makes the store forget its history.
type Compact struct{}

// Sick makes the targets of a service fail part of their calls; callers of a single sick one would soon be led around it.
type Sick struct {
	Service  int // counted in services
	Sickness Sickness
	For      time.Duration
}

// Crash ends a target without a word; another one takes its place.
type Crash struct {
	VM  int
	For time.Duration
}

// Release replaces a target that announces its departure.
type Release struct{ VM int }

// Change writes configurations one after the other.
type Change struct {
	Versions int
	Gap      time.Duration
}

func (Kill) trouble()       {}
func (Pause) trouble()      {}
func (Stop) trouble()       {}
func (Reload) trouble()     {}
func (Herd) trouble()       {}
func (Link) trouble()       {}
func (StoreLink) trouble()  {}
func (StoreFault) trouble() {}
func (Revoke) trouble()     {}
func (Compact) trouble()    {}
func (Sick) trouble()       {}
func (Crash) trouble()      {}
func (Release) trouble()    {}
func (Change) trouble()     {}

// planned reports whether a trouble is planned work, which may cost no call.
func planned(t Trouble) bool {
	switch t.(type) {
	case Stop, Reload, Release, Change:
		return true
	}
	return false
}

// Step is a trouble and when it begins.
type Step struct {
	At      time.Duration
	Trouble Trouble
}

// String describes the step.
func (s Step) String() string {
	return fmt.Sprintf("%8.3f s  %T %+v", s.At.Seconds(), s.Trouble, s.Trouble)
}

const (
	meanGap     = 600 * time.Millisecond // between two troubles, which last longer and so overlap
	firstAt     = time.Second
	longest     = 3 * time.Second
	shortest    = 200 * time.Millisecond
	calmShare   = 0.15 // of the steps that are followed by a pause and then by planned work alone
	calmPause   = longest + calmBefore + shortest
	seriesShare = 0.25 // of the steps that come again at once
)

// Plan returns the troubles of a seed for a fleet of so many nodes.
func Plan(seed uint64, nodes int, length time.Duration) []Step {
	rng := rand.New(rand.NewPCG(seed, seed))
	var steps []Step
	for at := firstAt; at < length; {
		steps = append(steps, Step{at, draw(rng, nodes)})
		switch luck := rng.Float64(); {
		case luck < seriesShare:
			at += shortest
		case luck < seriesShare+calmShare:
			at += calmPause
			steps = append(steps, Step{at, drawPlanned(rng, nodes)})
			at += calmPause
		default:
			at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		}
	}
	return steps
}

// draw returns a random trouble.
func draw(rng *rand.Rand, nodes int) Trouble {
	vm := rng.IntN(nodes)
	lasts := shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
	switch rng.IntN(15) {
	case 0:
		return Kill{vm}
	case 1:
		return Pause{vm, lasts}
	case 2:
		return Herd{rng.Perm(nodes)[:(nodes+1)/2]}
	case 3, 4:
		return Link{vm, drawWeather(rng), lasts}
	case 5:
		return StoreLink{vm, drawWeather(rng), lasts}
	case 6:
		return StoreFault{drawFaults(rng), lasts}
	case 7:
		return Revoke{}
	case 8:
		return Compact{}
	case 9:
		return Sick{vm % len(services), Sickness{LoseAnswers: 0.2 * rng.Float64(), Errors: 0.2 * rng.Float64(), Slow: 1 + 4*rng.Float64()}, lasts}
	case 10:
		return Crash{vm, lasts}
	}
	return drawPlanned(rng, nodes)
}

// drawPlanned returns random planned work.
func drawPlanned(rng *rand.Rand, nodes int) Trouble {
	vm := rng.IntN(nodes)
	switch rng.IntN(5) {
	case 0, 1:
		return Stop{vm}
	case 2:
		return Reload{vm}
	case 3:
		return Release{vm}
	}
	return Change{1 + rng.IntN(12), shortest / 2}
}

func drawWeather(rng *rand.Rand) Weather {
	switch rng.IntN(6) {
	case 0:
		return Weather{Delay: time.Duration(rng.Int64N(int64(shortest)))}
	case 1:
		return Weather{Deaf: true}
	case 2:
		return Weather{Mute: true}
	case 3:
		return Weather{Deaf: true, Mute: true}
	case 4:
		return Weather{Silent: true}
	}
	return Weather{Reset: true}
}

func drawFaults(rng *rand.Rand) standin.Faults {
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
	return standin.Faults{DropResponses: true, WriteDelay: shortest + time.Duration(rng.Int64N(int64(longest)))}
}
