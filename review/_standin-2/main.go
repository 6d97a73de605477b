// Command review-standin-2 runs the cases of the second review that are scripts: it starts the project's nodes as processes with
// stand-ins of the store, upstreams and clients around them, and checks one rule from outside.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held      = 0
	broken    = 1
	unable    = 2
	quietName = "TROUBLE"
)

// cases are the cases by name; each returns whether its rule was broken, or an error if it couldn't run.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"silent":   silentCase,
	"endless":  endlessCase,
	"foreign":  foreignCase,
	"grey":     greyCase,
	"unlisted": unlistedCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE PROGRAM RECORD")
		os.Exit(unable)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, record string) int {
	f, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() { _ = f.Close() }()
	rec := &recorder{w: f, start: time.Now()}
	w, err := newWorld(rec, program)
	if err != nil {
		rec.printf("not run: %v", err)
		return unable
	}
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-interrupted
		w.close()
		os.Exit(unable)
	}()
	violated, err := cases[name](w, os.Getenv(quietName) != "0")
	switch {
	case err != nil:
		rec.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return unable
	case violated:
		rec.printf("the rule was broken")
		return broken
	}
	rec.printf("the rule held")
	return held
}
