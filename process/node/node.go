// Package node implements what all roles share: the control goroutine with configuration and membership, connections to peers, gossip,
// the admin server, and the leave sequence.
//
// One control goroutine per process owns all mutable control state. Other goroutines post changes to it over a bounded channel and read
// the immutable Snapshot that it publishes.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/config"
)

// Snapshot is the published control state. It is immutable.
type Snapshot struct {
	// Config is the configuration that this process has adopted; nil until one is known.
	Config *config.Accepted
	// Sidecars and Entries are the instances that are eligible for new work, ordered by id.
	Sidecars []services.Instance
	Entries  []services.Instance
}

// Version returns the adopted configuration version, zero if there is none.
func (s *Snapshot) Version() uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// Role is the role-specific part of a process.
type Role interface {
	// HandleOpen serves one request of a peer. It is called on a new goroutine and may block.
	HandleOpen(ctx context.Context, c *link.Conn, open *wire.Open, r *link.Responder)
	// Publish is called on the control goroutine before a new snapshot becomes visible. It must not block.
	Publish(s *Snapshot)
	// Tick advances time-dependent state. It is called on the control goroutine several times a second and must not block.
	Tick(now time.Time, s *Snapshot)
	// Connect starts the connections that the role keeps open without traffic. It is called on the control goroutine once per gossip
	// interval and must not block.
	Connect(s *Snapshot)
	// HandleEvidence handles the outcome counts that a peer sent. It is called on a connection's reader goroutine and must not block.
	HandleEvidence(m *wire.Evidence)
	// HandleOrder passes an order to the upstream's engine. It is called on a new goroutine and may block.
	HandleOrder(ctx context.Context, order *wire.Order) (result.Code, error)
	// AppendGossip adds the role's digests to a message that is about to be sent. It is called on the control goroutine.
	AppendGossip(g *wire.Gossip)
	// HandleGossip handles a peer's digests. It is called on a connection's reader goroutine and must not block.
	HandleGossip(g *wire.Gossip)
	// Status returns the role's part of the status page. It is called on the admin server's goroutines.
	Status() any
}

// ClaimRole is implemented by a role that appends claims for its peers.
type ClaimRole interface {
	// HandleClaims appends another process's batch and returns its result. It is called on a new goroutine and may block.
	HandleClaims(ctx context.Context, m *wire.Claims) *wire.ClaimsDone
}

// Options are a node's configuration and dependencies. KV and List may be nil.
type Options struct {
	Settings *settings.Settings
	KV       services.KV
	List     services.InstanceList
	Link     link.Config
	Member   membership.Config
	Role     Role
}

// LinkConfig returns the configuration of peer connections for a process's settings.
func LinkConfig(s *settings.Settings) link.Config {
	cfg := link.DefaultConfig()
	cfg.KeepaliveInterval = settings.Milliseconds(s.KeepaliveMS)
	// A paused peer has one and a half intervals beyond the keepalive interval to respond.
	cfg.KeepaliveTimeout = cfg.KeepaliveInterval * 5 / 2
	cfg.IdleInterval = max(cfg.IdleInterval, cfg.KeepaliveInterval)
	return cfg
}

// eventQueueSize bounds the changes that wait for the control goroutine.
const eventQueueSize = 4096

// Node is a running process. Its methods may be called from any goroutine unless they say otherwise.
type Node struct {
	opts     Options
	snapshot atomic.Pointer[Snapshot]
	events   chan func(*control)
	// backlog holds changes that did not fit into events and must not be dropped.
	backlogMu sync.Mutex
	backlog   []func(*control)
	server    *link.Server
	pool      *Pool
	// peerVersions maps instance ids to the configuration version that each peer last reported.
	peerVersions sync.Map
	// lastVersionSeen is when a peer last reported its version, in nanoseconds since the Unix epoch.
	lastVersionSeen atomic.Int64
	// answerBudgetSpent is set while the answers to configuration pulls have used up their share of the control budget.
	answerBudgetSpent atomic.Bool
	// adopted is closed and replaced when a configuration version is adopted.
	adopted    atomic.Pointer[chan struct{}]
	leaving    atomic.Bool
	listener   net.Listener
	admin      *http.Server
	adminLn    net.Listener
	goroutines sync.WaitGroup
	ctx        context.Context
	stop       context.CancelFunc
}

// New creates a node and binds its listeners. Start runs it.
func New(opts Options) (*Node, error) {
	n := &Node{opts: opts, events: make(chan func(*control), eventQueueSize)}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.snapshot.Store(&Snapshot{})
	adopted := make(chan struct{})
	n.adopted.Store(&adopted)
	handler := &peerHandler{n}
	n.server = link.NewServer(opts.Link, n.hello, handler)
	n.pool = newPool(n, handler)
	var err error
	if n.listener, err = net.Listen("tcp", opts.Settings.PeerAddress); err != nil {
		return nil, listenError(err, "peer_address")
	}
	if n.adminLn, err = net.Listen("tcp", opts.Settings.AdminAddress); err != nil {
		_ = n.listener.Close()
		return nil, listenError(err, "admin_address")
	}
	n.admin = &http.Server{Handler: n.adminHandler(), ReadHeaderTimeout: 10 * time.Second}
	return n, nil
}

