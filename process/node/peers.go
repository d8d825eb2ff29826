package node

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/platform"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/settings"
)

// metrics counts what the shared part of a process does; docs/operations.md lists the names.
var metrics = expvar.NewMap("jayridge_node")

// redialAfter is the time for which an instance that could not be reached is not dialed again.
const redialAfter = 250 * time.Millisecond

// ErrRecentlyFailed says that an instance could not be reached a moment ago and was not tried again.
var ErrRecentlyFailed = trace.ConnectionProblem(nil, "instance could not be reached a moment ago")

// Pool keeps one connection to each instance that this process talks to. It may be used by any goroutine.
type Pool struct {
	n       *Node
	handler link.Handler

	mu     sync.Mutex
	slots  map[string]*slot
	closed bool
}

// slot is the connection to one instance.
type slot struct {
	address  string
	conn     *link.Conn
	dialing  chan struct{}
	failedAt time.Time
}

func newPool(n *Node, handler link.Handler) *Pool {
	return &Pool{n: n, handler: handler, slots: map[string]*slot{}}
}

// Get returns the connection to an instance and makes it if needed. Concurrent callers share one attempt to connect. An error means
// that nothing was sent to the instance.
func (p *Pool) Get(ctx context.Context, instance platform.Instance) (*link.Conn, error) {
	for {
		p.mu.Lock()
		s := p.slot(instance)
		if conn := s.live(); conn != nil || p.closed {
			p.mu.Unlock()
			return conn, p.closedError(conn)
		}
		if s.dialing == nil && time.Since(s.failedAt) < redialAfter {
			p.mu.Unlock()
			return nil, ErrRecentlyFailed
		}
		if s.dialing == nil {
			s.dialing = make(chan struct{})
			p.n.run(func() { p.dial(instance, s) })
		}
		dialing := s.dialing
		p.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, trace.Wrap(ctx.Err())
		}
	}
}

// Prepare makes the connection to an instance in the background unless there is one or one failed a moment ago.
func (p *Pool) Prepare(instance platform.Instance) {
	if p.Connected(instance.ID) != nil {
		return
	}
	p.n.run(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(p.n.opts.Settings.ConnectTimeoutMS))
		defer cancel()
		_, _ = p.Get(ctx, instance)
	})
}

func (p *Pool) closedError(conn *link.Conn) error {
	if conn == nil {
		return trace.ConnectionProblem(nil, "the process is stopping")
	}
	return nil
}

// slot returns the slot of an instance. A new address, as of a replaced instance, gets a fresh one. The lock is held.
func (p *Pool) slot(instance platform.Instance) *slot {
	s := p.slots[instance.ID]
	if s != nil && s.address != instance.Address && s.dialing == nil {
		if s.conn != nil {
			go s.conn.Close()
		}
		s = nil
	}
	if s == nil {
		s = &slot{address: instance.Address}
		p.slots[instance.ID] = s
	}
	return s
}

func (s *slot) live() *link.Conn {
	if s.conn == nil {
		return nil
	}
	select {
	case <-s.conn.Done():
		return nil
	default:
		return s.conn
	}
}

// Connected returns the live connection to an instance, or nil, without making one.
func (p *Pool) Connected(id string) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.slots[id]; s != nil {
		return s.live()
	}
	return nil
}

func (p *Pool) dial(instance platform.Instance, s *slot) {
	ctx, cancel := context.WithTimeout(context.Background(), settings.Milliseconds(p.n.opts.Settings.ConnectTimeoutMS))
	defer cancel()
	conn, err := link.Dial(ctx, instance.Address, p.n.opts.Link, p.n.hello, p.handler)
	p.mu.Lock()
	s.conn = conn
	if err != nil {
		s.conn = nil
		s.failedAt = time.Now()
	}
	closed := p.closed
	close(s.dialing)
	s.dialing = nil
	p.mu.Unlock()
	if err != nil {
		p.n.post(func(c *control) { c.members.Disconnected(time.Now(), instance.ID) })
		return
	}
	if closed {
		_ = conn.Close()
		return
	}
	p.n.connected(conn)
}

