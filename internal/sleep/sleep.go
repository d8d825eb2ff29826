// Package sleep waits for a time that a context can cut short.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports false if ctx ends first. With d of zero or less it only reports whether ctx has ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
