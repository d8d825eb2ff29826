package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/upstream"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/request/result"
)

// A non-idempotent request whose connection breaks after it was sent may have run: it must not be retried, and the response must not say
// that it did not run.
func TestServe_NonIdempotentIsNotRepeated(t *testing.T) {
	a, b := newUpstream(t, "a", closeWithoutResponse), newUpstream(t, "b", closeWithoutResponse)
	f := newFixture(t, a, b)
	got := f.send(f.gateway, http.MethodPost, "/book/1", nil)
	must.EqOp(t, http.StatusBadGateway, got.status)
	must.EqOp(t, 1, len(a.received())+len(b.received()))
}

// A non-idempotent request that an upstream refuses without running it may be retried at another.
func TestServe_RefusedIsRetried(t *testing.T) {
	a, b := newUpstream(t, "a", refuseNotRun), newUpstream(t, "b", succeed)
	f := newFixture(t, a, b)
	for i := range 8 {
		got := f.send(f.gateway, http.MethodPost, "/book/"+string(rune('a'+i)), nil)
		must.EqOp(t, http.StatusOK, got.status)
	}
	must.Len(t, 8, b.received())
}

// If all upstreams refuse a request, the response must say that it did not run and when to retry.
func TestServe_RefusedByAll(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", refuseNotRun), newUpstream(t, "b", refuseNotRun))
	got := f.send(f.gateway, http.MethodPost, "/book/1", nil)
	must.EqOp(t, http.StatusServiceUnavailable, got.status)
	must.NotEq(t, "", got.header.Get("Retry-After"))
	must.EqOp(t, "", got.header.Get("Test-Signature"))
}

// An upstream's 503 without the not-run header must not reach the caller, who would take it to mean that the request did not run.
func TestServe_503WithoutNotRunHeader(t *testing.T) {
	busy := func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, r.Header.Get("Test-Id"), 503, "", "busy")
	}
	f := newFixture(t, newUpstream(t, "a", busy))
	must.EqOp(t, http.StatusBadGateway, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
}

// An idempotent request is retried: the caller must not see one upstream's error or broken connection while another upstream works.
func TestServe_IdempotentIsRetried(t *testing.T) {
	fail := func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, r.Header.Get("Test-Id"), 500, "", "failed")
	}
	for name, serve := range map[string]func(net.Conn, *http.Request, string) bool{"fails": fail, "cut": closeWithoutResponse} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newUpstream(t, "a", serve), newUpstream(t, "b", succeed))
			for i := range 4 {
				must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodGet, "/look/"+string(rune('a'+i)), nil).status)
			}
		})
	}
}

// A request whose upstream's address now belongs to another upstream must not run there: a 421 response makes it go to another upstream.
func TestServe_AddressReassigned(t *testing.T) {
	other := func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, r.Header.Get("Test-Id"), 421, "Test-Upstream-Id: z\r\n", "")
	}
	f := newFixture(t, newUpstream(t, "a", other), newUpstream(t, "b", succeed))
	for i := range 4 {
		must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/"+string(rune('a'+i)), nil).status)
	}
}

// A response to an earlier request on the same connection must be skipped, and data after a response must not be taken for the next
// response.
func TestServe_MismatchedResponses(t *testing.T) {
	extra := func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, "other", 200, "", "not yours") && respond(conn, r.Header.Get("Test-Id"), 200, "", "yours") &&
			respond(conn, r.Header.Get("Test-Id"), 200, "", "late")
	}
	f := newFixture(t, newUpstream(t, "a", extra))
	for i := range 6 {
		got := f.send(f.gateway, http.MethodPost, "/book/"+string(rune('a'+i)), nil)
		must.EqOp(t, http.StatusOK, got.status)
		must.EqOp(t, "yours", got.body)
	}
}

// A successful response without the upstream's signature, or with an encoded body, must not be accepted.
func TestServe_UnsignedResponse(t *testing.T) {
	encoded := func(conn net.Conn, r *http.Request, _ string) bool {
		return respond(conn, r.Header.Get("Test-Id"), 200, "Content-Encoding: gzip\r\n", "xx")
	}
	unsigned := func(conn net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nTest-Id: "+r.Header.Get("Test-Id")+"\r\nContent-Length: 2\r\n\r\nxx")
		return err == nil
	}
	for name, serve := range map[string]func(net.Conn, *http.Request, string) bool{"encoded": encoded, "unsigned": unsigned} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newUpstream(t, "a", serve))
			must.EqOp(t, http.StatusBadGateway, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
		})
	}
}

