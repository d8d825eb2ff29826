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

// rolloutFixture is two gateways in front of upstreams of an old and a new version, with callers that send until the test ends.
type rolloutFixture struct {
	*fixture
	other        *Gateway
	older, newer *fakeUpstream
	failed       atomic.Int64
	sent         atomic.Int64
}

func newRolloutFixture(t *testing.T, newer func(net.Conn, *http.Request, string) bool) *rolloutFixture {
	r := &rolloutFixture{older: newUpstream(t, "a", succeed), newer: newUpstream(t, "b", newer)}
	r.older.version, r.newer.version = "v1", "v2"
	r.fixture = newFixture(t, r.older)
	r.other = r.start("two")
	r.waitReady(r.other)
	return r
}

// order starts the rollout and the new upstream, and sends requests to both gateways until the status in the store says that the rollout
// has ended.
func (r *rolloutFixture) order(within time.Duration) RolloutState {
	gateways := []*Gateway{r.gateway, r.other}
	r.store.put("order/plain", RolloutOrder{Target: "v2", TimeLimit: within})
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

// A good version must get all traffic within the time limit, and the status must be completed only then.
func TestRollout_GoodVersionCompletes(t *testing.T) {
	r := newRolloutFixture(t, succeed)
	must.EqOp(t, RolloutCompleted, r.order(8*time.Second))
	must.EqOp(t, 0, r.failed.Load())
	before := len(r.older.received())
	for i := range 10 {
		r.send(r.gateway, http.MethodGet, fmt.Sprint("/look/after", i), nil)
	}
	must.EqOp(t, before, len(r.older.received()))
}

// A version whose responses are errors must get a small share of the requests and none once it is rolled back. Callers must not see its
// errors while the old version can respond.
func TestRollout_BadVersionIsRolledBack(t *testing.T) {
	r := newRolloutFixture(t, func(conn net.Conn, q *http.Request, _ string) bool {
		return respond(conn, q.Header.Get("Test-Id"), 500, "", "failed")
	})
	must.EqOp(t, RolloutRolledBack, r.order(8*time.Second))
	must.EqOp(t, 0, r.failed.Load())
	must.Less(t, r.sent.Load()/10+50, int64(len(r.newer.received())))
	before := len(r.newer.received())
	for i := range 20 {
		r.send(r.gateway, http.MethodGet, fmt.Sprint("/look/after", i), nil)
	}
	must.EqOp(t, before, len(r.newer.received()))
}

// A new version must get no requests before the rollout has started, and after an order is withdrawn all versions must stay in use.
func TestRollout_OrderWithdrawn(t *testing.T) {
	r := newRolloutFixture(t, succeed)
	r.store.put("order/plain", RolloutOrder{Target: "v2", TimeLimit: time.Hour})
	r.eventually("order taken", func() bool { return r.gateway.rollouts.driver.Plan("plain") != nil })
	r.store.remove("order/plain")
	r.eventually("order withdrawn", func() bool { return r.gateway.rollouts.driver.Plan("plain") == nil })
	r.store.put("upstream/b", r.newer.entry())
	r.eventually("new version in use", func() bool {
		r.send(r.gateway, http.MethodGet, fmt.Sprint("/look/", r.sent.Add(1)), nil)
		return len(r.newer.received()) > 0
	})
}

// A service whose upstreams all run the target version already must be served before its rollout has started.
func TestRollout_NoOtherVersion(t *testing.T) {
	u := newUpstream(t, "a", succeed)
	u.version = "v2"
	f := newFixture(t, u)
	f.store.put("order/plain", RolloutOrder{Target: "v2", TimeLimit: time.Hour})
	f.eventually("order taken", func() bool { return f.gateway.rollouts.driver.Plan("plain") != nil })
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
}
