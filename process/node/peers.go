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

// metrics holds the counters of the shared part of a process; docs/OPERATIONS.md lists the names.
var metrics = expvar.NewMap("jayridge_node")

// handleConnected records a connection to or from a peer. Each side's handshake includes its configuration version.
func (n *Node) handleConnected(conn *link.Conn) {
	remote := conn.Remote()
	self := services.Instance{
		ID: remote.Instance, Role: remote.Role, DataCentre: remote.DataCentre, Address: remote.Address,
		Service: remote.Service, Version: remote.Version, State: services.InstanceLive,
	}
	n.postReliably(func(c *control) { c.members.Connected(self) })
	n.RecordPeerVersion(conn, remote.ConfigVersion)
	event.Log(event.PeerConnected, "peer", remote.Instance, "address", remote.Address)
}

// RecordPeerVersion records the configuration version that a peer reported, and pulls the configuration from the peer if it is newer.
func (n *Node) RecordPeerVersion(conn *link.Conn, version uint64) {
	n.recordVersion(conn, version, false)
}

// recordVersion implements RecordPeerVersion. urgent is set if a request is waiting for the version.
func (n *Node) recordVersion(conn *link.Conn, version uint64, urgent bool) {
	id := conn.Remote().Instance
	known, _ := n.peerVersions.LoadOrStore(id, new(atomic.Uint64))
	known.(*atomic.Uint64).Store(version)
	n.lastVersionSeen.Store(time.Now().UnixNano())
	if version > n.Snapshot().Version() {
		n.post(func(c *control) { c.pull(conn, version, urgent) })
	}
}

// ShouldSendVersion reports whether to send the adopted configuration version to a peer whose last reported version is peer. It returns
// false for a peer that is far behind while the budget for answers to pulls is exhausted. Such a peer receives the version from another
// process or by gossip.
func (n *Node) ShouldSendVersion(peer uint64) bool {
	return !n.answerBudgetSpent.Load() || !config.FarBehind(peer, n.Snapshot().Version())
}

// AwaitVersion waits until the adopted configuration version is at least version, and returns the snapshot. If ctx ends first, it returns
// the latest snapshot.
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

// Confirmations returns the configuration version that each peer last reported, and that of this instance, by instance id.
func (n *Node) Confirmations() map[string]uint64 {
	versions := map[string]uint64{n.opts.Settings.Instance: n.Snapshot().Version()}
	n.peerVersions.Range(func(id, version any) bool {
		versions[id.(string)] = version.(*atomic.Uint64).Load()
		return true
	})
	return versions
}

// peerHandler handles the messages and connection events of peers.
type peerHandler struct{ n *Node }

var (
	_ link.Handler        = (*peerHandler)(nil)
	_ link.ConnectHandler = (*peerHandler)(nil)
)

// HandleConnect implements link.ConnectHandler.
func (h *peerHandler) HandleConnect(conn *link.Conn) { h.n.handleConnected(conn) }

// HandleOpen implements link.Handler.
func (h *peerHandler) HandleOpen(ctx context.Context, conn *link.Conn, open *wire.Open, r *link.Responder) {
	if open.ConfigVersion > 0 {
		h.n.recordVersion(conn, open.ConfigVersion, true)
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
		n.RecordPeerVersion(conn, m.ConfigVersion)
	case *wire.Pong:
		n.RecordPeerVersion(conn, m.ConfigVersion)
	case *wire.ConfigPull:
		n.post(func(c *control) { c.answerPull(conn, *m) })
	case *wire.ConfigPush:
		n.post(func(c *control) { c.applyPush(conn, *m) })
	case *wire.Evidence:
		n.opts.Role.HandleEvidence(m)
	case *wire.Order:
		n.Go(func(ctx context.Context) { h.order(ctx, conn, m) })
	case *wire.Claims:
		if role, ok := n.opts.Role.(ClaimRole); ok {
			n.Go(func(ctx context.Context) { _ = conn.Send(role.HandleClaims(ctx, m)) })
		}
	case *wire.Leaving:
		n.postReliably(func(c *control) { c.members.Leaving(time.Now(), conn.Remote().Instance) })
	}
}

// orderTimeout bounds the handling of an order, including the calls to the platform and to the engine.
const orderTimeout = 30 * time.Second

func (h *peerHandler) order(ctx context.Context, conn *link.Conn, m *wire.Order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	code, err := h.n.opts.Role.HandleOrder(ctx, m)
	done := &wire.OrderDone{ID: m.ID, Result: uint8(code)}
	if err != nil {
		done.Reason = trace.Unwrap(err).Error()
	}
	event.Log(event.OrderHandled, "from", conn.Remote().Instance, "kind", m.Kind, "target", m.Target, "fence", m.Fence, "code", int(code))
	_ = conn.Send(done)
}

// gossip handles a peer's gossip message. It sends the adopted version to a peer that is behind, which then pulls the configuration.
func (h *peerHandler) gossip(conn *link.Conn, g *wire.Gossip) {
	n := h.n
	n.RecordPeerVersion(conn, g.ConfigVersion)
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
	h.n.removeVersion(conn)
	h.n.postReliably(func(c *control) {
		if !c.n.hasOtherDialedConn(conn) {
			c.members.Disconnected(time.Now(), id)
		}
	})
}

// removeVersion removes the configuration version of the peer of a connection that ended, unless there is another connection to the peer.
// A connection that is made concurrently is registered before its version is recorded, so either its version or the old one remains.
func (n *Node) removeVersion(ended *link.Conn) {
	id := ended.Remote().Instance
	version, known := n.peerVersions.LoadAndDelete(id)
	if known && n.hasOtherConn(ended) {
		n.peerVersions.LoadOrStore(id, version)
	}
}

// hasOtherConn reports whether there is another connection to the peer of a connection that ended.
func (n *Node) hasOtherConn(ended *link.Conn) bool {
	return n.hasOtherDialedConn(ended) || slices.ContainsFunc(n.server.Conns(), func(conn *link.Conn) bool {
		return conn != ended && conn.Remote().Instance == ended.Remote().Instance && conn.Err() == nil
	})
}

// hasOtherDialedConn is like hasOtherConn but considers only the connections that this process dialed. It compares with the ended
// connection because the pool still returns that as live while its HandleClose runs.
func (n *Node) hasOtherDialedConn(ended *link.Conn) bool {
	other := n.pool.Connected(ended.Remote().Instance)
	return other != nil && other != ended
}
