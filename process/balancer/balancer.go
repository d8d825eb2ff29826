// Package balancer keeps what an entry knows of each upstream's load and condition, and hands upstreams to requests.
//
// It joins the pure decisions of placement, health and cold start with the counts of requests in flight. All methods take the time and
// may be called from any goroutine; none does I/O.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/version/routing"
)

// Config sets the decisions of a balancer.
type Config struct {
	// DataCentre is that of the entry.
	DataCentre string
	Placement  placement.Config
	Health     health.Config
	// LoadFreshFor is how long a peer's statement about its load is used.
	LoadFreshFor time.Duration
	// TotalFreshFor is how long an upstream's statement about its load is used if not all peers are heard.
	TotalFreshFor time.Duration
	// Seed is that of the tie breaker.
	Seed uint64
}

// DefaultConfig returns the default settings of an entry in a data centre.
func DefaultConfig(dataCentre string) Config {
	return Config{
		DataCentre:    dataCentre,
		Placement:     placement.DefaultConfig(),
		Health:        health.DefaultConfig(),
		LoadFreshFor:  1200 * time.Millisecond, // three times the longest time between peers' reports
		TotalFreshFor: 2 * time.Second,         // about as long as a long answer takes
	}
}

// Balancer is safe for concurrent use.
type Balancer struct {
	config Config

	mu       sync.Mutex
	random   *rand.Rand
	backends map[string]*backend
	services map[string][]*backend
	// entries is the number of entries that share the fleet's limits.
	entries int
	peers   map[string]peerLoad
	news    news
	// scratch is reused between decisions.
	scratch []placement.Upstream
}

// backend is one start of an upstream.
type backend struct {
	directory.Upstream
	hash  uint64
	local bool
	// leaving upstreams take no requests.
	leaving  bool
	monitor  *health.Monitor
	cache    *placement.Cache
	cold     *rate.Limiter
	coldRate float64
	// fetchRate is the speed at which it copies prompts, in tokens per millisecond.
	fetchRate float64
	// inFlight are this entry's requests, pending their prompt tokens that were not read yet.
	inFlight int
	pending  int
	// total is the number of requests of all entries as its latest answer suggests, to this entry or to a peer.
	total   int
	totalAt time.Time
	// answered says that it answered a request of this entry since Loads was called.
	answered bool
}

type peerLoad struct {
	loads map[uint32]Load
	at    time.Time
}

// Load is what one entry knows of the load on an upstream.
type Load struct {
	// Requests of the entry are in flight; PendingTokens are of their prompts and not read yet.
	Requests, PendingTokens int
	// Total is what the upstream's latest answer suggests for all entries together, Age the time since then. Zero for both means unknown.
	Total int
	Age   time.Duration
}

// New returns a balancer without upstreams.
func New(config Config) *Balancer {
	return &Balancer{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		backends: make(map[string]*backend),
		services: make(map[string][]*backend),
		peers:    make(map[string]peerLoad),
		entries:  1,
	}
}

// SetUpstreams replaces the upstreams. Those that stay keep their state, another start under the same ID begins anew. Upstreams that are
// leaving take no requests; others can copy prompts from them.
func (b *Balancer) SetUpstreams(upstreams, leaving []directory.Upstream, services func(name string) *routing.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[string]*backend, len(upstreams)+len(leaving))
	clear(b.services)
	for i, u := range slices.Concat(upstreams, leaving) {
		service := services(u.Service)
		if service == nil {
			continue
		}
		e := b.backends[u.ID]
		if e == nil || e.Started != u.Started || e.Address != u.Address {
			e = b.newBackend(u, service)
		}
		coldUntil := e.ColdUntil
		e.Upstream = u
		if coldUntil.After(u.ColdUntil) {
			e.ColdUntil = coldUntil // a probe found it later than its entry says
		}
		e.leaving = i >= len(upstreams)
		e.coldRate = service.ColdRate
		e.fetchRate = service.FetchTokensPerMS
		next[u.ID] = e
		b.services[u.Service] = append(b.services[u.Service], e)
	}
	b.backends = next
}

func (b *Balancer) newBackend(u directory.Upstream, service *routing.Service) *backend {
	return &backend{
		hash:    upstreamHash(u.ID),
		local:   u.DataCentre == b.config.DataCentre,
		monitor: health.New(b.config.Health),
		cache:   placement.NewCache(service.CacheTokens * 3 / 4), // a quarter is left for answers and for what other entries send
		cold:    rate.NewLimiter(0, 1),
	}
}

func upstreamHash(id string) uint64 { return xxhash.Sum64String(id) }

