package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/operator"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/store"
)

// The exit codes of the program.
const (
	exitOK         = 0
	exitFailed     = 1
	exitBadInput   = 2
	exitConflict   = 3
	exitUnreached  = 4 // the store or a node did not answer
	exitUnknown    = 5 // a write may or may not have taken effect
	exitNotInForce = 6
)

const exitCodes = `Exit codes: 0 done; 1 failed; 2 bad input; 3 the edit conflicts with an accepted one; 4 the store or a node did
not answer; 5 unknown whether a write took effect, ask again with the same --change; 6 accepted but not in force everywhere.`

const defaultStore = "http://127.0.0.1:8500"

// app is what the commands share.
type app struct {
	out, errOut io.Writer
	storeURL    string
	nodeAddress string
	output      string
}

// Run runs the program with arguments and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &app{out: out, errOut: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "cassialead:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var conflict *history.ConflictError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, operator.ErrNotInForce):
		return exitNotInForce
	case errors.Is(err, store.ErrUnknownOutcome):
		return exitUnknown
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, operator.ErrUnreachable):
		return exitUnreached
	case errors.Is(err, config.ErrInvalid), errors.Is(err, settings.ErrUnreadable), errors.Is(err, errUsage),
		errors.Is(err, history.ErrBaseRequired), errors.Is(err, history.ErrTooOld):
		return exitBadInput
	}
	return exitFailed
}

var errUsage = errors.New("wrong arguments")

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "cassialead",
		Short: "Distributes a service mesh's configuration and carries its calls",
		Long: "cassialead keeps one document of the operators' intent in force on every node of a service mesh, and carries\n" +
			"each call to a healthy target or refuses it honestly.\n\n" + exitCodes,
		SilenceUsage: true, SilenceErrors: true, DisableAutoGenTag: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	flags := root.PersistentFlags()
	flags.StringVar(&a.storeURL, "store", envOr("CASSIALEAD_STORE", defaultStore), "URL of the platform's key-value service")
	flags.StringVar(&a.nodeAddress, "node", envOr("CASSIALEAD_NODE", ""), "local or link address of a node to ask")
	flags.StringVar(&a.output, "output", "text", "text or json")
	root.AddCommand(a.nodeCommand(), a.platformCommand(), a.soakCommand(), a.whyCommand(), a.applyCommand(), a.checkCommand(), a.diffCommand(), a.showCommand(), a.historyCommand(),
		a.rollbackCommand(), a.exceptionsCommand(), a.statusCommand(), a.explainCommand(), a.drainCommand(),
		a.recoverCommand(), a.standinCommand(), a.demoCommand(), a.measureCommand(), a.versionCommand(), docsCommand())
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func (a *app) store() store.Port {
	return store.New(a.storeURL, http.DefaultTransport, metrics.NewSet())
}

func (a *app) versions() *history.Log { return history.New(a.store(), time.Now, newID) }

func (a *app) operator() *operator.Client { return operator.New(http.DefaultTransport) }

// print writes v as JSON, or calls text.
func (a *app) print(v any, text func()) error {
	switch a.output {
	case "json":
		enc := json.NewEncoder(a.out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	case "text":
		text()
		return nil
	}
	return errors.Wrapf(errUsage, "--output %q: want text or json", a.output)
}

func (a *app) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.out, format, args...) }
