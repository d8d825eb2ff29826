package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/mirror"
)

// The pause between calls to the store must grow with the fleet, but only so far that a new configuration is still adopted in time.
func TestWatchPause(t *testing.T) {
	must.EqOp(t, 300*time.Millisecond, watchPauseFor(0, 2000))
	must.EqOp(t, 300*time.Millisecond, watchPauseFor(5, 2000))
	must.EqOp(t, 600*time.Millisecond, watchPauseFor(20, 3000))
	must.EqOp(t, 900*time.Millisecond, watchPauseFor(31, 3000))
	must.EqOp(t, time.Second, watchPauseFor(790, 13_000))
	must.EqOp(t, 300*time.Millisecond, watchPauseFor(790, 500))
}

// A response must not be considered current after the time at which the store made it: the copy would claim to contain later changes, and
// a revoked key would be accepted. A watch that timed out without changes must be considered current at its end: otherwise keys would be
// rejected a second too early during an outage of the store.
func TestCurrentAt(t *testing.T) {
	sent := time.Unix(1000, 0)
	item := []mirror.Item{{Key: "a", Revision: 1}}
	late := sent.Add(3 * time.Second)
	must.EqOp(t, sent.Add(watchWait), currentAt(sent, sent.Add(watchWait), watchWait, mirror.Batch{}))
	must.EqOp(t, sent.Add(watchWait), currentAt(sent, late, watchWait, mirror.Batch{}))
	must.EqOp(t, sent, currentAt(sent, sent.Add(watchWait-1), watchWait, mirror.Batch{}))
	must.EqOp(t, sent, currentAt(sent, late, watchWait, mirror.Batch{Items: item}))
	must.EqOp(t, sent, currentAt(sent, late, watchWait, mirror.Batch{Full: true}))
}

// The normal interval between responses of the store must be below OutageAfter. Otherwise an upstream that deregisters would be treated as
// missing and get requests for two more seconds (seen in fault-injection runs).
func TestWatchWait_NoOutageBetweenResponses(t *testing.T) {
	for _, gateways := range []int{1, 5, 31, 790} {
		pause := watchPauseFor(gateways, 13_000)
		must.Positive(t, watchWaitFor(pause))
		must.Less(t, directory.DefaultConfig().OutageAfter, pause+watchWaitFor(pause)+watchOverdue)
	}
}

// An upstream whose removal arrives at the end of a long watch must be gone immediately, not missing: the store was available all the time.
func TestApply_RemovalInLongWatch(t *testing.T) {
	s, old := stateWithUpstream(t)
	must.Len(t, 1, s.directory.Usable())
	s.apply(removal(sourceStore, old))
	must.SliceEmpty(t, s.directory.Usable())
}

// A neighbour's push that confirms the copy as of an earlier time than the store's last response must not delay a removal.
func TestApply_RemovalAfterNeighboursOlderCopy(t *testing.T) {
	s, old := stateWithUpstream(t)
	s.apply(sourcedBatch{source: "neighbour", after: 1, batch: mirror.Batch{Revision: 1, AsOf: old}})
	s.apply(removal(sourceStore, old))
	must.SliceEmpty(t, s.directory.Usable())
}

// A gateway that the store turns away must remove an upstream as soon as its neighbours, which the store serves, tell it to. Their copies may
// be confirmed as of times that are further apart than OutageAfter.
func TestApply_RemovalHeardFromNeighbours(t *testing.T) {
	s, old := stateWithUpstream(t)
	b := removal("neighbour", old.Add(4600*time.Millisecond))
	b.batch.ContactAt = b.batch.AsOf
	s.apply(sourcedBatch{source: "neighbour", after: 1, batch: mirror.Batch{Revision: 1, AsOf: old, ContactAt: old.Add(3500 * time.Millisecond)}})
	s.apply(b)
	must.SliceEmpty(t, s.directory.Usable())
}

