package cmds

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/node"
)

func (a *app) requireNode() (fleet.Address, error) {
	if a.nodeAddress == "" {
		return "", errors.Wrap(errUsage, "--node is required")
	}
	return fleet.Address(a.nodeAddress), nil
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show a summary of the fleet, or of one node with --node",
		Long: "Status queries the leads (the leaders of the data centres) that are listed in the store. With --node it queries only\n" +
			"that node, which also works while the store is unavailable, and prints the leads known to the node.",
		Example: "  cassialead status\n  cassialead status --node 127.0.0.1:9003 --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if a.nodeAddress != "" {
				s, err := a.operator().Status(cmd.Context(), fleet.Address(a.nodeAddress))
				if err != nil {
					return err
				}
				return a.print(s, func() { a.printNodeStatus(s) })
			}
			return a.showFleetStatus(cmd)
		},
	}
}

func (a *app) printNodeStatus(s control.Status) {
	role := "node"
	switch {
	case s.LeaseHeld:
		role = "lead"
	case s.Root:
		role = "acting lead"
	case s.Children > 0:
		role = "relay"
	}
	a.printf("%s: %s in %s/%s, %s, version %d (minimum %d)\n", s.Record.Node, role, s.Record.Region, s.Record.DataCentre,
		readyText(s.Ready), s.Version, s.MinVersion)
	a.printf("  parent %q, backup parent %q, %d children, %d hops below the root\n", s.Parent, s.BackupParent, s.Children, s.Distance)
	a.printf("  %d known nodes: %d serving, %d leaving, %d gone\n", s.KnownNodes, s.NodeStates["serving"], s.NodeStates["leaving"], s.NodeStates["gone"])
	for _, l := range s.Leaders {
		a.printf("  lead of %s: %s at %s\n", l.DataCentre, l.Node, l.LinkAddress)
	}
	if s.StoreBehind {
		a.printf("  the store holds an older version than the one in force on this node\n")
	}
}

func readyText(ready bool) string {
	if ready {
		return "ready"
	}
	return "not ready"
}

func (a *app) showFleetStatus(cmd *cobra.Command) error {
	h, _, err := a.versions().Head(cmd.Context())
	if err != nil && !errors.Is(err, history.ErrEmpty) {
		return err
	}
	leaders, err := node.ListLeaders(cmd.Context(), a.store())
	if err != nil {
		return err
	}
	rollout := a.operator().RolloutStatus(cmd.Context(), leaders, h.Version)
	out := map[string]any{"accepted": h.Version, "spread": rollout, "leads": leaders}
	return a.print(out, func() {
		a.printf("accepted version %d; %d of %d nodes have it in force, %d leads\n", h.Version, rollout.InForce, rollout.LiveNodes, len(leaders))
		for _, l := range leaders {
			a.printf("  lead of %s/%s: %s at %s\n", l.Region, l.DataCentre, l.Node, l.LinkAddress)
		}
		for _, l := range rollout.Laggards {
			a.printf("  behind: %s at version %d\n", l.Node, l.Version)
		}
		for _, u := range rollout.Unreachable {
			a.printf("  unreachable: %s\n", u)
		}
	})
}

func (a *app) explainCommand() *cobra.Command {
	var host, tenant string
	cmd := &cobra.Command{
		Use:     "explain PATH",
		Short:   "Show the route, service, policy and exceptions that a node applies to a call",
		Example: "  cassialead explain /orders --tenant cooperativa-norte --node 127.0.0.1:9003",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			address, err := a.requireNode()
			if err != nil {
				return err
			}
			e, err := a.operator().Explain(cmd.Context(), address, host, args[0], config.Tenant(tenant))
			if err != nil {
				return err
			}
			return a.print(e, func() {
				if e.Refusal != nil {
					a.printf("refused: %s (%s)\n", e.Refusal.Message, e.Refusal.Cause)
					return
				}
				a.printf("version %d: route %s to service %s, %d eligible targets\n", e.Version, e.Route, e.Service, len(e.Targets))
				for _, key := range []string{"calls", "class", "class in force", "timeout", "max-wait", "retries", "hedge", "spill", "long-share", "weight"} {
					a.printf("  %s = %s\n", key, e.Policy[key])
				}
				for _, x := range e.Exceptions {
					a.printf("  exception %s by %s: %s\n", x.Name, x.Author, x.Reason)
				}
			})
		},
	}
	cmd.Flags().StringVar(&host, "host", "", "host name in the call")
	cmd.Flags().StringVar(&tenant, "tenant", "", "tenant in the call")
	return cmd
}

func (a *app) drainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Stop sending new calls to the targets beside a node",
		Long: "Drain announces to the fleet that the node's targets accept no new calls; calls in flight complete. A target that\n" +
			"deregisters and registers again accepts calls again.",
		Example: "  cassialead drain --node 127.0.0.1:9003",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := a.requireNode()
			if err != nil {
				return err
			}
			s, err := a.operator().Drain(cmd.Context(), address)
			if err != nil {
				return err
			}
			return a.print(s, func() { a.printf("%s accepts no new calls for its targets\n", s.Record.Node) })
		},
	}
}

func (a *app) recoverCommand() *cobra.Command {
	var c changeFlags
	cmd := &cobra.Command{
		Use:   "recover",
		Short: "Write the version in force on a node to a store that was restored from an old backup",
		Long: "Recover reads the document in force on a node and makes it the store's accepted version again, with the same\n" +
			"lineage. It fails if the store already holds that version or a later one.",
		Example: "  cassialead recover --node 127.0.0.1:9003",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			address, err := a.requireNode()
			if err != nil {
				return err
			}
			active, err := a.operator().Document(cmd.Context(), address)
			if err != nil {
				return err
			}
			d, err := a.versions().Recover(cmd.Context(), active.Lineage, active.Version, active.Document, c.author, c.changeID())
			return a.reportChange(cmd.Context(), d, err, c)
		},
	}
	c.register(cmd)
	return cmd
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the program's version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				v = info.Main.Version + " " + info.GoVersion
			}
			return a.print(map[string]string{"version": v}, func() { a.printf("cassialead %s\n", v) })
		},
	}
}
