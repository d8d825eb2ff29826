package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/internal/standin/httpengine"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/sidecar"
	"github.com/jayridge/jayridge/request/result"
)

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name: "sidecar", Usage: "run a sidecar, the process beside an upstream", Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			s, err := loadSettings(cmd, settings.RoleSidecar)
			if err != nil {
				return err
			}
			kv, err := newKV(s.KV)
			if err != nil {
				return fail(result.InvalidSettings, err)
			}
			options := sidecar.Options{Settings: s, KV: kv}
			upstream := httpengine.New(httpengine.Config{URL: s.Upstream.URL, MaxAnswerBytes: int64(s.MaxAnswerBytes)})
			if s.Upstream.Kind == settings.UpstreamEngine {
				options.Engine = upstream
			} else {
				options.Plain = upstream
			}
			process, err := sidecar.New(options)
			if err != nil {
				return fail(result.InvalidSettings, err)
			}
			return runRole(process, s, 0)
		},
	}
}
