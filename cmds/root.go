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
	exitOK           = 0
	exitFailed       = 1
	exitBadInput     = 2
	exitConflict     = 3
	exitUnavailable  = 4 // the store or a node did not respond
	exitUnknown      = 5 // a write may or may not have taken effect
	exitNotRolledOut = 6
)

const exitCodes = `Exit codes: 0 done; 1 failed; 2 bad input; 3 the edit conflicts with an accepted one; 4 the store or a node did
not respond; 5 unknown whether a write took effect, retry with the same --change; 6 accepted but not in force everywhere.`

const defaultStore = "http://127.0.0.1:8500"

// app holds the output and the global flags of the commands.
type app struct {
	out, errOut io.Writer
	storeURL    string
	nodeAddress string
	output      string
}

// Run executes a command line and returns its exit code.
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
	case errors.Is(err, errNotChecked):
		return exitBadInput
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, operator.ErrRolloutIncomplete):
		return exitNotRolledOut
	case errors.Is(err, store.ErrUnknownOutcome):
		return exitUnknown
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, operator.ErrUnreachable):
		return exitUnavailable
	case errors.Is(err, config.ErrInvalid), errors.Is(err, settings.ErrUnreadable), errors.Is(err, errUsage),
		errors.Is(err, history.ErrBaseRequired), errors.Is(err, history.ErrVersionNotRetained):
		return exitBadInput
	}
	return exitFailed
}

var errUsage = errors.New("invalid arguments")

func (a *app) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "cassialead",
		Short: "Distributes a service mesh's configuration and routes its calls",
		Long: "cassialead distributes one configuration document, which operators edit, to every node of a service mesh, and routes\n" +
			"each call to a healthy target or refuses it with the actual cause.\n\n" + exitCodes,
		SilenceUsage: true, SilenceErrors: true, DisableAutoGenTag: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %w", errUsage, err) })
	flags := root.PersistentFlags()
	flags.StringVar(&a.storeURL, "store", envOr("CASSIALEAD_STORE", defaultStore), "URL of the platform's key-value service")
	flags.StringVar(&a.nodeAddress, "node", envOr("CASSIALEAD_NODE", ""), "local or link address of the node to query")
	flags.StringVar(&a.output, "output", "text", "output format: text or json")
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

func (a *app) store() store.KV {
	return store.New(a.storeURL, http.DefaultTransport, metrics.NewSet())
}

func (a *app) versions() *history.Log { return history.New(a.store(), time.Now, newID) }

func (a *app) operator() *operator.Client { return operator.New(http.DefaultTransport) }

// print writes v as JSON or calls text, as --output selects.
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
