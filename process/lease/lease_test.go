package lease

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/jayridge/jayridge/process/services"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeKV is a key-value service whose revisions restart after a key was deleted, the weakest behaviour that the interface allows. Calls
// that are not implemented panic.
type fakeKV struct {
	services.KV
	mu     sync.Mutex
	keys   map[string]fakeKey
	ends   map[services.LeaseID]time.Time
	random *rand.Rand
	// delay is the maximum duration of a call, at most half of it before and half after the call takes effect. lose is the probability
	// that the response to a write is lost, down that a call is not sent.
	delay time.Duration
	lose  float64
	down  float64
}

type fakeKey struct {
	services.KeyValue
	lease services.LeaseID
}

func newFakeKV(seed uint64) *fakeKV {
	return &fakeKV{keys: make(map[string]fakeKey), ends: make(map[services.LeaseID]time.Time), random: rand.New(rand.NewPCG(seed, 1))}
}

// call runs f under the lock between two delays, after it has deleted the keys of expired leases.
func (kv *fakeKV) call(lose float64, f func() error) error {
	kv.mu.Lock()
	before, after := kv.random.Int64N(int64(kv.delay)/2+1), kv.random.Int64N(int64(kv.delay)/2+1)
	fails, loses := kv.random.Float64() < kv.down, kv.random.Float64() < lose
	kv.mu.Unlock()
	time.Sleep(time.Duration(before))
	if fails {
		return services.ErrUnavailable
	}
	kv.mu.Lock()
	maps.DeleteFunc(kv.keys, func(_ string, k fakeKey) bool { return k.lease != 0 && kv.ended(k.lease) })
	err := f()
	kv.mu.Unlock()
	time.Sleep(time.Duration(after))
	if loses {
		return fmt.Errorf("%w: connection reset", services.ErrOutcomeUnknown)
	}
	return err
}

func (kv *fakeKV) ended(lease services.LeaseID) bool { return !time.Now().Before(kv.ends[lease]) }

func (kv *fakeKV) Get(_ context.Context, key string) (got services.KeyValue, err error) {
	err = kv.call(0, func() error {
		got = kv.keys[key].KeyValue
		if got.Revision == 0 {
			return services.ErrNotFound
		}
		return nil
	})
	return got, err
}

func (kv *fakeKV) CompareAndSwap(_ context.Context, key string, prev services.Revision, value []byte, lease services.LeaseID) (services.Revision, error) {
	return prev + 1, kv.call(kv.lose, func() error {
		if kv.keys[key].Revision != prev || (lease != 0 && kv.ended(lease)) {
			return services.ErrConflict
		}
		kv.keys[key] = fakeKey{services.KeyValue{Key: key, Value: value, Revision: prev + 1}, lease}
		return nil
	})
}

func (kv *fakeKV) Grant(_ context.Context, ttl time.Duration) (id services.LeaseID, err error) {
	err = kv.call(0, func() error {
		id = services.LeaseID(len(kv.ends) + 1)
		kv.ends[id] = time.Now().Add(ttl)
		return nil
	})
	return id, err
}

func (kv *fakeKV) Renew(_ context.Context, id services.LeaseID) error {
	return kv.setEnd(id, DefaultConfig().TTL)
}

func (kv *fakeKV) Revoke(_ context.Context, id services.LeaseID) error { return kv.setEnd(id, 0) }

func (kv *fakeKV) setEnd(id services.LeaseID, left time.Duration) error {
	return kv.call(kv.lose, func() error {
		if kv.ended(id) {
			return services.ErrNotFound
		}
		kv.ends[id] = time.Now().Add(left)
		return nil
	})
}

// keeperGroup runs keepers of one lease in a synctest bubble.
type keeperGroup struct {
	kv      *fakeKV
	keepers []*Keeper
	// holders holds the tokens in the order of their first use, owner the index of the keeper that used each.
	holders []uint64
	owner   map[uint64]int
}

func newKeeperGroup(seed uint64, n int) *keeperGroup {
	f := &keeperGroup{kv: newFakeKV(seed), owner: make(map[uint64]int)}
	for i := range n {
		k := NewKeeper(DefaultConfig(), f.kv, "rollout/press-model", fmt.Sprint("entry-", i), seed*100+uint64(i))
		f.keepers = append(f.keepers, k.WithClock(time.Now))
	}
	return f
}

