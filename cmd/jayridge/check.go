package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rules"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a rules file, or with --settings a settings file", ArgsUsage: "FILE",
		Description: "Reports all errors in the file, each with its line, its column and what is expected there.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "settings", Usage: "FILE holds the JSON settings of a process"}, outputFlag(),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return failf(result.UsageError, "check takes exactly one FILE")
			}
			if cmd.Bool("settings") {
				return checkSettings(cmd, cmd.Args().First())
			}
			return checkRules(cmd, cmd.Args().First())
		},
	}
}

func checkSettings(cmd *cli.Command, path string) error {
	_, err := settings.Load(path)
	var faults settings.Faults
	if errors.As(err, &faults) {
		return printFaults(cmd, result.InvalidSettings, faults, len(faults), func(i int) string { return faults[i].Error() })
	}
	if err != nil {
		return fail(result.InvalidSettings, err)
	}
	newPrinter(cmd).note("%s: valid", path)
	return nil
}

func checkRules(cmd *cli.Command, path string) error {
	text, _, err := readRulesFile(path)
	if err != nil {
		return err
	}
	set, err := parseRules(path, text)
	var faults rules.Faults
	if errors.As(err, &faults) {
		return printFaults(cmd, result.InvalidRules, faults, len(faults), func(i int) string { return faults[i].Error() })
	}
	newPrinter(cmd).note("%s: valid, %d services, %d routes, %d teams, %d drains, %d shifts", path,
		len(set.Services()), len(set.Routes()), len(set.Teams()), len(set.Drains()), len(set.Shifts()))
	return nil
}

// parseRules parses a rules file. If the file is invalid, the error is a rules.Faults.
func parseRules(path, text string) (*rules.Set, error) {
	set, faults := rules.Parse(path, []byte(text))
	if len(faults) > 0 {
		return nil, faults
	}
	return set, nil
}

// printFaults prints n faults, as lines in table output or as JSON, and returns an error with the given result code.
func printFaults(cmd *cli.Command, code result.Code, faults any, n int, line func(i int) string) error {
	p := newPrinter(cmd)
	for i := range n {
		p.note("%s", line(i))
	}
	if p.json {
		if err := p.print(faults, nil, nil); err != nil {
			return err
		}
	}
	return failf(code, "%d faults", n)
}

// readRulesFile returns the text of a rules file without its base line, and the base version, which is zero if there is no base line.
func readRulesFile(path string) (text string, base uint64, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", 0, fail(result.UsageError, err)
	}
	text, base = cutBase(string(content))
	return text, base, nil
}
