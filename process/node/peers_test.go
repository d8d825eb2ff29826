package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
)

// noopHandler is a link.Handler that does nothing.
type noopHandler struct{ idleRole }

func (noopHandler) HandleControl(*link.Conn, wire.Message) {}
func (noopHandler) HandleClose(*link.Conn, error)          {}

// The configuration version of a peer that still has another connection must not be removed. Otherwise the status page would list the peer
// as unconfirmed until its next message.
func TestHandleClose_KeepsVersionOfConnectedPeer(t *testing.T) {
	n := startNode(t, "first", nil)
	dial := func() *link.Conn {
		hello := func() wire.Hello {
			return wire.Hello{Instance: "peer", Role: settings.RoleEntry, DataCentre: "suva", ConfigVersion: 7}
		}
		conn, err := link.Dial(t.Context(), n.opts.Settings.PeerAddress, link.DefaultConfig(), hello, noopHandler{})
		must.NoError(t, err)
		return conn
	}
	awaitConns := func(count int) {
		for len(n.server.Conns()) != count {
			time.Sleep(time.Millisecond)
		}
	}
	one, two := dial(), dial()
	awaitConns(2)
	for n.Confirmations()["peer"] != 7 {
		time.Sleep(time.Millisecond)
	}
	_ = one.Close()
	awaitConns(1)
	must.Eq(t, 7, n.Confirmations()["peer"])
	_ = two.Close()
	awaitConns(0)
	must.MapNotContainsKey(t, n.Confirmations(), "peer")
}

// An instance must not be considered connected forever. The pool still has the connection while HandleClose runs for it, so the control
// goroutine may check the pool before the connection is removed.
func TestHandleClose_RecordsLossImmediately(t *testing.T) {
	n, peer := startNode(t, "first", nil), startNode(t, "second", nil)
	conn, err := n.Pool().Get(t.Context(), services.Instance{ID: "second", Address: peer.opts.Settings.PeerAddress})
	must.NoError(t, err)
	eligible := func() []services.Instance {
		found := make(chan []services.Instance)
		n.post(func(c *control) {
			found <- c.members.Eligible(time.Now().Add(membership.DefaultConfig().DownAfter), settings.RoleEntry)
		})
		return <-found
	}
	for len(eligible()) == 0 {
		time.Sleep(time.Millisecond)
	}
	(&peerHandler{n}).HandleClose(conn, link.ErrClosed)
	must.SliceEmpty(t, eligible())
}
