// Command review-standin runs one case of the review: it starts nodes as separate processes with stand-ins of the store, the
// targets and the callers, and exits with 1 if the case's rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	runLimit = 110 * time.Second // a case that takes longer couldn't run
)

// cases are the scripts by name; a script returns whether its rule was broken.
var cases = map[string]func(*deployment) (broken bool, err error){
	"late-beats":   lateBeats,
	"foreign-beat": foreignBeat,
	"turned-away":  turnedAway,
	"cut-region":   cutRegion,
	"backlog":      storeBacklog,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, recordFile string) int {
	d, err := newDeployment(recordFile, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](d)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	var r result
	select {
	case r = <-done:
	case s := <-interrupted:
		r.err = fmt.Errorf("ended by %v", s)
	case <-time.After(runLimit):
		r.err = fmt.Errorf("not finished after %v", runLimit)
	}
	switch {
	case r.err != nil:
		d.record("NOT RUN: %v", r.err)
		return exitNotRun
	case r.broken:
		d.record("RESULT: the rule was broken")
		return exitBroken
	}
	d.record("RESULT: the rule held")
	return exitHeld
}
