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

// MinNodes is how many nodes a fleet has at least: one for each service.
const MinNodes = 2

// Options say what a run plays.
type Options struct {
	Seed   uint64
	Length time.Duration // of the troubles; recovery comes after it
	Nodes  int
	// Program runs one node, with the path of its settings in the environment; Env is added to the environment.
	Program, Env []string
	// Log takes the nodes' lines.
	Log io.Writer
}

// Report is what a run found.
type Report struct {
	Steps    []Step
	Ends     map[string]int // how many calls ended in which way
	Breaches []Breach
}

const (
	startTime   = 15 * time.Second       // for all nodes to be ready and to know each other's targets
	recoverTime = 15 * time.Second       // after all troubles, in which calls are served again
	recovered   = 0.97                   // share of the calls that have to be served then; callers leave the others
	windowTime  = 2 * time.Second        // over which that share is taken
	applyTime   = 2 * time.Second        // for a change to be in force everywhere in calm times
	versionPoll = 200 * time.Millisecond // between two looks at which version is in force
)

// ErrStart says that the fleet did not come up.
var ErrStart = errors.New("the nodes are not ready")

// Run plays a seed and returns what it found.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := newFleet(o, dir, &lockedWriter{w: o.Log})
	defer f.close()
	if err != nil {
		return Report{}, err
	}
	if !eventually(ctx, startTime, f.serves) {
		return Report{}, ErrStart
	}
	callers, stop := context.WithCancel(ctx)
	var work sync.WaitGroup
	for _, v := range f.vms {
		work.Go(func() { newCaller(v, f.book).run(callers) })
		work.Go(func() { f.watchVersions(callers, v) })
	}
	report := Report{Steps: Plan(o.Seed, o.Nodes, o.Length)}
	begun := time.Now()
	for _, s := range report.Steps {
		wait(ctx, s.At-time.Since(begun))
		f.do(ctx, s.Trouble)
	}
	f.work.Wait()
	f.recover(ctx)
	stop()
	work.Wait()
	report.Breaches, report.Ends = f.book.Close(mayRunOnce), f.book.ends
	return report, ctx.Err()
}

// recover checks that calls are served again and that the newest configuration is in force on every node.
func (f *Fleet) recover(ctx context.Context) {
	served := func() bool {
		wait(ctx, windowTime)
		share, calls := f.book.Served(time.Now().Add(-windowTime))
		return share >= recovered*(1-callerLeaves) && calls > 0
	}
	if !eventually(ctx, recoverTime, served) {
		share, calls := f.book.Served(time.Now().Add(-windowTime))
		f.book.Break(Recovery, "%.0f%% of %d calls are served %v after the last trouble", 100*share, calls, recoverTime)
	}
	n := f.newest()
	for _, v := range f.vms {
		if !eventually(ctx, applyTime, func() bool { return f.holds(v, n) }) {
			f.book.Break(Recovery, "%s does not hold version %d", v.name, n)
		}
	}
}

// serves reports whether all nodes are ready and bring calls to both services.
func (f *Fleet) serves() bool {
	for _, v := range f.vms {
		if !v.ready() {
			return false
		}
		for _, s := range services {
			if status, err := f.probe(v, prefixOf(s, false)); err != nil || status != http.StatusOK {
				return false
			}
		}
	}
	return true
}

// holds reports whether a version is in force on a node.
func (f *Fleet) holds(v *VM, n config.Version) bool {
	status, err := f.probe(v, versionPrefix(n))
	return err == nil && status != http.StatusNotFound && status != http.StatusServiceUnavailable
}

// probe sends a call of its own and returns the status of its answer.
func (f *Fleet) probe(v *VM, prefix string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callPatience)
	defer cancel()
	c := newCaller(v, f.book)
	defer c.client.CloseIdleConnections()
	id := newCallID(v.service, false)
	status, _, _, err := c.send(ctx, id, http.MethodGet, prefix+string(id), "")
	return status, err
}

// watchVersions checks that a node never goes back to an older configuration within one life of its process.
func (f *Fleet) watchVersions(ctx context.Context, v *VM) {
	type sight struct {
		version     config.Version
		incarnation int
	}
	var seen sight
	for ctx.Err() == nil {
		n, life := f.newest(), v.incarnation()
		if seen.incarnation != life {
			seen = sight{0, life}
		}
		if f.holds(v, n) && v.incarnation() == life {
			seen = sight{max(seen.version, n), life}
		}
		if seen.version > 0 {
			status, err := f.probe(v, versionPrefix(seen.version))
			if err == nil && status == http.StatusNotFound && v.incarnation() == life {
				f.book.Break(NoOlder, "%s does not know version %d any more", v.name, seen.version)
			}
		}
		wait(ctx, versionPoll)
	}
}

// eventually waits until a condition holds, at most for the given time.
func eventually(ctx context.Context, most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end) && ctx.Err() == nil; {
		if holds() {
			return true
		}
		wait(ctx, versionPoll)
	}
	return false
}

// lockedWriter lets several processes write to one log.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write writes lines.
func (l *lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

// String describes the run's findings.
func (r Report) String() string {
	var b strings.Builder
	for _, s := range r.Steps {
		fmt.Fprintln(&b, s)
	}
	for _, how := range slices.Sorted(maps.Keys(r.Ends)) {
		fmt.Fprintf(&b, "%-12s %d\n", how, r.Ends[how])
	}
	for _, breach := range r.Breaches {
		fmt.Fprintln(&b, breach)
	}
	return b.String()
}