// shortHash names an upstream in messages. Two upstreams with the same one only blur each other's load.
func (e *backend) shortHash() uint32 { return uint32(e.hash) }

// SetEntries tells how many entries share the fleet's limits.
func (b *Balancer) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, n)
}

// SetLoadFactor changes the most requests that an upstream may hold, as a multiple of the mean of its service.
func (b *Balancer) SetLoadFactor(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Placement.LoadFactor = factor
}

// Query is a request that needs an upstream.
type Query struct {
	Service string
	// DataCentre says whether a data centre may run the request; nil means that all may.
	DataCentre func(name string) bool
	Placement  placement.Request
	Parts      []placement.Part
	// Tried are the upstreams that must not get the request again.
	Tried []string
	// Versions says which versions may run the request; nil means that all may.
	Versions Versions
}

// Versions says whether upstreams of a version may run a request.
type Versions func(version string) bool

// Choice is an upstream with a place for one request. Done must be called once.
type Choice struct {
	directory.Upstream
	// Cached is the number of the prompt's tokens that the upstream is believed to hold.
	Cached int
	// Load is what the upstream was believed to hold at the decision, Candidates the number of upstreams that could take the request.
	Load       int
	Candidates int
	// FetchFrom is the address of an upstream from which this one should copy Fetched tokens of the prompt, "" if it should read all.
	FetchFrom string
	Fetched   int
	// PassedOver is an upstream that holds more of the prompt and was not chosen, "" if there is none; PassedLoad is its load, PassedPending
	// what it has yet to read, in tokens.
	PassedOver                string
	PassedLoad, PassedPending int

	balancer *Balancer
	backend  *backend
	pending  int
}

// Pick chooses the upstream for a request. It returns nil if none can take it.
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
		u := b.view(now, e, q)
		if !u.Excluded {
			candidates++
		}
		b.scratch = append(b.scratch, u)
	}
	q.Placement.FetchTokensPerMS = group[0].fetchRate
	at, source := placement.Choose(b.config.Placement, q.Placement, b.scratch, b.random.Float64())
	if at < 0 {
		return nil
	}
	e := group[at]
	if b.isCold(now, e) {
		e.cold.AllowN(now, 1)
	}
	c := &Choice{
		Upstream: e.Upstream, Cached: b.scratch[at].CachedTokens, Load: int(b.scratch[at].Load), Candidates: candidates,
		balancer: b, backend: e, pending: max(0, q.Placement.Tokens-b.scratch[at].CachedTokens),
	}
	if source >= 0 {
		c.FetchFrom = group[source].Address
		c.Fetched = b.scratch[source].CachedTokens - c.Cached
		c.pending = max(0, c.pending-c.Fetched)
	}
	c.notePassedOver(group, at)
	e.inFlight++
	e.pending += c.pending
	b.news.add(now, e, e.cache.Used(q.Parts))
	return c
}

// notePassedOver finds the upstream that holds most of the prompt, for the log.
func (c *Choice) notePassedOver(group []*backend, at int) {
	scratch := c.balancer.scratch
	most := at
	for i := range scratch {
		if scratch[i].CachedTokens > scratch[most].CachedTokens {
			most = i
		}
	}
	if most != at {
		c.PassedOver, c.PassedLoad, c.PassedPending = group[most].ID, int(scratch[most].Load), int(scratch[most].PendingTokens)
	}
}

func (b *Balancer) view(now time.Time, e *backend, q Query) placement.Upstream {
	requests, pending := b.othersLoad(now, e)
	u := placement.Upstream{
		Hash:          e.hash,
		Local:         e.local,
		Load:          float64(e.inFlight + requests),
		Slots:         e.Slots,
		PendingTokens: float64(e.pending + pending),
		CachedTokens:  e.cache.Holds(q.Parts),
		Chats:         e.cache.Chats(),
		FailureRate:   e.monitor.FailureRate(now),
		Excluded:      e.leaving || e.monitor.Down(),
		Source:        !e.monitor.Down(),
	}
	for _, id := range q.Tried {
		u.Excluded = u.Excluded || id == e.ID
	}
	if q.DataCentre != nil && !q.DataCentre(e.DataCentre) || q.Versions != nil && !q.Versions(e.Version) {
		u.Excluded = true
	}
	if b.isCold(now, e) && (e.cold.TokensAt(now) < 1 || !b.coldTurn(now, e)) {
		u.Excluded = true
	}
	return u
}

// isCold says whether the upstream is cold, and keeps its limiter at this entry's share of what it bears.
func (b *Balancer) isCold(now time.Time, e *backend) bool {
	if e.coldRate <= 0 || !now.Before(e.ColdUntil) {
		return false
	}
	if share := rate.Limit(e.coldRate / float64(b.entries)); e.cold.Limit() != share {
		e.cold.SetLimitAt(now, share)
	}
	return true
}

