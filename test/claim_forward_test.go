package test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/request/result"
)

// sidecarClient sends calls directly to one sidecar, as an entry does that has chosen it as the first candidate.
type sidecarClient struct {
	f    *fleet
	conn *link.Conn
}

func (sidecarClient) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}
func (sidecarClient) HandleControl(*link.Conn, wire.Message)                              {}
func (sidecarClient) HandleClose(*link.Conn, error)                                       {}

// dialSidecar connects a client to the peer address of a sidecar.
func (f *fleet) dialSidecar(sidecar string) *sidecarClient {
	f.t.Helper()
	text, err := os.ReadFile(f.procs[sidecar].settings)
	must.NoError(f.t, err)
	var s struct {
		Peer string `json:"peer_address"`
	}
	must.NoError(f.t, json.Unmarshal(text, &s))
	c := &sidecarClient{f: f}
	hello := func() wire.Hello { return wire.Hello{Instance: "caller of " + sidecar, Role: "operator"} }
	c.conn, err = link.Dial(f.t.Context(), s.Peer, link.DefaultConfig(), hello, c)
	must.NoError(f.t, err)
	return c
}

// book sends one booking with its id as the idempotency key and returns the result code.
func (c *sidecarClient) book(id string) result.Code {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	open := &wire.Open{
		Service: "basket-app", Route: "/bookings", Team: "drivers", IdempotencyKey: id, WorkUnits: 1, Method: "POST", Path: "/bookings",
		Body: fmt.Appendf(nil, `{"id":%q}`, id), DeadlineMS: 20_000,
	}
	for i := range open.Request {
		open.Request[i] = byte(rand.Uint32())
	}
	stream, err := c.conn.Open(ctx, open)
	if err != nil {
		return result.ConnectionLost
	}
	defer stream.Cancel()
	for {
		m, err := stream.Recv(ctx)
		if err != nil {
			return result.ConnectionLost
		}
		if end, ok := m.(*wire.End); ok {
			return result.Code(end.Result)
		}
	}
}

// claimBatches returns the number of claim batches that a sidecar received from other sidecars.
func (f *fleet) claimBatches(sidecar string) int {
	resp, err := f.client.Get("http://" + f.procs[sidecar].admin + "/debug/vars")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var vars struct {
		Sidecar map[string]int `json:"jayridge_sidecar"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&vars)
	return vars.Sidecar["claim_batches_received"]
}

// Bookings at a sidecar that forwards its claims to another sidecar must run once and be answered, also after the other one is killed.
func TestClaim_AtSecondSidecar(t *testing.T) {
	f := newBookingFleet(t)
	first, second := f.dialSidecar("basket-1"), f.dialSidecar("basket-2")
	defer second.conn.Close()
	stop := make(chan struct{})
	var load sync.WaitGroup
	for n := range 8 {
		load.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
					first.book(fmt.Sprintf("load-%d-%d", n, i))
				}
			}
		})
	}
	booked := 0
	book := func() bool {
		id := fmt.Sprintf("second-%d", booked)
		booked++
		f.await("the second sidecar books "+id, func() bool { return second.book(id) == result.OK })
		must.Eq(t, 1, f.effects(id))
		return f.claimBatches("basket-1") > 20
	}
	f.await("the second sidecar forwards its claims", book)
	f.kill("basket-1")
	for range 20 {
		book()
	}
	close(stop)
	load.Wait()
	for i := range booked {
		id := fmt.Sprintf("second-%d", i)
		f.bookUntilSettled("entry-2", id)
		must.Eq(t, 1, f.effects(id))
	}
}