// An upstream that is removed just after the first copy of a gateway that starts must be gone, not missing, however long that copy took: the store
// was available while it arrived, or told neighbours so.
func TestApply_RemovalAfterSlowFirstCopy(t *testing.T) {
	for name, whileArriving := range map[string]func(s *state, at time.Time){
		"from the store": func(s *state, at time.Time) {
			s.g.storeProgressAt.Store(at.UnixNano())
			s.tick()
		},
		"from a neighbour": func(s *state, at time.Time) {
			s.apply(sourcedBatch{source: "neighbour", batch: mirror.Batch{ContactAt: at}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := bootclock.Now()
			s := newState(t, now.Add(-4*time.Second))
			whileArriving(s, now.Add(-2*time.Second))
			whileArriving(s, now.Add(-100*time.Millisecond))
			s.apply(firstCopy(t, now.Add(-2*time.Second), now))
			must.Len(t, 1, s.directory.Usable())
			s.apply(removal(sourceStore, now))
			must.SliceEmpty(t, s.directory.Usable())
		})
	}
}

// stateWithUpstream returns a control state to which the store has just listed one upstream, as of the returned time. That is longer ago
// than OutageAfter, as after a long watch.
func stateWithUpstream(t *testing.T) (*state, time.Time) {
	now := bootclock.Now()
	s := newState(t, now.Add(-time.Second))
	old := now.Add(-2300 * time.Millisecond)
	s.apply(firstCopy(t, old, now))
	return s, old
}

// newState returns the control state of a gateway that started at the given time and has no copy of the store.
func newState(t *testing.T, started time.Time) *state {
	return &state{
		g: newFixture(t).gateway, mirror: mirror.New(), directory: directory.New(started, directory.DefaultConfig()),
		evacuated: make(map[string]struct{}), members: make(map[string]member),
	}
}

// firstCopy returns a snapshot that lists one upstream.
func firstCopy(t *testing.T, asOf, contactAt time.Time) sourcedBatch {
	text, err := json.Marshal(newUpstream(t, "a", succeed).entry())
	must.NoError(t, err)
	return sourcedBatch{source: sourceStore, batch: mirror.Batch{
		Full: true, Revision: 1, AsOf: asOf, ContactAt: contactAt, Items: []mirror.Item{{Key: "upstream/a", Value: text, Revision: 1}},
	}}
}

// removal returns a batch that removes the upstream of stateWithUpstream.
func removal(source string, asOf time.Time) sourcedBatch {
	return sourcedBatch{source: source, after: 1, batch: mirror.Batch{
		Revision: 2, AsOf: asOf, ContactAt: bootclock.Now(), Items: []mirror.Item{{Key: "upstream/a", Revision: 2, Deleted: true}},
	}}
}

// silentStore is a store whose watches get no response once they are silenced, while calls over new connections are served.
type silentStore struct {
	*fakeStore
	silenced atomic.Bool
	// asked counts the calls over new connections.
	asked atomic.Int64
}

func (s *silentStore) Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error) {
	if !w.NewConnection && s.silenced.Load() {
		<-ctx.Done()
		return mirror.Batch{}, ctx.Err()
	}
	if w.NewConnection {
		s.asked.Add(1)
	}
	return s.fakeStore.Changes(ctx, w)
}

// A watch that is lost without a sign must not count as an outage of the store: an upstream that was removed meanwhile would stay in use.
func TestWatch_LostWithoutSign(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	store := &silentStore{fakeStore: f.store}
	g := f.startWith("silent", store)
	f.waitReady(g)
	store.silenced.Store(true)
	f.eventually("watch lost", func() bool { return g.configAge() > watchWait })
	f.store.remove("upstream/a")
	f.eventually("upstream gone", func() bool { return len(g.view.Load().upstreams) == 0 })
	f.eventually("store asked again", func() bool { return store.asked.Load() > 0 })
}

// slowStore is a store whose responses take long to arrive once it is slow, except for parts of the keys.
type slowStore struct {
	*fakeStore
	slow atomic.Bool
	// compacted is set while the changes are lost.
	compacted atomic.Bool
	// responses counts the slow responses that have begun, complete those that have ended, asked the calls over new connections.
	responses, complete, asked atomic.Int64
}

func (s *slowStore) Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error) {
	if w.NewConnection {
		s.asked.Add(1)
	}
	if s.compacted.Load() {
		return mirror.Batch{}, mirror.ErrCompacted
	}
	s.respond(ctx, w.Prefix, w.Progress)
	return s.fakeStore.Changes(ctx, w)
}

func (s *slowStore) Snapshot(ctx context.Context, prefix string, progress func(int)) (mirror.Batch, error) {
	s.respond(ctx, prefix, progress)
	return s.fakeStore.Snapshot(ctx, prefix, progress)
}

