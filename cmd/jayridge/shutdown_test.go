package main

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a repeated SIGTERM cutting the requests that a stopping process still has time to finish.
func TestShutdownContext_RepeatedSignals(t *testing.T) {
	signals := make(chan os.Signal)
	ctx, cancel := shutdownContext(time.Now().Add(time.Hour), signals)
	defer cancel()
	for range 3 { // each is received once the one before has taken effect
		signals <- syscall.SIGTERM
		must.NoError(t, ctx.Err())
	}
	signals <- syscall.SIGINT
	<-ctx.Done()
	must.ErrorIs(t, ctx.Err(), context.Canceled)
}
