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

// fakeKV is an in-memory key-value service. Each call takes roundTrip and takes effect halfway through.
type fakeKV struct {
	services.KV
	roundTrip time.Duration

	mu       sync.Mutex
	keys     map[string]services.KeyValue
	revision services.Revision
	reads    int
	bytes    int
	writes   []time.Time
	// beforeWrite runs at the start of each write. If it returns an error, the write is not sent.
	beforeWrite func(key string) error
	// afterWrite runs when a write has taken effect. Its error replaces the result of the write.
	afterWrite func(key string) error
}

func newFakeKV(roundTrip time.Duration) *fakeKV {
	return &fakeKV{roundTrip: roundTrip, keys: map[string]services.KeyValue{}}
}

func (f *fakeKV) Get(_ context.Context, key string) (services.KeyValue, error) {
	time.Sleep(f.roundTrip / 2)
	defer time.Sleep(f.roundTrip - f.roundTrip/2)
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
	if f.beforeWrite != nil {
		if err := f.beforeWrite(key); err != nil {
			return 0, err
		}
	}
	time.Sleep(f.roundTrip / 2)
	defer time.Sleep(f.roundTrip - f.roundTrip/2)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes = append(f.writes, time.Now())
	f.bytes += len(value)
	if f.keys[key].Revision != prev {
		return 0, services.ErrConflict
	}
	f.revision++
	f.keys[key] = services.KeyValue{Key: key, Value: value, Revision: f.revision}
	if f.afterWrite != nil {
		if err := f.afterWrite(key); err != nil {
			return 0, err
		}
	}
	return f.revision, nil
}

// maxInWindow returns the largest number of writes in any time window of the given length.
func maxInWindow(writes []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i := range writes {
		for writes[i].Sub(writes[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// claimLoad generates a reproducible random load on the stores of one service.
type claimLoad struct {
	stores []*Store
	random *rand.Rand
	// randomStorePerMille is the share of claims, per thousand, that go to a random store instead of the store with the shard's
	// number.
	randomStorePerMille int
	duration            time.Duration
	claimsPerSecond     float64
	body                []byte

	mu        sync.Mutex
	latency   *hdrhistogram.Histogram
	decisions map[Kind]int
}

func (l *claimLoad) run(t *testing.T) {
	var calls sync.WaitGroup
	ctx := t.Context()
	end := time.Now().Add(l.duration)
	for i := 0; time.Now().Before(end); i++ {
		time.Sleep(time.Duration(l.random.ExpFloat64() / l.claimsPerSecond * float64(time.Second)))
		key := KeyOf("team", fmt.Sprint("call ", i))
		store := key.Shard(len(l.stores))
		if l.random.IntN(1000) < l.randomStorePerMille {
			store = l.random.IntN(len(l.stores))
		}
		calls.Go(func() { l.call(ctx, l.stores[store], key) })
	}
	calls.Wait()
}

// call claims a key, sleeps for 20 ms in place of the call and stores a response.
func (l *claimLoad) call(ctx context.Context, store *Store, key Key) {
	start := time.Now()
	decision, _ := store.Claim(ctx, key, 1)
	l.mu.Lock()
	_ = l.latency.RecordValue(time.Since(start).Microseconds())
	l.decisions[decision.Kind]++
	l.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if decision.Kind == Granted {
		store.Finish(key, Response{Code: result.OK, Status: 200, Body: l.body})
	}
}

// runClaimLoad runs the load on three stores with three shards, and returns it with the key-value service.
func runClaimLoad(t *testing.T, randomStorePerMille int, duration time.Duration) (*claimLoad, *fakeKV) {
	const roundTrip = 5 * time.Millisecond
	kv := newFakeKV(roundTrip)
	load := &claimLoad{
		random: rand.New(rand.NewPCG(7, 7)), randomStorePerMille: randomStorePerMille, duration: duration, claimsPerSecond: 3000,
		body:    make([]byte, 200),
		latency: hdrhistogram.New(1, 10_000_000, 3), decisions: map[Kind]int{},
	}
	peers := &fakePeers{delay: time.Millisecond, stores: map[string]*Store{}}
	for i := range 3 {
		load.stores = append(load.stores, peers.open(t, kv, fmt.Sprint("sidecar-", i)))
	}
	load.run(t)
	for _, store := range load.stores {
		must.NoError(t, store.Close(t.Context()))
	}
	claims := load.latency.TotalCount()
	most := maxInWindow(kv.writes, time.Second)
	t.Logf("%d/1000 at a random store: %d claims in %v, at most %d writes in a second, %d reads in all, latency p50 %.1f ms p99 %.1f ms "+
		"max %.1f ms, %d bytes written per claim, %v",
		randomStorePerMille, claims, load.duration, most, kv.reads, float64(load.latency.ValueAtQuantile(50))/1000,
		float64(load.latency.ValueAtQuantile(99))/1000, float64(load.latency.Max())/1000, kv.bytes/int(claims), load.decisions)
	return load, kv
}

// The write rate must stay within the platform's limit, and the p99 latency within three round trips. Time is virtual, so the
// load of the machine does not affect the figures.
func TestClaimRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load, kv := runClaimLoad(t, 0, 10*time.Second)
		must.LessEq(t, 300, maxInWindow(kv.writes, time.Second))
		must.LessEq(t, 3*kv.roundTrip.Microseconds(), load.latency.ValueAtQuantile(99))
		must.Eq(t, int(load.latency.TotalCount()), load.decisions[Granted])
	})
}

// Further writers to a shard must not cause extra writes or round trips. One claim in twenty goes to a random store instead of
// the store with the shard's number.
func TestClaimRateContended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		load, kv := runClaimLoad(t, 50, 30*time.Second)
		must.LessEq(t, 300, maxInWindow(kv.writes, time.Second))
		must.LessEq(t, 3*kv.roundTrip.Microseconds(), load.latency.ValueAtQuantile(99))
		must.Eq(t, int(load.latency.TotalCount()), load.decisions[Granted])
	})
}
