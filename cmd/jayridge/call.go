package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/process/entry"
	"github.com/jayridge/jayridge/request/result"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name: "call", Usage: "send one request to an entry, for manual tests", ArgsUsage: "URL BODY",
		Description: "Example: jayridge call --team drivers --chat 7 http://127.0.0.1:7002/chat/driver '{\"prompt\":\"when does the gate open?\"}'\n" +
			"The exit code is the result code of the response.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "team", Value: "demo", Usage: "`TEAM` of the caller"},
			&cli.StringFlag{Name: "chat", Usage: "`ID` of the chat"},
			&cli.StringFlag{Name: "key", Usage: "idempotency `KEY`"},
			&cli.IntFlag{Name: "deadline-ms", Usage: "deadline in `MS`"},
			&cli.BoolFlag{Name: "stream", Usage: "request a streamed response (server-sent events)"},
			&cli.BoolFlag{Name: "headers", Usage: "also print the response headers"},
		},
		Action: runCall,
	}
}

func runCall(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return failf(result.UsageError, "call takes a URL and a BODY")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cmd.Args().Get(0), bytes.NewBufferString(cmd.Args().Get(1)))
	if err != nil {
		return fail(result.UsageError, err)
	}
	setHeaders(req.Header, cmd)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fail(result.Unreachable, err)
	}
	defer resp.Body.Close()
	if cmd.Bool("headers") {
		_ = resp.Header.Write(cmd.Root().Writer)
	}
	if _, err := io.Copy(cmd.Root().Writer, resp.Body); err != nil {
		return fail(result.ConnectionLost, err)
	}
	code, err := strconv.Atoi(resp.Header.Get(entry.HeaderResult))
	if err != nil && resp.StatusCode != http.StatusOK {
		return failf(result.InternalError, "response with status %s has no result code", resp.Status)
	}
	if code != int(result.OK) {
		return failf(result.Code(code), "the call failed: %s", result.Code(code))
	}
	return nil
}

// setHeaders sets the request headers that the flags ask for.
func setHeaders(h http.Header, cmd *cli.Command) {
	h.Set(entry.HeaderTeam, cmd.String("team"))
	for header, flag := range map[string]string{entry.HeaderChat: "chat", entry.HeaderIdempotencyKey: "key"} {
		if value := cmd.String(flag); value != "" {
			h.Set(header, value)
		}
	}
	if ms := cmd.Int("deadline-ms"); ms > 0 {
		h.Set(entry.HeaderDeadline, strconv.Itoa(ms))
	}
	if cmd.Bool("stream") {
		h.Set("Accept", "text/event-stream")
	}
}
