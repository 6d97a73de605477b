package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/config"
)

// MinNodes is the smallest number of nodes of a fleet: one for each service.
const MinNodes = 2

// Options configure a run.
type Options struct {
	Seed   uint64
	Length time.Duration // of the event schedule; recovery follows it
	Nodes  int
	// Program is the command line of a node, which reads the path of its settings from the environment; Env is added to the
	// environment.
	Program, Env []string
	// Log receives the output of the nodes.
	Log io.Writer
}

// Report is the result of a run.
type Report struct {
	Steps      []Step
	Outcomes   map[string]int // number of calls by outcome
	Violations []Violation
}

const (
	startupTimeout  = 15 * time.Second       // for all nodes to become ready and to discover each other's targets
	recoveryTimeout = 15 * time.Second       // after the last event, until calls must be served again
	recoveredShare  = 0.97                   // share that must be served then, of the calls that their callers do not cancel
	recoveryWindow  = 2 * time.Second        // over which that share is measured
	applyTimeout    = 2 * time.Second        // for a version to become active on a node when there are no faults
	pollInterval    = 200 * time.Millisecond // between two checks of the active version or of another condition
)

// ErrNotReady reports that the nodes did not become ready in time.
var ErrNotReady = errors.New("nodes did not become ready in time")

// Run starts a fleet, applies the event schedule of a seed and reports the violations.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, errors.Wrap(err, "create directory for settings files")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := newFleet(o, dir, &lockedWriter{w: o.Log})
	defer f.close()
	if err != nil {
		return Report{}, err
	}
	if !waitUntil(ctx, startupTimeout, f.serving) {
		return Report{}, ErrNotReady
	}
	callers, stopCallers := context.WithCancel(ctx)
	var background sync.WaitGroup
	for _, v := range f.vms {
		background.Go(func() { newCaller(v, f.checker).run(callers) })
		background.Go(func() { f.watchVersions(callers, v) })
	}
	report := Report{Steps: Schedule(o.Seed, o.Nodes, o.Length)}
	start := time.Now()
	for _, s := range report.Steps {
		sleep(ctx, s.At-time.Since(start))
		f.inject(ctx, s.Event)
	}
	f.events.Wait()
	f.checkRecovery(ctx)
	stopCallers()
	background.Wait()
	report.Violations, report.Outcomes = f.checker.Finish(isAtMostOnce), f.checker.outcomes
	return report, ctx.Err()
}

// checkRecovery checks that calls are served again and that the latest configuration is active on every node.
func (f *Fleet) checkRecovery(ctx context.Context) {
	served := func() bool {
		sleep(ctx, recoveryWindow)
		share, calls := f.checker.ServedShare(time.Now().Add(-recoveryWindow))
		return share >= recoveredShare*(1-cancelShare) && calls > 0
	}
	if !waitUntil(ctx, recoveryTimeout, served) {
		share, calls := f.checker.ServedShare(time.Now().Add(-recoveryWindow))
		f.checker.RecordViolation(Recovery, "%.0f%% of %d calls served %v after the last event", 100*share, calls, recoveryTimeout)
	}
	latest := f.latestVersion()
	for _, v := range f.vms {
		if !waitUntil(ctx, applyTimeout, func() bool { return f.hasVersion(v, latest) }) {
			f.checker.RecordViolation(Recovery, "%s has not activated version %d", v.name, latest)
		}
	}
}

// serving reports whether all nodes are ready and route calls to both services.
func (f *Fleet) serving() bool {
	for _, v := range f.vms {
		if !v.isReady() {
			return false
		}
		for _, s := range services {
			if status, err := f.probe(v, pathPrefix(s, false)); err != nil || status != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// hasVersion reports whether a version is active on a node.
func (f *Fleet) hasVersion(v *VM, n config.Version) bool {
	status, err := f.probe(v, versionPrefix(n))
	return err == nil && status != http.StatusNotFound && status != http.StatusServiceUnavailable
}

// probe sends one idempotent call through a node and returns the status of the response.
func (f *Fleet) probe(v *VM, prefix string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	c := newCaller(v, f.checker)
	defer c.client.CloseIdleConnections()
	id := newCallID(v.service, false)
	status, _, _, err := c.send(ctx, id, http.MethodGet, prefix+string(id), "")
	return status, err
}

// watchVersions checks that a node never reverts to an older configuration within one incarnation of its process.
func (f *Fleet) watchVersions(ctx context.Context, v *VM) {
	type observation struct {
		version     config.Version
		incarnation int
	}
	var highest observation
	for ctx.Err() == nil {
		latest, incarnation := f.latestVersion(), v.incarnation()
		if highest.incarnation != incarnation {
			highest = observation{0, incarnation}
		}
		if f.hasVersion(v, latest) && v.incarnation() == incarnation {
			highest = observation{max(highest.version, latest), incarnation}
		}
		if highest.version > 0 {
			status, err := f.probe(v, versionPrefix(highest.version))
			if err == nil && status == http.StatusNotFound && v.incarnation() == incarnation {
				f.checker.RecordViolation(MonotonicVersion, "%s reverted to a version before %d", v.name, highest.version)
			}
		}
		sleep(ctx, pollInterval)
	}
}

// waitUntil polls a condition and reports whether it held before the timeout.
func waitUntil(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && ctx.Err() == nil; {
		if condition() {
			return true
		}
		sleep(ctx, pollInterval)
	}
	return false
}

// lockedWriter serializes the writes of several processes to one log.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write implements io.Writer.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// String formats the schedule, the outcomes and the violations.
func (r Report) String() string {
	var b strings.Builder
	for _, s := range r.Steps {
		fmt.Fprintln(&b, s)
	}
	for _, outcome := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, "%-12s %d\n", outcome, r.Outcomes[outcome])
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(&b, violation)
	}
	return b.String()
}
