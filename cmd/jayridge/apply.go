package main

import (
	"context"
	"crypto/rand"
	"errors"
	"os"
	"os/user"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rules"
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name: "apply", Usage: "check a rules file, show the difference, and put it in force", ArgsUsage: "FILE",
		Description: "FILE starts with the line that `jayridge show` writes, which names the version it was made from; --base\n" +
			"replaces it. If another operator changed the rules meanwhile, nothing is written and the difference is shown.",
		Flags: []cli.Flag{
			kvFlag(), instancesFlag(), outputFlag(),
			&cli.Uint64Flag{Name: "base", Usage: "accepted `VERSION` that FILE was made from"},
			&cli.StringFlag{Name: "author", Usage: "`NAME` for the audit trail; default the name of the user"},
			&cli.StringFlag{Name: "comment", Usage: "`TEXT` for the audit trail"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the rules are in force on every instance"},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "how long --wait waits"},
		},
		Action: runApply,
	}
}

func runApply(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return failf(result.UsageError, "apply takes exactly one FILE")
	}
	path := cmd.Args().First()
	if err := checkRules(cmd, path); err != nil {
		return err
	}
	kv, err := openKV(cmd)
	if err != nil {
		return err
	}
	proposal, err := newProposal(ctx, cmd, kv, path)
	if err != nil {
		return err
	}
	accepted, err := config.Propose(ctx, kv, proposal)
	if err != nil {
		return proposalError(cmd, err)
	}
	if err := updateBase(path, accepted.Version); err != nil {
		return err
	}
	p := newPrinter(cmd)
	if accepted.Unchanged {
		p.note("unchanged: version %d already has these rules", accepted.Version)
	} else {
		p.note("accepted as version %d", accepted.Version)
	}
	if !cmd.Bool("wait") {
		return p.jsonOnly(applyReport{Version: accepted.Version})
	}
	return waitInForce(ctx, cmd, accepted.Version)
}

// jsonOnly writes data in JSON output, and nothing in table output.
func (p printer) jsonOnly(data any) error {
	if !p.json {
		return nil
	}
	return p.print(data, nil, nil)
}

func newProposal(ctx context.Context, cmd *cli.Command, kv services.KV, path string) (config.Proposal, error) {
	text, base, err := readRulesFile(path)
	if err != nil {
		return config.Proposal{}, err
	}
	head, err := readHead(ctx, kv)
	if err != nil {
		return config.Proposal{}, err
	}
	if cmd.IsSet("base") {
		base = cmd.Uint64("base")
	}
	if base == 0 && head.Version > 0 && head.Text != text {
		return config.Proposal{}, failf(result.ConfigConflict,
			"%s has no base version; start from the output of `jayridge show`, or check `jayridge diff` and pass --base %d", path, head.Version)
	}
	if base == 0 {
		base = head.Version
	}
	newPrinter(cmd).note("%s", strings.TrimSuffix(headDiff(head, path, text), "\n"))
	return config.Proposal{
		File: path, Text: text, Base: base, ChangeID: rand.Text(), Author: author(cmd), Comment: cmd.String("comment"), Time: time.Now(),
	}, nil
}

func author(cmd *cli.Command) string {
	if name := cmd.String("author"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// proposalError assigns a result code to an error of config.Propose.
func proposalError(cmd *cli.Command, err error) error {
	var conflict *config.ConflictError
	var faults rules.Faults
	switch {
	case errors.As(err, &conflict):
		newPrinter(cmd).note("%s", conflict.Diff)
		return fail(result.ConfigConflict, err)
	case errors.As(err, &faults):
		return fail(result.InvalidRules, err)
	case errors.Is(err, services.ErrOutcomeUnknown):
		return fail(result.WriteUnknown, err)
	default:
		return fail(result.PlatformDown, err)
	}
}

// updateBase updates the base line of a rules file, if it has one, so that the next edit is based on the accepted version.
func updateBase(path string, version uint64) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fail(result.UsageError, err)
	}
	if !strings.HasPrefix(string(content), basePrefix) {
		return nil
	}
	text, _ := cutBase(string(content))
	if err := os.WriteFile(path, []byte(withBase(text, version)), 0o644); err != nil {
		return fail(result.UsageError, err)
	}
	return nil
}

// applyReport is the JSON output of apply.
type applyReport struct {
	Version     uint64   `json:"version"`
	Waited      bool     `json:"waited"`
	InForce     bool     `json:"in_force"`
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	Seconds     float64  `json:"seconds,omitempty"`
}

// confirmationPollInterval is the time between reads of the status pages while apply waits.
const confirmationPollInterval = 100 * time.Millisecond

// waitInForce waits until every live instance in the instance list has confirmed a version.
func waitInForce(ctx context.Context, cmd *cli.Command, version uint64) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()
	out := applyReport{Version: version, Waited: true}
	for {
		missing, err := unconfirmed(ctx, cmd, version)
		if err == nil {
			out.Unconfirmed = missing
			out.InForce = len(missing) == 0
		}
		out.Seconds = time.Since(start).Seconds()
		if out.InForce || !sleep.For(ctx, confirmationPollInterval) {
			break
		}
	}
	p := newPrinter(cmd)
	if err := p.jsonOnly(out); err != nil {
		return err
	}
	if !out.InForce {
		return failf(result.NotConfirmed, "version %d is accepted, but not confirmed by: %s", version, strings.Join(out.Unconfirmed, ", "))
	}
	p.note("in force on every instance after %.2f s", out.Seconds)
	return nil
}

// unconfirmed returns the live instances in the instance list that have not confirmed a version. The status page of an entry includes
// the confirmations of the sidecars in its data centre, so one entry of each data centre is read first, and then only the instances
// that are still missing.
func unconfirmed(ctx context.Context, cmd *cli.Command, version uint64) ([]string, error) {
	rows, err := instanceList(ctx, cmd)
	if err != nil {
		return nil, err
	}
	confirmed := map[string]uint64{}
	for _, r := range readReports(ctx, onePerDataCentre(rows)) {
		if r.Status == nil {
			continue
		}
		for id, v := range r.Status.Confirmations {
			confirmed[id] = max(confirmed[id], v)
		}
	}
	for _, r := range readReports(ctx, withoutConfirmation(rows, confirmed, version)) {
		if r.Status != nil {
			confirmed[r.ID] = r.Status.ConfigVersion
		}
	}
	missing := []string{}
	for _, row := range withoutConfirmation(rows, confirmed, version) {
		missing = append(missing, row.ID)
	}
	slices.Sort(missing)
	return missing, nil
}

// withoutConfirmation returns the live instances that have not confirmed a version or a later one.
func withoutConfirmation(rows []services.Instance, confirmed map[string]uint64, version uint64) []services.Instance {
	var missing []services.Instance
	for _, row := range rows {
		if row.State == services.InstanceLive && confirmed[row.ID] < version {
			missing = append(missing, row)
		}
	}
	return missing
}

// onePerDataCentre returns the first entry of each data centre.
func onePerDataCentre(rows []services.Instance) []services.Instance {
	var chosen []services.Instance
	seen := map[string]bool{}
	for _, row := range rows {
		if row.Role == "entry" && !seen[row.DataCentre] {
			seen[row.DataCentre] = true
			chosen = append(chosen, row)
		}
	}
	return chosen
}
