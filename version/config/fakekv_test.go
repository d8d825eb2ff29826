package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

var errUnused = errors.New("not used by this package")

// fakeKV is a key-value service in memory with injected faults. One goroutine uses it; proposers are interleaved by before.
type fakeKV struct {
	values map[string][]services.KeyValue // All revisions of a key, oldest first.
	random *rand.Rand
	// Chances of a fault, 0 to 1. A lost write takes effect without an answer; a late one takes effect before some later
	// call, for each of which arrive is the chance.
	lost, late, arrive, unavailable, stale float64
	delayed                                []func()
	// before runs at the start of each call, so that a test can let others act in between.
	before func()
	reads  map[string]int
	writes map[string]int
}

func newFakeKV(seed uint64) *fakeKV {
	return &fakeKV{
		values: map[string][]services.KeyValue{},
		random: rand.New(rand.NewPCG(seed, 1)),
		reads:  map[string]int{}, writes: map[string]int{},
	}
}

func (f *fakeKV) chance(p float64) bool { return p > 0 && f.random.Float64() < p }

func (f *fakeKV) start() {
	if f.before != nil {
		f.before()
	}
	if len(f.delayed) > 0 && f.chance(f.arrive) {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
	}
}

func (f *fakeKV) Get(ctx context.Context, key string) (services.KeyValue, error) {
	f.start()
	if err := ctx.Err(); err != nil {
		return services.KeyValue{}, err
	}
	f.reads[key]++
	if f.chance(f.unavailable) {
		return services.KeyValue{}, services.ErrUnavailable
	}
	all := f.values[key]
	n := len(all)
	if f.chance(f.stale) {
		n = f.random.IntN(n + 1)
	}
	if n == 0 {
		return services.KeyValue{}, fmt.Errorf("%s: %w", key, services.ErrNotFound)
	}
	return all[n-1], nil
}

func (f *fakeKV) CompareAndSwap(ctx context.Context, key string, prev services.Revision, value []byte, _ services.LeaseID) (services.Revision, error) {
	f.start()
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	f.writes[key]++
	if f.chance(f.unavailable) {
		return 0, services.ErrUnavailable
	}
	if len(value) > services.MaxValueBytes {
		return 0, services.ErrTooLarge
	}
	if f.chance(f.late) {
		f.delayed = append(f.delayed, func() { _, _ = f.swap(key, prev, value) })
		return 0, services.ErrOutcomeUnknown
	}
	revision, err := f.swap(key, prev, value)
	if f.chance(f.lost) {
		return 0, services.ErrOutcomeUnknown
	}
	return revision, err
}

func (f *fakeKV) swap(key string, prev services.Revision, value []byte) (services.Revision, error) {
	all := f.values[key]
	if services.Revision(len(all)) != prev {
		return 0, services.ErrConflict
	}
	f.values[key] = append(all, services.KeyValue{Key: key, Value: value, Revision: prev + 1})
	return prev + 1, nil
}

// settleAll carries out the delayed writes and ends all faults.
func (f *fakeKV) settleAll() {
	for _, write := range f.delayed {
		write()
	}
	f.delayed, f.before = nil, nil
	f.lost, f.late, f.unavailable, f.stale = 0, 0, 0, 0
}

func (f *fakeKV) List(context.Context, string, int) ([]string, error) { return nil, errUnused }

func (f *fakeKV) Watch(context.Context, string, services.Revision) (services.KeyValue, error) {
	return services.KeyValue{}, errUnused
}

func (f *fakeKV) Grant(context.Context, time.Duration) (services.LeaseID, error) {
	return 0, errUnused
}

func (f *fakeKV) Renew(context.Context, services.LeaseID) error { return errUnused }

func (f *fakeKV) Revoke(context.Context, services.LeaseID) error { return errUnused }
