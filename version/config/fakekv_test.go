package config

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jayridge/jayridge/platform"
)

var errUnused = errors.New("not used by this package")

// fakeKV is a key-value service in memory with injected faults. One goroutine uses it; proposers are interleaved by before.
type fakeKV struct {
	values map[string][]platform.KeyValue // All revisions of a key, oldest first.
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
		values: map[string][]platform.KeyValue{},
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

func (f *fakeKV) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	f.start()
	if err := ctx.Err(); err != nil {
		return platform.KeyValue{}, err
	}
	f.reads[key]++
	if f.chance(f.unavailable) {
		return platform.KeyValue{}, platform.ErrUnavailable
	}
	all := f.values[key]
	n := len(all)
	if f.chance(f.stale) {
		n = f.random.IntN(n + 1)
	}
	if n == 0 {
		return platform.KeyValue{}, fmt.Errorf("%s: %w", key, platform.ErrNotFound)
	}
	return all[n-1], nil
}

func (f *fakeKV) CompareAndSwap(ctx context.Context, key string, prev platform.Revision, value []byte, _ platform.LeaseID) (platform.Revision, error) {
	f.start()
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	f.writes[key]++
	if f.chance(f.unavailable) {
		return 0, platform.ErrUnavailable
	}
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	if f.chance(f.late) {
		f.delayed = append(f.delayed, func() { _, _ = f.swap(key, prev, value) })
		return 0, platform.ErrOutcomeUnknown
	}
	revision, err := f.swap(key, prev, value)
	if f.chance(f.lost) {
		return 0, platform.ErrOutcomeUnknown
	}
	return revision, err
}

func (f *fakeKV) swap(key string, prev platform.Revision, value []byte) (platform.Revision, error) {
	all := f.values[key]
	if platform.Revision(len(all)) != prev {
		return 0, platform.ErrConflict
	}
	f.values[key] = append(all, platform.KeyValue{Key: key, Value: value, Revision: prev + 1})
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

func (f *fakeKV) Watch(context.Context, string, platform.Revision) (platform.KeyValue, error) {
	return platform.KeyValue{}, errUnused
}

func (f *fakeKV) Grant(context.Context, time.Duration) (platform.LeaseID, error) {
	return 0, errUnused
}

func (f *fakeKV) Renew(context.Context, platform.LeaseID) error { return errUnused }

func (f *fakeKV) Revoke(context.Context, platform.LeaseID) error { return errUnused }
