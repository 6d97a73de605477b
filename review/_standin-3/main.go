// Command review-3 plays the cases of the third review against node processes on loopback addresses.
package main

import (
	"fmt"
	"os"
	"time"
)

const limit = 110 * time.Second // for a case

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	cases := map[string]func(rec *record, trouble bool) (int, error){"pipelined-leave": pipelinedLeave, "long-queries": longQueries, "answers-evicted": answersEvicted, "answer-cut": answerCut, "unread-bodies": unreadBodies}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(notRun)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	time.AfterFunc(limit, func() {
		rec.add("case did not end within %v", limit)
		endAll()
		os.Exit(notRun)
	})
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		rec.add("case could not run: %v", err)
		code = notRun
	}
	rec.add("exit code %d", code)
	os.Exit(code)
}
