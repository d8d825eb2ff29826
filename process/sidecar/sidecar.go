// Package sidecar implements the role of a process that controls access to one upstream. All work for the upstream passes through it, so it
// enforces all limits: drains, the load bound, cold start, team shares, claims and quarantine. Refusals happen before a request is sent to
// the upstream, so a refused request is certain not to have run.
package sidecar

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/load"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/order"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/claim"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rollout"
	"github.com/jayridge/jayridge/version/rules"
)

// metrics holds the counters of a sidecar; docs/OPERATIONS.md lists their names.
var metrics = expvar.NewMap("jayridge_sidecar")

// Options holds the settings and dependencies of a sidecar. Exactly one of Engine and Plain must be set. If KV is nil, calls that need
// a claim are refused.
type Options struct {
	Settings *settings.Settings
	Engine   services.Engine
	Plain    services.PlainService
	KV       services.KV
}

// Sidecar runs the sidecar role of a process.
type Sidecar struct {
	opts   Options
	node   *node.Node
	claims *claim.Store
	peers  *claimPeers
	orders *order.Gate
	calls  inFlightCalls

	// mu guards the fields below, up to shiftStopped. It is never held across I/O.
	mu        sync.Mutex
	admission *admission.Controller
	mean      *load.MeanEstimator
	// loadSampler selects the responses that include a load report.
	loadSampler *load.Sampler
	crashes     crashState
	// shift is the shift to this upstream's version, if there is one. shiftStopped is set while gossip reports that it was stopped, and
	// shiftDone once it reports that it is done, which is final.
	shift        rules.Shift
	shiftStopped *wire.RolloutStop
	shiftDone    bool

	stop context.CancelFunc
	wg   sync.WaitGroup
}

var (
	_ node.Role      = (*Sidecar)(nil)
	_ node.ClaimRole = (*Sidecar)(nil)
)

// New creates a sidecar and binds its listeners. Call Start to run it.
func New(opts Options) (*Sidecar, error) {
	cfg := admission.DefaultConfig()
	cfg.DefaultCapacity = uint64(opts.Settings.Upstream.CapacityWorkUnits)
	cfg.FirstByteBase = settings.Milliseconds(opts.Settings.Upstream.FirstTokenSlowMS)
	if opts.Plain != nil {
		// Calls to plain services complete within milliseconds, so the mean is never as old as the load it is compared with.
		cfg.RampUpDuration = 0
	}
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Sidecar{
		opts:        opts,
		admission:   admission.New(cfg),
		mean:        load.NewMeanEstimator(load.DefaultEstimatorConfig()),
		loadSampler: load.NewSampler(),
		crashes:     newCrashState(),
	}
	if opts.KV != nil && opts.Plain != nil {
		s.peers = newClaimPeers(opts.Settings)
		claims := claim.DefaultConfig(opts.Settings.Service)
		claims.Address = opts.Settings.PeerAddress
		store, err := claim.NewStore(opts.KV, claims, opts.Settings.Instance, claim.WithPeers(s.peers))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		s.claims = store
	}
	if opts.Engine != nil {
		s.orders = order.NewGate(order.DefaultConfig(), opts.KV, opts.Engine, opts.Settings.Instance)
	}
	n, err := node.New(node.Options{
		Settings: opts.Settings, KV: opts.KV, Link: node.LinkConfig(opts.Settings), Member: membership.DefaultConfig(), Role: s,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.node = n
	return s, nil
}

// Start begins serving. It does not block.
func (s *Sidecar) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.pollLoad(ctx)
	}()
	s.node.Start()
}

// Node returns the underlying node, which is shared by all roles.
func (s *Sidecar) Node() *node.Node { return s.node }

// Leave refuses new work and announces the departure to peers.
func (s *Sidecar) Leave() {
	s.mu.Lock()
	s.admission.SetLeaving()
	s.mu.Unlock()
	s.node.Leave()
}

// Drain waits until all requests in progress have completed or ctx is done.
func (s *Sidecar) Drain(ctx context.Context) error { return s.node.Drain(ctx) }

// Stop shuts the sidecar down and waits for its goroutines. Pending call results are written until ctx is done.
func (s *Sidecar) Stop(ctx context.Context) {
	if s.stop != nil {
		s.stop()
	}
	s.wg.Wait()
	if s.claims != nil {
		_ = s.claims.Close(ctx)
		s.peers.close()
	}
	s.node.Stop()
}

// Tick implements node.Role.
func (s *Sidecar) Tick(now time.Time, snapshot *node.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadSampler.SetEntries(now, len(snapshot.Entries))
}

// HandleOrder implements node.Role.
func (s *Sidecar) HandleOrder(ctx context.Context, m *wire.Order) (result.Code, error) {
	if s.orders == nil {
		return result.NotFound, trace.NotFound("the upstream is not a model engine")
	}
	return s.orders.Forward(ctx, services.Order{Kind: services.OrderKind(m.Kind), Target: m.Target, Fence: m.Fence})
}

// HandleEvidence implements node.Role. Sidecars do not evaluate rollouts.
func (s *Sidecar) HandleEvidence(*wire.Evidence) {}

// Connect implements node.Role. It does nothing, because entries connect to sidecars.
func (s *Sidecar) Connect(*node.Snapshot) {}

// AppendGossip implements node.Role.
func (s *Sidecar) AppendGossip(g *wire.Gossip) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Quarantine = s.crashes.list.Digest(time.Now(), maxQuarantineEntries)
	if s.shiftStopped != nil {
		g.Stops = append(g.Stops, *s.shiftStopped)
	}
}

// HandleGossip implements node.Role.
func (s *Sidecar) HandleGossip(g *wire.Gossip) {
	if len(g.Quarantine)+len(g.Stops)+len(g.Rollouts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.list.Merge(time.Now(), g.Quarantine)
	for _, r := range g.Rollouts {
		if r.Rollout == s.shift.ID && !s.shiftDone {
			record, err := rollout.DecodeRecord(r.Data)
			s.shiftDone = err == nil && record.State == rollout.Done
		}
	}
	for _, stop := range g.Stops {
		if stop.Rollout == s.shift.ID {
			s.shiftStopped = &stop
		}
	}
	if s.shiftDone {
		s.shiftStopped = nil
	}
}

// Status implements node.Role.
func (s *Sidecar) Status() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.State()
}
