// Package entry is the caller-facing role. An entry chooses an upstream for each request from hints, passes the answer on, and
// retries elsewhere where that is safe. It holds no state that must outlive it.
package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
	"github.com/jayridge/jayridge/version/rules"
)

// metrics counts what an entry does; docs/operations.md lists the names.
var metrics = expvar.NewMap("jayridge_entry")

// Options are an entry's collaborators. KV and List may be nil.
type Options struct {
	Settings *settings.Settings
	KV       platform.KV
	List     platform.InstanceList
}

// routing is what a request needs to find an upstream. It is immutable.
type routing struct {
	view     *candidate.View
	sidecars map[string]platform.Instance
	// reachable are the sidecars that the tables were built from.
	reachable []platform.Instance
	// listed and drains are what reachable follows from.
	listed  []platform.Instance
	drains  []rules.Drain
	entries int
}

// Entry is a running entry.
type Entry struct {
	opts           Options
	node           *node.Node
	routing        atomic.Pointer[routing]
	policy         *retry.Policy
	teams          *teamLimits
	unresponsive   unresponsive
	shifts         *shift.Driver
	versionSampler *node.VersionSampler
	server         *http.Server
	ln             net.Listener

	// mu guards the decisions below. It is never held across I/O.
	mu     sync.Mutex
	budget *retry.Budget
	loads  *load.Table
	random *rand.Rand
	// quarantined holds the fingerprints of requests that crashed upstreams.
	quarantined *quarantine.List

	work sync.WaitGroup
}

var _ node.Role = (*Entry)(nil)

// New binds the listeners of an entry and returns it, not yet running.
func New(opts Options) (*Entry, error) {
	retryConfig := retry.DefaultConfig()
	e := &Entry{
		opts:           opts,
		policy:         retry.NewPolicy(retryConfig),
		budget:         retry.NewBudget(time.Now(), retryConfig),
		loads:          load.NewTable(opts.Settings.DataCentre, load.DefaultConfig()),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		teams:          newTeamLimits(),
		versionSampler: node.NewVersionSampler(),
		quarantined:    quarantine.NewList(quarantine.DefaultConfig()),
	}
	e.routing.Store(&routing{})
	n, err := node.New(node.Options{
		Settings: opts.Settings, KV: opts.KV, List: opts.List,
		Link: node.LinkConfig(opts.Settings), Member: membership.DefaultConfig(), Role: e,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e.node = n
	e.shifts = newShifts(e)
	if e.ln, err = net.Listen("tcp", opts.Settings.HTTPAddress); err != nil {
		n.Stop()
		return nil, trace.Wrap(err, "http_address")
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serveHTTP), ReadHeaderTimeout: 10 * time.Second}
	return e, nil
}

// Start runs the entry until Stop.
func (e *Entry) Start() {
	e.node.Start()
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		_ = e.server.Serve(e.ln)
	}()
}

// Node returns the part that all roles share.
func (e *Entry) Node() *node.Node { return e.node }

// Leave turns the readiness page false and announces the departure. Callers that still arrive are served.
func (e *Entry) Leave() { e.node.Leave() }

// Drain stops accepting callers and waits until no request is in progress, or until ctx ends.
func (e *Entry) Drain(ctx context.Context) error { return trace.Wrap(e.server.Shutdown(ctx)) }

// Stop ends all goroutines and waits for them. Requests in progress are cut; call Drain first.
func (e *Entry) Stop() {
	_ = e.server.Close()
	e.work.Wait()
	e.node.Stop()
}

// Publish implements node.Role: it builds the routing tables of a new set of instances.
func (e *Entry) Publish(snapshot *node.Snapshot) {
	if snapshot.Config != nil && snapshot.Version() != e.node.Snapshot().Version() {
		e.shifts.SetRules(time.Now(), snapshot.Config.Rules)
	}
	previous := e.routing.Load()
	next := nextRouting(previous, snapshot, e.opts.Settings.Region)
	e.routing.Store(next)
	if next.view != previous.view {
		e.forget(previous, next)
	}
}

// nextRouting shares with the previous routing what the snapshot does not change. Most changes of the rules drain nothing; looking at
// all sidecars for each of them would cost milliseconds, and building the tables again tens of milliseconds.
func nextRouting(previous *routing, snapshot *node.Snapshot, region string) *routing {
	next := *previous
	next.entries = max(1, len(snapshot.Entries))
	next.listed, next.drains = snapshot.Sidecars, drains(snapshot)
	if sameList(previous.listed, next.listed) && slices.EqualFunc(previous.drains, next.drains, sameDrain) && previous.view != nil {
		return &next
	}
	next.reachable = reachable(snapshot, region)
	if previous.view == nil || !slices.Equal(previous.reachable, next.reachable) {
		next.build(previous)
	}
	return &next
}

