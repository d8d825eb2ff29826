package bufferbudget

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// never is a context that is done, so that Reserve does not wait.
var never = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

func open(b *Budget, u Use, owner string, evictable bool) *Reservation {
	var r *Reservation
	if evictable {
		r = b.Open(u, owner, func() { r.Release() })
	} else {
		r = b.Open(u, owner, nil)
	}
	return r
}

func TestReserve_OneOwnerTakesAllOfAUse(t *testing.T) {
	b := New(1000)
	r := open(b, Receiving, "a", true)
	must.NoError(t, r.Reserve(never, 750))
	must.ErrorIs(t, r.Reserve(never, 1), ErrNoRoom)
	other := open(b, Answering, "u", false)
	must.NoError(t, other.Reserve(never, 125)) // half of what is left
	must.ErrorIs(t, other.Reserve(never, 1), ErrNoRoom)
	r.Release()
	other.Release()
	must.EqOp(t, 0, b.Stats().Reserved)
}

// A team with stalled bodies must give way to another team, and the largest body goes first.
func TestReserve_LargestOfTheLargestOwnerIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		var evicted []string
		hold := func(owner string, bytes int) *Reservation {
			var r *Reservation
			r = b.Open(Receiving, owner, func() {
				evicted = append(evicted, fmt.Sprint(owner, bytes))
				time.Sleep(time.Millisecond) // the receiver ends soon, not at once
				r.Release()
			})
			must.NoError(t, r.Reserve(never, bytes))
			return r
		}
		hold("large", 250)
		hold("large", 300)
		hold("small", 100)
		hold("large", 100)
		start := time.Now()
		hold2 := open(b, Receiving, "new", true)
		must.NoError(t, hold2.Reserve(t.Context(), 200))
		must.Eq(t, []string{"large300"}, evicted)
		must.EqOp(t, time.Millisecond, time.Since(start))
		must.EqOp(t, 250+100+100+200, int(b.Stats().Reserved))
	})
}

// A body that was passed on must not be given up for a newer one, and an owner within its share must not be evicted.
func TestReserve_NothingToEvict(t *testing.T) {
	b := New(1000)
	kept := open(b, Receiving, "a", true)
	must.NoError(t, kept.Reserve(never, 700))
	must.NoError(t, kept.Keep())
	r := open(b, Receiving, "b", true)
	must.ErrorIs(t, r.Reserve(never, 100), ErrNoRoom)
	must.EqOp(t, 0, b.Stats().Evictions)
	kept.Release()
	must.NoError(t, r.Reserve(never, 375))
	other := open(b, Receiving, "c", true)
	must.NoError(t, other.Reserve(never, 375))
	must.ErrorIs(t, open(b, Receiving, "c", true).Reserve(never, 1), ErrNoRoom) // both owners have their shares
}

// While one owner waits for room that is being made, owners beyond their share must not take it.
func TestReserve_RoomIsKeptForTheOneThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(1000)
		var victim *Reservation
		released := make(chan struct{})
		victim = b.Open(Receiving, "large", func() {
			<-released
			victim.Release()
		})
		must.NoError(t, victim.Reserve(never, 400))
		greedy := open(b, Receiving, "large", false)
		must.NoError(t, greedy.Reserve(never, 300))
		waits := open(b, Receiving, "small", true)
		done := make(chan error)
		go func() { done <- waits.Reserve(context.Background(), 300) }()
		synctest.Wait()
		must.ErrorIs(t, victim.Keep(), ErrNoRoom)
		must.ErrorIs(t, greedy.Reserve(never, 50), ErrNoRoom)
		close(released)
		must.NoError(t, <-done)
	})
}

