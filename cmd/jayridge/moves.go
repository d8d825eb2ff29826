package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/process/entry"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rollout"
	"github.com/jayridge/jayridge/version/rules"
)

// States of a move, as printed.
const (
	moveInProgress = "under way"
	moveDone       = "done"
	moveRolledBack = "undone"
)

// move is a drain or a shift, with its progress.
type move struct {
	What      string `json:"what"`
	State     string `json:"state"`
	Detail    string `json:"detail"`
	AskedBy   string `json:"asked_by"`
	Why       string `json:"why"`
	Instances int    `json:"instances"`
	InFlight  int    `json:"in_flight"`
}

func movesCommand() *cli.Command {
	return &cli.Command{
		Name: "moves", Usage: "show the drains and shifts with their progress, author and reason",
		Flags: []cli.Flag{kvFlag(), instancesFlag(), outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			head, err := acceptedHead(ctx, cmd)
			if err != nil {
				return err
			}
			rows, err := instanceList(ctx, cmd)
			if err != nil {
				return err
			}
			moves, err := listMoves(head, readReports(ctx, rows))
			if err != nil {
				return err
			}
			var table [][]string
			for _, m := range moves {
				table = append(table, []string{m.What, m.State, m.Detail, m.AskedBy, m.Why})
			}
			return newPrinter(cmd).print(moves, []string{"MOVE", "STATE", "DETAIL", "ASKED BY", "WHY"}, table)
		},
	}
}

// listMoves returns the drains and shifts in the accepted rules.
func listMoves(head config.Head, reports []report) ([]move, error) {
	set, err := parseRules("accepted rules", head.Text)
	if err != nil {
		return nil, err
	}
	moves := []move{}
	for _, d := range set.Drains() {
		moves = append(moves, drainMove(d, head.Version, reports))
	}
	for _, s := range set.Shifts() {
		moves = append(moves, shiftMove(s, reports))
	}
	return moves, nil
}

// drainMove returns the state of a drain. It is done when all its instances have confirmed it and have no requests in progress.
func drainMove(d rules.Drain, version uint64, reports []report) move {
	m := move{What: fmt.Sprintf("drain %s %s", d.Scope, d.Name), AskedBy: d.Comment.Requester, Why: d.Comment.Reason, State: moveDone}
	unconfirmed := 0
	for _, r := range reports {
		if r.Role != "sidecar" || !drains(d, r) {
			continue
		}
		m.Instances++
		state, ok := sidecarState(r)
		if !ok || r.Status.ConfigVersion < version {
			unconfirmed++
			continue
		}
		m.InFlight += state.InFlight
	}
	m.Detail = fmt.Sprintf("%d instances, %d requests in progress", m.Instances, m.InFlight)
	if unconfirmed > 0 {
		m.Detail += fmt.Sprintf(", %d not confirmed", unconfirmed)
	}
	if unconfirmed > 0 || m.InFlight > 0 {
		m.State = moveInProgress
	}
	return m
}

// drains reports whether the drain applies to the instance.
func drains(d rules.Drain, r report) bool {
	if d.Scope == rules.DataCentre {
		return r.DataCentre == d.Name
	}
	return r.ID == d.Name
}

// shiftMove returns the state of a shift as reported by the entry that leads it, or else by any other entry.
func shiftMove(rule rules.Shift, reports []report) move {
	m := move{
		What: fmt.Sprintf("shift %s %s -> %s", rule.Service, rule.From, rule.To), AskedBy: rule.Comment.Requester, Why: rule.Comment.Reason,
		State: moveInProgress, Detail: "not started, by " + rule.Deadline.Format(time.RFC3339),
	}
	status, found := findShift(rule.ID, reports)
	if !found {
		return m
	}
	m.Detail = fmt.Sprintf("%s, %s has %.3g%%, by %s", status.State, rule.To, 100*status.Share, rule.Deadline.Format(time.RFC3339))
	switch status.State {
	case rollout.Done.String():
		m.State = moveDone
	case rollout.RolledBack.String():
		m.State = moveRolledBack
		m.Detail = status.Reason
	}
	return m
}

// findShift returns the status of a shift. Reports of its leader and reports of a rollback replace those of other entries.
func findShift(id string, reports []report) (known shift.Status, found bool) {
	for _, r := range reports {
		for _, s := range entryShifts(r) {
			if s.ID == id && (!found || s.Leader || s.State == rollout.RolledBack.String()) {
				known, found = s, true
			}
		}
	}
	return known, found
}

// entryShifts returns the shifts in an entry's status page, or nil for other instances.
func entryShifts(r report) []shift.Status {
	if r.Status == nil || r.Role != settings.RoleEntry {
		return nil
	}
	text, err := json.Marshal(r.Status.Detail)
	if err != nil {
		return nil
	}
	var status entry.Status
	if json.Unmarshal(text, &status) != nil {
		return nil
	}
	return status.Shifts
}
