package cmds

import (
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/eventlog"
)

// durationFields are the log fields that hold nanoseconds.
var durationFields = map[string]bool{"left": true, "took": true, "retry_after": true, "expected_wait": true, "idle": true}

func (a *app) whyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "why ID FILE...",
		Short: "Show the log lines of several nodes about a request, in order of time",
		Long: "Why merges several nodes' log lines about one request, and about the calls made for it, in order of time. The exit code\n" +
			"is 1 if no line contains the request's id: a request that was answered at the first attempt is not logged.",
		Example: "  cassialead why 9c41d07be2a35f68 logs/*.json",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var entries []eventlog.Line
			for _, name := range args[1:] {
				lines, err := readEntries(name, args[0])
				if err != nil {
					return err
				}
				entries = append(entries, lines...)
			}
			if len(entries) == 0 {
				return errors.Wrapf(eventlog.ErrRequestNotFound, "request %s", args[0])
			}
			eventlog.SortByTime(entries)
			return a.print(entries, func() { a.printEntries(entries) })
		},
	}
}

func readEntries(name, id string) ([]eventlog.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	defer func() { _ = f.Close() }()
	return eventlog.ReadRequest(name, f, id)
}

func (a *app) printEntries(entries []eventlog.Line) {
	first := entries[0].Time
	for _, l := range entries {
		var b strings.Builder
		for _, f := range l.Fields {
			value := f.Value
			if durationFields[f.Key] {
				if d, err := time.ParseDuration(value + "ns"); err == nil {
					value = d.Round(time.Microsecond).String()
				}
			}
			b.WriteString(" " + f.Key + "=" + value)
		}
		a.printf("%9.3f s  %s  %s%s\n", l.Time.Sub(first).Seconds(), l.VM, l.Event, b.String())
	}
}
