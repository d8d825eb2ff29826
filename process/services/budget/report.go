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

// throttleLogInterval is the minimum time between two log lines about delayed calls, of which a throttled process makes many per second.
const throttleLogInterval = time.Second

// reporter counts delays and failures. It logs throttling at most once per throttleLogInterval, and failure and recovery on each
// transition only.
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

func (r *reporter) recordDelay(wait time.Duration) {
	counters.Add("delayed", 1)
	if r.throttled.Allow() {
		r.log(event.PlatformThrottled, "wait_ms", wait.Milliseconds())
	}
}

// recordResult records the result of a call. The result of a call that its caller canceled is ignored, because it does not show the state
// of the service.
func (r *reporter) recordResult(ctx context.Context, err error) {
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

// wait waits for a token. It returns ErrUnavailable if ctx ends first, and does so immediately if the deadline of ctx is too early.
func (b *KV) wait(ctx context.Context, limiter *rate.Limiter) error {
	reservation := limiter.Reserve()
	delay := reservation.Delay()
	if delay == 0 {
		return nil
	}
	b.reporter.recordDelay(delay)
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