// A stream that breaks in the middle of an event must be resumed at another upstream after the last complete event, and each event must
// be delivered exactly once.
func TestStream_ResumedAfterLastEvent(t *testing.T) {
	const complete = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	serve := func(conn net.Conn, r *http.Request, _ string) bool {
		if last := r.Header.Get("Last-Event-Id"); last == "2" {
			return writeEventStream(conn, r, complete[strings.Index(complete, "id: 3"):], true)
		}
		return writeEventStream(conn, r, complete[:len(complete)-4], false)
	}
	f := newFixture(t, newUpstream(t, "a", serve), newUpstream(t, "b", serve))
	got := f.send(f.gateway, http.MethodPost, "/chat/1", nil)
	must.NoError(t, got.err)
	must.EqOp(t, complete, got.body)
}

// A broken stream that cannot be resumed must not look complete to the caller.
func TestStream_TruncatedStreamIsAborted(t *testing.T) {
	serve := func(conn net.Conn, r *http.Request, _ string) bool {
		return writeEventStream(conn, r, "id: 1\ndata: a\n\n", false)
	}
	f := newFixture(t, newUpstream(t, "a", serve), newUpstream(t, "b", serve))
	got := f.send(f.gateway, http.MethodPost, "/talk/1", nil)
	must.EqOp(t, http.StatusOK, got.status)
	must.Error(t, got.err)
}

// The values that callers send in headers reserved for the fleet must not reach an upstream, nor must their key.
func TestServe_ReservedHeaders(t *testing.T) {
	u := newUpstream(t, "a", succeed)
	f := newFixture(t, u)
	f.send(f.gateway, http.MethodPost, "/book/1?q=%2F", func(r *http.Request) {
		r.Header.Set("Test-Team", "other")
		r.Header.Set("Test-Reserved", "1")
		r.Header.Set("Connection", "Test-Id, X-Hop")
		r.Header.Set("X-Hop", "1")
		r.Header.Set("X-Kept", "1")
	})
	must.Len(t, 1, u.received())
	r := u.received()[0]
	must.EqOp(t, "/book/1?q=%2F", r.RequestURI)
	must.EqOp(t, "a.test", r.Host)
	for name, want := range map[string]string{
		"Test-Team": "drivers", "Test-Upstream": "a", "Test-Reserved": "", "Authorization": "", "X-Hop": "", "X-Kept": "1",
		"Test-Id": "id-book-1?q=%2F",
	} {
		must.EqOp(t, want, r.Header.Get(name), must.Sprint(name))
	}
}

// A request without a key or with an unknown one must be denied, and so must one that no route matches.
func TestServe_Denied(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	unknown := func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }
	must.EqOp(t, http.StatusUnauthorized, f.send(f.gateway, http.MethodPost, "/book/1", unknown).status)
	must.EqOp(t, http.StatusNotFound, f.send(f.gateway, http.MethodPost, "/none/1", nil).status)
}

// A gateway without the store and peers receives no revocations of keys. It must stop accepting keys in time and respond with 503, not 401,
// to unknown keys too.
func TestServe_KeysRefusedWithoutStore(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	f.store.setDown(true)
	f.eventually("keys are refused", func() bool {
		return f.send(f.gateway, http.MethodPost, "/book/1", nil).status == http.StatusServiceUnavailable
	})
	must.Less(t, 3*time.Second, f.gateway.configAge())
	unknown := func(r *http.Request) { r.Header.Set("Authorization", "Bearer other") }
	must.EqOp(t, http.StatusServiceUnavailable, f.send(f.gateway, http.MethodPost, "/book/1", unknown).status)
	must.NotEq(t, "", f.gateway.notReady())
	f.store.setDown(false)
	f.waitReady(f.gateway)
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
}

// A gateway that cannot reach the store must receive the revocation of a key from its peers and stay ready.
func TestPeers_StoreUnreachable(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	cutOff := &partitionedStore{fakeStore: f.store}
	two := f.startWith("two", cutOff)
	f.waitReady(two)
	f.eventually("peers are connected", func() bool { return len(two.peers.neighbourConns()) == 1 && len(f.gateway.peers.neighbourConns()) == 1 })
	cutOff.partitioned.Store(true)
	next := f.config
	next.Version, next.Teams = 2, nil
	next.Teams = append(next.Teams, f.config.Teams[0])
	next.Teams[0].Keys = []string{"new"}
	f.store.put("config", next)
	f.eventually("the old key is denied", func() bool {
		return f.send(two, http.MethodPost, "/book/1", nil).status == http.StatusUnauthorized
	})
	withNew := func(r *http.Request) { r.Header.Set("Authorization", "Bearer new") }
	must.EqOp(t, http.StatusOK, f.send(two, http.MethodPost, "/book/1", withNew).status)
	time.Sleep(time.Duration(two.fleet.Load().RevokeMS) * time.Millisecond)
	must.EqOp(t, "", two.notReady())
}