// retain closes connections to instances that are not known any more.
func (p *Pool) retain(known ...[]platform.Instance) {
	keep := map[string]bool{}
	for _, instances := range known {
		for _, i := range instances {
			keep[i.ID] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.slots {
		if !keep[id] && s.dialing == nil && s.live() == nil {
			delete(p.slots, id)
		}
	}
}

func (p *Pool) conns() []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conns []*link.Conn
	for _, s := range p.slots {
		if conn := s.live(); conn != nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

func (p *Pool) broadcast(m wire.Message) {
	for _, conn := range p.conns() {
		_ = conn.Send(m)
	}
}

// announce is broadcast without the instances that were told on another connection and without the sidecars: none of them sends work to
// this process, and an entry may be connected to 10,000.
func (p *Pool) announce(m wire.Message, told map[string]bool) {
	for _, conn := range p.conns() {
		if remote := conn.Remote(); remote.Role != settings.RoleSidecar && !told[remote.Instance] {
			_ = conn.Send(m)
		}
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, conn := range p.conns() {
		_ = conn.Close()
	}
}

// connected notes a connection with a peer. The handshake showed each side the other's configuration version.
func (n *Node) connected(conn *link.Conn) {
	remote := conn.Remote()
	self := platform.Instance{
		ID: remote.Instance, Role: remote.Role, DataCentre: remote.DataCentre, Address: remote.Address,
		Service: remote.Service, Version: remote.Version, State: platform.InstanceLive,
	}
	n.post(func(c *control) { c.members.Connected(self) })
	n.Hear(conn, remote.ConfigVersion)
	event.Log(event.PeerConnected, "peer", remote.Instance, "address", remote.Address)
}

// Hear notes the configuration version that a peer showed, and pulls the configuration from it if it is newer.
func (n *Node) Hear(conn *link.Conn, version uint64) {
	id := conn.Remote().Instance
	known, _ := n.heard.LoadOrStore(id, new(atomic.Uint64))
	known.(*atomic.Uint64).Store(version)
	n.lastHeard.Store(time.Now().UnixNano())
	if version > n.Snapshot().Version() {
		n.post(func(c *control) { c.pull(conn, version) })
	}
}

// AwaitVersion waits until a configuration version of at least version is in force and returns the snapshot, or the latest one when
// ctx ends first.
func (n *Node) AwaitVersion(ctx context.Context, version uint64) *Snapshot {
	for {
		adopted := *n.adopted.Load()
		s := n.Snapshot()
		if s.Version() >= version {
			return s
		}
		select {
		case <-adopted:
		case <-ctx.Done():
			return n.Snapshot()
		}
	}
}

// Confirmations returns the configuration version that each peer last showed, and this instance's own.
func (n *Node) Confirmations() map[string]uint64 {
	versions := map[string]uint64{n.opts.Settings.Instance: n.Snapshot().Version()}
	n.heard.Range(func(id, version any) bool {
		versions[id.(string)] = version.(*atomic.Uint64).Load()
		return true
	})
	return versions
}

// peerHandler takes what peers send.
type peerHandler struct{ n *Node }

var (
	_ link.Handler        = (*peerHandler)(nil)
	_ link.ConnectHandler = (*peerHandler)(nil)
)

// HandleConnect implements link.ConnectHandler.
func (h *peerHandler) HandleConnect(conn *link.Conn) { h.n.connected(conn) }

// HandleOpen implements link.Handler.
func (h *peerHandler) HandleOpen(ctx context.Context, conn *link.Conn, open *wire.Open, r *link.Responder) {
	if open.ConfigVersion > 0 {
		h.n.Hear(conn, open.ConfigVersion)
	}
	h.n.opts.Role.HandleOpen(ctx, conn, open, r)
}

// HandleControl implements link.Handler.
func (h *peerHandler) HandleControl(conn *link.Conn, m wire.Message) {
	n := h.n
	switch m := m.(type) {
	case *wire.Gossip:
		h.gossip(conn, m)
	case *wire.Ping:
		n.Hear(conn, m.ConfigVersion)
	case *wire.Pong:
		n.Hear(conn, m.ConfigVersion)
	case *wire.ConfigPull:
		n.post(func(c *control) { c.answerPull(conn, *m) })
	case *wire.ConfigPush:
		n.post(func(c *control) { c.applyPush(conn, *m) })
	case *wire.Evidence:
		n.opts.Role.Evidence(m)
	case *wire.Order:
		n.Go(func(ctx context.Context) { h.order(ctx, conn, m) })
	case *wire.Leaving:
		n.post(func(c *control) { c.members.Leaving(time.Now(), conn.Remote().Instance) })
	}
}

// orderTimeout bounds an order, platform and engine together.
const orderTimeout = 30 * time.Second

func (h *peerHandler) order(ctx context.Context, conn *link.Conn, m *wire.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	code, err := h.n.opts.Role.Order(ctx, m)
	done := &wire.OrderDone{ID: m.ID, Result: uint8(code)}
	if err != nil {
		done.Reason = trace.Unwrap(err).Error()
	}
	event.Log(event.OrderHandled, "from", conn.Remote().Instance, "kind", m.Kind, "target", m.Target, "fence", m.Fence, "code", int(code))
	_ = conn.Send(done)
}

// gossip takes a peer's digests. A peer that is behind is told so, and pulls in its turn.
func (h *peerHandler) gossip(conn *link.Conn, g *wire.Gossip) {
	n := h.n
	n.Hear(conn, g.ConfigVersion)
	n.opts.Role.Heard(g)
	if mine := n.Snapshot().Version(); g.ConfigVersion < mine {
		_ = conn.Send(&wire.Gossip{ConfigVersion: mine})
	}
}

// HandleClose implements link.Handler.
func (h *peerHandler) HandleClose(conn *link.Conn, err error) {
	id := conn.Remote().Instance
	if id == "" {
		return
	}
	event.Log(event.PeerLost, "peer", id, "error", err)
	h.n.heard.Delete(id)
	h.n.post(func(c *control) {
		if c.n.pool.Connected(id) == nil {
			c.members.Disconnected(time.Now(), id)
		}
	})
}
