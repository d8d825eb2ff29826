package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/queueing"
	"github.com/jayridge/jayridge/version/routing"
)

// heldUpstream is an upstream that answers when the test lets it.
type heldUpstream struct {
	*fakeUpstream
	release chan struct{}
}

func newHeldUpstream(t *testing.T, id string) *heldUpstream {
	u := &heldUpstream{release: make(chan struct{})}
	u.fakeUpstream = newUpstream(t, id, func(conn net.Conn, r *http.Request, body string) bool {
		<-u.release
		return succeed(conn, r, body)
	})
	u.slots = 1
	t.Cleanup(func() { close(u.release) })
	return u
}

// places returns the queue of the fixture's service.
func (f *fixture) places() *placeQueue { return f.gateway.places.queue("plain") }

// waiting returns the number of requests that wait for a place.
func (f *fixture) waiting() int { return int(f.gateway.places.waiting.Load()) }

// sendLater starts a request and returns a channel for its response, which has no status if the connection breaks.
func (f *fixture) sendLater(path string) <-chan callerResponse {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.gateway.settings.CallersAddress+path, strings.NewReader("hello"))
	must.NoError(f.t, err)
	r.Host = "a.test"
	r.Header = http.Header{"Test-Id": {"id-" + path[1:]}, "Test-Deadline": {"5000"}, "Authorization": {"Bearer key"}}
	got := make(chan callerResponse, 1)
	go func() {
		response, err := f.client.Do(r)
		if err != nil {
			got <- callerResponse{err: err}
			return
		}
		_ = response.Body.Close()
		got <- callerResponse{status: response.StatusCode, header: response.Header}
	}()
	return got
}

// fillAndHold makes the upstream full, so that further requests wait until one of its own ends.
func fillAndHold(t *testing.T, f *fixture) {
	f.gateway.balancer.SetClaim("plain", 0.01)
	for i := range 2 {
		f.sendLater(fmt.Sprint("/talk/hold-", i))
	}
	f.eventually("the upstream is full", func() bool { return f.gateway.metrics.attempts.Load() == 2 })
	f.yield(30) // takes 1.6 s to become free
}

// yield gives up places, as for more urgent requests elsewhere.
func (f *fixture) yield(places int) {
	for range places {
		f.gateway.balancer.Yield("plain", true)
	}
}

// waits waits until one request waits, and sees to it that it gets no place before the upstream is free.
func (f *fixture) waits() {
	f.eventually("the request waits", func() bool { return f.waiting() == 1 })
	f.yield(1000)
}

// A request for which there is no place must wait for one and be sent as soon as a place is free, with the order's fields in its log line.
func TestPlace_WaitsUntilAnotherEnds(t *testing.T) {
	u := newHeldUpstream(t, "a")
	f := newFixture(t, u.fakeUpstream)
	fillAndHold(t, f)
	got := f.sendLater("/book/1")
	f.waits()
	must.EqOp(t, 3*int64(len("hello")), f.gateway.buffers.Stats().Reserved, must.Sprint("its body is in the budget"))
	for range 3 {
		u.release <- struct{}{}
	}
	must.EqOp(t, http.StatusOK, (<-got).status)
	must.EqOp(t, 0, f.waiting())
	f.eventually("the memory is released", func() bool { return f.gateway.buffers.Stats().Reserved == 0 })
	must.EqOp(t, 1, f.gateway.places.waited.Load())
}

// A request that gets no place must be refused as not run, with the time at which its caller should return, and must not reach an upstream later.
func TestPlace_Refused(t *testing.T) {
	u := newHeldUpstream(t, "a")
	f := newFixture(t, u.fakeUpstream)
	f.setObjective(200 * time.Millisecond)
	fillAndHold(t, f)
	got := <-f.sendLater("/book/late")
	must.EqOp(t, http.StatusServiceUnavailable, got.status)
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	must.NoError(t, err)
	must.Between(t, 0.09, after, 2)
	must.EqOp(t, 0, f.waiting())
	for _, r := range u.received() {
		must.NotEq(t, "/book/late", r.URL.Path)
	}
}

// setObjective sets the latency objective of all routes and waits until it is in force.
func (f *fixture) setObjective(d time.Duration) {
	for i := range f.config.Routes {
		f.config.Routes[i].TargetLatency = d
	}
	f.putConfig()
}

// putConfig writes the configuration as a new version and waits until it is in force.
func (f *fixture) putConfig() {
	f.config.Version++
	f.store.put("config", f.config)
	f.eventually("the configuration is in force", func() bool { return f.gateway.view.Load().table.Version() == f.config.Version })
}

