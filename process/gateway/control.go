package gateway

import (
	"sync/atomic"
	"time"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// maxQueuedBatches is the capacity of the control goroutine's queue of batches. Sources block when it is full.
	maxQueuedBatches = 16
	// maxQueuedTasks is the capacity of the control goroutine's queue of functions. Senders retry or block when it is full.
	maxQueuedTasks = 64
	// controlTick is the interval of the checks for expired state. It is short compared with the expiry times, which are seconds.
	controlTick = 250 * time.Millisecond
	// trimPeriod is the interval at which idle connections are checked for age and closure. A check costs one system call per connection.
	trimPeriod = 2 * time.Second
)

// sourceStore is the source name of batches that come from the store itself.
const sourceStore = "store"

// sourcedBatch is a batch with its origin.
type sourcedBatch struct {
	batch mirror.Batch
	// after is the base revision of a batch that is not full.
	after uint64
	// source is sourceStore or a peer's name.
	source string
	// applied, if set, is closed once the batch has been applied.
	applied chan<- struct{}
}

// view is the published state that request goroutines read. All of it but confirmedAt is immutable.
type view struct {
	table     *routing.Table
	upstreams []directory.Upstream
	revision  uint64
	// confirmedAt is the latest time at which the view was known to match the store, in bootclock nanoseconds. A confirmation counts for the view that
	// holds all changes of the confirmed copy, and not for the one before, which requests may still use.
	confirmedAt atomic.Int64
}

// age returns the time since the view was last known to match the store; the time since boot if there is no view.
func (v *view) age() time.Duration {
	confirmed := time.Unix(0, 0)
	if v != nil {
		confirmed = time.Unix(0, v.confirmedAt.Load())
	}
	return bootclock.Now().Sub(confirmed)
}

// state is the state owned by the control goroutine.
type state struct {
	g         *Gateway
	mirror    *mirror.Mirror
	directory *directory.Directory
	table     *routing.Table
	// evacuated are the data centres whose upstreams get no requests.
	evacuated map[string]struct{}
	// members are the registered gateways.
	members map[string]member
	// contactSource is the source of the latest contact that the directory recorded.
	contactSource string
	// trimmedAt is the time of the latest trim of idle connections.
	trimmedAt time.Time
	// leavingCount is the number of leaving upstreams at the latest publish.
	leavingCount int
	// ordersChanged is set when rollout orders changed and the driver has not been updated.
	ordersChanged bool
	// viewStale is set when the published view is out of date.
	viewStale bool
}

// control is the loop of the control goroutine.
func (g *Gateway) control() {
	s := &state{
		g:         g,
		mirror:    mirror.New(),
		directory: directory.New(bootclock.Now(), directory.DefaultConfig()),
		evacuated: make(map[string]struct{}),
		members:   make(map[string]member),
	}
	g.rollouts.directory = s.directory
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	defer g.rollouts.stopTicker()
	for {
		select {
		case <-g.ctx.Done():
			return
		case r := <-g.batches:
			s.apply(r)
		case query := <-g.mirrorQueries:
			query(s.mirror)
		case f := <-g.tasks:
			f()
		case <-ticker.C:
			s.tick()
		case <-g.rollouts.ticks:
			g.rollouts.tick(time.Now(), s.members)
		}
		s.publish()
	}
}

// apply applies a batch to the copy of the store and its changed items to the state.
func (s *state) apply(r sourcedBatch) {
	epoch, revision, confirmedAt := s.mirror.Epoch(), s.mirror.Revision(), s.mirror.AsOf()
	items := s.mirror.Apply(r.after, r.batch)
	now := bootclock.Now()
	if revision > 0 && s.mirror.Epoch() != epoch {
		items = s.g.restored.begin(now, items, s.mirror.Revision(), confirmedAt)
		s.directory.RecordRestore(now)
		s.g.writeAgain()
		event.Log(event.StoreRestored, "epoch", s.mirror.Epoch(), "revision", s.mirror.Revision(), "last_epoch", epoch, "last_revision", revision,
			"changed", len(items), "kept", len(s.g.restored.removals), "source", r.source)
	}
	s.recordContact(s.mirror.ContactAt(), r.source)
	if asOf := s.mirror.AsOf(); !asOf.IsZero() {
		s.g.copyConfirmedAt.Store(asOf.UnixNano())
	}
	s.g.revision.Store(s.mirror.Revision())
	s.g.storeCopyBytes.Store(int64(s.mirror.Bytes()))
	s.applyItems(now, items, r.source)
	if r.applied != nil {
		close(r.applied)
	}
}

