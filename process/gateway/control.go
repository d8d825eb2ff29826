package gateway

import (
	"time"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/version/routing"
)

const (
	// maxQueuedBatches bounds the batches that wait for the control goroutine; the sources wait when it is full.
	maxQueuedBatches = 16
	// maxPosts bounds the functions that wait for the control goroutine; those that post try again when it is full.
	maxPosts = 64
	// controlTick is the time between looks at what only time changes. It is short against the seconds in which such beliefs expire.
	controlTick = 250 * time.Millisecond
	// trimPeriod is the time between looks for idle connections that are too old or closed. Each look costs a system call a connection.
	trimPeriod = 2 * time.Second
)

// sourceStore is the source of what the store itself answered.
const sourceStore = "store"

// received is a batch from a source.
type received struct {
	batch mirror.Batch
	// after is the revision that the batch continues from.
	after uint64
	// source is sourceStore or a peer's name.
	source string
	// applied, if set, is closed once the batch was applied.
	applied chan<- struct{}
}

// question asks the control goroutine what its copy of the store has beyond a revision.
type question struct {
	revision uint64
	// reply takes the answer on the control goroutine and must not block.
	reply func(mirror.Batch)
}

// view is the published state. It is immutable.
type view struct {
	table     *routing.Table
	upstreams []directory.Upstream
	revision  uint64
}

// state is what the control goroutine owns.
type state struct {
	g         *Gateway
	mirror    *mirror.Mirror
	directory *directory.Directory
	table     *routing.Table
	// evacuated are the data centres whose upstreams get nothing.
	evacuated map[string]struct{}
	// members are the registered gateways.
	members map[string]member
	// trimmed is when idle connections were last looked at.
	trimmed time.Time
	// leaving is the number of upstreams that were published as leaving.
	leaving int
	// ordered says that the orders of rollouts changed.
	ordered bool
	// changed says that the published view is out of date.
	changed bool
}

// control runs the control goroutine.
func (g *Gateway) control() {
	s := &state{
		g:         g,
		mirror:    mirror.New(),
		directory: directory.New(bootclock.Now(), directory.DefaultConfig()),
		evacuated: make(map[string]struct{}),
		members:   make(map[string]member),
	}
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	defer g.rollouts.stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case r := <-g.batches:
			s.apply(r)
		case q := <-g.questions:
			q.reply(s.mirror.Since(q.revision))
		case f := <-g.posts:
			f()
		case <-ticker.C:
			s.tick()
		case <-g.rollouts.ticks:
			g.rollouts.tick(time.Now(), s.members)
		}
		s.publish()
	}
}

func (s *state) apply(r received) {
	items := s.mirror.Apply(r.after, r.batch)
	now := bootclock.Now()
	if asOf := s.mirror.AsOf(); !asOf.IsZero() {
		contact := asOf
		if r.source == sourceStore {
			contact = now // an answer shows that the store is well, even if its content may be older
		}
		s.directory.Contact(contact)
		s.g.confirmed.Store(asOf.UnixNano())
	}
	s.g.revision.Store(s.mirror.Revision())
	joined := false
	for _, item := range items {
		joined = s.takeMember(item) || joined
		s.take(now, item, r.source)
		s.g.rollouts.record(time.Now(), item)
	}
	if s.ordered {
		s.ordered = false
		s.g.rollouts.set(time.Now(), s.otherVersion)
	}
	if joined {
		s.g.peers.setMembers(s.members)
		s.changed = true // shares of limits depend on the number of members
	}
	if r.applied != nil {
		close(r.applied)
	}
}

// take changes the beliefs by one item.
func (s *state) take(now time.Time, item mirror.Item, source string) {
	fact, err := s.g.decoder.Decode(item)
	if err != nil {
		event.Log(event.FactInvalid, "key", item.Key, "revision", item.Revision, "source", source, "error", err)
	}
	switch fact.Kind {
	case FactConfig:
		s.takeConfig(fact, err, item.Revision, source)
	case FactUpstream:
		s.takeUpstream(now, fact, err, item.Revision, source)
	case FactEvacuation:
		s.takeEvacuation(fact, item.Revision, source)
	case FactRollout:
		s.takeRollout(fact, err, item.Revision, source)
	case FactRolloutStatus:
		if err == nil {
			s.g.rollouts.status(fact, item.Revision)
		}
	}
}

