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

// fakeKV is an in-memory key-value service with fault injection. It is not safe for concurrent use; tests interleave proposers with
// beforeCall.
type fakeKV struct {
	values map[string][]services.KeyValue // all revisions of a key, oldest first
	random *rand.Rand
	// Probabilities of faults, 0 to 1. With loseResponse, a write takes effect but its response is lost. With delayWrite, a write
	// takes effect before a later call; applyDelayed is the probability for each call to apply the oldest delayed write.
	loseResponse, delayWrite, applyDelayed, unavailable, stale float64
	delayed                                                    []func()
	// beforeCall runs at the start of each call, so that a test can interleave the actions of other proposers.
	beforeCall func()
	reads      map[string]int
	writes     map[string]int
}

func newFakeKV(seed uint64) *fakeKV {
	return &fakeKV{
		values: map[string][]services.KeyValue{},
		random: rand.New(rand.NewPCG(seed, 1)),
		reads:  map[string]int{}, writes: map[string]int{},
	}
}

func (f *fakeKV) chance(p float64) bool { return p > 0 && f.random.Float64() < p }

func (f *fakeKV) startCall() {
	if f.beforeCall != nil {
		f.beforeCall()
	}
	if len(f.delayed) > 0 && f.chance(f.applyDelayed) {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
	}
}

func (f *fakeKV) Get(ctx context.Context, key string) (services.KeyValue, error) {
	f.startCall()
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
	f.startCall()
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
	if f.chance(f.delayWrite) {
		f.delayed = append(f.delayed, func() { _, _ = f.swap(key, prev, value) })
		return 0, services.ErrOutcomeUnknown
	}
	revision, err := f.swap(key, prev, value)
	if f.chance(f.loseResponse) {
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

// clearFaults applies the delayed writes and disables all faults.
func (f *fakeKV) clearFaults() {
	for _, write := range f.delayed {
		write()
	}
	f.delayed, f.beforeCall = nil, nil
	f.loseResponse, f.delayWrite, f.unavailable, f.stale = 0, 0, 0, 0
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
