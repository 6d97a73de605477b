package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/operator"
	"github.com/cassialead/cassialead/settings"
)

func newID() string { return rand.Text() }

// changeFlags are the flags of commands that submit a version.
type changeFlags struct {
	author, message, id string
	baseVersion         uint64
	wait                bool
	timeout             time.Duration
}

func (c *changeFlags) register(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.author, "author", currentUser(), "author of the change")
	f.StringVar(&c.message, "message", "", "reason for the change")
	f.StringVar(&c.id, "change", "", "id of the change; repeat it to retry after an unknown outcome")
	f.BoolVar(&c.wait, "wait", false, "wait until the version is in force everywhere")
	f.DurationVar(&c.timeout, "timeout", 30*time.Second, "longest time to wait for the nodes")
}

func currentUser() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (c *changeFlags) changeID() config.ChangeID {
	if c.id == "" {
		c.id = newID()
	}
	return config.ChangeID(c.id)
}

func readSource(file string) (config.Source, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return config.Source{}, fmt.Errorf("%w: %w", settings.ErrUnreadable, err)
	}
	src, err := config.Parse(file, data)
	if err != nil {
		return src, err
	}
	_, err = config.Compile(file, src.Document)
	return src, err
}

func (a *app) applyCommand() *cobra.Command {
	var c changeFlags
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Submit a document as the next version",
		Long: "Apply submits a document. Its base version is read from the document, where `cassialead show` writes it, or from --base.\n" +
			"Concurrent edits by other operators are merged; overlapping edits are rejected with an error that names both.",
		Example: "  cassialead apply examples/palmared.ini --wait\n  cassialead show > intent.ini && $EDITOR intent.ini && cassialead apply intent.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := readSource(args[0])
			if err != nil {
				return err
			}
			base := src.BaseVersion
			if c.baseVersion != 0 {
				base = config.Version(c.baseVersion)
			}
			d, err := a.versions().Apply(cmd.Context(), history.Change{Document: src.Document, BaseVersion: base, Author: c.author,
				Message: c.message, ID: c.changeID()})
			return a.reportChange(cmd.Context(), d, err, c)
		},
	}
	c.register(cmd)
	cmd.Flags().Uint64Var(&c.baseVersion, "base", 0, "version that the edit started from, if the document does not name it")
	return cmd
}

// reportChange prints an accepted change and, with --wait, waits until it is in force everywhere.
func (a *app) reportChange(ctx context.Context, d config.Delta, err error, c changeFlags) error {
	if err != nil {
		return errors.Wrapf(err, "change %s", c.id)
	}
	out := struct {
		Version config.Version          `json:"version"`
		Change  config.ChangeID         `json:"change"`
		Digest  config.Digest           `json:"digest"`
		Rollout *operator.RolloutStatus `json:"spread,omitempty"`
	}{Version: d.To, Change: d.Change, Digest: d.Digest}
	var rolloutErr error
	if c.wait {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		var s operator.RolloutStatus
		s, rolloutErr = a.operator().AwaitRollout(ctx, a.store(), d.To)
		out.Rollout = &s
	}
	if err := a.print(out, func() {
		a.printf("version %d accepted, change %s\n", d.To, d.Change)
		if out.Rollout != nil {
			a.printRollout(*out.Rollout)
		}
	}); err != nil {
		return err
	}
	return rolloutErr
}

func (a *app) printRollout(s operator.RolloutStatus) {
	a.printf("%d of %d nodes have it in force after %.2f s\n", s.InForce, s.LiveNodes, s.Elapsed.Seconds())
	for _, l := range s.Laggards {
		a.printf("  behind: %s at version %d\n", l.Node, l.Version)
	}
	for _, u := range s.Unreachable {
		a.printf("  unreachable: %s\n", u)
	}
}

func (a *app) rollbackCommand() *cobra.Command {
	var c changeFlags
	cmd := &cobra.Command{
		Use:     "rollback VERSION",
		Short:   "Submit the content of an older version as a new one",
		Example: "  cassialead rollback 41 --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			v, err := parseVersion(args[0])
			if err != nil {
				return err
			}
			d, err := a.versions().Rollback(cmd.Context(), v, c.author, c.changeID())
			return a.reportChange(cmd.Context(), d, err, c)
		},
	}
	c.register(cmd)
	return cmd
}
