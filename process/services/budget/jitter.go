package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// FullJitter returns a wait drawn uniformly from zero to base doubled attempt times, at most limit. Full jitter spreads the
// calls of many processes that see an outage end at the same moment. attempt counts from zero.
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

// Reread gets a key after an outage: it waits with full jitter before each attempt and repeats while the service is
// unavailable. It returns the context's error when that ends first. One goroutine uses random at a time.
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
