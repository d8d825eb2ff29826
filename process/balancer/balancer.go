// Package balancer tracks the load and health of each upstream at an entry, and selects upstreams for requests.
//
// It combines the stateless placement decision with health, cold start and the counts of requests in flight. Methods that depend on
// the time take it as an argument. All may be called from any goroutine; none does I/O.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/process/capacity"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/version/routing"
)

// Config configures a Balancer.
type Config struct {
	// DataCentre is the data centre of the entry.
	DataCentre string
	Placement  placement.Config
	Health     health.Config
	// PeerLoadMaxAge is how long a peer's load report is used.
	PeerLoadMaxAge time.Duration
	// ReportedTotalMaxAge is how long the total load that an upstream reported is used if load reports of some peers are missing.
	ReportedTotalMaxAge time.Duration
	// Capacity configures the estimates of what each upstream takes. LearnCapacity applies them.
	Capacity      capacity.Config
	LearnCapacity bool
	// Seed is the seed of the random tie breaker. It also sets the phase of the entry's rate window while its position is unknown.
	Seed uint64
}

// DefaultConfig returns the default settings of an entry in a data centre.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:          dataCentre,
		Placement:           placement.DefaultConfig(),
		Health:              health.DefaultConfig(),
		PeerLoadMaxAge:      1200 * time.Millisecond, // three times the longest interval between a peer's reports
		ReportedTotalMaxAge: 2 * time.Second,         // about the duration of a long answer
		Capacity:            capacity.DefaultConfig(),
		LearnCapacity:       true,
	}
}

// Balancer selects upstreams for the requests of one entry. It is safe for concurrent use.
type Balancer struct {
	config Config

	mu     sync.Mutex
	random *rand.Rand
	// backends are the upstreams by ID, byHash by the hash of the ID.
	backends map[string]*backend
	byHash   map[uint64]*backend
	services map[string][]*backend
	// capacities are the upstreams with their estimates.
	capacities capacities
	// entries is the number of entries that share the limits of the fleet, position this entry's place among them, negative if it is unknown.
	// timeOfDay is added to a time to get the time of day, which all entries have in common.
	entries, position int
	timeOfDay         time.Duration
	credits           map[string]*credit
	// queueing is set while requests wait for places instead of being refused. paces and claims then hold the state of services by name.
	queueing bool
	paces    map[string]*pace
	claims   map[string]float64
	peers    map[string]peerLoad
	remote   remoteLoads
	// limitUpdates are the changed rate limits that the peers have not been told.
	limitUpdates []RateLimit
	updates      holderUpdates
	// scratch is reused between decisions.
	scratch []placement.Upstream
}

// backend is the balancer's state of one upstream process; a restarted upstream gets a new one.
type backend struct {
	directory.Upstream
	hash  uint64
	local bool
	// leaving is set while the upstream shuts down and takes no new requests.
	leaving bool
	monitor *health.Monitor
	cache   *placement.Cache
	// coldRate is the rate of requests that the upstream takes from all entries while it is cold, in requests per second; zero if there is no limit.
	coldRate float64
	// limiter holds this entry's share of the rate in force.
	limiter *rate.Limiter
	// fetchRate is the rate at which the upstream copies cached prompts from others, in tokens per millisecond.
	fetchRate float64
	// inFlight is the number of this entry's requests in flight, pendingTokens the number of their prompt tokens that the upstream
	// has not processed yet.
	inFlight      int
	pendingTokens int
	// reportedTotal is the number of requests of all entries according to the upstream's latest answer to this entry or a peer.
	reportedTotal int
	reportedAt    time.Time
	// rateLimit is the rate of requests that the upstream named, in requests per second from all entries; negative if it named none. rateLimitAt is
	// the time of the answer that it comes from.
	rateLimit   float64
	rateLimitAt time.Time
	// capacity is what is known of the speed of the upstream. shared and announced are the latest estimates that peers were told and that were logged.
	capacity          *capacity.Upstream
	shared, announced announcedCapacity
	// answeredSinceLoads is set if the upstream answered a request of this entry since the last call of Loads.
	answeredSinceLoads bool
}

type peerLoad struct {
	loads map[uint32]Load
	at    time.Time
}

// Load is the load on an upstream as one entry knows it.
type Load struct {
	// Requests is the number of the entry's requests in flight, PendingTokens the number of their prompt tokens that the upstream
	// has not processed yet.
	Requests, PendingTokens int
	// Total is the number of requests of all entries according to the upstream's latest answer, Age the time since that answer.
	// Zero for both means unknown.
	Total int
	Age   time.Duration
}

