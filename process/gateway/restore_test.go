package gateway

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/routing"
)

// restoredStore is a store that can be restored from an older copy. It forgets its leases then.
type restoredStore struct {
	*fakeStore
	epoch atomic.Uint64
}

func (s *restoredStore) Grant(context.Context, time.Duration) (services.LeaseID, error) {
	return services.LeaseID(s.epoch.Load() + 1), nil
}

func (s *restoredStore) Renew(_ context.Context, lease services.LeaseID) error {
	if lease != services.LeaseID(s.epoch.Load()+1) {
		return services.ErrNotFound
	}
	return nil
}

// restore replaces the content by the given items, in a new epoch.
func (s *restoredStore) restore(items map[string]mirror.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch := s.epoch.Add(1)
	s.items = make(map[string]mirror.Item)
	for key, i := range items {
		r, err := services.NewRevision(epoch, services.Revision(i.Revision).Number())
		if err != nil {
			panic(err)
		}
		i.Revision = uint64(r)
		s.items[key] = i
		s.revision = max(s.revision, i.Revision)
	}
}

func (s *restoredStore) Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error) {
	otherEpoch := func() bool { return services.Revision(w.After).Epoch() != s.epoch.Load() }
	if otherEpoch() {
		return mirror.Batch{}, mirror.ErrCompacted
	}
	batch, err := s.fakeStore.Changes(ctx, w)
	if otherEpoch() {
		return mirror.Batch{}, mirror.ErrCompacted // restored while the watch waited
	}
	return batch, err
}

// content returns a copy of the store's items.
func (s *restoredStore) content() map[string]mirror.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items)
}

// separateStore returns a store with the fixture's configuration and an upstream. The fixture's gateway does not use it, and so is no neighbour of one
// that does.
func (f *fixture) separateStore(u *fakeUpstream) *restoredStore {
	store := &restoredStore{fakeStore: newFakeStore()}
	store.put("config", f.config)
	store.put("upstream/"+u.id, u.entry())
	return store
}

func (s *restoredStore) has(key string) bool {
	_, err := s.Get(context.Background(), key)
	return err == nil
}

// What the operators ordered and a restored store lacks must stay in force until they have had time to write it again.
func TestStoreRestored_EvacuationKept(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	store := &restoredStore{fakeStore: f.store}
	g := f.startWith("two", store)
	f.waitReady(g)
	older := store.content()
	f.store.put("evacuate/here", struct{}{})
	f.eventually("evacuated", func() bool { return len(g.view.Load().upstreams) == 0 })
	store.restore(older)
	restored := time.Now()
	f.eventually("restored copy is known", func() bool { return services.Revision(g.revision.Load()).Epoch() == 1 })
	f.eventually("evacuation has ended", func() bool { return len(g.view.Load().upstreams) == 1 })
	must.Greater(t, rewriteWithin-time.Second/2, time.Since(restored))
}

// A gateway must be registered again soon after a restored store has lost its registration, and prompt parts that it quarantined stored again.
func TestStoreRestored_WrittenAgain(t *testing.T) {
	f := newFixture(t)
	store := &restoredStore{fakeStore: f.store}
	g := f.startWith("two", store)
	f.waitReady(g)
	part := quarantine.Part{Service: 7, ID: 9}
	key := quarantineKeyPrefix + formatPart(part.Service) + "-" + formatPart(part.ID)
	g.crashes.queueChange(quarantineChange{part: part, entry: quarantine.QuarantinedPart{Part: part, Crashes: 3}})
	f.eventually("written", func() bool { return store.has(memberKeyPrefix+"two") && store.has(key) })
	store.mu.Lock()
	older := map[string]mirror.Item{"config": store.items["config"]}
	store.mu.Unlock()
	store.restore(older)
	f.eventually("written again", func() bool { return store.has(memberKeyPrefix+"two") && store.has(key) })
}

// completeRollout orders a rollout and runs it with the old version's upstream until it is completed. It returns a copy of the store's items from the
// time of the canary step.
func (f *fixture) completeRollout(store *restoredStore, gateways []*Gateway, older, newer *fakeUpstream, limit time.Duration) (during map[string]mirror.Item) {
	store.put("order/plain", RolloutOrder{Target: newer.version, TimeLimit: limit})
	store.put("upstream/"+newer.id, newer.entry())
	r := rolloutFixture{fixture: f}
	stop := f.sendSteadily(gateways)
	for s := (RolloutStatus{}); s.State != RolloutCompleted; s, _ = r.status() {
		must.EqOp(f.t, RolloutRunning, s.State)
		if status := gateways[0].rollouts.driver.Status(); len(status) == 1 && status[0].State == "canary" {
			store.mu.Lock()
			during = maps.Clone(store.items)
			store.mu.Unlock()
		}
		time.Sleep(2 * time.Millisecond)
	}
	stop()
	must.MapNotEmpty(f.t, during)
	store.remove("upstream/" + older.id)
	older.crash()
	return during
}

