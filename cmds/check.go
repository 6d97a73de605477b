package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/lint"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/store"
)

var (
	errFindings   = errors.New("the configuration has findings")
	errNotChecked = errors.New("the configuration could not be checked")
)

// againstStore is the value of --against that means the version in force.
const againstStore = "store"

// checkFlags are the flags of the check command; all but json apply to a platform's configuration only.
type checkFlags struct {
	against, settings string
	slots             map[string]int
	json              bool
}

// checkReport is the result of a check of a platform's configuration.
type checkReport struct {
	File     string         `json:"file"`
	Version  config.Version `json:"version"`
	Findings []lint.Finding `json:"findings"`
	Against  *checkBase     `json:"against,omitempty"`
}

// checkBase is the configuration that a checked one is compared with.
type checkBase struct {
	Source  string         `json:"source"`
	Version config.Version `json:"version"`
	Changes []lint.Change  `json:"changes"`
}

func (a *app) checkCommand() *cobra.Command {
	var f checkFlags
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a document without submitting it",
		Long: "Check reads an operators' document (INI) or a platform's configuration (JSON). Of the latter it reports errors, entries that\n" +
			"can't take effect, limits that contradict each other, and with --against the differences from another one. It prints no API key.\n\n" +
			"A tenant's limit is compared with the slots of the services, which --slots gives or --against store reads from the nodes'\n" +
			"records. The attempts of routes are compared with the retry budget in --settings.\n\n" +
			"Exit codes: 0 nothing found; 1 findings in a platform's configuration, which differences are not; 2 could not check, or an\n" +
			"invalid operators' document.",
		Example: "  cassialead check examples/palmared.ini\n  cassialead check config.json --against store --store http://127.0.0.1:8500\n" +
			"  cassialead check config.json --against previous.json --slots stock=40,orders=20 --settings boot.conf --json",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if f.json {
				a.output = "json"
			}
			data, err := os.ReadFile(args[0])
			switch {
			case err != nil:
				return fmt.Errorf("%w: %w", settings.ErrUnreadable, err)
			case bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")):
				return a.checkPlan(cmd.Context(), args[0], data, f)
			case f.against != "" || f.settings != "" || len(f.slots) > 0:
				return errors.Wrapf(errUsage, "%s is not a platform's configuration in JSON, which --against, --settings and --slots require", args[0])
			}
			return a.checkDocument(args[0])
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.against, "against", "", "configuration to compare with: a file, or \"store\" for the version in force")
	flags.StringVar(&f.settings, "settings", "", "settings file of a node, for the retry budget")
	flags.StringToIntVar(&f.slots, "slots", nil, "slots of all targets of a service, such as stock=40,orders=20")
	flags.BoolVar(&f.json, "json", false, "print JSON, like --output json")
	return cmd
}

// checkDocument checks an operators' document.
func (a *app) checkDocument(file string) error {
	src, err := readSource(file)
	if err != nil {
		return err
	}
	cfg, err := config.Compile(file, src.Document)
	if err != nil {
		return err
	}
	warnings := cfg.Warnings(time.Now())
	out := map[string]any{"services": len(cfg.Services), "routes": len(cfg.Routes), "exceptions": len(cfg.Exceptions),
		"digest": src.Document.Digest(), "warnings": warnings}
	return a.print(out, func() {
		a.printf("%s: %d services, %d routes, %d exceptions\n", file, len(cfg.Services), len(cfg.Routes), len(cfg.Exceptions))
		for _, w := range warnings {
			a.printf("warning: %s\n", w)
		}
	})
}

