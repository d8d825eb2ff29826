package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/internal/standin/dutyapi"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/duty"
	"github.com/jayridge/jayridge/process/scaling"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/version/routing"
)

// scaleFleet is several gateways with both duties, and a platform that starts upstreams as ordered.
type scaleFleet struct {
	*fixture
	store    *leaseStore
	api      *dutyapi.Server
	members  map[string]*Gateway
	views    map[string]*storeView
	release  chan struct{}
	requests sync.WaitGroup
}

func newScaleFleet(t *testing.T, names ...string) *scaleFleet {
	f := &scaleFleet{
		store: newLeaseStore(), api: dutyapi.New(200, testLease), members: make(map[string]*Gateway), views: make(map[string]*storeView),
		release: make(chan struct{}),
	}
	f.fixture = &fixture{t: t, client: &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}}
	t.Cleanup(f.client.CloseIdleConnections)
	f.store.put("config", encodeJSON(t, routing.Config{
		Version: 1, WithoutKeys: true,
		Routes: []routing.Route{{
			Name: "look", Host: "a.test", PathPrefix: "/look/", Kind: routing.Idempotent, MaxAttempts: 1,
			TrafficSplit: []routing.Share{{Service: "plain", Weight: 1}},
		}},
		Services: []routing.Service{{Name: "plain", HealthPath: "/health", Scaling: &routing.Scaling{Min: 1, Max: 4, BootTime: 200 * time.Millisecond}}},
	}))
	f.startUpstream()
	for _, name := range names {
		s := f.settings(name)
		s.Store.LeaseMS = 2000
		s.Duties.Address, s.Duties.LeaseMS, s.Duties.CallsPerSecond = "127.0.0.1:1", float64(testLease.Milliseconds()), 200
		s.Duties.Names = []settings.DutyName{settings.DutyUsage, settings.DutyScale}
		f.views[name] = &storeView{leaseStore: f.store}
		g, err := New(Options{
			Settings: s, Store: f.views[name], Decoder: fakeDecoder{}, Headers: testHeaders, Prompts: fakePrompts{}, Duties: f.api.API(),
		})
		must.NoError(t, err)
		must.NoError(t, g.Start())
		t.Cleanup(func() { g.Stop(context.Background()) })
		f.members[name] = g
	}
	t.Cleanup(func() {
		close(f.release)
		f.requests.Wait()
	})
	for _, g := range f.members {
		f.waitReady(g)
	}
	return f
}

// startUpstream starts an upstream with 4 slots, which holds its requests until the end of the test.
func (f *scaleFleet) startUpstream() {
	name := fmt.Sprint("u", len(f.store.copyItems()))
	u := newUpstream(f.t, name, func(conn net.Conn, r *http.Request, _ string) bool {
		<-f.release
		return succeed(conn, r, "")
	})
	f.store.put("upstream/"+name, encodeJSON(f.t, u.entry()))
}

// hold sends requests that stay in progress.
func (f *scaleFleet) hold(g *Gateway, count int) {
	for i := range count {
		f.requests.Go(func() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+g.settings.CallersAddress+"/look/x", nil)
			r.Host = "a.test"
			r.Header.Set("Test-Id", fmt.Sprint("hold-", g.settings.Instance, i))
			r.Header.Set("Test-Deadline", "15000")
			if response, err := f.client.Do(r); err == nil {
				_ = response.Body.Close()
			}
		})
	}
}

// awaitOrder waits for an accepted order of at least a number and returns it.
func (f *scaleFleet) awaitOrder(desired int) dutyapi.Call {
	f.t.Helper()
	var found dutyapi.Call
	f.eventually(fmt.Sprint("order of ", desired), func() bool {
		for _, c := range f.api.Accepted() {
			if c.Duty == duty.Scale && c.Desired >= desired {
				found = c
				return true
			}
		}
		return false
	})
	return found
}

