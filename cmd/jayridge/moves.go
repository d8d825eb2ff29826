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

// States of a move.
const (
	moveUnderWay = "under way"
	moveDone     = "done"
	moveUndone   = "undone"
)

// move is one change of where work goes.
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
		Name: "moves", Usage: "show what is under way, done or undone, and why",
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

// drainMove says whether the instances of a drain have all confirmed it and have no work left.
func drainMove(d rules.Drain, version uint64, reports []report) move {
	m := move{What: fmt.Sprintf("drain %s %s", d.Scope, d.Name), AskedBy: d.Comment.Who, Why: d.Comment.Why, State: moveDone}
	waiting := 0
	for _, r := range reports {
		if r.Role != "sidecar" || !drains(d, r) {
			continue
		}
		m.Instances++
		state, ok := sidecarState(r)
		if !ok || r.Status.ConfigVersion < version {
			waiting++
			continue
		}
		m.InFlight += state.InFlight
	}
	m.Detail = fmt.Sprintf("%d instances, %d requests in progress", m.Instances, m.InFlight)
	if waiting > 0 {
		m.Detail += fmt.Sprintf(", %d not confirmed", waiting)
	}
	if waiting > 0 || m.InFlight > 0 {
		m.State = moveUnderWay
	}
	return m
}

func drains(d rules.Drain, r report) bool {
	if d.Scope == rules.DataCentre {
		return r.DataCentre == d.Name
	}
	return r.ID == d.Name
}

// shiftMove says how far a shift is, as the entry that leads it knows it, or else any other.
func shiftMove(rule rules.Shift, reports []report) move {
	m := move{
		What: fmt.Sprintf("shift %s %s -> %s", rule.Service, rule.From, rule.To), AskedBy: rule.Comment.Who, Why: rule.Comment.Why,
		State: moveUnderWay, Detail: "not started, by " + rule.By.Format(time.RFC3339),
	}
	known, found := findShift(rule.ID, reports)
	if !found {
		return m
	}
	m.Detail = fmt.Sprintf("%s, %s has %.3g%%, by %s", known.State, rule.To, 100*known.Share, rule.By.Format(time.RFC3339))
	switch known.State {
	case rollout.Done.String():
		m.State = moveDone
	case rollout.RolledBack.String():
		m.State = moveUndone
		m.Detail = known.Reason
	}
	return m
}

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

// entryShifts returns the shifts on an entry's status page.
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
