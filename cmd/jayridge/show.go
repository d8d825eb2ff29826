package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/config"
)

func showCommand() *cli.Command {
	return &cli.Command{
		Name: "show", Usage: "print the accepted rules, as a file to edit and apply",
		Flags: []cli.Flag{kvFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			head, err := acceptedHead(ctx, cmd)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprint(cmd.Root().Writer, withBase(head.Text, head.Version))
			return nil
		},
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show how a rules file differs from the accepted rules", ArgsUsage: "FILE",
		Description: "Exits with code 0 if there is no difference, and with the code of differences-found otherwise.",
		Flags:       []cli.Flag{kvFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return failf(result.UsageError, "diff takes exactly one FILE")
			}
			text, _, err := readRulesFile(cmd.Args().First())
			if err != nil {
				return err
			}
			head, err := acceptedHead(ctx, cmd)
			if err != nil {
				return err
			}
			diff := headDiff(head, cmd.Args().First(), text)
			_, _ = fmt.Fprint(cmd.Root().Writer, diff)
			if diff != "" {
				return failf(result.DifferencesFound, "%s differs from version %d", cmd.Args().First(), head.Version)
			}
			return nil
		},
	}
}

// headDiff returns the unified diff from the accepted rules to text.
func headDiff(head config.Head, path, text string) string {
	return config.UnifiedDiff(fmt.Sprintf("accepted version %d", head.Version), path, head.Text, text)
}

// acceptedHead reads the accepted configuration from the key-value service that --kv names.
func acceptedHead(ctx context.Context, cmd *cli.Command) (config.Head, error) {
	kv, err := openKV(cmd)
	if err != nil {
		return config.Head{}, err
	}
	return readHead(ctx, kv)
}

// readHead reads the accepted configuration, including the text of its rules.
func readHead(ctx context.Context, kv services.KV) (config.Head, error) {
	head, err := config.ReadHead(ctx, kv, nil)
	if err != nil {
		return config.Head{}, fail(result.PlatformDown, err)
	}
	return head, nil
}
