// Command jayridge runs every role of the router fleet and the operators' commands.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/jayridge/jayridge/request/result"
	"github.com/urfave/cli/v3"
)

func main() {
	err := root().Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "jayridge: "+err.Error())
		os.Exit(exitCode(err))
	}
}

func root() *cli.Command {
	return &cli.Command{
		Name:  "jayridge",
		Usage: "a router fleet for returning chats and plain service calls",
		Description: "Exit codes are the numbered result codes of docs/result-codes.md; 0 is success.\n" +
			"Start with: make demo",
		Commands: []*cli.Command{
			entryCommand(), sidecarCommand(), gatewayCommand(), checkCommand(), showCommand(), diffCommand(), applyCommand(), statusCommand(),
			movesCommand(), auditCommand(), explainCommand(), orderCommand(), callCommand(), loadCommand(), standinCommand(),
		},
		// Errors are printed by main with the numbered exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// commandError is an error with the numbered result code that the command exits with.
type commandError struct {
	code result.Code
	err  error
}

// Error implements error.
func (e *commandError) Error() string { return fmt.Sprintf("%v (%s, code %d)", e.err, e.code, e.code) }

// Unwrap returns the cause.
func (e *commandError) Unwrap() error { return e.err }

func fail(code result.Code, err error) error { return &commandError{code, err} }

func failf(code result.Code, format string, args ...any) error {
	return &commandError{code, fmt.Errorf(format, args...)}
}

func exitCode(err error) int {
	var command *commandError
	if errors.As(err, &command) {
		return int(command.code)
	}
	return int(result.UsageError)
}
