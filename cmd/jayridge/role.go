package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/services/budget"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "`FILE` with the JSON settings of the process (docs/settings.md)"}
}

// loadSettings reads the settings of a role.
func loadSettings(cmd *cli.Command, role string) (*settings.Settings, error) {
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return nil, fail(result.InvalidSettings, err)
	}
	if s.Role != role {
		return nil, failf(result.InvalidSettings, "%s: role is %q, the command is %q", cmd.String("settings"), s.Role, role)
	}
	return s, nil
}

// newKV returns the key-value service of the settings within the process's call budget, or nil if there is none.
func newKV(s settings.KV) (services.KV, error) {
	if s.URL == "" {
		return nil, nil
	}
	cfg := httpkv.DefaultConfig(s.URL)
	cfg.Token = string(s.Token)
	cfg.ReadTimeout = settings.Milliseconds(s.TimeoutMS)
	cfg.WriteTimeout = cfg.ReadTimeout
	client, err := httpkv.New(cfg)
	if err != nil {
		return nil, err
	}
	limits := budget.DefaultConfig()
	limits.ReadsPerSecond = s.ReadsPerSecond
	limits.ReadBurst = max(1, int(2*s.ReadsPerSecond))
	limits.WritesPerSecond = s.WritesPerSecond
	limits.WriteBurst = max(1, int(2*s.WritesPerSecond))
	return budget.Wrap(client, limits)
}

// role is a running process.
type role interface {
	Start()
	// Leave refuses or redirects new work and announces that.
	Leave()
	// Drain waits for the requests in progress.
	Drain(ctx context.Context) error
	// Stop ends everything; what is still to be written is written while ctx lasts.
	Stop(ctx context.Context)
}

// lastWrites bounds what is written after the last request has ended.
const lastWrites = 5 * time.Second

// runRole runs a process until SIGTERM or SIGINT, then leaves gracefully. A second signal or the shutdown deadline ends it at once.
func runRole(r role, s *settings.Settings, leaveDelay time.Duration) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	r.Start()
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(s.ShutdownTimeoutMS))
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	r.Leave()
	// The balancer needs time to see that the process is no longer ready; until then its callers are served.
	select {
	case <-time.After(leaveDelay):
	case <-ctx.Done():
	}
	if err := r.Drain(ctx); err != nil {
		event.Log(event.ShutdownExpired, "instance", s.Instance, "error", err)
	}
	last, cancelLast := context.WithTimeout(context.Background(), lastWrites)
	defer cancelLast()
	r.Stop(last)
	return nil
}
