package gateway

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// rolloutFixture is two gateways before upstreams of an old and a new version, with callers that send until the test ends.
type rolloutFixture struct {
	*fixture
	other        *Gateway
	older, newer *fakeUpstream
	failed       atomic.Int64
	sent         atomic.Int64
}

func newRolloutFixture(t *testing.T, newer func(net.Conn, *http.Request, string) bool) *rolloutFixture {
	r := &rolloutFixture{older: newUpstream(t, "a", ok), newer: newUpstream(t, "b", newer)}
	r.older.version, r.newer.version = "v1", "v2"
	r.fixture = newFixture(t, r.older)
	r.other = r.start("two")
	r.waitReady(r.other)
	return r
}

// order starts the rollout and the new upstream, and sends requests to both gateways until the status says that it ended.
func (r *rolloutFixture) order(within time.Duration) RolloutState {
	gateways := []*Gateway{r.gateway, r.other}
	r.store.put("order/plain", RolloutOrder{Target: "v2", Within: within})
	r.eventually("order taken", func() bool {
		for _, g := range gateways {
			if g.rollouts.driver.Plan("plain") == nil {
				return false
			}
		}
		return true
	})
	r.store.put("upstream/b", r.newer.entry())
	for deadline := time.Now().Add(within + 5*time.Second); time.Now().Before(deadline); {
		for i, g := range gateways {
			n := r.sent.Add(1)
			path := fmt.Sprintf("/look/%d", n)
			if r.send(g, http.MethodGet, path, func(q *http.Request) { q.Header.Set("Test-Id", fmt.Sprint("r", i, "-", n)) }).status != http.StatusOK {
				r.failed.Add(1)
			}
		}
		if s, found := r.status(); found && s.State != RolloutRunning {
			return s.State
		}
		time.Sleep(4 * time.Millisecond) // a few hundred requests a second
	}
	return RolloutRunning
}

func (r *rolloutFixture) status() (RolloutStatus, bool) {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	item, found := r.store.items["status/plain"]
	var s RolloutStatus
	return s, found && json.Unmarshal(item.Value, &s) == nil
}

// A good version must get all traffic by the time asked, and the operators must be told so only then.
func TestRollout_GoodVersionCompletes(t *testing.T) {
	r := newRolloutFixture(t, ok)
	must.EqOp(t, RolloutCompleted, r.order(8*time.Second))
	must.EqOp(t, 0, r.failed.Load())
	before := len(r.older.got())
	for i := range 10 {
		r.send(r.gateway, http.MethodGet, fmt.Sprint("/look/after", i), nil)
	}
	must.EqOp(t, before, len(r.older.got()))
}

// A version whose answers fail must get a small share of the requests and none once it is taken back; callers must not see its failures
// while the old version can answer.
func TestRollout_BadVersionIsTakenBack(t *testing.T) {
	r := newRolloutFixture(t, func(conn net.Conn, q *http.Request, _ string) bool {
		return respond(conn, q.Header.Get("Test-Id"), 500, "", "failed")
	})
	must.EqOp(t, RolloutRolledBack, r.order(8*time.Second))
	must.EqOp(t, 0, r.failed.Load())
	must.Less(t, r.sent.Load()/10+50, int64(len(r.newer.got())))
	before := len(r.newer.got())
	for i := range 20 {
		r.send(r.gateway, http.MethodGet, fmt.Sprint("/look/after", i), nil)
	}
	must.EqOp(t, before, len(r.newer.got()))
}

// A new version must get nothing before the rollout has begun, and an order that is withdrawn must leave all versions in use.
func TestRollout_OrderWithdrawn(t *testing.T) {
	r := newRolloutFixture(t, ok)
	r.store.put("order/plain", RolloutOrder{Target: "v2", Within: time.Hour})
	r.eventually("order taken", func() bool { return r.gateway.rollouts.driver.Plan("plain") != nil })
	r.store.remove("order/plain")
	r.eventually("order withdrawn", func() bool { return r.gateway.rollouts.driver.Plan("plain") == nil })
	r.store.put("upstream/b", r.newer.entry())
	r.eventually("new version in use", func() bool {
		r.send(r.gateway, http.MethodGet, fmt.Sprint("/look/", r.sent.Add(1)), nil)
		return len(r.newer.got()) > 0
	})
}

// A service whose upstreams all run the target already must be served while its rollout has not begun.
func TestRollout_NoOtherVersion(t *testing.T) {
	u := newUpstream(t, "a", ok)
	u.version = "v2"
	f := newFixture(t, u)
	f.store.put("order/plain", RolloutOrder{Target: "v2", Within: time.Hour})
	f.eventually("order taken", func() bool { return f.gateway.rollouts.driver.Plan("plain") != nil })
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
}
