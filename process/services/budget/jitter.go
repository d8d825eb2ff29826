package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// FullJitter returns a delay drawn uniformly between zero and min(limit, base * 2^attempt), where attempt counts from zero. Full jitter
// spreads the calls of many processes that retry after the same outage.
func FullJitter(random *rand.Rand, attempt int, base, limit time.Duration) time.Duration {
	ceiling := base
	for range attempt {
		if ceiling >= limit/2 {
			ceiling = limit
			break
		}
		ceiling *= 2
	}
	ceiling = min(ceiling, limit)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}

// Reread gets a key after an outage. It waits with full jitter before each attempt and retries while the service is unavailable. If ctx
// ends first, it returns the context's error. random must not be used concurrently.
func (b *KV) Reread(ctx context.Context, random *rand.Rand, key string) (services.KeyValue, error) {
	for attempt := 0; ; attempt++ {
		wait := time.NewTimer(FullJitter(random, attempt, b.cfg.RereadBase, b.cfg.RereadMax))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return services.KeyValue{}, trace.Wrap(ctx.Err())
		}
		kv, err := b.Get(ctx, key)
		if !errors.Is(err, services.ErrUnavailable) {
			return kv, trace.Wrap(err)
		}
	}
}