// Guards against a completed rollout that is taken back after the store came back from a copy of the time before its end, at which nothing can be served
// any more. The gateways may have restarted since, some or all of them.
func TestStoreRestored_RolloutStaysCompleted(t *testing.T) {
	for name, restarts := range map[string][]bool{"no restart": {false, false}, "one restart": {true, false}, "all restart": {true, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			older, newer := newUpstream(t, "a", succeed), newUpstream(t, "b", succeed)
			older.version, newer.version = "v1", "v2"
			f := newFixture(t, older)
			f.gateway.Stop(context.Background())
			f.store.removeHolder("one")
			store := &restoredStore{fakeStore: f.store}
			var gateways []*Gateway
			for _, name := range []string{"two", "three"} {
				g := f.startUnmanaged(f.settings(name), store)
				f.waitReady(g)
				gateways = append(gateways, g)
			}
			defer func() {
				for _, g := range gateways {
					g.Stop(context.Background())
				}
			}()
			const limit = 15 * time.Second
			ordered := time.Now()
			during := f.completeRollout(store, gateways, older, newer, limit)
			if gateways[1].rollouts.driver.Status()[0].Leader { // the leader is the first to restart
				slices.Reverse(gateways)
			}
			delete(during, "upstream/a")
			maps.DeleteFunc(during, func(key string, _ mirror.Item) bool { return strings.HasPrefix(key, "lease/") })
			store.restore(during)
			for i, restarts := range restarts {
				if restarts {
					gateways[i].Stop(context.Background())
					gateways[i] = f.startUnmanaged(gateways[i].settings, store)
					f.waitReady(gateways[i])
				}
			}
			end := time.Now().Add(rolloutConfig(1).GoneAfter / 2)
			if restarts[1] { // no gateway knows that the rollout was completed
				end = ordered.Add(limit + rolloutConfig(1).GoneAfter + 5*time.Second)
			}
			r := rolloutFixture{fixture: f}
			for n := 0; ; n++ {
				for i, g := range gateways {
					must.EqOp(t, http.StatusOK, f.send(g, http.MethodPost, fmt.Sprint("/book/", i, "-", n), nil).status)
				}
				s, _ := r.status()
				must.NotEqOp(t, RolloutRolledBack, s.State)
				if s.State == RolloutCompleted {
					break
				}
				must.True(t, time.Now().Before(end))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// A repeated order whose target version all upstreams run must be completed, and the service served meanwhile.
func TestRollout_RepeatedOrder(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "a", succeed)
	u.version = "v2"
	f := newFixture(t, u)
	f.store.put("order/plain", RolloutOrder{Target: "v2", TimeLimit: 3 * time.Second})
	r := rolloutFixture{fixture: f}
	for end := time.Now().Add(rolloutConfig(1).GoneAfter + 5*time.Second); ; time.Sleep(20 * time.Millisecond) {
		must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
		s, _ := r.status()
		must.NotEqOp(t, RolloutRolledBack, s.State)
		if s.State == RolloutCompleted {
			break
		}
		must.True(t, time.Now().Before(end))
	}
}

// Guards against taking a configuration that a restored store brings back for the newest one: the store may have lost a version that took a key away.
func TestStoreRestored_RevokedKey(t *testing.T) {
	for name, again := range map[string]bool{"written again": true, "not written again": false} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "a", succeed)
			f := newFixture(t, u)
			store := f.separateStore(u)
			g := f.startWith("two", store)
			f.waitReady(g)
			status := func(path string) int { return f.send(g, http.MethodPost, path, nil).status }
			older := store.content()
			next := f.config
			next.Version, next.Teams = 2, []routing.Team{{Name: "drivers", Keys: []string{"new"}}}

			store.setDown(true) // the version is acknowledged and lost before a gateway has read it
			f.eventually("keys are refused", func() bool { return status("/book/1") == http.StatusServiceUnavailable })
			store.restore(older)
			store.setDown(false)
			f.eventually("restored copy is known", func() bool { return services.Revision(g.revision.Load()).Epoch() == 1 })
			known := time.Now()
			must.EqOp(t, http.StatusServiceUnavailable, status("/book/2"))
			if again {
				store.put("config", next)
				f.eventually("the key is denied", func() bool {
					got := status("/book/3")
					must.NotEq(t, http.StatusOK, got)
					return got == http.StatusUnauthorized
				})
				must.Less(t, rewriteWithin, time.Since(known))
				return
			}
			f.eventually("keys are accepted", func() bool { return status("/book/4") == http.StatusOK })
			must.Greater(t, rewriteWithin-time.Second/2, time.Since(known))
		})
	}
}