// New returns a balancer without upstreams.
func New(config Config) *Balancer {
	return &Balancer{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		backends: make(map[string]*backend),
		byHash:   make(map[uint64]*backend),
		services: make(map[string][]*backend),
		credits:  make(map[string]*credit),
		paces:    make(map[string]*pace),
		claims:   make(map[string]float64),
		peers:    make(map[string]peerLoad),
		entries:  1,
		position: -1,
	}
}

// SetUpstreams replaces the set of upstreams. Upstreams that stay keep their state; one that restarted under the same ID or moved to
// another address gets a new state. Leaving upstreams take no requests, but others can copy cached prompts from them.
func (b *Balancer) SetUpstreams(upstreams, leaving []directory.Upstream, services func(name string) *routing.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*backend, len(upstreams)+len(leaving))
	clear(b.services)
	clear(b.byHash)
	for i, u := range slices.Concat(upstreams, leaving) {
		service := services(u.Service)
		if service == nil {
			continue
		}
		e := b.backends[u.ID]
		if e == nil || e.Started != u.Started || e.Address != u.Address {
			e = b.newBackend(u, service)
			e.capacity = b.capacities.estimator(u.Service, b.config.Capacity).NewUpstream()
		}
		coldUntil := e.ColdUntil
		e.Upstream = u
		if coldUntil.After(u.ColdUntil) {
			e.ColdUntil = coldUntil // a probe found a later end than the published entry states
		}
		e.leaving = i >= len(upstreams)
		e.coldRate = max(0, service.MaxColdRate)
		e.fetchRate = service.FetchTokensPerMS
		e.capacity.SetSlots(u.Slots)
		next[u.ID] = e
		b.byHash[e.hash] = e
		b.services[u.Service] = append(b.services[u.Service], e)
	}
	b.backends = next
	b.capacities.set(b.services)
}

func (b *Balancer) newBackend(u directory.Upstream, service *routing.Service) *backend {
	return &backend{
		hash:      upstreamHash(u.ID),
		local:     u.DataCentre == b.config.DataCentre,
		monitor:   health.New(b.config.Health),
		cache:     placement.NewCache(service.CacheTokens * 3 / 4), // a quarter is left for answers and for what other entries send
		limiter:   rate.NewLimiter(0, 1),
		rateLimit: NoRateLimit,
	}
}

func upstreamHash(id string) uint64 { return xxhash.Sum64String(id) }

// shortHash identifies an upstream in messages. A collision only makes the loads of the two upstreams inaccurate.
func (e *backend) shortHash() uint32 { return uint32(e.hash) }

// creditOf returns the credit for a service. The caller holds b.mu.
func (b *Balancer) creditOf(service string) *credit {
	c := b.credits[service]
	if c == nil {
		c = &credit{}
		b.credits[service] = c
	}
	return c
}

// SetEntries sets the number of entries that share the limits of the fleet.
func (b *Balancer) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, n)
}

// SetPosition sets the place of this entry among the entries, from zero, and what to add to a time to get the time of day, by which the entries take
// turns. A negative position means that it is unknown.
func (b *Balancer) SetPosition(position int, timeOfDay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.position, b.timeOfDay = position, timeOfDay
}

// SetLoadFactor sets the maximum number of requests of an upstream, as a multiple of the mean of its service.
func (b *Balancer) SetLoadFactor(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Placement.LoadFactor = factor
}

// Query is a request that needs an upstream.
type Query struct {
	Service string
	// DataCentre reports whether the request may run in a data centre; nil permits all.
	DataCentre func(name string) bool
	Placement  placement.Request
	Parts      []placement.Part
	// Tried lists the IDs of the upstreams that must not get the request again.
	Tried []string
	// Versions reports which versions may run the request; nil permits all.
	Versions Versions
	// Class distinguishes requests to a plain service that take different times, for instance by their route.
	Class uint64
	// Started means that the caller has part of the answer. Such a request takes precedence over those that can still be refused.
	Started bool
	// Reserve returns the number of places that the request has to leave free for more urgent ones, nil means none. perSecond is the rate at which
	// this entry gets places, zero if it is not known. It is called only while places are scarce, under the balancer's lock.
	Reserve func(perSecond float64) float64
}

// Versions reports whether upstreams of a version may run a request.
type Versions func(version string) bool

