package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/internal/standin/service"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name: "standin", Usage: "run a stand-in for a platform service or an upstream, for tests and the demo",
		Description: "POST /faults injects faults; see the package comments in internal/standin.",
		Commands:    []*cli.Command{standinEngine(), standinService(), standinKV(), standinInstances()},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "IP `ADDRESS` and port to listen on"}
}

func standinEngine() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "version", Value: "v1", Usage: "`VERSION` that the engine serves"},
			&cli.DurationFlag{Name: "token-interval", Usage: "time between the parts of an answer"},
			&cli.DurationFlag{Name: "prefill-per-token", Usage: "time to process a prompt token that is not cached"},
			&cli.IntFlag{Name: "cached-chats", Usage: "number of prompt prefixes that the cache holds"},
			&cli.IntFlag{Name: "cold-limit", Usage: "concurrency above which a cold engine crashes; 0: no limit"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with an old fencing token"},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return serveStandin(cmd, engine.New(engine.Config{
				Version: cmd.String("version"), TokenInterval: cmd.Duration("token-interval"), PrefillPerToken: cmd.Duration("prefill-per-token"),
				CachedChats: cmd.Int("cached-chats"), ColdLimit: cmd.Int("cold-limit"), ChecksFence: cmd.Bool("checks-fence"),
			}))
		},
	}
}

func standinService() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "a plain service whose calls have side effects", Flags: []cli.Flag{listenFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error { return serveStandin(cmd, service.New()) },
	}
}

func standinKV() *cli.Command {
	return &cli.Command{
		Name: "kv", Usage: "the platform's key-value service", Flags: []cli.Flag{listenFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error { return serveStandin(cmd, kv.New()) },
	}
}

func standinInstances() *cli.Command {
	return &cli.Command{
		Name: "instances", Usage: "the platform's instance list",
		Flags: []cli.Flag{listenFlag(), &cli.StringFlag{Name: "file", Usage: "JSON `FILE` with the initial rows"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			rows, err := readRows(cmd.String("file"))
			if err != nil {
				return fail(result.UsageError, err)
			}
			return serveStandin(cmd, instances.New(rows))
		},
	}
}

func readRows(path string) ([]services.Instance, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var rows []services.Instance
	return rows, json.Unmarshal(text, &rows)
}

// serveStandin serves HTTP until SIGTERM or SIGINT.
func serveStandin(cmd *cli.Command, handler http.Handler) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	server := &http.Server{Addr: cmd.String("listen"), Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	cancelClose := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer cancelClose()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fail(result.UsageError, err)
	}
	return nil
}
