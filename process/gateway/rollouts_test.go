package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/services"
)

// rolloutFixture is two gateways in front of upstreams of an old and a new version, with callers that send until the test ends.
type rolloutFixture struct {
	*fixture
	other        *Gateway
	older, newer *fakeUpstream
	// path is the path prefix of the requests, callers the number of callers that send them at the same time.
	path    string
	callers int
	failed  atomic.Int64
	sent    atomic.Int64
}

func newRolloutFixture(t *testing.T, older, newer func(net.Conn, *http.Request, string) bool) *rolloutFixture {
	r := &rolloutFixture{older: newUpstream(t, "a", older), newer: newUpstream(t, "b", newer), path: "/look/", callers: 1}
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
	ctx, cancel := context.WithTimeout(context.Background(), within+5*time.Second)
	defer cancel()
	var callers errgroup.Group
	for range r.callers {
		callers.Go(func() error {
			for ctx.Err() == nil {
				for i, g := range gateways {
					n := r.sent.Add(1)
					path := fmt.Sprint(r.path, n)
					if r.send(g, http.MethodGet, path, func(q *http.Request) { q.Header.Set("Test-Id", fmt.Sprint("r", i, "-", n)) }).status != http.StatusOK {
						r.failed.Add(1)
					}
				}
				if s, found := r.status(); found && s.State != RolloutRunning {
					cancel()
				}
				time.Sleep(4 * time.Millisecond) // a few hundred requests a second
			}
			return nil
		})
	}
	must.NoError(r.t, callers.Wait())
	s, _ := r.status()
	return s.State
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
	r := newRolloutFixture(t, succeed, succeed)
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
	r := newRolloutFixture(t, succeed, func(conn net.Conn, q *http.Request, _ string) bool {
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

// streamWithInterval returns the handler of an upstream whose streams begin at once and whose further events follow at the interval.
func streamWithInterval(interval time.Duration) func(net.Conn, *http.Request, string) bool {
	return func(conn net.Conn, r *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id"))
		for id := range measuredIntervals + 2 {
			event := fmt.Sprintf("id: %d\ndata: a\n\n", id)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return false
			}
			time.Sleep(interval)
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

// A version whose streams begin in time and continue four times slower must be rolled back.
func TestRollout_SlowStreamsAreRolledBack(t *testing.T) {
	r := newRolloutFixture(t, streamWithInterval(5*time.Millisecond), streamWithInterval(20*time.Millisecond))
	r.path, r.callers = "/talk/", 12
	must.EqOp(t, RolloutRolledBack, r.order(8*time.Second))
	must.Less(t, r.sent.Load()/10+50, int64(len(r.newer.received())))
	must.StrContains(t, r.gateway.rollouts.driver.Status()[0].Reason, "is slow more often")
}

// A new version must get no requests before the rollout has started, and after an order is withdrawn all versions must stay in use.
func TestRollout_OrderWithdrawn(t *testing.T) {
	r := newRolloutFixture(t, succeed, succeed)
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

// A rollout must be decided early enough that its end can be monitored and reported within the operators' time limit.
func TestRollout_DecidedBeforeTheTimeLimit(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	for _, limit := range []time.Duration{time.Second, 15 * time.Second, time.Hour} {
		f.store.put("order/plain", RolloutOrder{Target: "v2", TimeLimit: limit})
		var decided time.Time
		f.eventually("order taken", func() bool {
			status := f.gateway.rollouts.driver.Status()
			if len(status) != 1 || time.Until(status[0].By) > limit || time.Until(status[0].By) < limit/2 {
				return false
			}
			decided = status[0].By
			return true
		})
		margin := min(limit/4, rolloutMonitorTime+reportMargin)
		must.LessEq(t, limit-margin, time.Until(decided))
	}
}

// turnedAwayStore is the shared store as seen by one gateway, which the store may turn away.
type turnedAwayStore struct{ partitionedStore }

func (s *turnedAwayStore) Get(ctx context.Context, key string) (services.KeyValue, error) {
	if s.partitioned.Load() {
		return services.KeyValue{}, services.ErrUnavailable
	}
	return s.partitionedStore.Get(ctx, key)
}

func (s *turnedAwayStore) CompareAndSwap(
	ctx context.Context, key string, prev services.Revision, value []byte, lease services.LeaseID,
) (services.Revision, error) {
	if s.partitioned.Load() {
		return 0, services.ErrUnavailable
	}
	return s.partitionedStore.CompareAndSwap(ctx, key, prev, value, lease)
}

// removeHolder removes the leases of a gateway, as the store does when they expire.
func (s *fakeStore) removeHolder(gateway string) {
	s.mu.Lock()
	var held []string
	for key, item := range s.items {
		holder, err := lease.DecodeValue(item.Value)
		if key == memberKeyPrefix+gateway || strings.HasPrefix(key, "lease/") && err == nil && holder.Holder == gateway {
			held = append(held, key)
		}
	}
	s.mu.Unlock()
	for _, key := range held {
		s.remove(key)
	}
}

// sendSteadily sends enough requests for a rollout to each gateway until the returned function is called.
func (f *fixture) sendSteadily(gateways []*Gateway) (stop func()) {
	const callersPerGateway = 6
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, g := range gateways {
		for j := range callersPerGateway {
			callers.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					f.send(g, http.MethodGet, fmt.Sprint("/look/", i, "-", j, "-", n), nil)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	return func() {
		cancel()
		callers.Wait()
	}
}

// Guards against a leader that the store turns away and that takes the rollout back after another leader has completed it.
func TestRollout_FormerLeaderKeepsCompletedRollout(t *testing.T) {
	older, newer := newUpstream(t, "a", succeed), newUpstream(t, "b", succeed)
	older.version, newer.version = "v1", "v2"
	f := newFixture(t, older)
	stores, gateways := map[string]*turnedAwayStore{}, map[string]*Gateway{}
	for _, name := range []string{"two", "three"} {
		stores[name] = &turnedAwayStore{partitionedStore{fakeStore: f.store}}
		gateways[name] = f.startWith(name, stores[name])
		f.waitReady(gateways[name])
	}
	f.gateway.Stop(context.Background())
	f.store.removeHolder("one")
	r := &rolloutFixture{fixture: f}
	const limit = 15 * time.Second
	ordered := time.Now()
	f.store.put("order/plain", RolloutOrder{Target: "v2", TimeLimit: limit})
	f.store.put("upstream/b", newer.entry())
	defer f.sendSteadily(slices.Collect(maps.Values(gateways)))()
	// The new version gets all traffic after 70% of the time before the deadline.
	time.Sleep(time.Until(ordered.Add(limit / 3)))
	former, next := "two", "three"
	f.eventually("led", func() bool {
		if status := gateways[former].rollouts.driver.Status(); len(status) == 1 && status[0].Leader {
			return true
		}
		former, next = next, former
		return false
	})
	stores[former].partitioned.Store(true)
	f.store.removeHolder(former)
	f.eventually("completed", func() bool {
		s, _ := r.status()
		return s.State == RolloutCompleted
	})
	must.True(t, gateways[next].rollouts.driver.Status()[0].Leader)
	f.store.remove("upstream/a")
	older.crash()
	time.Sleep(time.Until(ordered.Add(limit + rolloutConfig(1).DeadlineGrace)))
	stores[former].partitioned.Store(false)
	stores[next].partitioned.Store(true)
	f.store.removeHolder(next)
	f.store.put(memberKeyPrefix+former, member{gateways[former].settings.PeerAddress, "here"})
	f.eventually("led again", func() bool {
		s := gateways[former].rollouts.driver.Status()[0]
		return s.Leader && s.Recorded
	})
	for name, g := range gateways {
		must.EqOp(t, "done", g.rollouts.driver.Status()[0].State)
		must.EqOp(t, http.StatusOK, f.send(g, http.MethodPost, "/book/after"+name, nil).status)
	}
	s, _ := r.status()
	must.EqOp(t, RolloutCompleted, s.State)
}
