package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/config"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every instance with its configuration version, requests in flight and state",
		Flags: []cli.Flag{instancesFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			rows, err := instanceList(ctx, cmd)
			if err != nil {
				return err
			}
			reports := readReports(ctx, rows)
			var table [][]string
			for _, r := range reports {
				table = append(table, statusRow(r))
			}
			return newPrinter(cmd).print(reports, []string{"INSTANCE", "ROLE", "DATA CENTRE", "SERVICE", "LIST", "VERSION", "IN FLIGHT", "STATE"}, table)
		},
	}
}

// statusRow returns the row of an instance in the table output.
func statusRow(r report) []string {
	row := []string{r.ID, r.Role, r.DataCentre, r.Service, string(r.State)}
	if r.Status == nil {
		return append(row, "-", "-", "unreachable")
	}
	inFlight, state := "-", "ok"
	if detail, ok := sidecarState(r); ok {
		inFlight = strconv.Itoa(detail.InFlight)
		state = upstreamState(detail)
	}
	if r.Status.Leaving {
		state = "leaving"
	}
	return append(row, strconv.FormatUint(r.Status.ConfigVersion, 10), inFlight, state)
}

// upstreamState returns the state of a sidecar's upstream, as printed.
func upstreamState(s admission.State) string {
	switch {
	case s.Drained:
		return "drained"
	case s.Cold:
		return fmt.Sprintf("cold (limit %d)", s.ColdLimit)
	default:
		return "ok"
	}
}

// sidecarState returns the admission state in a sidecar's status page, and false for other instances.
func sidecarState(r report) (admission.State, bool) {
	if r.Status == nil || r.Role != "sidecar" {
		return admission.State{}, false
	}
	text, err := json.Marshal(r.Status.Detail)
	if err != nil {
		return admission.State{}, false
	}
	var state admission.State
	return state, json.Unmarshal(text, &state) == nil
}

func auditCommand() *cli.Command {
	return &cli.Command{
		Name: "audit", Usage: "show the history of accepted changes with author, time and comment, newest first",
		Flags: []cli.Flag{kvFlag(), outputFlag(), &cli.IntFlag{Name: "limit", Value: 20, Usage: "at most `N` changes"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			kv, err := openKV(cmd)
			if err != nil {
				return err
			}
			records, err := config.ReadAuditRecords(ctx, kv, cmd.Int("limit"))
			if err != nil {
				return fail(result.PlatformDown, err)
			}
			var table [][]string
			for _, r := range records {
				table = append(table, auditRows(r)...)
			}
			return newPrinter(cmd).print(records, []string{"VERSION", "TIME", "AUTHOR", "CHANGE"}, table)
		},
	}
}

// auditRows returns a row for the change itself and one for each line that it removed or added.
func auditRows(r config.AuditRecord) [][]string {
	var rows [][]string
	add := func(sign string, lines []config.AuditLine) {
		for _, line := range lines {
			if line.Text != "" {
				rows = append(rows, []string{"", "", "", sign + line.Text})
			}
		}
	}
	rows = append(rows, []string{strconv.FormatUint(r.Version, 10), r.Time.UTC().Format("2006-01-02 15:04:05"), r.Author, r.Comment})
	add("- ", r.Removed())
	add("+ ", r.Added())
	return rows
}
