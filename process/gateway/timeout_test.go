package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// sendAtOnce sends requests at the same time and returns how many got each status.
func (f *fixture) sendAtOnce(g *Gateway, path string, n int) map[int]int {
	statuses := make(map[int]int)
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			status := f.send(g, http.MethodGet, fmt.Sprint(path, i), nil).status
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	all.Wait()
	return statuses
}

// Requests that wait in the queue of a busy upstream must not be given up there and sent to another busy one.
func TestServe_BusyUpstreamsAreWaitedFor(t *testing.T) {
	const requests = 24
	busy := func() func(net.Conn, *http.Request, string) bool {
		var waiting atomic.Int32
		var turn sync.Mutex
		return func(conn net.Conn, r *http.Request, _ string) bool {
			waiting.Add(1)
			turn.Lock()
			defer turn.Unlock()
			time.Sleep(70 * time.Millisecond)
			return respond(conn, r.Header.Get("Test-Id"), 200, fmt.Sprintf("Test-Load: 1,%d,1\r\n", waiting.Add(-1)), "done")
		}
	}
	a, b := newUpstream(t, "a", busy()), newUpstream(t, "b", busy())
	a.slots, b.slots = 1, 1
	f := newFixture(t, a, b)
	must.Eq(t, map[int]int{http.StatusOK: requests}, f.sendAtOnce(f.gateway, "/look/", requests))
	must.EqOp(t, requests, len(a.received())+len(b.received()))
}

// A request for which there is no retry must not be given up as long as its upstream may answer.
func TestServe_NoRetryWithoutBudget(t *testing.T) {
	const requests = 10
	slow := func(conn net.Conn, r *http.Request, body string) bool {
		time.Sleep(700 * time.Millisecond)
		return succeed(conn, r, body)
	}
	a, b := newUpstream(t, "a", slow), newUpstream(t, "b", slow)
	f := newFixture(t, a, b)
	s := f.settings("frugal")
	s.Fleet.RetryRatio, s.Fleet.RetrySlack = 0, 0
	g := f.startUnmanaged(s, f.store)
	t.Cleanup(func() { g.Stop(t.Context()) })
	f.waitReady(g)
	must.Eq(t, map[int]int{http.StatusOK: requests}, f.sendAtOnce(g, "/look/", requests))
	must.LessEq(t, requests+minBurst, len(a.received())+len(b.received()))
}
