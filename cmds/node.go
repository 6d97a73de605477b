package cmds

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/eventlog"
	"github.com/cassialead/cassialead/node"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/store"
)

func newLogger(w io.Writer, format string) *slog.Logger {
	var h slog.Handler = slog.NewTextHandler(w, nil)
	if format == "json" {
		h = slog.NewJSONHandler(w, nil)
	}
	return slog.New(eventlog.Limit(h))
}

func (a *app) nodeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "node SETTINGS",
		Short: "Run the node of a VM",
		Long: "Node runs until it receives SIGTERM or SIGINT. It then announces its shutdown to the fleet, refuses new calls after 3 s,\n" +
			"and exits when the calls in flight have completed. Settings are read once, at the start; to change them, restart it.",
		Example: "  cassialead node examples/node-costa-norte-1.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, err := settings.LoadNode(args[0])
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(runtimeMemory(cfg.Limits.OrDefault().MemoryBytes))
			set := metrics.NewSet()
			n, err := node.New(cfg, node.Deps{
				Store: store.New(cfg.StoreURL, http.DefaultTransport, set), Log: newLogger(a.errOut, cfg.LogFormat), Metrics: set,
				Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Now: time.Now,
			})
			if err != nil {
				return err
			}
			return n.Run(cmd.Context())
		},
	}
}
