package node

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/standin/loopback"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// blockingRole responds to requests when release is closed.
type blockingRole struct {
	idleRole
	release chan struct{}
}

func (r blockingRole) HandleOpen(ctx context.Context, _ *link.Conn, _ *wire.Open, responder *link.Responder) {
	select {
	case <-r.release:
	case <-ctx.Done():
	}
	_ = responder.End(wire.End{Result: uint8(result.OK)})
}

func instance(n *Node) services.Instance {
	s := n.opts.Settings
	return services.Instance{ID: s.Instance, Role: s.Role, DataCentre: s.DataCentre, Address: s.PeerAddress, State: services.InstanceLive}
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(5*time.Millisecond)))
}

// A lagging instance list may have a dead or a new address. The live connection must stay in use until a handshake at the new address
// succeeds, and its requests must complete after that.
func TestPool_AddressChanges(t *testing.T) {
	release := make(chan struct{})
	entry := startNode(t, "entry", nil)
	old := startRole(t, "peer", blockingRole{release: release})
	first, err := entry.Pool().Get(t.Context(), instance(old))
	must.NoError(t, err)
	stream, err := first.Open(t.Context(), &wire.Open{})
	must.NoError(t, err)

	dead := instance(old)
	dead.Address = loopback.UnusedAddress()
	for range 5 {
		conn, err := entry.Pool().Get(t.Context(), dead)
		must.NoError(t, err)
		must.True(t, conn == first)
	}
	replacement := startRole(t, "peer", idleRole{})
	eventually(t, func() bool {
		conn, err := entry.Pool().Get(t.Context(), instance(replacement))
		return err == nil && conn != first
	})
	close(release)
	m, err := stream.Recv(t.Context())
	must.NoError(t, err)
	must.Eq(t, uint8(result.OK), m.(*wire.End).Result)
	_, err = stream.Recv(t.Context())
	must.True(t, errors.Is(err, io.EOF))
	<-first.Done()
}

// Requests for one instance must not be sent to another instance that now has its former address.
func TestPool_OtherInstanceAtAddress(t *testing.T) {
	entry := startNode(t, "entry", nil)
	gone := instance(startNode(t, "other", nil))
	gone.ID = "gone"
	_, err := entry.Pool().Get(t.Context(), gone)
	must.ErrorIs(t, err, ErrRecentlyFailed)
}

// No connection event may be lost or reordered while the control goroutine is busy for seconds, for example building large tables.
// Otherwise it would miss the end of a connection, or see the end before the start.
func TestMembers_FullQueueLosesNoConnection(t *testing.T) {
	var seen []int
	entry := create(t, Options{Settings: testSettings("entry", loopback.UnusedAddress()), Role: idleRole{}})
	for entry.Post(func() {}) {
	}
	done := make(chan struct{})
	for i := range 100 {
		entry.postReliably(func(*control) { seen = append(seen, i) })
	}
	entry.postReliably(func(*control) { close(done) })
	entry.Start()
	eventually(t, func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	must.Len(t, 100, seen)
	must.True(t, slices.IsSorted(seen))
}

// An instance that was unreachable for longer than membership.Config.DownAfter must be reconnected afterwards.
func TestMembers_UnreachableInstanceReturns(t *testing.T) {
	entry := startNode(t, "entry", nil)
	peer := startNode(t, "peer", nil)
	listed := instance(peer)
	entry.post(func(c *control) { c.members.ApplyList([]services.Instance{instance(entry), listed}) })
	eligible := func() bool {
		for _, i := range entry.Snapshot().Entries {
			if i.ID == "peer" {
				return true
			}
		}
		return false
	}
	eventually(t, func() bool { return eligible() && entry.Pool().Connected("peer") != nil })
	peer.Stop()
	eventually(t, func() bool { return !eligible() })
	startAt(t, "peer", listed.Address, idleRole{})
	eventually(t, func() bool { return eligible() && entry.Pool().Connected("peer") != nil })
}
