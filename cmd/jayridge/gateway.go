package main

import (
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
			return runGateway(s)
		},
	}
}

func runGateway(s *settings.Gateway) error {
	debug.SetMemoryLimit(int64(memoryShare * s.MemoryMB * (1 << 20)))
	defer event.Start(os.Stdout, s.Instance)()
	g, err := gateway.New(gateway.Options{
		Settings: s,
		Store:    platform.NewStore(s.Store.Address, settings.Duration(s.Store.TimeoutMS)),
		Decoder:  platform.Facts{},
		Headers:  platform.Headers(),
		Prompts:  platform.Prompts{},
	})
	if err != nil {
		return fail(result.InvalidSettings, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := g.Start(); err != nil {
		return fail(result.InvalidSettings, err)
	}
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
