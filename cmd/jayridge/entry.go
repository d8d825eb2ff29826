package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/internal/standin/httplist"
	"github.com/jayridge/jayridge/process/entry"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry, the process that serves callers", Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			s, err := loadSettings(cmd, settings.RoleEntry)
			if err != nil {
				return err
			}
			kv, err := newKV(s.KV)
			if err != nil {
				return fail(result.InvalidSettings, err)
			}
			e, err := entry.New(entry.Options{Settings: s, KV: kv, List: newList(s)})
			if err != nil {
				return fail(result.InvalidSettings, err)
			}
			return runRole(entryRole{e}, s, settings.Milliseconds(s.LeaveDelayMS))
		},
	}
}

// newList returns a client of the instance list, or nil if the settings name none.
func newList(s *settings.Settings) services.InstanceList {
	if s.Instances.URL == "" {
		return nil
	}
	return httplist.New(s.Instances.URL, settings.Milliseconds(s.ConnectTimeoutMS))
}

// entryRole adapts entry.Entry to role. An entry writes nothing when it stops, so it needs no context.
type entryRole struct{ *entry.Entry }

// Stop implements role.
func (r entryRole) Stop(context.Context) { r.Entry.Stop() }
