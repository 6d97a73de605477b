package cmds

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/standin"
)

func (a *app) standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in for the platform's store or for a target"}
	cmd.AddCommand(a.standinStore(), a.standinTarget())
	return cmd
}

// limitFlags are the flags for the resources of a process.
type limitFlags struct{ memoryMB, descriptors int }

func (l *limitFlags) register(cmd *cobra.Command) {
	cmd.Flags().IntVar(&l.memoryMB, "memory", settings.DefaultMemoryMB, "memory of the process in MB")
	cmd.Flags().IntVar(&l.descriptors, "descriptors", settings.DefaultDescriptors, "number of open files and connections")
}

// limits returns the limits that the flags name.
func (l *limitFlags) limits() settings.Limits {
	return settings.Limits{MemoryBytes: int64(l.memoryMB) << 20, Descriptors: l.descriptors}
}

func (a *app) standinStore() *cobra.Command {
	var listen string
	var reads, writes int
	var limits limitFlags
	cmd := &cobra.Command{
		Use:     "store",
		Short:   "Run an in-memory key-value service; PUT /standin/faults sets its faults",
		Example: "  cassialead standin store --listen 127.0.0.1:8500\n  curl -X PUT 127.0.0.1:8500/standin/faults -d '{\"outage\":true}'",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			l, err := exchange.Listen(listen)
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			debug.SetMemoryLimit(runtimeMemory(limits.limits().MemoryBytes))
			s := standin.NewStore(reads, writes).Serve(l, limits.limits())
			a.printf("store listens on %s\n", l.Addr())
			<-cmd.Context().Done()
			return s.Close()
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8500", "loopback address to listen on")
	cmd.Flags().IntVar(&reads, "reads", 2000, "reads accepted per second")
	cmd.Flags().IntVar(&writes, "writes", 400, "writes accepted per second")
	limits.register(cmd)
	return cmd
}

func (a *app) standinTarget() *cobra.Command {
	var cfg standin.TargetSettings
	var limits limitFlags
	cmd := &cobra.Command{
		Use:     "target",
		Short:   "Run a target that registers at --node; PUT /standin/faults sets its faults",
		Example: "  cassialead standin target --service stock-and-calendar --slots 9 --node 127.0.0.1:9003",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.NodeAddress, cfg.Limits = a.nodeAddress, limits.limits()
			debug.SetMemoryLimit(runtimeMemory(cfg.Limits.MemoryBytes))
			t, err := standin.NewTarget(cfg)
			if err != nil {
				return err
			}
			a.printf("target of %s listens on %s\n", cfg.Service, t.Address())
			<-cmd.Context().Done()
			t.Close()
			return nil
		},
	}
	f := cmd.Flags()
	f.StringVar(&cfg.Service, "service", "", "service of the target")
	f.IntVar(&cfg.Slots, "slots", 9, "maximum number of concurrent calls")
	f.IntVar(&cfg.Connections, "connections", 120, "maximum number of open connections")
	f.DurationVar(&cfg.ServiceTime, "work", 2*time.Millisecond, "service time of a call without ?work=")
	f.DurationVar(&cfg.WarmUp, "cold-start", 0, "warm-up period after the start, in which calls take ten times as long")
	limits.register(cmd)
	_ = cmd.MarkFlagRequired("service")
	return cmd
}