// Choice is an upstream selected for one request. Done or Release must be called exactly once.
type Choice struct {
	directory.Upstream
	// Cached is the estimated number of the prompt's tokens in the upstream's cache.
	Cached int
	// Load is the estimated number of requests at the upstream at the time of the decision, Candidates the number of upstreams that
	// could take the request.
	Load       int
	Candidates int
	// LoadLimit is the number of requests from which an upstream took no more at the time of the decision. TotalAge is the age of the latest answer
	// to any entry in which the upstream told its load, negative if there was none.
	LoadLimit float64
	TotalAge  time.Duration
	// FetchFrom is the address of an upstream from which this one should copy Fetched tokens of the prompt, "" if it should process
	// all of them itself.
	FetchFrom string
	Fetched   int
	// PassedOver is the upstream with the most cached tokens of the prompt if it has more than the chosen one, else "". PassedLoad is
	// its load, PassedPending the number of prompt tokens that it has yet to process.
	PassedOver                string
	PassedLoad, PassedPending int
	// Scarce means that the entries had to share the free places of the service at the time of the decision.
	Scarce bool

	balancer      *Balancer
	backend       *backend
	chosenAt      time.Time
	pendingTokens int
	observed      observation
	plain         bool
}

// Pick selects the upstream for a request. It returns nil if none can take it.
func (b *Balancer) Pick(now time.Time, q Query) *Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	group := b.services[q.Service]
	if len(group) == 0 {
		return nil
	}
	b.scratch = b.scratch[:0]
	candidates := 0
	for _, e := range group {
		u := b.candidate(now, e, q)
		if !u.Excluded {
			candidates++
		}
		b.scratch = append(b.scratch, u)
	}
	q.Placement.FetchTokensPerMS = group[0].fetchRate
	free, scarce := freeSlots(b.scratch)
	limited := scarce && !q.Started && (q.Placement.Tokens > 0 || b.queueing)
	if limited && !b.takePlace(now, &q, free) {
		return nil
	}
	index, source := placement.Choose(b.config.Placement, q.Placement, b.scratch, b.random.Float64())
	if index < 0 {
		if limited {
			b.returnPlace(&q)
		}
		return nil
	}
	e := group[index]
	if _, limited := b.currentRate(now, e); limited {
		e.limiter.AllowN(now, 1)
	}
	c := &Choice{
		Upstream: e.Upstream, Cached: b.scratch[index].CachedTokens, Load: int(b.scratch[index].Load), Candidates: candidates,
		LoadLimit: b.config.Placement.LoadLimit(b.scratch), TotalAge: e.totalAge(now),
		balancer: b, backend: e, chosenAt: now, pendingTokens: max(0, q.Placement.Tokens-b.scratch[index].CachedTokens),
		Scarce: limited, plain: q.Placement.Tokens == 0,
	}
	if source >= 0 {
		c.FetchFrom = group[source].Address
		c.Fetched = b.scratch[source].CachedTokens - c.Cached
		c.pendingTokens = max(0, c.pendingTokens-c.Fetched)
	}
	c.observed = observation{
		prompt: c.pendingTokens, pending: int(b.scratch[index].PendingTokens), load: c.Load + 1, plain: q.Placement.Tokens == 0, class: q.Class,
	}
	c.recordPassedOver(group, index)
	e.inFlight++
	e.pendingTokens += c.pendingTokens
	b.updates.add(now, e, e.cache.Record(q.Parts))
	return c
}

// recordPassedOver sets PassedOver, which is logged.
func (c *Choice) recordPassedOver(group []*backend, chosen int) {
	scratch := c.balancer.scratch
	most := chosen
	for i := range scratch {
		if scratch[i].CachedTokens > scratch[most].CachedTokens {
			most = i
		}
	}
	if most != chosen {
		c.PassedOver, c.PassedLoad, c.PassedPending = group[most].ID, int(scratch[most].Load), int(scratch[most].PendingTokens)
	}
}

func (b *Balancer) candidate(now time.Time, e *backend, q Query) placement.Upstream {
	requests, pending := b.remoteLoad(now, e)
	u := placement.Upstream{
		Hash:          e.hash,
		Local:         e.local,
		Load:          float64(e.inFlight + requests),
		Slots:         e.Slots,
		PendingTokens: float64(e.pendingTokens + pending),
		CachedTokens:  e.cache.CachedTokens(q.Parts),
		Chats:         e.cache.Len(),
		FailureRate:   e.monitor.FailureRate(now),
		Excluded:      e.leaving || e.monitor.Down(),
		Serving:       !e.monitor.Down(),
		FetchSource:   !e.monitor.Down(),
	}
	if b.config.LearnCapacity {
		estimate := e.capacity.Estimate(now)
		u.Speed, u.UsefulLoad = estimate.Speed, estimate.UsefulLoad
	}
	for _, id := range q.Tried {
		u.Excluded = u.Excluded || id == e.ID
	}
	if q.DataCentre != nil && !q.DataCentre(e.DataCentre) || q.Versions != nil && !q.Versions(e.Version) {
		u.Excluded = true
	}
	if perSecond, limited := b.currentRate(now, e); limited && (e.limiter.TokensAt(now) < 1 || !b.inRateWindow(now, e, perSecond)) {
		u.Excluded = true
	}
	return u
}