// Guards against taking a restored copy for the newest one where it is the first that a gateway reads: a gateway that starts after the restoration
// cannot know of it but from its neighbours.
func TestStoreRestored_RevokedKeyAtStart(t *testing.T) {
	u := newUpstream(t, "a", succeed)
	f := newFixture(t, u)
	store := f.separateStore(u)
	old := f.startWith("old", store)
	f.eventually("registered", func() bool { return store.has(memberKeyPrefix + "old") })
	older := store.content()
	next := f.config
	next.Version, next.Teams = 2, []routing.Team{{Name: "drivers", Keys: []string{"new"}}}

	var started *Gateway
	for epoch := uint64(1); started == nil; epoch++ {
		must.LessEq(t, 5, epoch, must.Sprint("gateways that started after a restoration accept keys"))
		store.restore(older) // a version has been acknowledged since
		f.eventually("restored copy is known", func() bool { return services.Revision(old.revision.Load()).Epoch() == epoch })
		until := time.Now().Add(rewriteWithin / 2)
		g := f.startWith(fmt.Sprintf("new-%d", epoch), store)
		f.eventually("keys are refused, or it is too late for that", func() bool {
			if time.Now().Before(until) && g.view.Load() != nil && !g.acceptsKeys(g.configAge()) {
				started = g
			}
			return started != nil || time.Now().After(until)
		})
	}
	status := func(path string) int { return f.send(started, http.MethodPost, path, nil).status }
	must.EqOp(t, http.StatusServiceUnavailable, status("/book/1"))
	store.put("config", next)
	f.eventually("the key is denied", func() bool {
		got := status("/book/2")
		must.NotEq(t, http.StatusOK, got)
		return got == http.StatusUnauthorized
	})
	must.EqOp(t, http.StatusUnauthorized, f.send(old, http.MethodPost, "/book/3", nil).status)
}

// A gateway must believe a neighbour only if it could not see the restoration itself, and if its configuration is not newer than the restored copy.
func TestRestoration_Learn(t *testing.T) {
	at := func(epoch, number uint64) uint64 {
		r, err := services.NewRevision(epoch, number)
		must.NoError(t, err)
		return uint64(r)
	}
	now := time.Unix(1000, 0)
	asOf := now.Add(-time.Second)
	for name, c := range map[string]struct {
		copied, config uint64
		sawEpoch       uint64
		learned        bool
	}{
		"started after the restoration":   {copied: at(2, 9), config: at(2, 5), learned: true},
		"has no copy yet":                 {learned: true},
		"configuration was written again": {copied: at(2, 9), config: at(2, 8)},
		"saw the restoration":             {copied: at(2, 9), config: at(2, 5), sawEpoch: 2},
		"has not seen the new epoch yet":  {copied: at(1, 9), config: at(1, 5)},
		"has seen the next restoration":   {copied: at(3, 9), config: at(3, 5), sawEpoch: 3},
	} {
		t.Run(name, func(t *testing.T) {
			r := restoration{epoch: c.sawEpoch}
			r.configWritten(c.config)
			must.EqOp(t, c.learned, r.learn(now, c.copied, at(2, 7), time.Hour))
			must.False(t, r.learn(now, c.copied, at(2, 7), time.Hour)) // another neighbour
			if !c.learned {
				must.EqOp(t, asOf, r.confirmation(now, asOf))
				return
			}
			must.EqOp(t, time.Unix(0, 0), r.confirmation(now.Add(rewriteWithin-1), asOf))
			r.configWritten(at(2, 7))
			must.EqOp(t, time.Unix(0, 0), r.confirmation(now.Add(rewriteWithin-1), asOf))
			written := r
			written.configWritten(at(2, 10))
			must.EqOp(t, asOf, written.confirmation(now, asOf))
			must.EqOp(t, asOf, r.confirmation(now.Add(rewriteWithin), asOf))
		})
	}
}