// takeRollout takes an order. One that cannot be read leaves the one before in force.
func (s *state) takeRollout(fact Fact, err error, revision uint64, source string) {
	if err != nil {
		return
	}
	s.ordered = true
	s.g.rollouts.order(time.Now(), fact, revision)
	event.Log(event.RolloutOrdered, "service", fact.Name, "target", fact.Rollout.Target, "within_ms", fact.Rollout.Within.Milliseconds(),
		"withdrawn", fact.Deleted, "revision", revision, "source", source)
}

// otherVersion is the version that most usable upstreams of a service run besides a given one.
func (s *state) otherVersion(service, besides string) string {
	counts := make(map[string]int)
	most := "none"
	for _, u := range s.directory.Usable() {
		if u.Service != service || u.Version == besides {
			continue
		}
		if counts[u.Version]++; counts[u.Version] > counts[most] {
			most = u.Version
		}
	}
	return most
}

// takeMember takes a gateway's registration and says whether it changed.
func (s *state) takeMember(item mirror.Item) bool {
	name, m, ok, err := memberOf(item.Key, item.Value, item.Deleted)
	if !ok {
		return false
	}
	if err != nil {
		event.Log(event.FactInvalid, "key", item.Key, "revision", item.Revision, "error", err)
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

// takeConfig adopts a newer version. The last good one stays in force if the item is unreadable or gone.
func (s *state) takeConfig(fact Fact, err error, revision uint64, source string) {
	if err != nil || fact.Deleted {
		return
	}
	if s.table != nil && fact.Config.Version <= s.table.Version() {
		return
	}
	table, err := routing.NewTable(fact.Config)
	if err != nil {
		event.Log(event.FactInvalid, "version", fact.Config.Version, "revision", revision, "source", source, "error", err)
		return
	}
	s.table = table
	s.changed = true
	event.Log(event.ConfigAdopted, "version", table.Version(), "routes", len(fact.Config.Routes), "teams", len(fact.Config.Teams),
		"idle_ms", table.Limits().IdleTimeout.Milliseconds(),
		"revision", revision, "source", source)
}

func (s *state) takeUpstream(now time.Time, fact Fact, err error, revision uint64, source string) {
	var change directory.Change
	var changed bool
	if err != nil || fact.Deleted {
		change, changed = s.directory.Unlisted(now, fact.Name)
	} else {
		change, changed = s.directory.Listed(now, fact.Upstream)
	}
	if !changed {
		return
	}
	s.changed = true
	event.Log(event.UpstreamChanged, "upstream", change.ID, "from", change.From.String(), "to", change.To.String(),
		"restarted", change.Restarted, "address", fact.Upstream.Address, "version", fact.Upstream.Version,
		"cold_ms", fact.Upstream.ColdFor.Milliseconds(), "revision", revision, "source", source)
}

func (s *state) takeEvacuation(fact Fact, revision uint64, source string) {
	id := event.DrainStarted
	if fact.Deleted {
		id = event.DrainEnded
		delete(s.evacuated, fact.Name)
	} else {
		s.evacuated[fact.Name] = struct{}{}
	}
	s.changed = true
	event.Log(id, "data_centre", fact.Name, "revision", revision, "source", source)
}

func (s *state) tick() {
	for _, change := range s.directory.Tick(bootclock.Now()) {
		s.changed = true
		event.Log(event.UpstreamChanged, "upstream", change.ID, "from", change.From.String(), "to", change.To.String(), "source", "time")
	}
	if len(s.directory.Leaving(bootclock.Now())) != s.leaving {
		s.changed = true
	}
	if now := time.Now(); now.Sub(s.trimmed) >= trimPeriod {
		s.trimmed = now
		s.g.pools.trim()
	}
}

// publish makes changed beliefs visible to request goroutines.
func (s *state) publish() {
	if !s.changed || s.table == nil {
		return
	}
	s.changed = false
	v := &view{table: s.table, revision: s.mirror.Revision()}
	leaving := s.directory.Leaving(bootclock.Now())
	s.leaving = len(leaving)
	for _, u := range s.directory.Usable() {
		if _, evacuated := s.evacuated[u.DataCentre]; evacuated {
			leaving = append(leaving, u)
		} else {
			v.upstreams = append(v.upstreams, u)
		}
	}
	s.g.balancer.SetUpstreams(v.upstreams, leaving, s.table.Service)
	s.g.pools.retain(v.upstreams, s.table, int(s.g.entries.Load()))
	s.g.view.Store(v)
}
