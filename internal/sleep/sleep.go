// Package sleep provides a sleep that ends early when a context does.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d and returns true, or returns false as soon as ctx ends. If d is zero or less, it returns at once, and false only if ctx
// has ended.
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
