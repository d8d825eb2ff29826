// Package sidecar is the role of the process beside an upstream. All work for the upstream goes through it, so it enforces every
// limit: drain, load bound, cold start, team shares, claims and quarantine. It refuses before it hands a request over, and then
// "not run" is true.
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
	"github.com/jayridge/jayridge/version/rules"
)

// metrics counts what a sidecar does; docs/OPERATIONS.md lists the names.
var metrics = expvar.NewMap("jayridge_sidecar")

// Options are a sidecar's collaborators. Exactly one of Engine and Plain is set; KV may be nil, and then calls that need a claim
// are refused.
type Options struct {
	Settings *settings.Settings
	Engine   services.Engine
	Plain    services.PlainService
	KV       services.KV
}

// Sidecar is a running sidecar.
type Sidecar struct {
	opts   Options
	node   *node.Node
	claims *claim.Store
	peers  *claimPeers
	orders *order.Gate
	calls  claimedCalls

	// mu guards the decisions below. It is never held across I/O.
	mu        sync.Mutex
	admission *admission.Controller
	mean      *load.MeanEstimator
	// reports chooses the answers that carry a load report.
	reports *load.Sampler
	crashes crashes
	// shift is the shift to this upstream's version, if there is one; shiftStopped is set when a peer knows it to be stopped.
	shift        rules.Shift
	shiftStopped *wire.RolloutStop

	stop context.CancelFunc
	work sync.WaitGroup
}

var (
	_ node.Role      = (*Sidecar)(nil)
	_ node.ClaimRole = (*Sidecar)(nil)
)

// New binds the listeners of a sidecar and returns it, not yet running.
func New(opts Options) (*Sidecar, error) {
	cfg := admission.DefaultConfig()
	cfg.DefaultCapacity = uint64(opts.Settings.Upstream.CapacityWorkUnits)
	cfg.FirstByteBase = settings.Milliseconds(opts.Settings.Upstream.FirstTokenSlowMS)
	if opts.Plain != nil {
		// Calls of a plain service end within milliseconds, so the mean is never as old as its load.
		cfg.FillFor = 0
	}
	if err := cfg.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Sidecar{
		opts:      opts,
		admission: admission.New(cfg),
		mean:      load.NewMeanEstimator(load.DefaultEstimatorConfig()),
		reports:   load.NewSampler(),
		crashes:   newCrashes(),
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

// Start runs the sidecar until Stop.
func (s *Sidecar) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		s.reportLoad(ctx)
	}()
	s.node.Start()
}

// Node returns the part that all roles share.
func (s *Sidecar) Node() *node.Node { return s.node }

// Leave refuses new work from now on and announces that.
func (s *Sidecar) Leave() {
	s.mu.Lock()
	s.admission.SetLeaving()
	s.mu.Unlock()
	s.node.Leave()
}

// Drain waits until no request is in progress, or until ctx ends.
func (s *Sidecar) Drain(ctx context.Context) error { return s.node.Drain(ctx) }

// Stop ends all goroutines and waits for them. Results of calls that are not written yet are written while ctx lasts.
func (s *Sidecar) Stop(ctx context.Context) {
	if s.stop != nil {
		s.stop()
	}
	s.work.Wait()
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
	s.reports.SetEntries(now, len(snapshot.Entries))
}

// Order implements node.Role.
func (s *Sidecar) Order(ctx context.Context, m *wire.Order) (result.Code, error) {
	if s.orders == nil {
		return result.NotFound, trace.NotFound("the upstream is not a model engine")
	}
	return s.orders.Pass(ctx, services.Order{Kind: services.OrderKind(m.Kind), Target: m.Target, Fence: m.Fence})
}

// Evidence implements node.Role: sidecars judge no versions.
func (s *Sidecar) Evidence(*wire.Evidence) {}

// Connect implements node.Role: entries connect to sidecars, not the reverse.
func (s *Sidecar) Connect(*node.Snapshot) {}

// Gossip implements node.Role.
func (s *Sidecar) Gossip(g *wire.Gossip) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.Quarantine = s.crashes.list.Digest(time.Now(), digestEntries)
	if s.shiftStopped != nil {
		g.Stops = append(g.Stops, *s.shiftStopped)
	}
}

// HandleGossip implements node.Role.
func (s *Sidecar) HandleGossip(g *wire.Gossip) {
	if len(g.Quarantine)+len(g.Stops) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes.list.Merge(time.Now(), g.Quarantine)
	for _, stop := range g.Stops {
		if stop.Rollout == s.shift.ID {
			s.shiftStopped = &stop
		}
	}
}

// Status implements node.Role.
func (s *Sidecar) Status() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.State()
}
