package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/soak"
)

const (
	soakLength = 20 * time.Second
	soakNodes  = 6
)

// errBreach says that a soak found a promise that was not kept.
var errBreach = errors.New("promises were not kept")

func (a *app) soakCommand() *cobra.Command {
	var seed, seeds uint64
	var length time.Duration
	var nodes int
	var logFile string
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run nodes as processes, inject random faults and check the promises to callers and targets",
		Long: "Soak starts nodes of this program as processes on this machine, with stand-ins for the store and the targets, and plays the\n" +
			"faults of a seed. It ends only processes that it has started. It prints the faults, how calls ended, and each promise that\n" +
			"was not kept; the exit code is 1 then. The same seed plays the same faults, not the same timing.",
		Example: "  cassialead soak --seed 7 --for 30s --log soak.log\n  cassialead soak --seeds 50",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if nodes < soak.MinNodes || length <= 0 {
				return errors.Newf("want --nodes of at least %d and a positive --for, got %d and %v", soak.MinNodes, nodes, length)
			}
			program, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "find this program")
			}
			log := io.Discard
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return errors.Wrap(err, "log of the nodes")
				}
				defer func() { _ = f.Close() }()
				log = f
			}
			o := soak.Options{Length: length, Nodes: nodes, Program: []string{program, "platform"}, Log: log}
			return a.soak(cmd.Context(), o, seed, seeds)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "first seed")
	cmd.Flags().Uint64Var(&seeds, "seeds", 1, "number of seeds, one after the other")
	cmd.Flags().DurationVar(&length, "for", soakLength, "length of the faults of each seed")
	cmd.Flags().IntVar(&nodes, "nodes", soakNodes, "number of nodes")
	cmd.Flags().StringVar(&logFile, "log", "", "file for the nodes' lines")
	return cmd
}

// soak plays seeds one after the other and returns errBreach if a promise was not kept.
func (a *app) soak(ctx context.Context, o soak.Options, first, n uint64) error {
	failed := 0
	for o.Seed = first; o.Seed < first+n; o.Seed++ {
		r, err := soak.Run(ctx, o)
		if err != nil {
			return errors.Wrapf(err, "seed %d", o.Seed)
		}
		verdict := "kept"
		if len(r.Breaches) > 0 {
			failed++
			verdict = "NOT KEPT"
		}
		_, _ = fmt.Fprintf(a.out, "seed %d: %s\n%s", o.Seed, verdict, r)
	}
	if failed > 0 {
		return errors.Wrapf(errBreach, "%d of %d seeds", failed, n)
	}
	return nil
}
