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
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/gateway"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
)

const (
	// memoryShare is the part of a process's memory that the heap may take before the garbage collector works harder. The rest covers
	// stacks, the kernel's socket buffers and the program itself.
	memoryShare = 0.6
	// leaveShare is the part of the time to stop in which new callers are still served, so that the balancer has noticed.
	leaveShare = 0.35
	// stopReserve is left of the time to stop for ending what is still open.
	stopReserve = 300 * time.Millisecond
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name: "gateway", Usage: "run an entry that sends to upstreams without sidecars", Flags: []cli.Flag{settingsFlag()},
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
	g, err := gateway.New(gateway.Options{
		Settings: s,
		Store:    platform.NewStore(s.Store.Address, settings.Duration(s.Store.TimeoutMS)),
		Decoder:  platform.ItemCodec{},
		Headers:  platform.Headers(),
		Prompts:  platform.PromptListDecoder{},
	})
	if err != nil {
		return fail(result.InvalidSettings, err)
	}
	// A hangup only means that the settings changed. It must not end the process, also before the settings are watched.
	signal.Ignore(syscall.SIGHUP)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := g.Start(); err != nil {
		return fail(result.InvalidSettings, err)
	}
	watching, stopWatching := context.WithCancel(context.Background())
	defer stopWatching()
	go watchSettings(watching, path, g.Reload)
	<-signals
	toStop := time.Duration(s.Fleet.ShutdownS * float64(time.Second))
	ctx, cancel := context.WithTimeout(context.Background(), toStop-stopReserve)
	defer cancel()
	g.Leave()
	select {
	case <-time.After(time.Duration(leaveShare * float64(toStop))):
	case <-signals:
		cancel()
	}
	if err := g.Drain(ctx); err != nil {
		event.Log(event.ShutdownExpired, "error", err)
	}
	g.Stop(ctx)
	return nil
}

// settingsPoll is the time between looks at the settings file, which may change without a signal.
const settingsPoll = time.Second

// watchSettings hands changed settings on until ctx ends. A file that is not valid is logged once and changes nothing.
func watchSettings(ctx context.Context, path string, changed func(*settings.Gateway)) {
	last, err := os.ReadFile(path)
	if err != nil {
		event.Log(event.SettingsRefused, "error", err)
	}
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		text, err := os.ReadFile(path)
		if err != nil || bytes.Equal(text, last) {
			continue // a file that is being replaced is read at the next look
		}
		last = text
		s, err := settings.ParseGateway(path, text)
		if err != nil {
			event.Log(event.SettingsRefused, "error", err)
			continue
		}
		changed(s)
	}
}