// remoteLoads holds the sums of the peers' loads. They are computed when they are needed, since peers report more often than requests are placed.
type remoteLoads struct {
	sums map[uint32]Load
	// heard is the number of peers whose reports are in the sums.
	heard int
	// outdated is set if a peer has reported since, validUntil is when the first report in the sums becomes too old.
	outdated   bool
	validUntil time.Time
}

func (b *Balancer) updateRemoteLoads(now time.Time) {
	r := &b.remote
	if r.sums != nil && !r.outdated && !now.After(r.validUntil) {
		return
	}
	*r = remoteLoads{sums: make(map[uint32]Load, len(r.sums)), validUntil: now.Add(b.config.PeerLoadMaxAge)}
	for _, p := range b.peers {
		expires := p.at.Add(b.config.PeerLoadMaxAge)
		if now.After(expires) {
			continue
		}
		if expires.Before(r.validUntil) {
			r.validUntil = expires
		}
		r.heard++
		for hash, l := range p.loads {
			sum := r.sums[hash]
			sum.Requests += l.Requests
			sum.PendingTokens += l.PendingTokens
			r.sums[hash] = sum
		}
	}
}

// remoteLoad returns the load of other entries on an upstream. It is the sum of their reports if those of all entries are recent
// enough. Otherwise the total in the upstream's latest answer to any entry is used if it is higher and recent enough.
func (b *Balancer) remoteLoad(now time.Time, e *backend) (requests, pending int) {
	b.updateRemoteLoads(now)
	sum := b.remote.sums[e.shortHash()]
	requests, pending = sum.Requests, sum.PendingTokens
	if b.remote.heard < b.entries-1 && now.Sub(e.reportedAt) <= b.config.ReportedTotalMaxAge {
		return max(requests, e.reportedTotal-e.inFlight), pending
	}
	return requests, pending
}

// totalAge returns the time since the upstream told its load in an answer to any entry, negative if it has not.
func (e *backend) totalAge(now time.Time) time.Duration {
	if e.reportedAt.IsZero() {
		return -1
	}
	return now.Sub(e.reportedAt)
}

// SetPeerLoad records another entry's loads, which are keyed by the short hash of the upstream's ID.
func (b *Balancer) SetPeerLoad(now time.Time, peer string, loads map[uint32]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = peerLoad{loads, now}
	b.remote.outdated = true
	for _, e := range b.backends {
		l, found := loads[e.shortHash()]
		if !found || l.Total == 0 && l.Age == 0 {
			continue
		}
		if at := now.Add(-l.Age); at.After(e.reportedAt) {
			e.reportedTotal, e.reportedAt = e.plausibleTotal(l.Total), at
		}
	}
}

// RemovePeerLoad drops the loads of an entry that is no longer connected.
func (b *Balancer) RemovePeerLoad(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, peer)
	b.remote.outdated = true
}

// Loads returns the load of each upstream that has requests of this entry in flight or has answered one since the last call.
func (b *Balancer) Loads(now time.Time) map[uint32]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[uint32]Load)
	for _, e := range b.backends {
		if e.inFlight == 0 && !e.answeredSinceLoads {
			continue
		}
		l := Load{Requests: e.inFlight, PendingTokens: e.pendingTokens}
		if e.answeredSinceLoads {
			l.Total, l.Age = e.reportedTotal, now.Sub(e.reportedAt)
		}
		e.answeredSinceLoads = false
		loads[e.shortHash()] = l
	}
	return loads
}

// AnswerStarted records that the answer began, which means that the prompt is processed. total is the number of requests that the upstream
// reports to hold, or -1 if it reports none.
func (c *Choice) AnswerStarted(now time.Time, total int) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.markPromptRead()
	c.observed.answered = now
	if total >= 0 {
		total = c.backend.plausibleTotal(total)
		c.backend.reportedTotal, c.backend.reportedAt, c.backend.answeredSinceLoads = total, now, true
	}
}

