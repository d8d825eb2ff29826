// Package gateway implements the gateway role: a proxy that forwards requests to upstreams directly, without sidecars, and gets its
// configuration and list of upstreams from the platform's store and from other gateways.
//
// A single control goroutine owns the local copy of the store and the directory of upstreams, and publishes an immutable view. Request
// goroutines read one view per decision and report outcomes to the balancer.
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
	"github.com/jayridge/jayridge/process/bufferbudget"
	"github.com/jayridge/jayridge/process/duty"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/forward"
	"github.com/jayridge/jayridge/request/placement"
)

// Store is the part of the platform's store that a gateway uses. Its methods are called from worker goroutines and may block until ctx
// is done.
type Store interface {
	services.KV
	// Snapshot reads all items with a key prefix. progress is called with the number of bytes that have just arrived. It may block for a while to slow the
	// reading down.
	Snapshot(ctx context.Context, prefix string, progress func(bytes int)) (mirror.Batch, error)
	// Changes makes one long poll. It returns mirror.ErrCompacted if the store no longer has the changes, and mirror.ErrTooManyChanges if they are
	// too large to be read.
	Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error)
}

// loadFactorShare is the fraction of the fleet's load factor that a gateway applies. The margin covers the delay with which gateways see
// each other's load.
const loadFactorShare = 0.9

// Options holds the settings and dependencies of a gateway. All but Headers and Duties are required.
type Options struct {
	Settings *settings.Gateway
	Store    Store
	Decoder  Decoder
	Headers  forward.HeaderNames
	Prompts  PromptLister
	// Duties is the platform's API. If nil, the gateway takes no part in fleet-wide duties.
	Duties duty.API
}

// PromptLister defines the request that lists the prompts cached by a model upstream.
type PromptLister interface {
	// Path returns the path of the request, without a query.
	Path() string
	// Decode parses the body of the response.
	Decode(body []byte) ([]placement.Part, error)
}

// Gateway is one gateway process: its listeners, its workers and the state that they share.
type Gateway struct {
	settings *settings.Gateway
	store    Store
	decoder  Decoder
	headers  forward.HeaderNames
	prompts  PromptLister
	balancer *balancer.Balancer
	pools    *pools
	budgets  *budgets
	// buffers is the memory for messages that are held until they are complete or delivered.
	buffers  *bufferbudget.Budget
	callers  *callerTracker
	metrics  *metrics
	peers    *peers
	rollouts *rollouts
	crashes  *crashTracker
	// usage is nil if usage is not reported.
	usage *usageDuty
	// scale is nil if the number of upstreams is not ordered.
	scale *scaleDuty
	// places are the requests that wait for places at upstreams. placesWaiting wakes dispatchPlaces when there are any.
	places        *placeQueues
	placesWaiting chan struct{}

	// view is the latest published view, nil before the first configuration.
	view atomic.Pointer[view]
	// configured is closed when the first view is published. startedAt is the time of New.
	configured chan struct{}
	startedAt  time.Time
	// copyConfirmedAt is the latest time at which the local copy of the store was known to be current, in bootclock nanoseconds. The published view
	// follows later and has a time of its own.
	copyConfirmedAt atomic.Int64
	// storeProgressAt is the latest time at which bytes of a response to the watcher arrived, in bootclock nanoseconds.
	storeProgressAt atomic.Int64
	// storeFailing means that the watcher's latest call of the store failed.
	storeFailing atomic.Bool
	// gatewayCount is the number of gateways among which the fleet's limits are divided.
	gatewayCount atomic.Int64
	// fleet holds the current fleet-wide limits.
	fleet atomic.Pointer[settings.Fleet]
	// revision is the revision of the local copy of the store.
	revision atomic.Uint64
	// storeCopyBytes is the size of the local copy of the store.
	storeCopyBytes atomic.Int64
	batches        chan sourcedBatch
	// mirrorQueries are functions to run on the control goroutine with the copy of the store. They must not block.
	mirrorQueries chan func(*mirror.Mirror)
	// restored holds what a restored store lacks until it may have been written again. It belongs to the control goroutine.
	restored restoration
	// registerNow wakes the registration, which a restored store may lack.
	registerNow chan struct{}
	// tasks are functions to run on the control goroutine.
	tasks   chan func()
	leaving atomic.Bool
	// draining is set once load balancers no longer send new connections.
	draining atomic.Bool
	// abortAt is the time at which requests in progress are aborted because the gateway stops, nil before Leave.
	abortAt atomic.Pointer[time.Time]
	// callers' requests end with abortCalls, with errStopping as the cause.
	callsCtx   context.Context
	abortCalls context.CancelCauseFunc

	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// workersMu guards stopped. Once stopped is set, no worker starts.
	workersMu sync.Mutex
	stopped   bool
	servers   []*http.Server
	listeners []net.Listener
}