// coldTurnTime is the time in which an entry may use its share of a cold upstream's rate, when the share is less than one request a second.
// Shares that many entries have saved would otherwise come at the same moment. Of 31 entries that share 13 requests a second, 18 have
// their turn within any one second.
const coldTurnTime = 400 * time.Millisecond

// coldTurn says whether it is the entry's turn to use its share of a cold upstream's rate. Turns lie at random within the interval at
// which the entry earns a request.
func (b *Balancer) coldTurn(now time.Time, e *backend) bool {
	interval := time.Duration(float64(b.entries) / e.coldRate * float64(time.Second))
	if interval <= time.Second {
		return true
	}
	phase := time.Duration((e.hash ^ b.config.Seed) % uint64(interval))
	return (time.Duration(now.UnixNano())+phase)%interval < coldTurnTime
}

// othersLoad is the load of other entries on an upstream. If all of them are heard, it is what they say. Otherwise it is what the
// upstream's latest answer suggests, to whichever entry.
func (b *Balancer) othersLoad(now time.Time, e *backend) (requests, pending int) {
	heard := 0
	for _, p := range b.peers {
		if now.Sub(p.at) > b.config.LoadFreshFor {
			continue
		}
		heard++
		l := p.loads[e.shortHash()]
		requests += l.Requests
		pending += l.PendingTokens
	}
	if heard < b.entries-1 && now.Sub(e.totalAt) <= b.config.TotalFreshFor {
		return max(requests, e.total-e.inFlight), pending
	}
	return requests, pending
}

// PeerLoad takes another entry's loads by the short hash of the upstream's name.
func (b *Balancer) PeerLoad(now time.Time, peer string, loads map[uint32]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = peerLoad{loads, now}
	for _, e := range b.backends {
		l, found := loads[e.shortHash()]
		if !found || l.Total == 0 && l.Age == 0 {
			continue
		}
		if at := now.Add(-l.Age); at.After(e.totalAt) {
			e.total, e.totalAt = l.Total, at
		}
	}
}

// ForgetPeer drops the loads of an entry that left.
func (b *Balancer) ForgetPeer(peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.peers, peer)
}

// Loads returns what this entry knows of each upstream that has requests of it or has answered one since the last call.
func (b *Balancer) Loads(now time.Time) map[uint32]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[uint32]Load)
	for _, e := range b.backends {
		if e.inFlight == 0 && !e.answered {
			continue
		}
		l := Load{Requests: e.inFlight, PendingTokens: e.pending}
		if e.answered {
			l.Total, l.Age = e.total, now.Sub(e.totalAt)
		}
		e.answered = false
		loads[e.shortHash()] = l
	}
	return loads
}

// Begun records that the answer began, so that the prompt is read. total is the number of requests that the upstream says it holds, or -1.
func (c *Choice) Begun(now time.Time, total int) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.read()
	if total >= 0 {
		c.backend.total, c.backend.totalAt, c.backend.answered = total, now, true
	}
}

func (c *Choice) read() {
	c.backend.pending -= c.pending
	c.pending = 0
}

// Done gives the place back and records the outcome. It says whether the upstream went down by it.
func (c *Choice) Done(now time.Time, o health.Outcome) bool {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.read()
	c.backend.inFlight--
	return c.backend.monitor.Record(now, o)
}

// Unreachable records that an upstream could not be reached, apart from any request. It says whether the upstream went down by it.
func (b *Balancer) Unreachable(now time.Time, u *directory.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.backends[u.ID]
	return e != nil && e.Started == u.Started && e.monitor.Record(now, health.Unreachable)
}

// Release gives the place back without an outcome, for instance because the caller left.
func (c *Choice) Release() {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	c.read()
	c.backend.inFlight--
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

// Probed takes the result of a probe and says whether the upstream came up by it. coldFor is how much longer it is cold.
func (b *Balancer) Probed(now time.Time, u directory.Upstream, well bool, coldFor time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.backends[u.ID]
	if e == nil || e.Started != u.Started || !e.monitor.Probed(now, well) {
		return false
	}
	if until := now.Add(coldFor); until.After(e.ColdUntil) {
		e.ColdUntil = until
	}
	return true
}

// Runs says whether an upstream of the service that takes requests has one of the versions, whatever its condition.
func (b *Balancer) Runs(service string, versions Versions) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[service], func(e *backend) bool { return !e.leaving && versions(e.Version) })
}

// Down returns the number of upstreams of a service that are down, and of all.
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
