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
	settingsPollInterval = time.Second // between two checks of the settings file, which may change without a signal
	memoryLimitShare     = 0.7         // of the memory limit; above this share, garbage is collected more often
	programBytes         = 40 << 20    // resident memory above the runtime's limit: the program's own pages (16 MB) and what is allocated while it collects
)

func (a *app) platformCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "platform",
		Short: "Run the node of a VM on the consortium's platform",
		Long: "Platform runs the node beside a target. It reads the settings file that " + platform.SettingsVariable + " names, and reads it\n" +
			"again when it changes or on SIGHUP. On SIGTERM it completes the requests in flight and exits.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			file := os.Getenv(platform.SettingsVariable)
			cfg, err := platform.LoadSettings(file)
			if err != nil {
				return err
			}
			debug.SetMemoryLimit(runtimeMemory(cfg.MemoryLimitBytes))
			w := eventlog.NewWriter(a.out)
			defer w.Close()
			log := eventlog.New(w, string(cfg.VM))
			set := metrics.NewSet()
			n := agent.New(cfg, agent.Deps{Store: platform.NewStoreClient(cfg.StoreAddress, set), Log: log, Metrics: set, Now: time.Now})
			reload := make(chan settings.Agent)
			go watchSettings(cmd.Context(), file, cfg, reload, func(err error) { log.Warn("cannot load settings file", "file", file, "error", err) })
			return n.Run(cmd.Context(), reload)
		},
	}
}

// runtimeMemory returns the memory from which the runtime collects garbage more often, for a process with the given limit.
func runtimeMemory(limit int64) int64 {
	share := int64(float64(limit) * memoryLimitShare)
	if rest := limit - programBytes; rest >= limit/4 {
		return min(share, rest)
	}
	return share
}

// watchSettings reads the settings file again on SIGHUP and when its modification time changes, and sends settings that differ.
func watchSettings(ctx context.Context, file string, cfg settings.Agent, updates chan<- settings.Agent, onError func(error)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var modTime time.Time
	for {
		select {
		case <-hangup:
			modTime = time.Time{}
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		info, err := os.Stat(file)
		if err != nil {
			onError(err)
			continue
		}
		if info.ModTime().Equal(modTime) {
			continue
		}
		modTime = info.ModTime()
		next, err := platform.LoadSettings(file)
		switch {
		case err != nil:
			onError(err)
		case next != cfg:
			cfg = next
			updates <- cfg
		}
	}
}
