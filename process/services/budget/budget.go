// Package budget limits and counts a process's calls to the platform's key-value service.
//
// Reads and writes have separate token buckets, so that a burst of reads cannot delay a write. Concurrent Gets of one key are merged into
// one call. A merged Get may return a value that was read shortly before the Get was called; compare revisions to detect this.
//
// All budgets of a process share the counters in the expvar map jayridge_platform:
//
//	reads     Get, List and Watch calls sent; a Watch counts once, however long it waits
//	writes    CompareAndSwap calls sent
//	leases    Grant, Renew and Revoke calls sent
//	merged    Gets that shared another Get's call
//	delayed   calls that waited for the budget
//	rejected  calls that were not sent because their context ended, or would have ended, before the budget allowed them
//	failures  calls that ended with ErrUnavailable or ErrOutcomeUnknown
//	watching  Watch calls in progress
package budget

import (
	"context"
	"expvar"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/process/services"
)

var counters = expvar.NewMap("jayridge_platform")

// KV is a services.KV that limits the calls to another one. It is safe for concurrent use.
type KV struct {
	kv       services.KV
	cfg      Config
	reads    *rate.Limiter
	writes   *rate.Limiter
	gets     singleflight.Group
	reporter reporter
}

var _ services.KV = (*KV)(nil)

// Wrap returns a KV that limits the calls to kv. It fails if cfg is invalid.
func Wrap(kv services.KV, cfg Config) (*KV, error) {
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &KV{
		kv:       kv,
		cfg:      cfg,
		reads:    rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadBurst),
		writes:   rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.WriteBurst),
		reporter: newReporter(),
	}, nil
}

// Get implements services.KV. The underlying call may be shared with other callers, so no caller's context cancels it.
func (b *KV) Get(ctx context.Context, key string) (services.KeyValue, error) {
	leader := false
	result := b.gets.DoChan(key, func() (any, error) {
		leader = true
		shared, cancel := context.WithTimeout(context.WithoutCancel(ctx), b.cfg.ReadTimeout)
		defer cancel()
		return call(b, shared, b.reads, "reads", func() (services.KeyValue, error) { return b.kv.Get(shared, key) })
	})
	select {
	case r := <-result:
		if !leader {
			counters.Add("merged", 1)
		}
		kv, _ := r.Val.(services.KeyValue)
		return kv, trace.Wrap(r.Err)
	case <-ctx.Done():
		return services.KeyValue{}, trace.Wrap(ctx.Err())
	}
}

// CompareAndSwap implements services.KV.
func (b *KV) CompareAndSwap(ctx context.Context, key string, prev services.Revision, value []byte, lease services.LeaseID) (services.Revision, error) {
	return call(b, ctx, b.writes, "writes", func() (services.Revision, error) {
		return b.kv.CompareAndSwap(ctx, key, prev, value, lease)
	})
}

// List implements services.KV.
func (b *KV) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	return call(b, ctx, b.reads, "reads", func() ([]string, error) { return b.kv.List(ctx, prefix, limit) })
}

// Watch implements services.KV.
func (b *KV) Watch(ctx context.Context, key string, after services.Revision) (services.KeyValue, error) {
	return call(b, ctx, b.reads, "reads", func() (services.KeyValue, error) {
		counters.Add("watching", 1)
		defer counters.Add("watching", -1)
		return b.kv.Watch(ctx, key, after)
	})
}

// Grant implements services.KV.
func (b *KV) Grant(ctx context.Context, ttl time.Duration) (services.LeaseID, error) {
	return call(b, ctx, b.writes, "leases", func() (services.LeaseID, error) { return b.kv.Grant(ctx, ttl) })
}

// Renew implements services.KV.
func (b *KV) Renew(ctx context.Context, lease services.LeaseID) error {
	_, err := call(b, ctx, b.writes, "leases", func() (struct{}, error) { return struct{}{}, b.kv.Renew(ctx, lease) })
	return err
}

// Revoke implements services.KV.
func (b *KV) Revoke(ctx context.Context, lease services.LeaseID) error {
	_, err := call(b, ctx, b.writes, "leases", func() (struct{}, error) { return struct{}{}, b.kv.Revoke(ctx, lease) })
	return err
}

// call waits for the budget, makes one call, counts it and records its result.
func call[T any](b *KV, ctx context.Context, limiter *rate.Limiter, counter string, send func() (T, error)) (T, error) {
	if err := b.wait(ctx, limiter); err != nil {
		var zero T
		return zero, trace.Wrap(err)
	}
	counters.Add(counter, 1)
	value, err := send()
	b.reporter.recordResult(ctx, err)
	return value, trace.Wrap(err)
}