// An upstream that drains, disappears or is in an evacuated data centre must get no requests.
func TestServe_LeavingUpstreams(t *testing.T) {
	a, b := newUpstream(t, "a", succeed), newUpstream(t, "b", succeed)
	f := newFixture(t, a, b)
	draining := a.entry()
	draining.Draining, draining.Sequence = true, 1
	f.store.put("upstream/a", draining)
	f.eventually("a is unusable", func() bool { return len(f.gateway.view.Load().upstreams) == 1 })
	before := len(a.received())
	for i := range 6 {
		must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/"+string(rune('a'+i)), nil).status)
	}
	must.Len(t, before, a.received())
	f.store.put("evacuate/here", struct{}{})
	f.eventually("all are unusable", func() bool { return len(f.gateway.view.Load().upstreams) == 0 })
	must.EqOp(t, http.StatusServiceUnavailable, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
	f.store.remove("evacuate/here")
	f.eventually("b is usable again", func() bool { return len(f.gateway.view.Load().upstreams) == 1 })
}

// A request whose upstream leaves while a connection to it is opened must not be sent there.
func TestExchange_UpstreamLeavesAfterTheChoice(t *testing.T) {
	for name, leave := range map[string]func(f *fixture, u *fakeUpstream){
		"removed": func(f *fixture, u *fakeUpstream) { f.store.remove("upstream/" + u.id) },
		"drains": func(f *fixture, u *fakeUpstream) {
			entry := u.entry()
			entry.Draining = true
			f.store.put("upstream/"+u.id, entry)
		},
		"evacuated": func(f *fixture, _ *fakeUpstream) { f.store.put("evacuate/here", true) },
		"restarts": func(f *fixture, u *fakeUpstream) {
			entry := u.entry()
			entry.Started++
			f.store.put("upstream/"+u.id, entry)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, "a", succeed)
			f := newFixture(t, u)
			before := f.gateway.view.Load()
			choice := f.gateway.balancer.Pick(bootclock.Now(), balancer.Query{Service: "plain"})
			leave(f, u)
			f.eventually("change adopted", func() bool { return f.gateway.view.Load() != before })

			r := httptest.NewRequest(http.MethodGet, "/look/1", nil)
			c := &call{g: f.gateway, request: r, header: r.Header, route: &f.config.Routes[0], deadline: time.Now().Add(time.Second)}
			a := &attempt{call: c, choice: choice, ctx: t.Context()}
			_, err := a.exchange()
			must.ErrorIs(t, err, upstream.ErrNotSent)
			code, accepted := a.exchangeFailed(err)
			must.EqOp(t, result.Unreachable, code)
			must.False(t, accepted)
			must.SliceEmpty(t, u.received())
		})
	}
}

// A request that exceeds its route's timeout must get a response then, and the response must not say that it did not run.
func TestServe_RouteTimeout(t *testing.T) {
	release := make(chan struct{})
	hang := func(net.Conn, *http.Request, string) bool { <-release; return false }
	defer close(release)
	f := newFixture(t, newUpstream(t, "a", hang))
	started := time.Now()
	got := f.send(f.gateway, http.MethodGet, "/look/1", nil)
	must.EqOp(t, http.StatusGatewayTimeout, got.status)
	must.Between(t, 2*time.Second, time.Since(started), 4*time.Second)
}

// The connection to the upstream must be closed as soon as the caller disconnects.
func TestServe_CallerDisconnects(t *testing.T) {
	closed := make(chan struct{})
	hang := func(conn net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
		return false
	}
	u := newUpstream(t, "a", hang)
	f := newFixture(t, u)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		f.eventually("the request runs", func() bool { return len(u.received()) == 1 })
		cancel()
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.gateway.settings.CallersAddress+"/look/1", nil)
	must.NoError(t, err)
	r.Host = "a.test"
	r.Header.Set("Authorization", "Bearer key")
	_, err = f.client.Do(r)
	must.Error(t, err)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the upstream's connection stays open")
	}
}

