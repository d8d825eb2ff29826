package gateway

import (
	"context"
	"maps"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/services"
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
	if services.Revision(w.After).Epoch() != s.epoch.Load() {
		return mirror.Batch{}, mirror.ErrCompacted
	}
	return s.fakeStore.Changes(ctx, w)
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
	store.mu.Lock()
	older := maps.Clone(store.items)
	store.mu.Unlock()
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
