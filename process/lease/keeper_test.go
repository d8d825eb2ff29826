package lease

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/services"
)

// numberedKV is a fakeKV with one counter of revisions for all keys, as the platform's store has, in the given epoch.
type numberedKV struct {
	*fakeKV
	epoch, number uint64
}

func (kv *numberedKV) CompareAndSwap(
	_ context.Context, key string, prev services.Revision, value []byte, lease services.LeaseID,
) (revision services.Revision, err error) {
	err = kv.call(0, func() error {
		if kv.keys[key].Revision != prev {
			return services.ErrConflict
		}
		kv.number++
		revision, err = services.NewRevision(kv.epoch, kv.number)
		kv.keys[key] = fakeKey{services.KeyValue{Key: key, Value: value, Revision: revision}, lease}
		return err
	})
	return revision, err
}

// token acquires the lease with a new keeper and gives it up again.
func token(t *testing.T, kv services.KV) uint64 {
	k := NewKeeper(DefaultConfig(), kv, "usage", "one", 1).WithClock(time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		k.Run(ctx)
	}()
	synctest.Wait()
	fence, held := k.Held()
	must.True(t, held)
	cancel()
	<-ended
	return fence
}

// Guards against a token that decreases because the fence key was lost, or because the store was restored from an older copy, twice.
func TestTokens_IncreaseWhenTheStoreGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &numberedKV{fakeKV: newFakeKV(1)}
		last := token(t, kv)
		for _, damage := range []func(){
			func() {},
			func() { delete(kv.keys, fenceKey("usage")) },
			func() { kv.epoch, kv.number = 1, 0; delete(kv.keys, fenceKey("usage")) },
			func() {},
			func() { kv.epoch, kv.number = 2, 0 },
		} {
			damage()
			next := token(t, kv)
			must.Greater(t, last, next)
			must.EqOp(t, kv.epoch, services.Revision(next).Epoch())
			last = next
		}
	})
}

// Guards against a machine that was suspended, during which its other clocks and timers stop, and that still considers its lease valid: the keeper
// gets a clock that counts the suspended time, as process/bootclock does, while the time of timers does not pass.
func TestKeeper_SuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		f := newKeeperGroup(1, 1)
		f.keepers[0].WithClock(func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) })
		f.run(t, func() {
			synctest.Wait()
			fence, held := f.keepers[0].Held()
			must.True(t, held)
			suspended.Store(int64(DefaultConfig().TTL))
			_, held = f.keepers[0].Held()
			must.False(t, held)
			// The store has deleted the lease key meanwhile: the lease is acquired again, with a higher token.
			f.kv.mu.Lock()
			f.kv.keys[Key("rollout/press-model")] = fakeKey{}
			f.kv.mu.Unlock()
			time.Sleep(time.Minute)
			next, held := f.keepers[0].Held()
			must.True(t, held)
			must.Greater(t, fence, next)
		})
	})
}

// A keeper on demand must not compete for the lease unasked. A lease that was given up must be free at once and not be acquired again by the same
// process within the pause.
func TestKeeper_OnDemandAndGiveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeeperGroup(1, 2)
		one, two := f.keepers[0].OnDemand(), f.keepers[1].OnDemand()
		held := func(k *Keeper) bool { _, ok := k.Held(); return ok }
		f.run(t, func() {
			time.Sleep(time.Minute)
			must.False(t, held(one) || held(two))
			one.Try()
			synctest.Wait()
			grant, ok := one.Grant()
			must.True(t, ok)
			must.True(t, grant.Since.Equal(time.Now()))
			one.GiveUp(time.Minute)
			must.False(t, held(one))
			synctest.Wait()
			one.Try()
			two.Try()
			synctest.Wait()
			must.False(t, held(one))
			must.True(t, held(two))
			two.GiveUp(time.Hour)
			time.Sleep(time.Minute)
			synctest.Wait()
			must.True(t, held(one))
		})
	})
}
