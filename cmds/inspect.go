package cmds

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/history"
)

func parseVersion(s string) (config.Version, error) {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n == 0 {
		return 0, errors.Wrapf(errUsage, "version %q: want a positive integer", s)
	}
	return config.Version(n), nil
}

// document returns the head and the document of a version; version 0 means the accepted one.
func (a *app) document(cmd *cobra.Command, v config.Version) (history.Head, config.Document, error) {
	versions := a.versions()
	h, _, err := versions.Head(cmd.Context())
	if err != nil {
		return h, nil, err
	}
	if v == 0 {
		v = h.Version
	}
	doc, err := versions.Document(cmd.Context(), h, v)
	return h, doc, err
}

func (a *app) showCommand() *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Print an accepted document for editing",
		Example: "  cassialead show > intent.ini\n  cassialead show --version 41",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, doc, err := a.document(cmd, config.Version(version))
			if err != nil {
				return err
			}
			v := h.Version
			if version != 0 {
				v = config.Version(version)
			}
			return a.print(doc, func() { a.printf("%s", doc.Format(v)) })
		},
	}
	cmd.Flags().Uint64Var(&version, "version", 0, "version to print; the accepted one if not set")
	return cmd
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Compare a document with the accepted one",
		Example: "  cassialead diff intent.ini",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := readSource(args[0])
			if err != nil {
				return err
			}
			h, doc, err := a.document(cmd, 0)
			if errors.Is(err, history.ErrEmpty) {
				doc, err = config.Document{}, nil
			}
			if err != nil {
				return err
			}
			d := config.Diff(doc, src.Document)
			return a.print(d, func() { a.printDiff(h.Version, doc, d) })
		},
	}
}

func (a *app) printDiff(v config.Version, old config.Document, d config.Delta) {
	if d.Empty() {
		a.printf("no difference from version %d\n", v)
		return
	}
	for _, name := range d.Removed {
		a.printf("- [%s]\n", name)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Set)) {
		a.printf("  [%s]\n", name)
		a.printSectionDiff(old[name], d.Set[name])
	}
}

func (a *app) printSectionDiff(old, body config.Section) {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if body[key] != old[key] {
			a.printf("-   %s = %s\n", key, old[key])
		}
	}
	for _, key := range slices.Sorted(maps.Keys(body)) {
		if v, ok := old[key]; !ok || v != body[key] {
			a.printf("+   %s = %s\n", key, body[key])
		}
	}
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the accepted changes that the store retains",
		Example: "  cassialead history --output json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h, _, err := a.versions().Head(cmd.Context())
			if err != nil {
				return err
			}
			return a.print(h.RecentDeltas, func() {
				for _, d := range h.RecentDeltas {
					a.printf("%6d  %s  %-12s  %d set, %d removed  %s\n", d.To, time.UnixMilli(d.SubmittedUnixMilli).UTC().Format(time.RFC3339),
						d.Author, len(d.Set), len(d.Removed), d.Message)
				}
			})
		},
	}
}

func (a *app) exceptionsCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "exceptions",
		Short:   "List the exceptions in the accepted document with their reasons",
		Example: "  cassialead exceptions",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, doc, err := a.document(cmd, 0)
			if err != nil {
				return err
			}
			cfg, err := config.Compile("accepted version", doc)
			if err != nil {
				return err
			}
			return a.print(cfg.Exceptions, func() {
				for _, e := range cfg.Exceptions {
					state := "in force"
					if e.Expired(time.Now()) {
						state = "expired"
					}
					a.printf("%s (%s, by %s)\n  matches: service=%s route=%s tenant=%s\n  reason: %s\n", e.Name, state, e.Author,
						e.Service, e.Route, e.Tenant, e.Reason)
					if !e.Until.IsZero() {
						a.printf("  until: %s\n", e.Until.Format(time.DateOnly))
					}
				}
			})
		},
	}
}