// watch samples the keepers for d and checks that at most one holds the lease, that tokens increase, and that no two keepers use the
// same token.
func (f *keeperGroup) watch(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		held := 0
		for i, k := range f.keepers {
			fence, ok := k.Held()
			if !ok {
				continue
			}
			held++
			if _, known := f.owner[fence]; !known {
				f.owner[fence] = i
				f.holders = append(f.holders, fence)
			}
			must.Eq(t, f.owner[fence], i)
			must.Eq(t, f.holders[len(f.holders)-1], fence)
		}
		must.LessEq(t, 1, held)
	}
	must.True(t, slices.IsSorted(f.holders))
}

// run starts the keepers, calls body, and stops them.
func (f *keeperGroup) run(t *testing.T, body func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, k := range f.keepers {
		group.Go(func() { k.Run(ctx) })
	}
	body()
	cancel()
	group.Wait()
}

// At most one keeper may hold the lease at a time, and tokens must increase, despite slow calls, lost responses, outages, and revisions
// that restart with each new key.
func TestTokensIncrease(t *testing.T) {
	tokens := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newKeeperGroup(seed, 4)
			f.kv.delay = 4 * time.Second
			f.kv.lose = 0.2
			f.kv.down = 0.5
			f.run(t, func() { f.watch(t, 10*time.Minute) })
			tokens += len(f.holders)
		})
	}
	t.Logf("%d tokens in 20 runs", tokens)
	must.Greater(t, 40, tokens)
}

// A lost response to the acquisition must not be treated as a failure, which would waste a token and leave the lease until it expires.
func TestLostResponseToAcquisition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeeperGroup(1, 1)
		f.kv.lose = 1
		f.run(t, func() { f.watch(t, time.Second) })
		must.Eq(t, []uint64{1}, f.holders)
	})
}

// unrenewableKV is a key-value service to which one process can send neither renewals nor revocations.
type unrenewableKV struct{ *fakeKV }

func (unrenewableKV) Renew(context.Context, services.LeaseID) error { return services.ErrUnavailable }

func (unrenewableKV) Revoke(context.Context, services.LeaseID) error { return services.ErrUnavailable }

// A holder whose renewals fail must stop considering its lease valid, and a successor must acquire it.
func TestHolderWithoutRenewals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeeperGroup(2, 2)
		f.keepers[0].kv = unrenewableKV{f.kv}
		f.run(t, func() { f.watch(t, 5*time.Minute) })
		must.Eq(t, 1, f.owner[f.holders[len(f.holders)-1]])
	})
}

// The validity period of a renewal must start at its request rather than at its response. A renewal must not extend an expired lease.
func TestRenewalPeriodStartsAtRequest(t *testing.T) {
	config := DefaultConfig()
	must.NoError(t, config.Validate())
	start := time.Unix(0, 0)
	valid := config.TTL - config.Margin
	h := NewHolder(config)
	h.Acquired(start, 5, 0)
	check := func(after time.Duration, want uint64) {
		t.Helper()
		fence, _ := h.Held(start.Add(after))
		must.Eq(t, want, fence)
	}
	check(valid-1, 5)
	check(valid, 0)
	h.Renewed(start.Add(5*time.Second), 0)
	check(5*time.Second+valid-1, 5)
	check(5*time.Second+valid, 0)
	h.Renewed(start.Add(time.Minute), 0)
	check(time.Minute, 0)
	h.Acquired(start.Add(time.Hour), 5, 0)
	check(time.Hour, 0)
	h.Acquired(start.Add(time.Hour), 6, 0)
	check(time.Hour, 6)
}

func ExampleHolder() {
	config := DefaultConfig()
	start := time.Unix(0, 0)
	h := NewHolder(config)
	step, _ := h.Next(start)
	fmt.Println(step == Acquire)
	h.Acquired(start, 7, 0)
	fmt.Println(h.Held(start.Add(11 * time.Second)))
	fmt.Println(h.Held(start.Add(12 * time.Second)))
	// Output:
	// true
	// 7 true
	// 0 false
}