// checkPlan checks a platform's configuration; it returns errFindings or errNotChecked.
func (a *app) checkPlan(ctx context.Context, file string, data []byte, f checkFlags) error {
	base, facts, err := a.checkInputs(ctx, f)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotChecked, err)
	}
	report := checkReport{File: file, Findings: []lint.Finding{}}
	p, err := platform.ParsePlan(data)
	if err != nil {
		report.Findings = lint.FromProblems(lint.Invalid, platform.PlanProblems(file, data, err))
	} else {
		report.Version = p.Version
		report.Findings = append(report.Findings, lint.Check(p, facts)...)
	}
	for i := range report.Findings {
		report.Findings[i].Key = platform.ColumnName(report.Findings[i].Key)
	}
	if base != nil && p != nil {
		report.Against = &checkBase{Source: f.against, Version: base.Version, Changes: []lint.Change{}}
		for _, c := range lint.Diff(base, p) {
			c.Key = platform.ColumnName(c.Key)
			report.Against.Changes = append(report.Against.Changes, c)
		}
	}
	if err := a.print(report, func() { a.printReport(report) }); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return errors.Wrap(errFindings, file)
	}
	return nil
}

// checkInputs reads the configuration to compare with, nil if there is none, and the facts about the deployment.
func (a *app) checkInputs(ctx context.Context, f checkFlags) (*config.Plan, lint.Facts, error) {
	facts := lint.Facts{Slots: map[config.ServiceName]int{}}
	if f.settings != "" {
		s, err := platform.LoadSettings(f.settings)
		if err != nil {
			return nil, facts, err
		}
		facts.Budget = &lint.Budget{Ratio: s.RetryBudgetRatio, Slack: s.RetryBudgetSlack}
	}
	var data []byte
	var err error
	switch f.against {
	case "":
	case againstStore:
		data, facts.Slots, err = a.readInForce(ctx)
	default:
		data, err = os.ReadFile(f.against)
	}
	if err != nil {
		return nil, facts, err
	}
	for service, n := range f.slots {
		facts.Slots[config.ServiceName(service)] = n
	}
	if f.against == "" {
		return nil, facts, nil
	}
	base, err := platform.ParsePlan(data)
	if err != nil {
		return nil, facts, platform.PlanProblems(f.against, data, err)
	}
	return base, facts, nil
}

// readInForce reads the version in force from the platform's store, and the slots of each service from the nodes' records.
func (a *app) readInForce(ctx context.Context) ([]byte, map[config.ServiceName]int, error) {
	address, ok := strings.CutPrefix(strings.TrimSuffix(a.storeURL, "/"), "http://")
	if !ok {
		return nil, nil, errors.Wrapf(errUsage, "--store %q: want a URL that begins with http://", a.storeURL)
	}
	items, _, err := platform.NewStoreClient(fleet.Address(address), metrics.NewSet()).Range(ctx, platform.WatchPrefix, false)
	if err != nil {
		return nil, nil, err
	}
	var plan []byte
	slots := map[config.ServiceName]int{}
	for _, i := range items {
		if i.Key == platform.PlanKey {
			plan = i.Value
		}
		var r member.Record
		// Nodes ignore records that they can't read, too.
		if n, ok := platform.ParseMemberKey(i.Key); ok && json.Unmarshal(i.Value, &r) == nil && r.Node == n && r.Validate() == nil && r.Target.ID != "" {
			slots[r.Target.Service] += r.Target.Slots
		}
	}
	if plan == nil {
		return nil, nil, errors.Wrapf(store.ErrNotFound, "key %s", platform.PlanKey)
	}
	return plan, slots, nil
}

func (a *app) printReport(r checkReport) {
	if r.Version != 0 {
		a.printf("%s: version %d, findings: %d\n", r.File, r.Version, len(r.Findings))
	} else {
		a.printf("%s: findings: %d\n", r.File, len(r.Findings))
	}
	for _, f := range r.Findings {
		a.printf("  %s\n", f)
	}
	if r.Against == nil {
		return
	}
	if len(r.Against.Changes) == 0 {
		a.printf("no difference from version %d (%s)\n", r.Against.Version, r.Against.Source)
		return
	}
	a.printf("differences from version %d (%s):\n", r.Against.Version, r.Against.Source)
	section := ""
	for _, c := range r.Against.Changes {
		if c.Section != section {
			section = c.Section
			a.printf("  [%s]\n", section)
		}
		if c.Op != lint.Added {
			a.printf("-   %s = %s\n", c.Key, c.Old)
		}
		if c.Op != lint.Removed {
			a.printf("+   %s = %s\n", c.Key, c.New)
		}
	}
}