// A caller that leaves while its request waits must free its place in the queue.
func TestPlace_CallerLeaves(t *testing.T) {
	u := newHeldUpstream(t, "a")
	f := newFixture(t, u.fakeUpstream)
	fillAndHold(t, f)
	conn, err := net.Dial("tcp", f.gateway.settings.CallersAddress)
	must.NoError(t, err)
	_, err = fmt.Fprint(conn, "GET /book/1 HTTP/1.1\r\nHost: a.test\r\nTest-Id: x\r\nTest-Deadline: 9000\r\nAuthorization: Bearer key\r\n\r\n")
	must.NoError(t, err)
	f.waits()
	must.NoError(t, conn.Close())
	f.eventually("nothing waits", func() bool { return f.waiting() == 0 })
	must.EqOp(t, 0, f.gateway.places.waited.Load())
}

// A request must not wait beyond its deadline.
func TestPlace_Deadline(t *testing.T) {
	u := newHeldUpstream(t, "a")
	f := newFixture(t, u.fakeUpstream)
	fillAndHold(t, f)
	got := f.send(f.gateway, http.MethodPost, "/book/1", func(r *http.Request) { r.Header.Set("Test-Deadline", "300") })
	must.EqOp(t, http.StatusServiceUnavailable, got.status)
}

// A gateway that aborts its requests must refuse those that wait as not run, and one that stops must not wait for them.
func TestPlace_GatewayStops(t *testing.T) {
	u := newHeldUpstream(t, "a")
	f := newFixture(t, u.fakeUpstream)
	fillAndHold(t, f)
	got := f.sendLater("/book/1")
	f.waits()
	f.gateway.abortCalls(errStopping)
	must.EqOp(t, http.StatusServiceUnavailable, (<-got).status)
	must.EqOp(t, 0, f.waiting())
}

// A request that waits must be treated by the configuration that comes into force: its priority, its key and its route.
func TestPlace_ConfigurationChanges(t *testing.T) {
	first, none := 0, -3
	for name, test := range map[string]struct {
		change   func(c *routing.Config)
		status   int
		priority int
	}{
		"priority of the team":  {func(c *routing.Config) { c.Teams[0].Priority = &first }, http.StatusOK, 0},
		"priority of the route": {func(c *routing.Config) { c.Routes[0].Priority = 77 }, http.StatusOK, queueing.Classes - 1},
		"priority out of range": {func(c *routing.Config) { c.Teams[0].Priority = &none }, http.StatusOK, 0},
		"route dropped":         {func(c *routing.Config) { c.Routes = c.Routes[1:] }, http.StatusNotFound, -1},
		"key revoked":           {func(c *routing.Config) { c.Teams[0].Keys = []string{"other"} }, http.StatusUnauthorized, -1},
		"service dropped": {func(c *routing.Config) {
			c.Services = append(c.Services, routing.Service{Name: "other"})
			c.Routes[0].TrafficSplit = []routing.Share{{Service: "other", Weight: 1}}
		}, http.StatusServiceUnavailable, -1},
	} {
		t.Run(name, func(t *testing.T) {
			u := newHeldUpstream(t, "a")
			f := newFixture(t, u.fakeUpstream)
			for i := range f.config.Routes {
				f.config.Routes[i].Priority = 5
			}
			f.putConfig()
			fillAndHold(t, f)
			got := f.sendLater("/book/1")
			f.waits()
			test.change(&f.config)
			f.putConfig()
			if test.priority >= 0 {
				q := f.places()
				f.eventually("the priority is in force", func() bool {
					q.mu.Lock()
					defer q.mu.Unlock()
					return q.order.Waiting()[test.priority] == 1
				})
				for range 3 {
					u.release <- struct{}{}
				}
			}
			must.EqOp(t, test.status, (<-got).status)
			must.EqOp(t, 0, f.waiting())
		})
	}
}

// An upstream must be told the effective priority if and only if the requests of its service have different ones, and never the caller's own.
func TestServe_RequestPriority(t *testing.T) {
	urgent, far := 1, 12
	for name, test := range map[string]struct {
		change func(c *routing.Config)
		off    bool
		want   []string
	}{
		"all alike":              {func(c *routing.Config) {}, false, nil},
		"by route":               {func(c *routing.Config) { c.Routes[0].Priority = 2 }, false, []string{"2"}},
		"by team":                {func(c *routing.Config) { c.Teams[0].Priority = &urgent; addTeam(c) }, false, []string{"1"}},
		"clamped":                {func(c *routing.Config) { c.Teams[0].Priority = &far; addTeam(c) }, false, []string{"9"}},
		"route of other service": {func(c *routing.Config) { addRoute(c) }, false, nil},
		"switched off":           {func(c *routing.Config) { c.Routes[0].Priority = 2 }, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "a", succeed)
			f := newFixture(t, u)
			test.change(&f.config)
			f.putConfig()
			if test.off {
				s := *f.gateway.settings
				s.Fleet.QueueRequests = false
				f.gateway.Reload(&s)
			}
			got := f.send(f.gateway, http.MethodPost, "/book/1", func(r *http.Request) { r.Header.Set("Test-Priority", "0") })
			must.EqOp(t, http.StatusOK, got.status)
			must.Eq(t, test.want, u.received()[0].Header["Test-Priority"])
		})
	}
}

