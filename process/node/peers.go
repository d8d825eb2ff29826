package node

import (
	"context"
	"expvar"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/config"
)

// metrics counts what the shared part of a process does; docs/OPERATIONS.md lists the names.
var metrics = expvar.NewMap("jayridge_node")

// connected notes a connection with a peer. The handshake showed each side the other's configuration version.
func (n *Node) connected(conn *link.Conn) {
	remote := conn.Remote()
	self := services.Instance{
		ID: remote.Instance, Role: remote.Role, DataCentre: remote.DataCentre, Address: remote.Address,
		Service: remote.Service, Version: remote.Version, State: services.InstanceLive,
	}
	n.postAlways(func(c *control) { c.members.Connected(self) })
	n.ObserveVersion(conn, remote.ConfigVersion)
	event.Log(event.PeerConnected, "peer", remote.Instance, "address", remote.Address)
}

// ObserveVersion notes the configuration version that a peer showed, and pulls the configuration from it if it is newer.
func (n *Node) ObserveVersion(conn *link.Conn, version uint64) { n.observe(conn, version, false) }

// observe is ObserveVersion; urgent says that a request waits for the version.
func (n *Node) observe(conn *link.Conn, version uint64, urgent bool) {
	id := conn.Remote().Instance
	known, _ := n.heard.LoadOrStore(id, new(atomic.Uint64))
	known.(*atomic.Uint64).Store(version)
	n.lastObserved.Store(time.Now().UnixNano())
	if version > n.Snapshot().Version() {
		n.post(func(c *control) { c.pull(conn, version, urgent) })
	}
}

// MayShowVersion says whether to show a peer that last showed a version that this process has a newer one. It is false for a peer that is
// far behind while the answers to others have used up the budget: the peer then hears of it from another process or by gossip.
func (n *Node) MayShowVersion(peer uint64) bool {
	return !n.answersSpent.Load() || !config.FarBehind(peer, n.Snapshot().Version())
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
		h.n.observe(conn, open.ConfigVersion, true)
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
		n.ObserveVersion(conn, m.ConfigVersion)
	case *wire.Pong:
		n.ObserveVersion(conn, m.ConfigVersion)
	case *wire.ConfigPull:
		n.post(func(c *control) { c.answerPull(conn, *m) })
	case *wire.ConfigPush:
		n.post(func(c *control) { c.applyPush(conn, *m) })
	case *wire.Evidence:
		n.opts.Role.Evidence(m)
	case *wire.Order:
		n.Go(func(ctx context.Context) { h.order(ctx, conn, m) })
	case *wire.Claims:
		if role, ok := n.opts.Role.(ClaimRole); ok {
			n.Go(func(ctx context.Context) { _ = conn.Send(role.Claims(ctx, m)) })
		}
	case *wire.Leaving:
		n.postAlways(func(c *control) { c.members.Leaving(time.Now(), conn.Remote().Instance) })
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
	n.ObserveVersion(conn, g.ConfigVersion)
	n.opts.Role.HandleGossip(g)
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
	h.n.forgetVersion(conn)
	h.n.postAlways(func(c *control) {
		if !c.n.dialedBeside(conn) {
			c.members.Disconnected(time.Now(), id)
		}
	})
}

// forgetVersion forgets the configuration version of the peer of a connection that ended, unless another connection to it lives. A
// connection that is made meanwhile is registered before its version is noted, so either its version or the old one stays.
func (n *Node) forgetVersion(ended *link.Conn) {
	id := ended.Remote().Instance
	version, known := n.heard.LoadAndDelete(id)
	if known && n.connectedBeside(ended) {
		n.heard.LoadOrStore(id, version)
	}
}

// connectedBeside reports whether there is another connection to the peer of one that ended.
func (n *Node) connectedBeside(ended *link.Conn) bool {
	return n.dialedBeside(ended) || slices.ContainsFunc(n.server.Conns(), func(conn *link.Conn) bool {
		return conn != ended && conn.Remote().Instance == ended.Remote().Instance && conn.Err() == nil
	})
}

// dialedBeside is connectedBeside for the connections that this process made. The pool still counts a connection that ended as live while
// its HandleClose runs.
func (n *Node) dialedBeside(ended *link.Conn) bool {
	other := n.pool.Connected(ended.Remote().Instance)
	return other != nil && other != ended
}
