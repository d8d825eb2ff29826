package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// fakeKV is a key-value service in memory. Each call takes trip and takes effect halfway.
type fakeKV struct {
	services.KV
	trip time.Duration

	mu       sync.Mutex
	keys     map[string]services.KeyValue
	revision services.Revision
	reads    int
	bytes    int
	writes   []time.Time
	// before runs at the start of each write; an error means that the write is not sent.
	before func(key string) error
	// after runs when a write has taken effect and may replace its result.
	after func(key string) error
}

func newFakeKV(trip time.Duration) *fakeKV {
	return &fakeKV{trip: trip, keys: map[string]services.KeyValue{}}
}

func (f *fakeKV) Get(_ context.Context, key string) (services.KeyValue, error) {
	time.Sleep(f.trip / 2)
	defer time.Sleep(f.trip - f.trip/2)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	kv, ok := f.keys[key]
	if !ok {
		return kv, services.ErrNotFound
	}
	return kv, nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, prev services.Revision, value []byte, _ services.LeaseID) (services.Revision, error) {
	if f.before != nil {
		if err := f.before(key); err != nil {
			return 0, err
		}
	}
	time.Sleep(f.trip / 2)
	defer time.Sleep(f.trip - f.trip/2)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes = append(f.writes, time.Now())
	f.bytes += len(value)
	if f.keys[key].Revision != prev {
		return 0, services.ErrConflict
	}
	f.revision++
	f.keys[key] = services.KeyValue{Key: key, Value: value, Revision: f.revision}
	if f.after != nil {
		if err := f.after(key); err != nil {
			return 0, err
		}
	}
	return f.revision, nil
}

// mostIn returns the largest number of writes in any window.
func mostIn(writes []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range writes {
		for writes[i].Sub(writes[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// claimLoad is a seeded load on the sidecars of one service.
type claimLoad struct {
	stores []*Store
	random *rand.Rand
	// elsewhere is the share of claims, per thousand, that go to another store than their shard's first one.
	elsewhere int
	length    time.Duration
	perSecond float64
	body      []byte

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
	kinds   map[Kind]int
}

func (l *claimLoad) run(t *testing.T) {
	var calls sync.WaitGroup
	ctx := t.Context()
	end := time.Now().Add(l.length)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(l.random.ExpFloat64() / l.perSecond * float64(time.Second)))
		key := KeyOf("team", fmt.Sprint("call ", i))
		store := key.Shard(len(l.stores))
		if l.random.IntN(1000) < l.elsewhere {
			store = l.random.IntN(len(l.stores))
		}
		calls.Go(func() { l.call(ctx, l.stores[store], key) })
	}
	calls.Wait()
}

// call claims a key, runs for 20 ms and stores a response.
func (l *claimLoad) call(ctx context.Context, store *Store, key Key) {
	start := time.Now()
	decision, _ := store.Claim(ctx, key, 1)
	l.mu.Lock()
	_ = l.latency.RecordValue(time.Since(start).Microseconds())
	l.kinds[decision.Kind]++
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if decision.Kind == Granted {
		store.Finish(key, Response{Code: result.OK, Status: 200, Body: l.body})
	}
}

// measure runs the load on three stores for three shards, and returns it with the service.
func measure(t *testing.T, elsewhere int, length time.Duration) (*claimLoad, *fakeKV) {
	const trip = 5 * time.Millisecond
	kv := newFakeKV(trip)
	load := &claimLoad{
		random: rand.New(rand.NewPCG(7, 7)), elsewhere: elsewhere, length: length, perSecond: 3000,
		body:    make([]byte, 200),
		latency: hdrhistogram.New(1, 10_000_000, 3), kinds: map[Kind]int{},
	}
	peers := &fakePeers{hop: time.Millisecond, stores: map[string]*Store{}}
	for i := range 3 {
		load.stores = append(load.stores, peers.open(t, kv, fmt.Sprint("sidecar-", i)))
	}
	load.run(t)
	for _, store := range load.stores {
		must.NoError(t, store.Close(t.Context()))
	}
	claims := load.latency.TotalCount()
	most := mostIn(kv.writes, time.Second)
	t.Logf("elsewhere %d/1000: %d claims in %v, at most %d writes in a second, %d reads in all, latency p50 %.1f ms p99 %.1f ms "+
		"max %.1f ms, %d bytes written per claim, %v",
		elsewhere, claims, load.length, most, kv.reads, float64(load.latency.ValueAtQuantile(50))/1000,
		float64(load.latency.ValueAtQuantile(99))/1000, float64(load.latency.Max())/1000, kv.bytes/int(claims), load.kinds)
	return load, kv
}

// TestClaimRate guards against claims that exceed the platform's write rate or wait for more than three round trips. Time is
// virtual, so the load of the machine does not change the figures.
func TestClaimRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load, kv := measure(t, 0, 10*time.Second)
		must.LessEq(t, 300, mostIn(kv.writes, time.Second))
		must.LessEq(t, 3*kv.trip.Microseconds(), load.latency.ValueAtQuantile(99))
		must.Eq(t, int(load.latency.TotalCount()), load.kinds[Granted])
	})
}

// TestClaimRateContended guards against a second writer that costs writes or round trips, when one claim in twenty goes to a sidecar
// that is not its shard's first one.
func TestClaimRateContended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load, kv := measure(t, 50, 30*time.Second)
		must.LessEq(t, 300, mostIn(kv.writes, time.Second))
		must.LessEq(t, 3*kv.trip.Microseconds(), load.latency.ValueAtQuantile(99))
		must.Eq(t, int(load.latency.TotalCount()), load.kinds[Granted])
	})
}