func addTeam(c *routing.Config) {
	c.Teams = append(c.Teams, routing.Team{Name: "second", Keys: []string{"second"}})
}

func addRoute(c *routing.Config) {
	c.Services = append(c.Services, routing.Service{Name: "other"})
	r := c.Routes[0]
	r.Name, r.PathPrefix, r.Priority, r.TrafficSplit = "other", "/other/", 7, []routing.Share{{Service: "other", Weight: 1}}
	c.Routes = append(c.Routes, r)
}

// With the setting off, nothing waits: what no upstream takes is refused or queued there as before.
func TestPlace_SwitchedOff(t *testing.T) {
	u := newHeldUpstream(t, "a")
	f := newFixture(t, u.fakeUpstream)
	s := *f.gateway.settings
	s.Fleet.QueueRequests = false
	f.gateway.Reload(&s)
	for i := range 6 {
		f.sendLater(fmt.Sprint("/book/", i))
	}
	f.eventually("all are sent or refused", func() bool { return f.gateway.metrics.attempts.Load() >= 4 })
	must.EqOp(t, 0, f.waiting())
}

// Whatever requests do while they wait, each must be answered or refused once, and no place may be lost.
func TestPlace_ManyRequests(t *testing.T) {
	u := newUpstream(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		time.Sleep(5 * time.Millisecond)
		return succeed(conn, r, body)
	})
	u.slots = 2
	f := newFixture(t, u)
	f.setObjective(100 * time.Millisecond)
	var served, refused, left atomic.Int64
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			for n := range 10 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(5+(i*n)%60)*time.Millisecond)
				r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.gateway.settings.CallersAddress+"/book/x", strings.NewReader("hello"))
				must.NoError(t, err)
				r.Host = "a.test"
				r.Header = http.Header{"Test-Id": {fmt.Sprint("id-", i, "-", n)}, "Test-Deadline": {"300"}, "Authorization": {"Bearer key"}}
				response, err := f.client.Do(r)
				switch {
				case err != nil:
					left.Add(1)
				case response.StatusCode == http.StatusOK:
					served.Add(1)
				case response.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
					time.Sleep(10 * time.Millisecond)
				}
				if err == nil {
					_ = response.Body.Close()
				}
				cancel()
			}
		})
	}
	all.Wait()
	t.Logf("%d served, %d refused, %d left, %d waited", served.Load(), refused.Load(), left.Load(), f.gateway.places.waited.Load())
	must.EqOp(t, 400, served.Load()+refused.Load()+left.Load())
	f.eventually("nothing waits or is in flight", func() bool {
		return f.waiting() == 0 && f.gateway.balancer.Free(bootclock.Now(), "plain") == 2 && f.gateway.buffers.Stats().Reserved == 0
	})
	must.EqOp(t, 0, f.places().order.Len())
}

// What waits at a gateway must reach the other gateways, and be forgotten when it is gone.
func TestPeers_WaitingRequests(t *testing.T) {
	u := newHeldUpstream(t, "a")
	f := newFixture(t, u.fakeUpstream)
	other := f.start("two")
	f.waitReady(other)
	f.eventually("gateways are connected", func() bool { return len(other.peers.neighbourConns()) > 0 && len(f.gateway.peers.neighbourConns()) > 0 })
	q := other.places.queue("plain")
	share := func() float64 {
		q.mu.Lock()
		defer q.mu.Unlock()
		return q.order.FreeShare(bootclock.Now(), 1, 2)
	}
	must.EqOp(t, 0.5, share())
	fillAndHold(t, f)
	got := f.sendLater("/book/1")
	f.eventually("the other gateway leaves the free place to it", func() bool { return share() == 0 })
	f.gateway.abortCalls(errStopping)
	<-got
	f.eventually("the report is forgotten", func() bool { return share() == 0.5 })
}

// The metrics must name what waits and why requests were refused.
func TestMetrics_Waiting(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
	var text strings.Builder
	f.gateway.metrics.write(&text)
	for _, line := range []string{
		"jayridge_waiting_requests{service=\"plain\"} 0\n", "jayridge_places_after_wait_total 0\n",
		"jayridge_place_refusals_total{reason=\"no-place-soon\"} 0\n", "jayridge_wait_count 0\n",
	} {
		must.StrContains(t, text.String(), line)
	}
}
