package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/measure"
)

func (a *app) measureCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "measure", Short: "Run the measurements behind the capacity figures on this machine"}
	cmd.AddCommand(a.measureControl(), a.measureCalls(), a.measureState(), a.measureLinks())
	return cmd
}

func (a *app) measureControl() *cobra.Command {
	o := measure.ControlOptions{Progress: func(line string) { _, _ = a.errOut.Write([]byte(line + "\n")) }}
	cmd := &cobra.Command{
		Use:     "control",
		Short:   "Measure convergence, control bytes, processor time and memory at several fleet sizes",
		Example: "  cassialead measure control --sizes 48,96,192 --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := measure.Control(cmd.Context(), o)
			if err != nil {
				return err
			}
			return a.print(r, func() { r.Print(a.out) })
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&o.Sizes, "sizes", []int{24, 48, 96, 192}, "numbers of nodes")
	f.IntVar(&o.Centres, "centres", 3, "data centres, in up to three regions")
	f.IntVar(&o.Changes, "changes", 20, "configuration changes at each size")
	f.DurationVar(&o.ChangeInterval, "interval", 200*time.Millisecond, "pause between changes")
	f.IntVar(&o.Services, "services", 240, "services in the document")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	return cmd
}

func (a *app) measureCalls() *cobra.Command {
	o := measure.CallOptions{Progress: func(line string) { _, _ = a.errOut.Write([]byte(line + "\n")) }}
	cmd := &cobra.Command{
		Use:     "calls",
		Short:   "Measure calls on both users' deployments against plain baselines",
		Example: "  cassialead measure calls --scenarios added,straggler --length 10s",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reports, err := measure.Calls(cmd.Context(), o)
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
	f := cmd.Flags()
	f.StringSliceVar(&o.Scenarios, "scenarios", []string{"added", "straggler", "long", "crest", "repeats", "spill"}, "what to measure")
	f.DurationVar(&o.Length, "length", 10*time.Second, "length of each run")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	return cmd
}

func (a *app) measureState() *cobra.Command {
	var o measure.StateOptions
	cmd := &cobra.Command{
		Use:     "state",
		Short:   "Measure the size and processor time of the records and the document that a node holds",
		Example: "  cassialead measure state --sizes 500,1000,2000,5900",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			r, err := measure.State(o)
			if err != nil {
				return err
			}
			return a.print(r, func() { r.Print(a.out) })
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&o.Sizes, "sizes", []int{500, 1000, 2000, 4000, 5900}, "numbers of records")
	f.IntVar(&o.Services, "services", 240, "services in the document")
	f.Uint64Var(&o.Seed, "seed", 1, "recorded with the figures; nothing here is random")
	return cmd
}

func (a *app) measureLinks() *cobra.Command {
	var o measure.LinkOptions
	cmd := &cobra.Command{
		Use:     "links",
		Short:   "Measure the processor time of idle links to one node",
		Example: "  cassialead measure links --sizes 50,100,200",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := measure.Links(cmd.Context(), o)
			if err != nil {
				return err
			}
			return a.print(r, func() { r.Print(a.out) })
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&o.Sizes, "sizes", []int{50, 100, 200}, "numbers of links")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of all random choices")
	return cmd
}
