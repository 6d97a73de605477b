package cmds

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/agent"
	"github.com/cassialead/cassialead/eventlog"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/settings"
)

const (
	settingsPoll = time.Second // between two looks at the settings file, which may change without a signal
	memoryShare  = 0.7         // of the memory limit, from which on garbage is collected more often
)

func (a *app) platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run the node of a VM on the consortium's platform",
		Long: "Platform runs the node beside a target. It reads the settings file that " + platform.SettingsVariable + " names, and reads it\n" +
			"again when it changes or on SIGHUP. SIGTERM makes it finish the requests in flight and end.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file := os.Getenv(platform.SettingsVariable)
			cfg, err := platform.LoadSettings(file)
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(int64(float64(cfg.MemoryLimitBytes) * memoryShare))
			w := eventlog.NewWriter(a.out)
			defer w.Close()
			log := eventlog.New(w, string(cfg.VM))
			set := metrics.NewSet()
			n := agent.New(cfg, agent.Deps{Store: platform.NewStoreClient(cfg.StoreAddress, set), Log: log, Metrics: set, Now: time.Now})
			reload := make(chan settings.Agent)
			go watchSettings(cmd.Context(), file, cfg, reload, func(err error) { log.Warn("settings not read", "file", file, "error", err) })
			return n.Run(cmd.Context(), reload)
		},
	}
}

// watchSettings reads the settings file again on SIGHUP and when its time changes, and passes on what differs.
func watchSettings(ctx context.Context, file string, cfg settings.Agent, out chan<- settings.Agent, failed func(error)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	var seen time.Time
	for {
		select {
		case <-hangup:
			seen = time.Time{}
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		info, err := os.Stat(file)
		if err != nil {
			failed(err)
			continue
		}
		if info.ModTime().Equal(seen) {
			continue
		}
		seen = info.ModTime()
		next, err := platform.LoadSettings(file)
		switch {
		case err != nil:
			failed(err)
		case next != cfg:
			cfg = next
			out <- cfg
		}
	}
}
