package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// Keeper acquires a lease and keeps it renewed. Run is its only goroutine; all other methods may be called from any.
type Keeper struct {
	config Config
	kv     services.KV
	name   string
	holder string
	random *rand.Rand
	clock  func() time.Time

	holderState *Holder
	lease       services.LeaseID
	loggedFence uint64
	// since is the time at which the current lease was acquired.
	since   time.Time
	current atomic.Pointer[Grant]
	// wake ends the wait of Run.
	wake chan struct{}
	// onDemand means that the lease is acquired only after a call of Try. tryRequested is set by Try.
	onDemand     bool
	tryRequested atomic.Bool
	// givenUp is the pause requested by GiveUp, nil when Run has given the lease up.
	givenUp atomic.Pointer[time.Duration]
}

// Grant is the lease as it is held. Its times are those of the keeper's clock.
type Grant struct {
	// Fence is the fencing token.
	Fence uint64
	// Since is the time at which the lease was acquired, Until the time at which it ends unless it is renewed again.
	Since, Until time.Time
}

// NewKeeper returns a keeper of the named lease for the instance with the id holder. The seed initializes the generator of jitter and
// nonces and must differ between instances and between process starts. The config must be valid. Its clock is that of process/bootclock, so that a
// machine that was suspended knows that its lease has expired.
func NewKeeper(config Config, kv services.KV, name, holder string, seed uint64) *Keeper {
	return &Keeper{
		config:      config,
		kv:          kv,
		name:        name,
		holder:      holder,
		random:      rand.New(rand.NewPCG(seed, 0)),
		clock:       bootclock.Now,
		holderState: NewHolder(config),
		wake:        make(chan struct{}, 1),
	}
}

// WithClock replaces the clock, which must not go back. It is called before Run.
func (k *Keeper) WithClock(clock func() time.Time) *Keeper {
	k.clock = clock
	return k
}

// OnDemand makes the keeper acquire the lease only after a call of Try. It is called before Run.
func (k *Keeper) OnDemand() *Keeper {
	k.onDemand = true
	return k
}

// Try makes a keeper on demand attempt to acquire the lease once, if it does not hold it. An attempt soon after a failed one is delayed.
func (k *Keeper) Try() {
	k.tryRequested.Store(true)
	k.wakeUp()
}

// GiveUp ends the lease, so that another process can acquire it, and does not try to acquire it again before the pause has passed. From the call on,
// the lease is not held.
func (k *Keeper) GiveUp(pause time.Duration) {
	k.givenUp.Store(&pause)
	k.wakeUp()
}

func (k *Keeper) wakeUp() {
	select {
	case k.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// Held returns the fencing token if the lease is held now.
// Callers call Held before each use of the token, because the process may have been paused since the last call. Held cannot detect a
// pause between the call and the use; the receiver's check of the token covers it.
func (k *Keeper) Held() (fence uint64, ok bool) {
	g, ok := k.Grant()
	return g.Fence, ok
}

// Grant returns the lease if it is held now.
func (k *Keeper) Grant() (Grant, bool) {
	g := k.current.Load()
	if g == nil || k.givenUp.Load() != nil || !k.clock().Before(g.Until) {
		return Grant{}, false
	}
	return *g, true
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (k *Keeper) Run(ctx context.Context) {
	defer k.release(ctx)
	for ctx.Err() == nil {
		k.step(ctx)
		k.wait(ctx)
	}
}

// wait returns when the next step is due, after a call of Try or GiveUp, or when ctx ends.
func (k *Keeper) wait(ctx context.Context) {
	now := k.clock()
	step, next := k.holderState.Next(now)
	var due <-chan time.Time
	if !k.onDemand || step != Acquire || k.tryRequested.Load() {
		timer := time.NewTimer(next.Sub(now))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-k.wake:
	case <-ctx.Done():
	}
}

func (k *Keeper) step(ctx context.Context) {
	if pause := k.givenUp.Load(); pause != nil {
		k.current.Store(nil)
		k.tryRequested.Store(false)
		k.holderState.GaveUp(k.clock(), *pause)
		k.revoke(ctx)
		k.logChange(0)
		k.givenUp.CompareAndSwap(pause, nil)
		return
	}
	step, _ := k.holderState.Next(k.clock())
	switch step {
	case Acquire:
		if k.onDemand && !k.tryRequested.Swap(false) {
			break
		}
		k.acquire(ctx)
	case Renew:
		k.renew(ctx)
	}
	k.publish()
}

func (k *Keeper) publish() {
	fence, ok := k.holderState.Held(k.clock())
	if ok {
		k.current.Store(&Grant{Fence: fence, Since: k.since, Until: k.holderState.Until()})
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
	sent := k.clock()
	fence, err := k.attempt(ctx)
	if err != nil {
		k.revoke(ctx)
		k.holderState.NotAcquired(k.clock(), k.random.Float64())
		return
	}
	k.since = k.clock()
	k.holderState.Acquired(sent, fence, k.random.Float64())
}

// attempt checks for another holder before it requests a platform lease, so that a failed attempt usually costs one read only.
func (k *Keeper) attempt(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.config.CallTimeout)
	defer cancel()
	a := &attempt{kv: k.kv, name: k.name, holder: k.holder, nonce: k.random.Uint64()}
	current, _, err := a.read(ctx, Key(k.name))
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
	sent := k.clock()
	err := k.kv.Renew(ctx, k.lease)
	switch {
	case err == nil:
		k.holderState.Renewed(sent, k.random.Float64())
	case errors.Is(err, services.ErrNotFound):
		k.holderState.Lost()
	default:
		k.holderState.RenewalFailed(k.clock(), k.random.Float64())
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