// A request that has not ended when the gateway must stop must be answered as lost, not cut without an answer.
func TestDrain_AbortedRequestIsAnswered(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	u := newUpstream(t, "a", func(net.Conn, *http.Request, string) bool { <-release; return false })
	f := newFixture(t, u)
	answers := make(chan callerResponse, 1)
	go func() { answers <- f.send(f.gateway, http.MethodPost, "/book/1", nil) }()
	f.eventually("the request runs", func() bool { return len(u.received()) == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	f.gateway.Leave(time.Now().Add(time.Minute))
	cancel()
	must.Error(t, f.gateway.Drain(ctx))
	got := <-answers
	must.EqOp(t, http.StatusBadGateway, got.status)
	must.NoError(t, got.err)
}

// A gateway that stops must refuse at once what it may have to cut, if it must not be repeated, and take everything else.
func TestLeave_RefusesRequestsThatMayBeCut(t *testing.T) {
	u := newUpstream(t, "a", succeed)
	f := newFixture(t, u)
	f.gateway.Leave(time.Now().Add(3 * time.Second))
	must.EqOp(t, http.StatusServiceUnavailable, f.send(f.gateway, http.MethodPost, "/book/long", nil).status)
	must.SliceEmpty(t, u.received())
	short := func(r *http.Request) { r.Header.Set("Test-Deadline", "1000") }
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/short", short).status)
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodGet, "/look/long", nil).status)
}

// Guards against streams that a stopping gateway takes over connections that callers kept, and cuts at its end.
func TestDrain_RefusesStreamsThatMayBeCut(t *testing.T) {
	release := make(chan struct{})
	u := newUpstream(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
		if r.URL.Path == "/talk/first" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTest-Id: id-talk-first\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: hello\n\n\r\n")
			<-release
			_, err := io.WriteString(conn, "0\r\n\r\n")
			return err == nil
		}
		return succeed(conn, r, body)
	})
	f := newFixture(t, u)
	kept, err := net.Dial("tcp", f.gateway.settings.CallersAddress)
	must.NoError(t, err)
	defer kept.Close() //nolint:errcheck // the gateway closes it
	reader := bufio.NewReader(kept)
	ask := func(path string, deadline int) *http.Response {
		_, err := fmt.Fprintf(kept, "POST /talk/%s HTTP/1.1\r\nHost: a.test\r\nTest-Id: id-talk-%s\r\nTest-Deadline: %d\r\nAuthorization: Bearer key\r\n"+
			"Content-Length: 0\r\n\r\n", path, path, deadline)
		must.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		return response
	}
	first := ask("first", 20_000)
	f.gateway.Leave(time.Now().Add(5 * time.Second))
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/talk/early", func(r *http.Request) { r.Header.Set("Test-Deadline", "20000") }).status)
	drained := make(chan error, 1)
	go func() { drained <- f.gateway.Drain(context.Background()) }()
	f.eventually("draining", f.gateway.draining.Load)
	before := len(u.received())
	// The next request is sent before the end of the first response, so that it is there when the connection becomes idle.
	_, err = io.WriteString(kept, "POST /talk/late HTTP/1.1\r\nHost: a.test\r\nTest-Id: id-talk-late\r\nTest-Deadline: 20000\r\n"+
		"Authorization: Bearer key\r\nContent-Length: 0\r\n\r\n")
	must.NoError(t, err)
	close(release)
	_, err = io.Copy(io.Discard, first.Body)
	must.NoError(t, err)
	late, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	must.EqOp(t, http.StatusServiceUnavailable, late.StatusCode)
	must.NotEq(t, "", late.Header.Get("Retry-After"))
	must.True(t, late.Close)
	must.NoError(t, <-drained)
	must.EqOp(t, before, len(u.received()))
}

// Guards against connections that callers keep beyond the gateway's decision to stop because their requests had been read before.
func TestLeave_ClosesConnectionsOfRequestsInProgress(t *testing.T) {
	for _, kind := range []string{"look", "talk"} {
		release := make(chan struct{})
		u := newUpstream(t, "a", func(conn net.Conn, r *http.Request, body string) bool {
			<-release
			if kind == "talk" {
				return streamWithInterval(0)(conn, r, body)
			}
			return succeed(conn, r, body)
		})
		f := newFixture(t, u)
		answers := make(chan callerResponse, 1)
		go func() { answers <- f.send(f.gateway, http.MethodPost, "/"+kind+"/1", nil) }()
		f.eventually("the request runs", func() bool { return len(u.received()) == 1 })
		f.gateway.Leave(time.Now().Add(time.Minute))
		close(release)
		got := <-answers
		must.EqOp(t, http.StatusOK, got.status)
		must.True(t, got.closes)
	}
}

