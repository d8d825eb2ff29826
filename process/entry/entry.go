// Package entry is the caller-facing role. An entry chooses an upstream for each request from hints, passes the answer on, and
// retries elsewhere where that is safe. It holds no state that must outlive it.
package entry

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/request/retry"
)

// metrics counts what an entry does; docs/OPERATIONS.md lists the names.
var metrics = expvar.NewMap("jayridge_entry")

// Options are an entry's collaborators. KV and List may be nil.
type Options struct {
	Settings *settings.Settings
	KV       services.KV
	List     services.InstanceList
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
