package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// Keeper acquires a lease and keeps it renewed. Run is its only goroutine; Held may be called from any.
type Keeper struct {
	config Config
	kv     services.KV
	name   string
	holder string
	random *rand.Rand

	holderState *Holder
	lease       services.LeaseID
	loggedFence uint64
	current     atomic.Pointer[grant]
}

// grant is an immutable snapshot of the lease.
type grant struct {
	fence uint64
	until time.Time
}

// NewKeeper returns a keeper of the named lease for the instance with the id holder. The seed initializes the generator of jitter and
// nonces and must differ between instances and between process starts. The config must be valid.
func NewKeeper(config Config, kv services.KV, name, holder string, seed uint64) *Keeper {
	return &Keeper{
		config:      config,
		kv:          kv,
		name:        name,
		holder:      holder,
		random:      rand.New(rand.NewPCG(seed, 0)),
		holderState: NewHolder(config),
	}
}

// Held returns the fencing token if the lease is held at time now, which must have a monotonic clock reading, as time.Now returns.
// Callers call Held before each use of the token, because the process may have been paused since the last call. Held cannot detect a
// pause between the call and the use, or a machine that was suspended while its monotonic clock stopped. The receiver's check of the
// token covers both.
func (k *Keeper) Held(now time.Time) (fence uint64, ok bool) {
	g := k.current.Load()
	if g == nil || !now.Before(g.until) {
		return 0, false
	}
	return g.fence, true
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	defer k.release(ctx)
	for ctx.Err() == nil {
		k.step(ctx)
		_, next := k.holderState.Next(time.Now())
		sleep.For(ctx, time.Until(next))
	}
}

func (k *Keeper) step(ctx context.Context) {
	step, _ := k.holderState.Next(time.Now())
	switch step {
	case Acquire:
		k.acquire(ctx)
	case Renew:
		k.renew(ctx)
	}
	k.publish()
}

func (k *Keeper) publish() {
	fence, ok := k.holderState.Held(time.Now())
	if ok {
		k.current.Store(&grant{fence: fence, until: k.holderState.Until()})
		k.logChange(fence)
		return
	}
	k.current.Store(nil)
	k.logChange(0)
}

func (k *Keeper) logChange(fence uint64) {
	switch {
	case fence == k.loggedFence:
	case fence == 0:
		event.Log(event.LeaseLost, "lease", k.name, "fence", k.loggedFence)
	default:
		event.Log(event.LeaseAcquired, "lease", k.name, "fence", fence)
	}
	k.loggedFence = fence
}

func (k *Keeper) acquire(ctx context.Context) {
	k.revoke(ctx)
	sent := time.Now()
	fence, err := k.attempt(ctx)
	if err != nil {
		k.revoke(ctx)
		k.holderState.NotAcquired(time.Now(), k.random.Float64())
		return
	}
	k.holderState.Acquired(sent, fence, k.random.Float64())
}

// attempt checks for another holder before it requests a platform lease, so that a failed attempt usually costs one read only.
func (k *Keeper) attempt(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	a := &attempt{kv: k.kv, name: k.name, holder: k.holder, nonce: k.random.Uint64()}
	current, _, err := a.read(ctx, leaseKey(k.name))
	if err != nil {
		return 0, err
	}
	if current != (Value{}) {
		return 0, errHeldByOther
	}
	k.lease, err = k.kv.Grant(ctx, k.config.TTL)
	if err != nil {
		return 0, err
	}
	a.lease = k.lease
	return a.acquire(ctx)
}

func (k *Keeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	sent := time.Now()
	err := k.kv.Renew(ctx, k.lease)
	switch {
	case err == nil:
		k.holderState.Renewed(sent, k.random.Float64())
	case errors.Is(err, services.ErrNotFound):
		k.holderState.Lost()
	default:
		k.holderState.RenewalFailed(time.Now(), k.random.Float64())
	}
}

// revoke revokes the platform lease of an earlier attempt. If that fails, the lease expires after its TTL.
func (k *Keeper) revoke(ctx context.Context) {
	if k.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	if err := k.kv.Revoke(ctx, k.lease); err == nil || errors.Is(err, services.ErrNotFound) {
		k.lease = 0
	}
}

// release revokes the lease, so that another process can acquire it before the TTL has passed.
func (k *Keeper) release(ctx context.Context) {
	k.current.Store(nil)
	k.logChange(0)
	k.revoke(context.WithoutCancel(ctx))
}