// A gateway that shuts down must respond to all requests that it has read, and must serve new callers until its listeners are closed, so that
// the load balancer has time to see that it is not ready.
func TestLeave_CompletesReadRequests(t *testing.T) {
	release := make(chan struct{})
	slow := func(conn net.Conn, r *http.Request, body string) bool {
		if strings.HasPrefix(r.URL.Path, "/look/slow") {
			<-release
		}
		return succeed(conn, r, body)
	}
	u := newUpstream(t, "a", slow)
	f := newFixture(t, u)
	answers := make(chan callerResponse, 1)
	go func() { answers <- f.send(f.gateway, http.MethodGet, "/look/slow", nil) }()
	f.eventually("the request runs", func() bool { return len(u.received()) == 1 })
	f.gateway.Leave(time.Now().Add(time.Minute))
	must.EqOp(t, "leaving", f.gateway.notReady())
	got := f.send(f.gateway, http.MethodGet, "/look/quick", nil)
	must.EqOp(t, http.StatusOK, got.status)
	drained := make(chan error, 1)
	go func() { drained <- f.gateway.Drain(context.Background()) }()
	f.eventually("the listener is closed", func() bool {
		conn, err := net.Dial("tcp", f.gateway.settings.CallersAddress)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	})
	close(release)
	must.NoError(t, <-drained)
	must.EqOp(t, http.StatusOK, (<-answers).status)
}

// An unreachable upstream must be excluded until a probe succeeds, so that callers do not wait for it.
func TestServe_UnreachableUpstreamRecovers(t *testing.T) {
	a, b := newUpstream(t, "a", succeed), newUpstream(t, "b", succeed)
	address := a.listener.Addr().String()
	must.NoError(t, a.listener.Close())
	f := newFixture(t, a, b)
	for i := range 10 {
		must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/"+string(rune('a'+i)), nil).status)
	}
	down, all := f.gateway.balancer.Down("plain")
	must.EqOp(t, 1, down)
	must.EqOp(t, 2, all)
	listener, err := net.Listen("tcp", address)
	must.NoError(t, err)
	a.acceptFrom(t, listener)
	f.eventually("a is reachable again", func() bool { down, _ := f.gateway.balancer.Down("plain"); return down == 0 })
}

// An invalid item must change nothing, except that an upstream whose entry is invalid gets no requests.
func TestControl_UnreadableItems(t *testing.T) {
	a, b := newUpstream(t, "a", succeed), newUpstream(t, "b", succeed)
	f := newFixture(t, a, b)
	f.store.put("config", "not a configuration")
	f.store.put("upstream/a", 7)
	f.eventually("a is unusable", func() bool { return len(f.gateway.view.Load().upstreams) == 1 })
	must.EqOp(t, "b", f.gateway.view.Load().upstreams[0].ID)
	must.EqOp(t, 1, f.gateway.view.Load().table.Version())
	must.True(t, slices.ContainsFunc(f.gateway.view.Load().table.Services(), func(s routingService) bool { return s.Name == "plain" }))
	must.EqOp(t, http.StatusOK, f.send(f.gateway, http.MethodPost, "/book/1", nil).status)
}

// Changed limits must take effect with the next decision.
func TestReload(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	must.True(t, f.gateway.acceptsKeys(f.gateway.configAge()))
	changed := *f.gateway.settings
	changed.Fleet.RevokeMS = 0.001
	f.gateway.Reload(&changed)
	must.False(t, f.gateway.acceptsKeys(f.gateway.configAge()))
	changed.Fleet.StrictRevoke = false
	f.gateway.Reload(&changed)
	must.True(t, f.gateway.acceptsKeys(f.gateway.configAge()))
}

// A gateway that restarts while the store is down knows of no other gateway. The others must connect and send it their copies of the store,
// whichever name is smaller. If the gateway with the larger name only waits to be dialled, the copy does not arrive before the store is
// available again.
func TestPeers_RestartDuringOutage(t *testing.T) {
	a := newUpstream(t, "a", succeed)
	f := newFixture(t, a)
	s := f.settings("first") // sorts before "one"
	s.Fleet.RevokeMS = 30_000
	g := f.startUnmanaged(s, f.store)
	f.waitReady(g)
	f.eventually("connected", func() bool { return len(g.peers.neighbourConns()) > 0 && len(f.gateway.peers.neighbourConns()) > 0 })
	g.Stop(context.Background())
	f.store.setDown(true)
	g = f.startUnmanaged(s, f.store)
	defer g.Stop(context.Background())
	f.waitReady(g)
	must.EqOp(t, http.StatusOK, f.send(g, http.MethodPost, "/book/1", nil).status)
}
