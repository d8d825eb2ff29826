// Package gateway is the role of an entry that sends to upstreams directly, without sidecars, and learns all it needs from the
// platform's store and from other gateways.
//
// One control goroutine owns the copy of the store and the directory of upstreams, and publishes an immutable view. Request goroutines
// read one view for each decision and report outcomes to the balancer.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/forward"
	"github.com/jayridge/jayridge/request/placement"
)

// Store is what a gateway needs of the platform's store. Its methods are called from worker goroutines and may block until ctx ends.
type Store interface {
	services.KV
	// Snapshot reads all items whose keys have a prefix.
	Snapshot(ctx context.Context, prefix string) (mirror.Batch, error)
	// Changes waits at most the given time for changes after a revision. It returns mirror.ErrHistoryLost if they are no longer known.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (mirror.Batch, error)
}

// loadShare is the part of the fleet's load factor up to which a gateway loads an upstream. Gateways see each other's load with delay.
const loadShare = 0.9

// Options are what a gateway is made of.
type Options struct {
	Settings *settings.Gateway
	Store    Store
	Decoder  Decoder
	Headers  forward.Headers
	Prompts  Prompts
}

// Prompts is how model upstreams tell which prompts they hold.
type Prompts interface {
	// Path is that of the request, without a query.
	Path() string
	// Decode reads the answer's body.
	Decode(body []byte) ([]placement.Part, error)
}

// Gateway is one process.
type Gateway struct {
	settings *settings.Gateway
	store    Store
	decoder  Decoder
	headers  forward.Headers
	prompts  Prompts
	balancer *balancer.Balancer
	pools    *pools
	budgets  *budgets
	calls    *callers
	metrics  *metrics
	peers    *peers
	rollouts *rollouts
	crashes  *crashes

	// view is the latest published state, nil before the first configuration.
	view atomic.Pointer[view]
	// confirmed is the latest time at which the configuration was known to be current, in nanoseconds of bootclock.
	confirmed atomic.Int64
	// entries is the number of gateways that share the fleet's limits.
	entries atomic.Int64
	// fleet are the bounds in force.
	fleet atomic.Pointer[settings.Fleet]
	// revision is that of the copy of the store.
	revision  atomic.Uint64
	batches   chan received
	questions chan question
	// posts are functions for the control goroutine.
	posts   chan func()
	leaving atomic.Bool

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// workMu guards stopped, after which no workers start.
	workMu  sync.Mutex
	stopped bool
	servers []*http.Server
	// listeners are those of the servers.
	listeners []net.Listener
}

// New returns a gateway that does not run yet.
func New(o Options) (*Gateway, error) {
	if o.Settings == nil || o.Store == nil || o.Decoder == nil || o.Prompts == nil {
		return nil, trace.BadParameter("settings, store, decoder and prompts are required")
	}
	config := balancer.DefaultConfig(o.Settings.DataCentre)
	config.Seed = rand.Uint64()
	config.Placement.LoadFactor = loadShare * o.Settings.Fleet.LoadFactor
	g := &Gateway{
		settings:  o.Settings,
		store:     o.Store,
		decoder:   o.Decoder,
		headers:   o.Headers,
		prompts:   o.Prompts,
		balancer:  balancer.New(config),
		pools:     newPools(),
		budgets:   newBudgets(o.Settings.Fleet),
		calls:     newCallers(),
		crashes:   newCrashes(),
		metrics:   newMetrics(),
		batches:   make(chan received, maxQueuedBatches),
		questions: make(chan question, maxQueuedBatches),
		posts:     make(chan func(), maxPosts),
	}
	g.fleet.Store(&o.Settings.Fleet)
	g.peers = newPeers(g)
	g.rollouts = newRollouts(g)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g, nil
}

// Start opens the listeners and starts the workers.
func (g *Gateway) Start() error {
	if err := errors.Join(g.listen(), g.peers.listen()); err != nil {
		g.cancel()
		return trace.Wrap(err)
	}
	g.work(g.control)
	g.work(g.watch)
	g.work(g.probe)
	g.work(g.register)
	g.work(g.peers.run)
	g.work(g.learnPrompts)
	event.Log(event.ProcessStarted, "role", "gateway", "data_centre", g.settings.DataCentre, "callers", g.settings.CallersAddress)
	return nil
}

// work runs f on a goroutine that Stop waits for. Once the gateway has stopped it does nothing.
func (g *Gateway) work(f func()) {
	g.workMu.Lock()
	defer g.workMu.Unlock()
	if g.stopped {
		return
	}
	g.workers.Add(1)
	go func() {
		defer g.workers.Done()
		f()
	}()
}

// Leave makes the gateway not ready and ends its callers' connections with their next answer.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
	event.Log(event.ProcessLeaving)
}

// Drain closes the listeners and waits for the requests in progress until ctx ends.
func (g *Gateway) Drain(ctx context.Context) error {
	return trace.Wrap(g.calls.drain(ctx, g.listeners))
}

// Stop ends all workers.
func (g *Gateway) Stop(context.Context) {
	g.cancel()
	for _, s := range g.servers {
		_ = s.Close() // what is still open at the end is cut off
	}
	g.workMu.Lock()
	g.stopped = true
	g.workMu.Unlock()
	g.workers.Wait()
	event.Log(event.ProcessStopped)
}
