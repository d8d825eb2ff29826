package link

import (
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
)

// Every control message that one end can send must reach the handler of the other. Send once rejected Evidence and Order, and
// no error was reported; only their effect was missing.
func TestSend_AllControlMessagesArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := &testHandler{}
		_, dial := startServer(t, DefaultConfig(), peer)
		c := newClient(t, dial(), DefaultConfig())
		messages := []wire.Message{
			&wire.Gossip{}, &wire.ConfigPull{}, &wire.ConfigPush{}, &wire.Evidence{}, &wire.Order{}, &wire.OrderDone{}, &wire.Claims{}, &wire.ClaimsDone{}, &wire.Leaving{},
		}
		var want []wire.Type
		for _, m := range messages {
			want = append(want, m.Type())
			must.NoError(t, c.Send(m))
		}
		synctest.Wait()
		var got []wire.Type
		for _, m := range peer.controls {
			got = append(got, m.Type())
		}
		must.Eq(t, want, got)
		must.Error(t, c.Send(&wire.Open{}))
		must.Error(t, c.Send(&wire.Hello{}))
	})
}