// Many owners that each hold just their share and send no more must not keep out one that holds nothing, and an owner's own stalled messages must not
// keep out its next one. A message that still arrives must not be given up for either.
func TestReserve_StalledAreEvicted(t *testing.T) {
	cases := map[string]struct {
		owner string
		wait  time.Duration
		want  []string
	}{
		"another owner":             {"new", stalledAfter + time.Second, []string{"b"}},
		"the same owner":            {"a", stalledAfter + time.Second, []string{"a"}},
		"another owner, not so old": {"new", stalledAfter / 2, nil},
		"the same owner, not yet":   {"a", stalledAfter / 2, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := New(1000)
				var evicted []string
				for i, owner := range []string{"a", "b", "c"} {
					var r *Reservation
					r = b.Open(Receiving, owner, func() {
						evicted = append(evicted, owner)
						r.Release()
					})
					must.NoError(t, r.Reserve(never, []int{180, 185, 370}[i]))
					if owner == "c" {
						must.NoError(t, r.Keep())
					}
				}
				time.Sleep(c.wait)
				r := open(b, Receiving, c.owner, true)
				err := r.Reserve(t.Context(), 180)
				must.EqOp(t, c.want == nil, err != nil, must.Sprint(err))
				must.Eq(t, c.want, evicted)
			})
		})
	}
}

func TestAssign_MovesBytes(t *testing.T) {
	b := New(1000)
	r := open(b, Answering, "upstream", false)
	must.NoError(t, r.Reserve(never, 300))
	r.Assign("team")
	must.NoError(t, open(b, Answering, "upstream", false).Reserve(never, 300))
	r.Release()
	r.Release()
	must.EqOp(t, 300, int(b.Stats().Reserved))
}

// In any sequence of calls the sum stays within the limit, nothing is left at the end, only owners beyond their share are evicted, and an owner that
// holds nothing gets a small part of the budget unless the rest cannot be evicted.
func TestReserve_RandomSequences(t *testing.T) {
	for seed := range uint64(10_000) {
		synctest.Test(t, func(t *testing.T) { playRandom(t, rand.New(rand.NewPCG(seed, 1)), seed) })
	}
}

func playRandom(t *testing.T, random *rand.Rand, seed uint64) {
	const limit = 10_000
	b := New(limit)
	var mu sync.Mutex
	live := make(map[*Reservation]bool)
	release := func(r *Reservation) {
		mu.Lock()
		defer mu.Unlock()
		delete(live, r)
		r.Release()
	}
	add := func(u Use, owner string) *Reservation {
		var r *Reservation
		r = b.Open(u, owner, func() { release(r) })
		mu.Lock()
		defer mu.Unlock()
		live[r] = true
		return r
	}
	any := func() *Reservation {
		mu.Lock()
		defer mu.Unlock()
		for r := range live {
			return r
		}
		return nil
	}
	keep := random.IntN(2) == 0
	for range 60 {
		switch r := any(); {
		case r == nil || random.IntN(3) == 0:
			add(Use(random.IntN(int(uses))), fmt.Sprint("owner-", random.IntN(6)))
		case random.IntN(8) == 0:
			release(r)
		case keep && random.IntN(8) == 0:
			_ = r.Keep()
		default:
			_ = r.Reserve(never, random.IntN(limit/4))
		}
		synctest.Wait()
		checkSums(t, b, seed)
	}
	if !keep {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := add(Receiving, "newcomer")
		must.NoError(t, r.Reserve(ctx, limit/100), must.Sprintf("seed %d", seed))
	}
	for r := any(); r != nil; r = any() {
		release(r)
	}
	must.EqOp(t, 0, b.Stats().Reserved, must.Sprintf("seed %d", seed))
	must.EqOp(t, 0, b.ledger.promised, must.Sprintf("seed %d", seed))
	must.EqOp(t, 0, b.ledger.waiting, must.Sprintf("seed %d", seed))
}

// checkSums is called several hundred thousand times, so that it formats messages only for failures.
func checkSums(t *testing.T, b *Budget, seed uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var total int64
	for u := range b.ledger.owners {
		var use int64
		for name, o := range b.ledger.owners[u] {
			var sum int64
			for r := range o.reservations {
				sum += r.bytes
			}
			if sum != o.bytes {
				t.Fatalf("seed %d: the reservations of %s hold %d bytes, its sum is %d", seed, name, sum, o.bytes)
			}
			use += sum
		}
		if use != b.ledger.byUse[u] || use > int64(maxUseShare*float64(b.ledger.limit)) {
			t.Fatalf("seed %d: %d bytes reserved for use %d, its sum is %d", seed, use, u, b.ledger.byUse[u])
		}
		total += use
	}
	if total != b.ledger.total || total > b.ledger.limit {
		t.Fatalf("seed %d: %d bytes reserved, the sum is %d", seed, total, b.ledger.total)
	}
}
