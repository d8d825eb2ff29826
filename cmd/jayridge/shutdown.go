package main

import (
	"context"
	"os"
	"syscall"
	"time"

	"github.com/jayridge/jayridge/process/event"
)

// shutdownContext returns a context for the shutdown of a process that was told to stop. It ends at the deadline, or when the process is interrupted
// (SIGINT) from a terminal. A repeated SIGTERM changes nothing: a supervisor that sends it again grants the same time as before, and has SIGKILL for the
// end of that time.
func shutdownContext(deadline time.Time, signals <-chan os.Signal) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-signals:
				event.Log(event.StopRepeated, "signal", s.String(), "left_ms", time.Until(deadline).Milliseconds())
				if s == syscall.SIGINT {
					cancel()
				}
			}
		}
	}()
	return ctx, cancel
}
