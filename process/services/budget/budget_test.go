package budget

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeKV responds to Get after a millisecond and to CompareAndSwap immediately.
type fakeKV struct {
	services.KV
	gets, writes atomic.Int64
	down         atomic.Bool
}

func (f *fakeKV) Get(context.Context, string) (services.KeyValue, error) {
	f.gets.Add(1)
	time.Sleep(time.Millisecond)
	if f.down.Load() {
		return services.KeyValue{}, services.ErrUnavailable
	}
	return services.KeyValue{Value: []byte("v"), Revision: 1}, nil
}

func (f *fakeKV) CompareAndSwap(context.Context, string, services.Revision, []byte, services.LeaseID) (services.Revision, error) {
	f.writes.Add(1)
	return 0, services.ErrConflict
}

func wrap(t *testing.T, change func(*Config)) (*KV, *fakeKV, *[]event.ID) {
	t.Helper()
	cfg := DefaultConfig()
	if change != nil {
		change(&cfg)
	}
	fake := &fakeKV{}
	b, err := Wrap(fake, cfg)
	must.NoError(t, err)
	var mu sync.Mutex
	logged := &[]event.ID{}
	b.reporter.log = func(id event.ID, _ ...any) {
		mu.Lock()
		defer mu.Unlock()
		*logged = append(*logged, id)
	}
	return b, fake, logged
}

func counter(name string) int64 {
	if v, ok := counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Calls must not exceed the budget, reads must not use up the budget of writes, and delayed calls must not cause a log line each.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, fake, logged := wrap(t, func(c *Config) { c.ReadsPerSecond, c.ReadBurst, c.WritesPerSecond, c.WriteBurst = 1, 1, 10, 5 })
		delayed, rejected := counter("delayed"), counter("rejected")
		start := time.Now()
		for range 45 {
			_, err := b.CompareAndSwap(t.Context(), "k", 0, nil, 0)
			must.ErrorIs(t, err, services.ErrConflict)
		}
		must.Eq(t, 4*time.Second, time.Since(start).Round(time.Millisecond))
		must.Eq(t, 40, counter("delayed")-delayed)
		must.SliceLen(t, 4, *logged)
		_, err := b.Get(t.Context(), "k")
		must.NoError(t, err)

		soon, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = b.CompareAndSwap(soon, "k", 0, nil, 0)
		must.ErrorIs(t, err, services.ErrUnavailable)
		must.Eq(t, 1, counter("rejected")-rejected)
		must.Eq(t, 45, fake.writes.Load())
	})
}

// Concurrent reads of one key must share a call, which one caller's context must not cancel for the others.
func TestMergedGets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, fake, _ := wrap(t, nil)
		merged := counter("merged")
		first, cancel := context.WithCancel(t.Context())
		var calls sync.WaitGroup
		calls.Go(func() {
			_, err := b.Get(first, "k")
			must.ErrorIs(t, err, context.Canceled)
		})
		synctest.Wait()
		for range 9 {
			calls.Go(func() {
				kv, err := b.Get(t.Context(), "k")
				must.NoError(t, err)
				must.Eq(t, 1, kv.Revision)
			})
		}
		synctest.Wait()
		cancel()
		calls.Wait()
		must.Eq(t, 1, fake.gets.Load())
		must.Eq(t, 9, counter("merged")-merged)
	})
}

// During an outage, failed calls must not cause a log line each, and re-reads must not come at a fixed interval.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, fake, logged := wrap(t, nil)
		fake.down.Store(true)
		go func() {
			time.Sleep(20 * time.Second)
			fake.down.Store(false)
		}()
		kv, err := b.Reread(t.Context(), rand.New(rand.NewPCG(1, 1)), "k")
		must.NoError(t, err)
		must.Eq(t, 1, kv.Revision)
		must.Between(t, 3, fake.gets.Load(), 20)
		must.Eq(t, []event.ID{event.PlatformFailed, event.PlatformRecovered}, *logged)

		ended, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = b.Reread(ended, rand.New(rand.NewPCG(1, 1)), "k")
		must.ErrorIs(t, err, context.Canceled)
	})
}

// Delays must be spread evenly and must not exceed the limit, not even after many attempts, when the doubling could overflow.
func TestFullJitter(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for attempt, limit := range map[int]time.Duration{0: 100, 1: 200, 3: 800, 4: 1000, 100: 1000} {
		var low, high int
		for range 1000 {
			wait := FullJitter(random, attempt, 100, 1000)
			must.Between(t, 0, wait, limit)
			if wait < limit/4 {
				low++
			}
			if wait > limit*3/4 {
				high++
			}
		}
		must.Between(t, 150, low, 350)
		must.Between(t, 150, high, 350)
	}
}

// The error must name the invalid field.
func TestConfigNamesField(t *testing.T) {
	cfg := DefaultConfig()
	must.NoError(t, cfg.Validate())
	cfg.WriteBurst = 0
	_, err := Wrap(&fakeKV{}, cfg)
	must.ErrorContains(t, err, "WriteBurst")
}

func ExampleWrap() {
	limited, _ := Wrap(&fakeKV{}, DefaultConfig())
	kv, _ := limited.Get(context.Background(), "config/head")
	fmt.Println(kv.Revision)
	// Output: 1
}