// applyItems updates the state with changed items.
func (s *state) applyItems(now time.Time, items []mirror.Item, source string) {
	membersChanged := false
	for _, item := range items {
		membersChanged = s.applyMember(item) || membersChanged
		s.g.crashes.applyStored(now, item)
		s.applyItem(now, item, source)
		s.g.rollouts.applyRecord(time.Now(), item)
		s.g.usage.applyItem(now, item)
		s.g.scale.applyItem(now, item)
	}
	if s.ordersChanged {
		s.ordersChanged = false
		s.g.rollouts.updateDriver(time.Now(), s.mostCommonOtherVersion)
	}
	if membersChanged {
		s.g.peers.setMembers(s.members)
		s.viewStale = true // the shares of limits depend on the number of members
	}
}

// recordContact records that the store was available at a time, as told by a source.
func (s *state) recordContact(at time.Time, source string) {
	if !at.After(s.directory.ContactAt()) {
		return
	}
	if gap := s.directory.RecordContact(at); gap > 0 {
		event.Log(event.ListOutageEnded, "gap_ms", gap.Milliseconds(), "source", source, "contact_before_from", s.contactSource,
			"age_ms", bootclock.Now().Sub(at).Milliseconds())
	}
	s.contactSource = source
}

// applyItem updates the state with one changed item.
func (s *state) applyItem(now time.Time, item mirror.Item, source string) {
	decoded, err := s.g.decoder.Decode(item)
	if err != nil {
		event.Log(event.StoreItemInvalid, "key", item.Key, "revision", item.Revision, "source", source, "error", err)
	}
	switch decoded.Kind {
	case ItemConfig:
		s.g.restored.configWritten(item.Revision)
		s.applyConfig(decoded, err, item.Revision, source)
	case ItemUpstream:
		s.applyUpstream(now, decoded, err, item.Revision, source)
	case ItemEvacuation:
		s.applyEvacuation(decoded, item.Revision, source)
	case ItemRollout:
		s.applyRolloutOrder(decoded, err, item.Revision, source)
	case ItemRolloutStatus:
		if err == nil {
			s.g.rollouts.applyStatus(decoded, item.Revision)
		}
	}
}

// applyRolloutOrder applies a rollout order. If it cannot be decoded, the previous order stays active.
func (s *state) applyRolloutOrder(decoded DecodedItem, err error, revision uint64, source string) {
	if err != nil {
		return
	}
	s.ordersChanged = true
	s.g.rollouts.applyOrder(time.Now(), decoded, revision)
	event.Log(event.RolloutOrderReceived, "service", decoded.Name, "target", decoded.Rollout.Target, "within_ms", decoded.Rollout.TimeLimit.Milliseconds(),
		"withdrawn", decoded.Deleted, "revision", revision, "source", source)
}

// mostCommonOtherVersion returns the version that most usable upstreams of a service run, not counting the given version. It returns
// "none" if there is no other version.
func (s *state) mostCommonOtherVersion(service, excluded string) string {
	counts := make(map[string]int)
	most := "none"
	for _, u := range s.directory.Usable() {
		if u.Service != service || u.Version == excluded {
			continue
		}
		if counts[u.Version]++; counts[u.Version] > counts[most] {
			most = u.Version
		}
	}
	return most
}

// applyMember applies a gateway's registration and reports whether it changed.
func (s *state) applyMember(item mirror.Item) bool {
	name, m, ok, err := decodeMember(item.Key, item.Value, item.Deleted)
	if !ok {
		return false
	}
	if err != nil {
		event.Log(event.StoreItemInvalid, "key", item.Key, "revision", item.Revision, "error", err)
		return false
	}
	known, found := s.members[name]
	if item.Deleted {
		delete(s.members, name)
		return found
	}
	s.members[name] = m
	return !found || known != m
}