// sameList says whether two published lists, which are never modified, are the same one.
func sameList(a, b []platform.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func sameDrain(a, b rules.Drain) bool { return a.Scope == b.Scope && a.Name == b.Name }

func drains(snapshot *node.Snapshot) []rules.Drain {
	if snapshot.Config == nil {
		return nil
	}
	return snapshot.Config.Rules.Drains()
}

// build makes the tables of the reachable sidecars, reusing those of the previous routing.
func (r *routing) build(previous *routing) {
	r.sidecars = make(map[string]platform.Instance, len(r.reachable))
	upstreams := make([]candidate.Upstream, 0, len(r.reachable))
	for _, i := range r.reachable {
		r.sidecars[i.ID] = i
		upstreams = append(upstreams, candidate.Upstream{ID: i.ID, DataCentre: i.DataCentre, Service: i.Service, Version: i.Version})
	}
	r.view = candidate.Build(previous.view, upstreams, candidate.DefaultConfig())
}

// serviceVersion names the upstreams that are interchangeable.
type serviceVersion struct{ service, version string }

// reachable returns the sidecars that are not drained: those of the region, and of other regions those whose service version has none in
// the region. An empty region reaches all.
func reachable(snapshot *node.Snapshot, region string) []platform.Instance {
	near := func(i platform.Instance) bool { return region == "" || i.Region == "" || i.Region == region }
	inRegion := map[serviceVersion]bool{}
	var open []platform.Instance
	for _, i := range snapshot.Sidecars {
		if drained(snapshot, i) {
			continue
		}
		open = append(open, i)
		if near(i) {
			inRegion[serviceVersion{i.Service, i.Version}] = true
		}
	}
	return slices.DeleteFunc(open, func(i platform.Instance) bool {
		return !near(i) && inRegion[serviceVersion{i.Service, i.Version}]
	})
}

func drained(snapshot *node.Snapshot, i platform.Instance) bool {
	if snapshot.Config == nil {
		return false
	}
	_, is := snapshot.Config.Rules.Drained(i.DataCentre, i.ID)
	return is
}

// forget drops the load reports of upstreams that left.
func (e *Entry) forget(previous, next *routing) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range previous.sidecars {
		if _, still := next.sidecars[id]; !still {
			e.loads.Remove(id)
		}
	}
}

// Connect implements node.Role: it connects to the sidecars that this entry looks after, so that they learn the configuration
// without traffic.
func (e *Entry) Connect(snapshot *node.Snapshot) {
	index, entries := position(snapshot.Entries, e.opts.Settings.Instance)
	for _, i := range snapshot.Sidecars {
		if i.DataCentre == e.opts.Settings.DataCentre || isAssigned(index, entries, i.ID) {
			e.node.Pool().Prepare(i)
		}
	}
}

// position returns the position of an instance in the sorted list and the list's length, counting the instance if it is missing.
func position(sorted []platform.Instance, id string) (index, n int) {
	index, found := slices.BinarySearchFunc(sorted, id, func(i platform.Instance, id string) int { return strings.Compare(i.ID, id) })
	if found {
		return index, len(sorted)
	}
	return index, len(sorted) + 1
}

// entriesPerSidecar is how many entries of the whole fleet connect to a sidecar besides those of its own data centre, which may have
// none.
const entriesPerSidecar = 2

func isAssigned(index, entries int, sidecar string) bool {
	first := int(xxhash.Sum64String(sidecar) % uint64(entries))
	return (index-first+entries)%entries < entriesPerSidecar
}

// Bounds of what one gossip message carries. The summaries take turns: with 23 data centres and 3 models all of them take 3.5 KB.
const (
	digestEntries   = 16
	digestSummaries = 2
)

// Gossip implements node.Role.
func (e *Entry) Gossip(g *wire.Gossip) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	g.Loads = e.loads.Digest(now, digestSummaries)
	g.Quarantine = e.quarantined.Digest(now, digestEntries)
	e.shifts.Gossip(g)
}

// HandleGossip implements node.Role.
func (e *Entry) HandleGossip(g *wire.Gossip) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads.Gossip(now, g.Loads)
	e.quarantined.Merge(now, g.Quarantine)
	if len(g.Stops)+len(g.Rollouts) > 0 {
		e.node.Post(func() { e.shifts.HandleGossip(time.Now(), g) })
	}
}

// isQuarantined reports whether requests like this one crashed upstreams.
func (e *Entry) isQuarantined(service, route string, body []byte) bool {
	fingerprint := quarantine.FingerprintOf(service, route, body)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.quarantined.Contains(time.Now(), fingerprint)
}

// HandleOpen implements node.Role: entries serve no requests of peers.
func (e *Entry) HandleOpen(_ context.Context, _ *link.Conn, _ *wire.Open, r *link.Responder) {
	_ = r.End(wire.End{Result: uint8(result.NoRoute), Reason: "an entry has no upstream"})
}

// Order implements node.Role.
func (e *Entry) Order(context.Context, *wire.Order) (result.Code, error) {
	return result.NotFound, trace.NotFound("an entry has no engine")
}

// Status is the entry's part of the status page.
type Status struct {
	RetryTokens float64        `json:"retry_tokens"`
	Shifts      []shift.Status `json:"shifts,omitempty"`
}

// Status implements node.Role.
func (e *Entry) Status() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status{RetryTokens: e.budget.Tokens(time.Now()), Shifts: e.shifts.Status()}
}
