package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/process/duty"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/gateway"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
)

const (
	// memoryShare is the share of a process's memory at which the garbage collector runs more often to limit the heap. The rest covers
	// stacks, the kernel's socket buffers and the program itself.
	memoryShare = 0.6
	// leaveShare is the share of the shutdown time in which new requests are still served, so that the load balancer notices that the
	// gateway is not ready.
	leaveShare = 0.35
	// maxLeaveTime is the maximum of that time. Load balancers that check each second have noticed by then, and a request that comes later is refused
	// if it may be cut.
	maxLeaveTime = 2800 * time.Millisecond
	// stopReserve is the part of the shutdown time that is reserved for closing what is still open after draining.
	stopReserve = 300 * time.Millisecond
	// dutyTimeout limits each step of a call of the platform's API. The gateway limits whole calls to the same time.
	dutyTimeout = 2500 * time.Millisecond
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name: "gateway", Usage: "run an entry that sends requests directly to upstreams that have no sidecars", Flags: []cli.Flag{settingsFlag()},
		Action: func(_ context.Context, cmd *cli.Command) error {
			s, err := settings.LoadGateway(cmd.String("settings"))
			if err != nil {
				return fail(result.InvalidSettings, err)
			}
			return runGateway(cmd.String("settings"), s)
		},
	}
}

// runGateway runs a gateway until SIGTERM or SIGINT.
func runGateway(path string, s *settings.Gateway) error {
	debug.SetMemoryLimit(int64(memoryShare * s.MemoryMB * (1 << 20)))
	defer event.Start(os.Stdout, s.Instance)()
	var duties duty.API
	if s.Duties.Address != "" {
		duties = platform.NewDutyAPI(s.Duties.Address, dutyTimeout)
	}
	g, err := gateway.New(gateway.Options{
		Duties:   duties,
		Settings: s,
		Store:    platform.NewStore(s.Store.Address, settings.FractionalMilliseconds(s.Store.TimeoutMS)),
		Decoder:  platform.NewItemCodec(),
		Headers:  platform.Headers(),
		Prompts:  platform.PromptListDecoder{},
	})
	if err != nil {
		return fail(result.InvalidSettings, err)
	}
	// SIGHUP announces changed settings. It is ignored, because the settings are polled and the default action would end the process.
	// This also holds before the settings are watched.
	signal.Ignore(syscall.SIGHUP)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := g.Start(); err != nil {
		return fail(result.InvalidSettings, err)
	}
	watchCtx, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go watchSettings(watchCtx, path, g.Reload)
	<-signals
	shutdownTime := g.ShutdownTime()
	abortAt := time.Now().Add(shutdownTime - stopReserve)
	ctx, cancel := shutdownContext(abortAt, signals)
	defer cancel()
	g.Leave(abortAt)
	select {
	case <-time.After(min(time.Duration(leaveShare*float64(shutdownTime)), maxLeaveTime)):
	case <-ctx.Done():
	}
	if err := g.Drain(ctx); err != nil {
		event.Log(event.ShutdownTimedOut, "error", err)
	}
	g.Stop(ctx)
	return nil
}

// settingsPollInterval is the time between reads of the settings file, which may change without a signal.
const settingsPollInterval = time.Second

// watchSettings polls the settings file and calls changed with new settings until ctx ends. An invalid file is logged once and otherwise
// ignored.
func watchSettings(ctx context.Context, path string, changed func(*settings.Gateway)) {
	last, err := os.ReadFile(path)
	if err != nil {
		event.Log(event.SettingsRejected, "error", err)
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || bytes.Equal(text, last) {
			continue // a file that is missing while it is replaced is read at the next tick
		}
		last = text
		s, err := settings.ParseGateway(path, text)
		if err != nil {
			event.Log(event.SettingsRejected, "error", err)
			continue
		}
		changed(s)
	}
}
