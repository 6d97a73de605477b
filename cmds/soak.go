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

// errViolation reports that a run found violations of invariants.
var errViolation = errors.New("invariants were violated")

func (a *app) soakCommand() *cobra.Command {
	var seed, seeds uint64
	var length time.Duration
	var nodes int
	var logFile string
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run nodes as processes, inject random faults and check the invariants that callers and targets rely on",
		Long: "Soak starts nodes of this program as processes on this machine, with stand-ins for the store and the targets, and injects the\n" +
			"faults of a seed. It stops only processes that it has started. It prints the faults, the outcomes of calls and each violated\n" +
			"invariant; the exit code is 1 if there is one. The same seed gives the same faults, not the same timing.",
		Example: "  cassialead soak --seed 7 --for 30s --log soak.log\n  cassialead soak --seeds 50",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if nodes < soak.MinNodes || length <= 0 {
				return errors.Newf("want --nodes of at least %d and a positive --for, got %d and %v", soak.MinNodes, nodes, length)
			}
			program, err := os.Executable()
			if err != nil {
				return errors.Wrap(err, "find own executable")
			}
			log := io.Discard
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return errors.Wrap(err, "create log file of the nodes")
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
	cmd.Flags().DurationVar(&length, "for", soakLength, "length of the fault schedule of each seed")
	cmd.Flags().IntVar(&nodes, "nodes", soakNodes, "number of nodes")
	cmd.Flags().StringVar(&logFile, "log", "", "file for the output of the nodes")
	return cmd
}

// soak runs seeds one after the other and returns errViolation if an invariant was violated.
func (a *app) soak(ctx context.Context, o soak.Options, firstSeed, count uint64) error {
	failed := 0
	for o.Seed = firstSeed; o.Seed < firstSeed+count; o.Seed++ {
		r, err := soak.Run(ctx, o)
		if err != nil {
			return errors.Wrapf(err, "seed %d", o.Seed)
		}
		result := "kept"
		if len(r.Violations) > 0 {
			failed++
			result = "NOT KEPT"
		}
		_, _ = fmt.Fprintf(a.out, "seed %d: invariants %s\n%s", o.Seed, result, r)
	}
	if failed > 0 {
		return errors.Wrapf(errViolation, "%d of %d seeds", failed, count)
	}
	return nil
}
