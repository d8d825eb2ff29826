// Command jayridge runs the processes of the router fleet and provides the commands for its operators.
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
		Usage: "routes multi-turn chats to model engines, and calls to plain services",
		Description: "Exit codes are the numbered result codes of docs/result-codes.md; 0 is success.\n" +
			"Start with: make demo",
		Commands: []*cli.Command{
			entryCommand(), sidecarCommand(), gatewayCommand(), checkCommand(), showCommand(), diffCommand(), applyCommand(), statusCommand(),
			movesCommand(), auditCommand(), explainCommand(), orderCommand(), callCommand(), loadCommand(), standinCommand(),
		},
		// main prints the error and exits with its result code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// commandError is an error with the result code that the command exits with.
type commandError struct {
	code result.Code
	err  error
}

// Error implements error.
func (e *commandError) Error() string { return fmt.Sprintf("%v (%s, code %d)", e.err, e.code, e.code) }

// Unwrap returns the wrapped error.
func (e *commandError) Unwrap() error { return e.err }

// fail wraps err in a commandError.
func fail(code result.Code, err error) error { return &commandError{code, err} }

// failf returns a commandError with a formatted message.
func failf(code result.Code, format string, args ...any) error {
	return &commandError{code, fmt.Errorf(format, args...)}
}

// exitCode returns the result code of err, or UsageError for errors of the command-line parser.
func exitCode(err error) int {
	var command *commandError
	if errors.As(err, &command) {
		return int(command.code)
	}
	return int(result.UsageError)
}