// respond takes the time of a response to arrive.
func (s *slowStore) respond(ctx context.Context, prefix string, progress func(int)) {
	if !s.slow.Load() || prefix != allKeys {
		return
	}
	s.responses.Add(1)
	for range 20 {
		progress(1)
		sleep.For(ctx, (watchWait+2*watchOverdue)/20)
	}
	s.complete.Add(1)
}

// A response that takes long to arrive must not be asked for again: two copies of the same changes would share the link.
func TestWatch_SlowResponseNotRepeated(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	store := &slowStore{fakeStore: f.store}
	g := f.startWith("slow", store)
	f.waitReady(g)
	store.slow.Store(true)
	f.eventually("slow response", func() bool { return store.responses.Load() == 1 })
	f.store.remove("upstream/a")
	f.eventually("next call", func() bool { return store.responses.Load() == 2 })
	must.SliceEmpty(t, g.view.Load().upstreams)
	must.Zero(t, store.asked.Load())
}

// An upstream that is removed while a large response arrives must be gone before the end of that response.
func TestWatch_UpstreamRemovedDuringSlowResponse(t *testing.T) {
	for name, compacted := range map[string]bool{"changes": false, "everything, the history is lost": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newUpstream(t, "a", succeed))
			store := &slowStore{fakeStore: f.store}
			g := f.startWith("slow", store)
			f.waitReady(g)
			f.gateway.Stop(context.Background()) // it would pass the removal on
			store.slow.Store(true)
			store.compacted.Store(compacted)
			f.eventually("slow response", func() bool { return store.responses.Load() == 1 })
			f.store.remove("upstream/a")
			f.eventually("upstream gone", func() bool { return len(g.view.Load().upstreams) == 0 })
			must.Zero(t, store.complete.Load())
		})
	}
}

// afterStore is a store that is unavailable while it is partitioned, and records the revision after which changes were asked for.
type afterStore struct {
	partitionedStore
	after atomic.Uint64
}

func (s *afterStore) Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error) {
	if !s.partitioned.Load() {
		s.after.Store(w.After)
	}
	return s.partitionedStore.Changes(ctx, w)
}

// A gateway must not ask the store for the changes that its neighbours have brought while the store turned it away: large ones would fill its link
// once more.
func TestWatch_ChangesFromNeighboursAreNotRepeated(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	store := &afterStore{partitionedStore: partitionedStore{fakeStore: f.store}}
	g := f.startWith("two", store)
	f.waitReady(g)
	f.eventually("peer connected", func() bool { return len(g.peers.neighbourConns()) == 1 })
	store.partitioned.Store(true)
	f.store.remove("upstream/a")
	f.eventually("change from the neighbour", func() bool { return len(g.view.Load().upstreams) == 0 })
	reached := g.revision.Load()
	store.after.Store(0)
	store.partitioned.Store(false)
	f.eventually("next watch", func() bool { return store.after.Load() > 0 })
	must.GreaterEq(t, reached, store.after.Load())
}

// longHistoryStore is a store whose changes since any revision have a given size.
type longHistoryStore struct {
	*fakeStore
	changes, snapshots atomic.Int64
}

func (s *longHistoryStore) Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error) {
	if int(s.changes.Load()) > w.MaxBytes {
		return mirror.Batch{}, mirror.ErrTooManyChanges
	}
	return s.fakeStore.Changes(ctx, w)
}

func (s *longHistoryStore) Snapshot(ctx context.Context, prefix string, progress func(int)) (mirror.Batch, error) {
	s.snapshots.Add(1)
	return s.fakeStore.Snapshot(ctx, prefix, progress)
}

// A gateway that has missed more changes than its link can carry must read the store's content, which is smaller, and not ask for them for ever.
func TestWatch_ChangesLargerThanContent(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	store := &longHistoryStore{fakeStore: f.store}
	g := f.startWith("behind", store)
	f.waitReady(g)
	f.gateway.Stop(context.Background()) // it would pass the removal on
	read := store.snapshots.Load()
	store.changes.Store(maxChangesOverCopy)
	f.store.put("other", strings.Repeat("x", maxChangesOverCopy))
	f.eventually("changes read", func() bool { return g.storeCopyBytes.Load() > maxChangesOverCopy })
	must.EqOp(t, read, store.snapshots.Load())
	store.changes.Store(3 * maxChangesOverCopy)
	f.store.remove("upstream/a")
	f.eventually("upstream gone", func() bool { return len(g.view.Load().upstreams) == 0 })
	must.Greater(t, read, store.snapshots.Load())
}