// New returns a gateway. Start runs it.
func New(o Options) (*Gateway, error) {
	if o.Settings == nil || o.Store == nil || o.Decoder == nil || o.Prompts == nil {
		return nil, trace.BadParameter("settings, store, decoder and prompts are required")
	}
	config := balancer.DefaultConfig(o.Settings.DataCentre)
	config.Seed = rand.Uint64()
	config.Placement.LoadFactor = loadFactorShare * o.Settings.Fleet.LoadFactor
	config.LearnCapacity = o.Settings.Fleet.LearnCapacity
	g := &Gateway{
		settings:      o.Settings,
		store:         o.Store,
		decoder:       o.Decoder,
		headers:       o.Headers,
		prompts:       o.Prompts,
		balancer:      balancer.New(config),
		pools:         newPools(),
		budgets:       newBudgets(o.Settings.Fleet),
		buffers:       bufferbudget.New(int64(o.Settings.BufferShare * o.Settings.MemoryMB * (1 << 20))),
		callers:       newCallerTracker(),
		batches:       make(chan sourcedBatch, maxQueuedBatches),
		mirrorQueries: make(chan func(*mirror.Mirror), maxQueuedBatches),
		tasks:         make(chan func(), maxQueuedTasks),
		registerNow:   make(chan struct{}, 1),
		configured:    make(chan struct{}),
		startedAt:     time.Now(),
		placesWaiting: make(chan struct{}, 1),
	}
	g.places = newPlaceQueues(g.balancer, func() int { return int(g.gatewayCount.Load()) }, g.wakeDispatch)
	g.places.setEnabled(o.Settings.Fleet.QueueRequests)
	g.metrics = newMetrics(g.buffers, g.balancer, g.places)
	g.fleet.Store(&o.Settings.Fleet)
	g.peers = newPeers(g)
	g.crashes = newCrashTracker(g.peers.isAssigned)
	g.rollouts = newRollouts(g)
	g.usage = newUsageDuty(g, o.Duties)
	g.scale = newScaleDuty(g, o.Duties)
	g.metrics.usage, g.metrics.scale = g.usage, g.scale
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.callsCtx, g.abortCalls = context.WithCancelCause(context.Background())
	return g, nil
}

// Start opens the listeners and starts the workers.
func (g *Gateway) Start() error {
	if g.usage != nil {
		g.usage.init()
	}
	if err := errors.Join(g.listen(), g.peers.listen()); err != nil {
		g.cancel()
		return trace.Wrap(err)
	}
	if g.usage != nil {
		g.usage.start()
	}
	if g.scale != nil {
		g.scale.start()
	}
	g.startWorker(g.control)
	g.startWorker(g.watch)
	g.startWorker(g.probe)
	g.startWorker(g.register)
	g.startWorker(g.saveQuarantines)
	g.startWorker(g.peers.run)
	g.startWorker(g.dispatchPlaces)
	g.startWorker(g.fetchHeldPrompts)
	event.Log(event.ProcessStarted, "role", "gateway", "data_centre", g.settings.DataCentre, "callers", g.settings.CallersAddress)
	return nil
}

// startWorker runs f on a goroutine that Stop waits for. After Stop it does nothing.
func (g *Gateway) startWorker(f func()) {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	if g.stopped {
		return
	}
	g.workers.Add(1)
	go func() {
		defer g.workers.Done()
		f()
	}()
}

// Leave makes the readiness check fail and closes each caller's connection after its next response. The gateway keeps serving, except for requests
// that must not be repeated and may take longer than until abortAt, the time at which Drain will abort them. After the call of Drain it refuses all
// requests that may take so long.
func (g *Gateway) Leave(abortAt time.Time) {
	g.abortAt.Store(&abortAt)
	g.leaving.Store(true)
	event.Log(event.ProcessLeaving)
}

// errStopping is the cancellation cause of requests that are aborted because the gateway stops.
var errStopping = errors.New("the gateway stops")

// abortTime is the time that aborted requests have to tell their callers.
const abortTime = 150 * time.Millisecond

// Drain closes the listeners and waits until the requests in progress have ended or ctx is done. It then aborts the remaining ones, whose callers get
// an error response unless their response has begun.
func (g *Gateway) Drain(ctx context.Context) error {
	g.draining.Store(true)
	err := g.callers.drain(ctx, g.listeners)
	if err == nil {
		return nil
	}
	g.abortCalls(errStopping)
	abortCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTime)
	defer cancel()
	if g.callers.drain(abortCtx, g.listeners) != nil {
		event.Log(event.ShutdownTimedOut, "requests", g.callers.requests.Load())
	}
	return trace.Wrap(err)
}

// Stop stops all workers and closes the remaining connections.
func (g *Gateway) Stop(context.Context) {
	g.usage.sendLast()
	g.cancel()
	g.abortCalls(errStopping)
	for _, s := range g.servers {
		_ = s.Close() // aborts the requests that Drain did not wait for
	}
	g.workersMu.Lock()
	g.stopped = true
	g.workersMu.Unlock()
	g.workers.Wait()
	event.Log(event.ProcessStopped)
}
