package cmds

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/measure"
)

func (a *app) measureCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "measure", Short: "Run the measurements behind the capacity figures on this machine"}
	cmd.AddCommand(a.measureControl(), a.measureCalls(), a.measureState(), a.measureLinks(), a.measureLoad())
	return cmd
}

// reportCommand returns a command that runs a measurement and prints its reports.
func (a *app) reportCommand(use, short, example string, run func(context.Context) ([]*measure.Report, error)) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Example: "  cassialead measure " + example, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reports, err := run(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(reports, func() {
				for _, r := range reports {
					r.Print(a.out)
				}
			})
		},
	}
}

func (a *app) printProgress(line string) { _, _ = a.errOut.Write([]byte(line + "\n")) }

func single(r *measure.Report, err error) ([]*measure.Report, error) {
	return []*measure.Report{r}, err
}

const seedUsage = "seed of all random choices"

func (a *app) measureControl() *cobra.Command {
	o := measure.ControlOptions{Progress: a.printProgress}
	cmd := a.reportCommand("control", "Measure convergence, control bytes, processor time and memory at several fleet sizes",
		"control --sizes 48,96,192 --output json",
		func(ctx context.Context) ([]*measure.Report, error) { return single(measure.Control(ctx, o)) })
	f := cmd.Flags()
	f.IntSliceVar(&o.Sizes, "sizes", []int{24, 48, 96, 192}, "numbers of nodes")
	f.IntVar(&o.DataCentres, "centres", 3, "data centres, in up to three regions")
	f.IntVar(&o.Changes, "changes", 20, "configuration changes at each size")
	f.DurationVar(&o.ChangeInterval, "interval", 200*time.Millisecond, "pause between changes")
	f.IntVar(&o.Services, "services", 240, "services in the document")
	f.Uint64Var(&o.Seed, "seed", 1, seedUsage)
	return cmd
}

func (a *app) measureCalls() *cobra.Command {
	o := measure.CallOptions{Progress: a.printProgress}
	cmd := a.reportCommand("calls", "Measure calls in both users' deployments against simple baselines",
		"calls --scenarios added,straggler --length 10s",
		func(ctx context.Context) ([]*measure.Report, error) { return measure.Calls(ctx, o) })
	f := cmd.Flags()
	f.StringSliceVar(&o.Scenarios, "scenarios", []string{"added", "straggler", "long", "crest", "repeats", "spill"}, "scenarios to measure")
	f.DurationVar(&o.Duration, "length", 10*time.Second, "length of each run")
	f.Uint64Var(&o.Seed, "seed", 1, seedUsage)
	return cmd
}

func (a *app) measureState() *cobra.Command {
	var o measure.StateOptions
	cmd := a.reportCommand("state", "Measure the size and processor time of the records and the document that a node holds",
		"state --sizes 500,1000,2000,5900",
		func(context.Context) ([]*measure.Report, error) { return single(measure.State(o)) })
	f := cmd.Flags()
	f.IntSliceVar(&o.Sizes, "sizes", []int{500, 1000, 2000, 4000, 5900}, "numbers of records")
	f.IntVar(&o.Services, "services", 240, "services in the document")
	f.Uint64Var(&o.Seed, "seed", 1, "recorded with the results; this measurement is not random")
	return cmd
}

func (a *app) measureLinks() *cobra.Command {
	var o measure.LinkOptions
	cmd := a.reportCommand("links", "Measure the processor time of idle links to one node", "links --sizes 50,100,200",
		func(ctx context.Context) ([]*measure.Report, error) { return single(measure.Links(ctx, o)) })
	f := cmd.Flags()
	f.IntSliceVar(&o.Sizes, "sizes", []int{50, 100, 200}, "numbers of links")
	f.IntVar(&o.Records, "records", 0, "records that the node holds")
	f.IntVar(&o.Services, "services", 240, "services in the document")
	f.Uint64Var(&o.Seed, "seed", 1, seedUsage)
	return cmd
}

func (a *app) measureLoad() *cobra.Command {
	var o measure.LoadOptions
	cmd := a.reportCommand("load", "Send calls to running nodes or targets, all at the same time",
		"load --url http://127.0.0.1:9101/stock --url http://127.0.0.1:9201/stock --rate 100",
		func(ctx context.Context) ([]*measure.Report, error) { return single(measure.Load(ctx, o)) })
	f := cmd.Flags()
	f.StringArrayVar(&o.URLs, "url", nil, "URL to call; may be given several times")
	f.StringVar(&o.Method, "method", "GET", "HTTP method")
	f.Float64Var(&o.Rate, "rate", 50, "calls per second to each URL")
	f.DurationVar(&o.Duration, "length", 10*time.Second, "length of the run")
	f.Uint64Var(&o.Seed, "seed", 1, seedUsage)
	_ = cmd.MarkFlagRequired("url")
	return cmd
}
