package budget

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// throttleLogInterval bounds the log of delayed calls, of which a throttled process makes many a second.
const throttleLogInterval = time.Second

// reporter logs throttling at most once in throttleLogInterval, and failure and recovery once on each change.
type reporter struct {
	throttled *rate.Limiter
	failed    *atomic.Bool
	log       func(event.ID, ...any)
}

func newReporter() reporter {
	return reporter{
		throttled: rate.NewLimiter(rate.Every(throttleLogInterval), 1),
		failed:    new(atomic.Bool),
		log:       event.Log,
	}
}

func (r *reporter) delayed(wait time.Duration) {
	counters.Add("delayed", 1)
	if r.throttled.Allow() {
		r.log(event.PlatformThrottled, "wait_ms", wait.Milliseconds())
	}
}

// result takes the end of a call. A call that its own caller ended says nothing about the service.
func (r *reporter) result(ctx context.Context, err error) {
	failure := errors.Is(err, services.ErrUnavailable) || errors.Is(err, services.ErrOutcomeUnknown)
	switch {
	case failure && !errors.Is(ctx.Err(), context.Canceled):
		counters.Add("failures", 1)
		if !r.failed.Swap(true) {
			r.log(event.PlatformFailed, "err", err)
		}
	case !failure && ctx.Err() == nil:
		if r.failed.Swap(false) {
			r.log(event.PlatformRecovered)
		}
	}
}

// wait takes a token. A call that could not get one before its context ends is not sent.
func (b *KV) wait(ctx context.Context, limiter *rate.Limiter) error {
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	b.report.delayed(delay)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < delay {
		reservation.Cancel()
		counters.Add("rejected", 1)
		return fmt.Errorf("%w: the call budget allows this call in %v", services.ErrUnavailable, delay)
	}
	if !sleep.For(ctx, delay) {
		reservation.Cancel()
		counters.Add("rejected", 1)
		return fmt.Errorf("%w: %w", services.ErrUnavailable, ctx.Err())
	}
	return nil
}