func listenError(err error, field string) error {
	event.Log(event.ListenerFailed, "field", field, "error", err)
	return trace.Wrap(err, "%s", field)
}

// Start runs the node until Stop.
func (n *Node) Start() {
	ctx := n.ctx
	n.run(func() { newControl(n).run(ctx) })
	n.run(func() { _ = n.server.Serve(n.listener) })
	n.run(func() { _ = n.admin.Serve(n.adminLn) })
	if n.opts.List != nil {
		n.run(func() { n.pollInstances(ctx) })
	}
	if n.opts.KV != nil {
		n.run(func() { n.fetchInitialConfig(ctx) })
	}
	s := n.opts.Settings
	event.Log(event.ProcessStarted, "instance", s.Instance, "role", s.Role, "data_centre", s.DataCentre, "peer", s.PeerAddress, "admin", s.AdminAddress)
}

// run runs f on a new goroutine that Stop waits for.
func (n *Node) run(f func()) {
	n.goroutines.Add(1)
	go func() {
		defer n.goroutines.Done()
		f()
	}()
}

// Snapshot returns the published control state.
func (n *Node) Snapshot() *Snapshot { return n.snapshot.Load() }

// Pool returns the pool of connections to other instances.
func (n *Node) Pool() *Pool { return n.pool }

// Leaving reports whether the process has stopped accepting new work.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Leave announces the shutdown to connected peers: the process accepts no new work. From then on /readyz reports that it is leaving.
func (n *Node) Leave() {
	if n.leaving.Swap(true) {
		return
	}
	event.Log(event.ProcessLeaving, "instance", n.opts.Settings.Instance)
	leaving := &wire.Leaving{}
	n.server.Broadcast(leaving)
	notified := map[string]bool{}
	for _, conn := range n.server.Conns() {
		notified[conn.Remote().Instance] = true
	}
	n.pool.announce(leaving, notified)
}

// BroadcastToEntries sends a gossip message to every connected entry, once to each.
func (n *Node) BroadcastToEntries(g *wire.Gossip) {
	notified := map[string]bool{}
	for _, conn := range n.server.Conns() {
		if remote := conn.Remote(); remote.Role == settings.RoleEntry && !notified[remote.Instance] {
			notified[remote.Instance] = true
			_ = conn.Send(g)
		}
	}
	n.pool.announce(g, notified)
}

// Broadcast sends a gossip message to every connected peer. Use it only for rare updates that cannot wait for gossip.
func (n *Node) Broadcast(g *wire.Gossip) {
	n.server.Broadcast(g)
	n.pool.broadcast(g)
}

// Drain waits until no request of a peer is in progress or ctx ends.
func (n *Node) Drain(ctx context.Context) error { return n.server.Drain(ctx) }

// Stop stops all goroutines, closes all connections and waits for both.
func (n *Node) Stop() {
	n.stop()
	n.server.Close()
	n.pool.close()
	_ = n.admin.Close()
	n.goroutines.Wait()
	event.Log(event.ProcessStopped, "instance", n.opts.Settings.Instance)
}

// Post queues f for the control goroutine. It returns false and drops f if the queue is full.
func (n *Node) Post(f func()) bool { return n.post(func(*control) { f() }) }

// Go runs f on a new goroutine that Stop waits for. The context ends when the node stops.
func (n *Node) Go(f func(ctx context.Context)) { n.run(func() { f(n.ctx) }) }

// GossipNow sends the current gossip message to some random peers without waiting for the gossip interval. It is called on the control
// goroutine.
func (n *Node) GossipNow() { n.post(func(c *control) { c.gossipToRandomPeers(adoptFanout) }) }

// post queues a change for the control goroutine. If the queue is full, it drops the change, counts it and returns false.
func (n *Node) post(f func(*control)) bool {
	select {
	case n.events <- f:
		return true
	default:
		metrics.Add("control_events_dropped", 1)
		return false
	}
}

// postReliably is like post but never drops a change. It is for changes that nothing else repeats, such as the end of a connection.
// They are applied in the order in which they are posted.
func (n *Node) postReliably(f func(*control)) {
	n.backlogMu.Lock()
	defer n.backlogMu.Unlock()
	if len(n.backlog) == 0 {
		select {
		case n.events <- f:
			return
		default:
		}
	}
	n.backlog = append(n.backlog, f)
	metrics.Add("control_events_delayed", 1)
}

func (n *Node) takeBacklog() []func(*control) {
	n.backlogMu.Lock()
	defer n.backlogMu.Unlock()
	taken := n.backlog
	n.backlog = nil
	return taken
}

func (n *Node) hello() wire.Hello {
	s := n.opts.Settings
	h := wire.Hello{
		Major: wire.MajorVersion, Minor: wire.MinorVersion, Instance: s.Instance, Role: s.Role, DataCentre: s.DataCentre,
		Service: s.Service, Address: s.PeerAddress, ConfigVersion: n.Snapshot().Version(),
	}
	if s.Role == settings.RoleSidecar {
		h.Version = s.Upstream.Version
	}
	return h
}

// jitter returns a random duration up to d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(rand.Int64N(int64(d)))
}