// applyConfig adopts a newer version of the configuration. If the item is invalid or deleted, the last valid version stays active.
func (s *state) applyConfig(decoded DecodedItem, err error, revision uint64, source string) {
	if err != nil || decoded.Deleted {
		return
	}
	if s.table != nil && decoded.Config.Version <= s.table.Version() {
		return
	}
	table, err := routing.NewTable(decoded.Config)
	if err != nil {
		event.Log(event.StoreItemInvalid, "version", decoded.Config.Version, "revision", revision, "source", source, "error", err)
		return
	}
	s.table = table
	s.viewStale = true
	event.Log(event.ConfigAdopted, "version", table.Version(), "routes", len(decoded.Config.Routes), "teams", len(decoded.Config.Teams),
		"idle_ms", table.Limits().IdleTimeout.Milliseconds(),
		"revision", revision, "source", source)
	logClampedPriorities(table.Version(), table.ClampedPriorities())
}

func (s *state) applyUpstream(now time.Time, decoded DecodedItem, err error, revision uint64, source string) {
	var change directory.Change
	var changed bool
	if err != nil || decoded.Deleted {
		change, changed = s.directory.RemoveEntry(now, decoded.Name)
	} else {
		change, changed = s.directory.ApplyEntry(now, decoded.Upstream)
	}
	if !changed {
		return
	}
	s.viewStale = true
	event.Log(event.UpstreamChanged, "upstream", change.ID, "from", change.From.String(), "to", change.To.String(),
		"restarted", change.Restarted, "address", decoded.Upstream.Address, "version", decoded.Upstream.Version,
		"cold_ms", decoded.Upstream.ColdFor.Milliseconds(), "revision", revision, "source", source)
}

func (s *state) applyEvacuation(decoded DecodedItem, revision uint64, source string) {
	id := event.DrainStarted
	if decoded.Deleted {
		id = event.DrainEnded
		delete(s.evacuated, decoded.Name)
	} else {
		s.evacuated[decoded.Name] = struct{}{}
	}
	s.viewStale = true
	event.Log(id, "data_centre", decoded.Name, "revision", revision, "source", source)
}

// tick applies the passing of time. A response of the store that is arriving shows that the store is available, however long it takes.
func (s *state) tick() {
	if at := s.g.storeProgressAt.Load(); at > 0 {
		s.recordContact(time.Unix(0, at), sourceStore)
	}
	s.applyItems(bootclock.Now(), s.g.restored.due(bootclock.Now(), s.mirror), sourceStore)
	for _, change := range s.directory.Tick(bootclock.Now()) {
		s.viewStale = true
		event.Log(event.UpstreamChanged, "upstream", change.ID, "from", change.From.String(), "to", change.To.String(), "source", "time")
	}
	s.publishScaling(bootclock.Now())
	if len(s.directory.Leaving(bootclock.Now())) != s.leavingCount {
		s.viewStale = true
	}
	if now := time.Now(); now.Sub(s.trimmedAt) >= trimPeriod {
		s.trimmedAt = now
		s.g.pools.trim()
	}
}

// publish builds a new view if the state has changed, and makes it visible to request goroutines. The view in force is confirmed as of the copy of the
// store, whose changes have all been applied, unless the store has been restored and may lack a newer configuration.
func (s *state) publish() {
	if s.table == nil {
		return
	}
	confirmedAt := s.g.restored.confirmation(bootclock.Now(), s.mirror.AsOf()).UnixNano()
	if !s.viewStale {
		s.g.view.Load().confirmedAt.Store(confirmedAt)
		return
	}
	s.viewStale = false
	v := &view{table: s.table, revision: s.mirror.Revision()}
	v.confirmedAt.Store(confirmedAt)
	leaving := s.directory.Leaving(bootclock.Now())
	s.leavingCount = len(leaving)
	for _, u := range s.directory.Usable() {
		if _, evacuated := s.evacuated[u.DataCentre]; evacuated {
			leaving = append(leaving, u)
		} else {
			v.upstreams = append(v.upstreams, u)
		}
	}
	s.g.balancer.SetUpstreams(v.upstreams, leaving, s.table.Service)
	s.g.pools.retain(v.upstreams, s.table, int(s.g.gatewayCount.Load()))
	if s.g.view.Swap(v) == nil {
		close(s.g.configured)
	}
}
