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

// loadSettings reads a settings file and checks that it is for the given role.
func loadSettings(cmd *cli.Command, role string) (*settings.Settings, error) {
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return nil, fail(result.InvalidSettings, err)
	}
	if s.Role != role {
		return nil, failf(result.InvalidSettings, "%s: the settings are for role %q, not %q", cmd.String("settings"), s.Role, role)
	}
	return s, nil
}

// newKV returns a client of the key-value service that is limited to the process's call budget, or nil if the settings name no service.
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

// role is the lifecycle of a process.
type role interface {
	Start()
	// Leave announces that the process is leaving, and refuses or redirects new work.
	Leave()
	// Drain waits until the requests in progress have ended, or ctx has.
	Drain(ctx context.Context) error
	// Stop stops the process. Pending writes are completed until ctx ends.
	Stop(ctx context.Context)
}

// finalWriteTimeout bounds the writes after the last request has ended.
const finalWriteTimeout = 5 * time.Second

// runRole runs a process until SIGTERM or SIGINT and then shuts it down gracefully. A further SIGINT or the shutdown timeout cuts this short.
func runRole(r role, s *settings.Settings, leaveDelay time.Duration) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	r.Start()
	<-signals
	ctx, cancel := shutdownContext(time.Now().Add(settings.Milliseconds(s.ShutdownTimeoutMS)), signals)
	defer cancel()
	r.Leave()
	// The load balancer needs time to notice that the process is not ready; until then its callers are served.
	select {
	case <-time.After(leaveDelay):
	case <-ctx.Done():
	}
	if err := r.Drain(ctx); err != nil {
		event.Log(event.ShutdownTimedOut, "instance", s.Instance, "error", err)
	}
	stopCtx, cancelStop := context.WithTimeout(context.Background(), finalWriteTimeout)
	defer cancelStop()
	r.Stop(stopCtx)
	return nil
}