// Guards against orders that do not follow demand, that a killed holder takes along, or that break the rules of the API; also while calls fail.
func TestScale_OrdersSurviveTheHolder(t *testing.T) {
	f := newScaleFleet(t, "one", "two")
	f.eventually("holder", func() bool { return f.scaleHolder() != nil })
	f.hold(f.members["one"], 2)
	f.hold(f.members["two"], 2)
	first := f.awaitOrder(2)
	must.EqOp(t, "plain", first.Service)
	must.EqOp(t, "here", first.DataCentre)
	f.startUpstream()

	survivor := f.members["one"]
	if first.Holder == "one" {
		survivor = f.members["two"]
	}
	f.views[first.Holder].cut.Store(true)
	f.hold(survivor, 4)
	f.eventually("new holder", func() bool { return f.scaleHolder() == survivor })
	f.api.SetFaults(dutyapi.Faults{LoseResponses: true})
	f.eventually("order with an unknown outcome", func() bool { return survivor.scale.counters.failed.Load() > 0 })
	f.api.SetFaults(dutyapi.Faults{})
	second := f.awaitOrder(3)
	must.EqOp(t, survivor.settings.Instance, second.Holder)
	must.Greater(t, first.Token, second.Token)
	must.SliceEmpty(t, f.api.Violations())
	f.eventually("metrics", func() bool {
		var text strings.Builder
		survivor.metrics.write(&text)
		return strings.Contains(text.String(), `jayridge_scale_orders_total{service="plain",data_centre="here"}`)
	})
}

// scaleHolder returns the gateway that holds the duty, nil if there is none.
func (f *scaleFleet) scaleHolder() *Gateway {
	for _, g := range f.members {
		if _, held := g.scale.holder.keeper.Held(); held {
			return g
		}
	}
	return nil
}

// No gateway may compete for the duty if its settings do not name it or no service has limits.
func TestScale_OnlyIfAskedFor(t *testing.T) {
	f := &fixture{t: t}
	create := func(names ...settings.DutyName) *scaleDuty {
		s := f.settings("one")
		s.Duties.Address, s.Duties.Names = "127.0.0.1:1", names
		g, err := New(Options{
			Settings: s, Store: newFakeStore(), Decoder: fakeDecoder{}, Prompts: fakePrompts{}, Duties: dutyapi.New(1, testLease).API(),
		})
		must.NoError(t, err)
		return g.scale
	}
	must.Nil(t, create(settings.DutyUsage))
	d := create(settings.DutyScale)
	d.g.peers.setMembers(map[string]member{"one": {}})
	must.False(t, d.wanted())
	d.published.Store(&scaleView{})
	must.False(t, d.wanted())
	must.False(t, d.holder.shouldTry(time.Now().Add(time.Hour)))
	d.published.Store(&scaleView{services: make([]scaledService, 1)})
	must.True(t, d.holder.shouldTry(time.Now().Add(time.Hour)))
}

// What the decision knows of a data centre must follow from registrations, evacuations, and which upstreams this gateway can use.
func TestScale_Snapshot(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	upstream := func(id, dataCentre string, state directory.State, coldUntil time.Time) directory.Upstream {
		return directory.Upstream{Entry: directory.Entry{ID: id, DataCentre: dataCentre, Slots: 6}, State: state, ColdUntil: coldUntil}
	}
	limits := routing.Scaling{Min: 1, Max: 5, BootTime: time.Second}
	s := scaledService{name: "s", scaling: limits, slots: 9, rollout: true, upstreams: []directory.Upstream{
		upstream("a1", "a", directory.Ready, now), upstream("a2", "a", directory.Missing, now.Add(time.Second)),
		upstream("a3", "a", directory.Draining, now), upstream("a4", "a", directory.Ready, now),
		upstream("b1", "b", directory.Ready, now), upstream("c1", "c", directory.Ready, now),
	}}
	places := []settings.DataCentre{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}
	got := s.snapshot(now, places, map[string]struct{}{"c": {}}, []balancer.UpstreamLoad{
		{ID: "a1", DataCentre: "a", Requests: 3}, {ID: "a3", DataCentre: "a", Requests: 2}, {ID: "a4", DataCentre: "a", Down: true},
		{ID: "b1", DataCentre: "b", Requests: 1, Down: true},
	})
	must.Eq(t, scaling.Snapshot{
		Limits: scaling.Limits{Min: 1, Max: 5, Boot: time.Second}, Rollout: true,
		DataCentres: []scaling.DataCentre{
			{Name: "a", InProgress: 5, Slots: 6, Ready: 1, Cold: 1, Starting: 1, Draining: 1},
			{Name: "b", InProgress: 1, Slots: 6, Starting: 1, Lost: true}, {Name: "c", Slots: 6, Ready: 1, Lost: true}, {Name: "d", Slots: 9},
		},
	}, got)
}
