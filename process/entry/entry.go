// Package entry implements the caller-facing role. An entry uses load hints to select an upstream for each request, forwards the
// response, and retries on another upstream where that is safe. All of its state can be lost on restart.
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

// metrics holds the counters of an entry; docs/OPERATIONS.md lists their names.
var metrics = expvar.NewMap("jayridge_entry")

// Options holds the settings and dependencies of an entry. KV and List may be nil.
type Options struct {
	Settings *settings.Settings
	KV       services.KV
	List     services.InstanceList
}

// Entry runs the caller-facing role of a process.
type Entry struct {
	opts           Options
	node           *node.Node
	routing        atomic.Pointer[routingTable]
	policy         *retry.Policy
	teams          *teamLimits
	unresponsive   unresponsiveSidecars
	shifts         *shift.Driver
	versionSampler *node.VersionSampler
	server         *http.Server
	ln             net.Listener

	// mu guards the fields below, up to quarantined. It is never held across I/O.
	mu     sync.Mutex
	budget *retry.Budget
	loads  *load.Table
	random *rand.Rand
	// quarantined holds fingerprints of requests that crashed upstreams.
	quarantined *quarantine.List

	wg sync.WaitGroup
}

var _ node.Role = (*Entry)(nil)

// New creates an entry and binds its listeners. Call Start to run it.
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
	e.routing.Store(&routingTable{})
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

// Start begins serving. It does not block.
func (e *Entry) Start() {
	e.node.Start()
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		_ = e.server.Serve(e.ln)
	}()
}

// Node returns the underlying node, which is shared by all roles.
func (e *Entry) Node() *node.Node { return e.node }

// Leave fails the readiness check and announces the departure to peers. New requests are still served.
func (e *Entry) Leave() { e.node.Leave() }

// Drain closes the caller-facing listener and waits until all requests in progress have completed or ctx is done.
func (e *Entry) Drain(ctx context.Context) error { return trace.Wrap(e.server.Shutdown(ctx)) }

// Stop shuts the entry down and waits for its goroutines. Requests in progress are aborted; call Drain first to let them complete.
func (e *Entry) Stop() {
	_ = e.server.Close()
	e.wg.Wait()
	e.node.Stop()
}

// Publish implements node.Role. It updates the shift rules and the routing table from a new snapshot.
func (e *Entry) Publish(snapshot *node.Snapshot) {
	if snapshot.Config != nil && snapshot.Version() != e.node.Snapshot().Version() {
		e.shifts.SetRules(time.Now(), snapshot.Config.Rules)
	}
	previous := e.routing.Load()
	next := nextRouting(previous, snapshot, e.opts.Settings.Region)
	e.routing.Store(next)
	if next.view != previous.view {
		e.removeStaleLoads(previous, next)
	}
}

// removeStaleLoads drops the load reports of upstreams that are no longer in the routing table.
func (e *Entry) removeStaleLoads(previous, next *routingTable) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range previous.sidecars {
		if _, ok := next.sidecars[id]; !ok {
			e.loads.Remove(id)
		}
	}
}

// Connect implements node.Role. It opens connections to the sidecars assigned to this entry, so that they receive configuration
// updates even without traffic.
func (e *Entry) Connect(snapshot *node.Snapshot) {
	index, entries := indexOf(snapshot.Entries, e.opts.Settings.Instance)
	for _, i := range snapshot.Sidecars {
		if i.DataCentre == e.opts.Settings.DataCentre || isAssigned(index, entries, i.ID) {
			e.node.Pool().DialInBackground(i)
		}
	}
}

// Limits of one gossip message. Load summaries are sent in rotation: with 23 data centres and 3 models all of them take 3.5 KB.
const (
	maxQuarantineEntries = 16
	maxLoadSummaries     = 2
)

// AppendGossip implements node.Role.
func (e *Entry) AppendGossip(g *wire.Gossip) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	g.Loads = e.loads.Digest(now, maxLoadSummaries)
	g.Quarantine = e.quarantined.Digest(now, maxQuarantineEntries)
	e.shifts.AppendGossip(g)
}

// HandleGossip implements node.Role.
func (e *Entry) HandleGossip(g *wire.Gossip) {
	e.mu.Lock()
	now := time.Now()
	e.loads.MergeSummaries(now, g.Loads)
	var learned []wire.QuarantineEntry
	for _, f := range e.quarantined.Merge(now, g.Quarantine) {
		if entry, ok := e.quarantined.Entry(now, f); ok {
			learned = append(learned, entry)
		}
	}
	e.mu.Unlock()
	if len(learned) > 0 {
		// A sidecar is connected to some of the entries only.
		e.node.BroadcastToEntries(&wire.Gossip{ConfigVersion: e.node.Snapshot().Version(), Quarantine: learned})
	}
	if len(g.Stops)+len(g.Rollouts) > 0 {
		e.node.Post(func() { e.shifts.HandleGossip(time.Now(), g) })
	}
}

// isQuarantined reports whether the request's fingerprint is quarantined for crashing upstreams.
func (e *Entry) isQuarantined(service, route string, body []byte) bool {
	fingerprint := quarantine.FingerprintOf(service, route, body)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.quarantined.Contains(time.Now(), fingerprint)
}

// HandleOpen implements node.Role. Entries do not serve requests from peers.
func (e *Entry) HandleOpen(_ context.Context, _ *link.Conn, _ *wire.Open, r *link.Responder) {
	_ = r.End(wire.End{Result: uint8(result.NoRoute), Reason: "an entry has no upstream"})
}

// HandleOrder implements node.Role. Entries have no engine, so all orders to the engine are rejected.
func (e *Entry) HandleOrder(context.Context, *wire.Order) (result.Code, error) {
	return result.NotFound, trace.NotFound("an entry has no engine")
}

// Status is the entry's section of the status page.
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