// maxTotalFactor bounds the total that an upstream reports, as a multiple of its slots. A higher one would raise the mean of the service, and with it
// the load bound of all upstreams.
const maxTotalFactor = 4

func (e *backend) plausibleTotal(total int) int {
	if e.Slots <= 0 {
		return total
	}
	return min(total, max(maxTotalFactor*e.Slots, e.inFlight))
}

func (c *Choice) markPromptRead() {
	c.backend.pendingTokens -= c.pendingTokens
	c.pendingTokens = 0
}

// Usable reports whether the upstream still takes requests. It may have left, have been drained or have restarted since it was chosen.
func (c *Choice) Usable() bool {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backends[c.ID] == c.backend && !c.backend.leaving
}

// Busy reports whether the upstream answered any entry since the request was sent, and has so many requests that this one may still wait for its turn
// there. Silence then does not mean that the upstream is at fault.
func (c *Choice) Busy(now time.Time) bool {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	e := c.backend
	if !e.reportedAt.After(c.chosenAt) {
		return false
	}
	requests, _ := b.remoteLoad(now, e)
	return e.Slots > 0 && max(e.inFlight+requests, e.reportedTotal) > e.Slots
}

// Done ends the request and records its outcome. It reports whether the upstream went down because of it.
func (c *Choice) Done(now time.Time, o health.Outcome) bool {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.markPromptRead()
	if o == health.Answered {
		c.observePlainResponse(now)
	}
	c.backend.inFlight--
	b.creditOf(c.Service).ended()
	switch {
	case !c.plain:
	case o == health.Answered:
		b.paceOf(c.Service).answered(now.Sub(c.chosenAt))
	case o == health.Rejected:
		b.paceOf(c.Service).refused()
	}
	return c.backend.monitor.Record(now, o)
}

// Unreachable records that an upstream could not be reached, independently of a request. It reports whether the upstream went down
// because of it.
func (b *Balancer) Unreachable(now time.Time, u *directory.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.backends[u.ID]
	return e != nil && e.Started == u.Started && e.monitor.Record(now, health.Unreachable)
}

// Release ends the request without an outcome, for instance because the caller disconnected.
func (c *Choice) Release() {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.markPromptRead()
	c.backend.inFlight--
	b.creditOf(c.Service).ended()
}

// ProbesDue returns the upstreams that are down and due for a probe.
func (b *Balancer) ProbesDue(now time.Time) []directory.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []directory.Upstream
	for _, e := range b.backends {
		if !e.leaving && e.monitor.ProbeDue(now) {
			due = append(due, e.Upstream)
		}
	}
	return due
}

// RecordProbe records the result of a probe and reports whether the upstream came up because of it. coldFor is how much longer the
// upstream is cold.
func (b *Balancer) RecordProbe(now time.Time, u directory.Upstream, healthy bool, coldFor time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.backends[u.ID]
	if e == nil || e.Started != u.Started || !e.monitor.RecordProbe(now, healthy) {
		return false
	}
	if until := now.Add(coldFor); until.After(e.ColdUntil) {
		e.ColdUntil = until
	}
	return true
}

// HasVersion reports whether the service has an upstream of one of the versions that is not shutting down, regardless of its health.
func (b *Balancer) HasVersion(service string, versions Versions) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[service], func(e *backend) bool { return !e.leaving && versions(e.Version) })
}

// CanServe reports whether the service has an upstream of one of the versions that takes requests and is not down.
func (b *Balancer) CanServe(service string, versions Versions) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[service], func(e *backend) bool { return !e.leaving && !e.monitor.Down() && versions(e.Version) })
}

// Down returns the number of upstreams of a service that are down, and the number of all its upstreams.
func (b *Balancer) Down(service string) (down, all int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.services[service] {
		if e.monitor.Down() {
			down++
		}
	}
	return down, len(b.services[service])
}

// UpstreamLoad is the load and condition of one upstream as this entry knows them.
type UpstreamLoad struct {
	ID, DataCentre string
	// Requests is the number of requests of all entries in flight.
	Requests int
	// Down means that the upstream cannot be used.
	Down bool
}

// ServiceLoads returns the loads of the upstreams of a service, leaving ones included.
func (b *Balancer) ServiceLoads(now time.Time, service string) []UpstreamLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []UpstreamLoad
	for _, e := range b.services[service] {
		requests, _ := b.remoteLoad(now, e)
		loads = append(loads, UpstreamLoad{ID: e.ID, DataCentre: e.DataCentre, Requests: e.inFlight + requests, Down: e.monitor.Down()})
	}
	return loads
}
