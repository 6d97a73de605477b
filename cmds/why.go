package cmds

import (
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/eventlog"
)

// durationFields hold nanoseconds in the log.
var durationFields = map[string]bool{"left": true, "took": true, "retry_after": true, "expected_wait": true, "idle": true}

func (a *app) whyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "why ID FILE...",
		Short: "Show what the nodes' logs say of a request, in order",
		Long: "Why joins the lines of several nodes' logs about one request, and about the calls that were made for it, into one\n" +
			"story. It ends with code 1 if no line names the request: a request that was answered at the first try leaves none.",
		Example: "  cassialead why 9c41d07be2a35f68 logs/*.json",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			var story []eventlog.Line
			for _, name := range args[1:] {
				lines, err := readStory(name, args[0])
				if err != nil {
					return err
				}
				story = append(story, lines...)
			}
			if len(story) == 0 {
				return errors.Wrapf(eventlog.ErrRequestNotFound, "request %s", args[0])
			}
			eventlog.SortByTime(story)
			return a.print(story, func() { a.printStory(story) })
		},
	}
}

func readStory(name, id string) ([]eventlog.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(errUsage, err.Error())
	}
	defer func() { _ = f.Close() }()
	return eventlog.ReadRequest(name, f, id)
}

func (a *app) printStory(story []eventlog.Line) {
	first := story[0].Time
	for _, l := range story {
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
