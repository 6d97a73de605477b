package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/cassialead/cassialead/hop"
	"github.com/cassialead/cassialead/lifecycle"
)

// Invariant is a guarantee of the system to callers and targets that a run checks.
type Invariant string

// The invariants that are checked.
const (
	AtMostOnce         Invariant = "at most once"      // an at-most-once call was executed again
	NotExecutedRefusal Invariant = "true refusal"      // a call was refused as not executed and was executed
	ResponseIntegrity  Invariant = "own, whole answer" // a successful response is unsigned or differs from the target's response to this call
	DrainedTarget      Invariant = "departed target"   // a target executed a call after the drain period that follows its acknowledged drain announcement
	MonotonicVersion   Invariant = "no older version"  // a node reverted to an older configuration
	GracefulStop       Invariant = "planned stop"      // a call that had reached a target was cut off by a node that was asked to stop
	Recovery           Invariant = "recovery"          // calls are not served, or the latest version is not active, after all faults have ended
	RateLimited        Invariant = "rate limit"        // a target got more calls than the rate limit allows that it had named
	AnnouncedLeaving   Invariant = "announced leaving" // a target got a call from a VM later than the drain period after that VM's node had passed on its leaving
	VersionInTime      Invariant = "version in time"   // a node that the store serves lacks a version later than the time for a change
	ForeignWriter      Invariant = "one writer"        // a node acknowledged a heartbeat of another writer
	CallerService      Invariant = "caller's service"  // a target received a call with a service name other than that of the caller's VM
)

// Violation is one breach of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration // since the start of the run
	Detail    string
}

// String formats the violation as one line of the report.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s  %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// execution is one execution of a call at a target.
type execution struct {
	target lifecycle.ID
	at     time.Time
}

// Checker records what callers and targets observe and checks the invariants; it is safe for concurrent use.
type Checker struct {
	start time.Time

	mu         sync.Mutex
	executions map[hop.CallID][]execution
	refused    map[hop.CallID]int // status with which an at-most-once call was refused as not executed
	draining   map[lifecycle.ID]time.Time
	leaving    map[passedOn]time.Time
	outcomes   map[string]int // number of calls by outcome
	history    []outcome
	violations []Violation
}

// passedOn identifies answers of a target that announced its leaving and were passed on by the node of a VM.
type passedOn struct {
	target lifecycle.ID
	vm     string
}

// outcome records when a call ended and whether it was served.
type outcome struct {
	at     time.Time
	served bool
}

// NewChecker returns a checker without records.
func NewChecker(now time.Time) *Checker {
	return &Checker{start: now, executions: map[hop.CallID][]execution{}, refused: map[hop.CallID]int{}, draining: map[lifecycle.ID]time.Time{}, leaving: map[passedOn]time.Time{},
		outcomes: map[string]int{}}
}

// RecordViolation records a violation of an invariant.
func (c *Checker) RecordViolation(i Invariant, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, Violation{i, time.Since(c.start), fmt.Sprintf(format, args...)})
}

// RecordExecution records that a target has started to execute a call. drain is the period in which a draining
// target may still receive calls.
func (c *Checker) RecordExecution(id hop.CallID, target lifecycle.ID, drain time.Duration) {
	now := time.Now()
	c.mu.Lock()
	c.executions[id] = append(c.executions[id], execution{target, now})
	since, ok := c.draining[target]
	c.mu.Unlock()
	if ok && now.Sub(since) > drain {
		c.RecordViolation(DrainedTarget, "%s executed call %s %v after its drain announcement was acknowledged", target, id, now.Sub(since).Round(time.Millisecond))
	}
}

// RecordDrain records that a target's drain announcement was acknowledged.
func (c *Checker) RecordDrain(target lifecycle.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining[target] = time.Now()
}

// RecordLeaving records that the node of a VM has passed on an answer in which a target announces its leaving.
func (c *Checker) RecordLeaving(target lifecycle.ID, vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.leaving[passedOn{target, vm}]; !ok {
		c.leaving[passedOn{target, vm}] = time.Now()
	}
}

// LeavingPassedOn returns how long ago the node of a VM has first passed on a target's leaving.
func (c *Checker) LeavingPassedOn(target lifecycle.ID, vm string) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.leaving[passedOn{target, vm}]
	return time.Since(at), ok
}

// ForgetLeaving forgets what the node of a VM has passed on: it has been restarted or suspended since.
func (c *Checker) ForgetLeaving(vm string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for p := range c.leaving {
		if p.vm == vm {
			delete(c.leaving, p)
		}
	}
}

// Executions returns how many times a call was executed.
func (c *Checker) Executions(id hop.CallID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.executions[id])
}

// RecordRefusal records a response stating that a call was not executed and never will be.
func (c *Checker) RecordRefusal(id hop.CallID, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[id] = status
}

// RecordOutcome records how a call ended.
func (c *Checker) RecordOutcome(name string, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[name]++
	c.history = append(c.history, outcome{time.Now(), served})
}

// ServedShare returns the number of calls that ended after a time and the share of them that were served.
func (c *Checker) ServedShare(since time.Time) (share float64, calls int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, o := range c.history {
		if o.at.After(since) {
			calls++
			if o.served {
				served++
			}
		}
	}
	return float64(served) / float64(max(calls, 1)), calls
}

// Finish checks the invariants that need the whole run and returns all violations. atMostOnce reports whether a
// call may be executed only once.
func (c *Checker) Finish(atMostOnce func(hop.CallID) bool) []Violation {
	c.mu.Lock()
	executions, refused := c.executions, c.refused
	c.mu.Unlock()
	for id, execs := range executions {
		if atMostOnce(id) && len(execs) > 1 {
			c.RecordViolation(AtMostOnce, "call %s was executed %d times, at %s and %s", id, len(execs), execs[0].target, execs[1].target)
		}
		if status, ok := refused[id]; ok {
			c.RecordViolation(NotExecutedRefusal, "call %s was refused with status %d and executed at %s", id, status, execs[0].target)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.violations
}
