package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/internal/standin/loopback"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/forward"
	"github.com/jayridge/jayridge/request/placement"
	"github.com/jayridge/jayridge/version/routing"
)

// fakeStore is an in-memory store. While it is down, all calls but Watch and Revoke return ErrUnavailable.
type fakeStore struct {
	mu       sync.Mutex
	items    map[string]mirror.Item
	revision uint64
	down     bool
}

func newFakeStore() *fakeStore { return &fakeStore{items: make(map[string]mirror.Item), revision: 1} }

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = mirror.Item{Key: key, Value: text, Revision: s.revision}
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.items[key] = mirror.Item{Key: key, Revision: s.revision, Deleted: true}
}

func (s *fakeStore) since(prefix string, after uint64, full bool) (mirror.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return mirror.Batch{}, services.ErrUnavailable
	}
	b := mirror.Batch{Revision: s.revision, Full: full}
	for _, i := range s.items {
		if i.Revision > after && !(full && i.Deleted) && strings.HasPrefix(i.Key, prefix) {
			b.Items = append(b.Items, i)
		}
	}
	return b, nil
}

func (s *fakeStore) Snapshot(_ context.Context, prefix string, _ func(int)) (mirror.Batch, error) {
	return s.since(prefix, 0, true)
}

func (s *fakeStore) Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error) {
	for range 20 {
		b, err := s.since(w.Prefix, w.After, false)
		if err != nil || len(b.Items) > 0 {
			return b, err
		}
		sleep.For(ctx, 10*time.Millisecond)
	}
	return s.since(w.Prefix, w.After, false)
}

func (s *fakeStore) Get(_ context.Context, key string) (services.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[key]
	switch {
	case s.down:
		return services.KeyValue{}, services.ErrUnavailable
	case !found || i.Deleted:
		return services.KeyValue{}, services.ErrNotFound
	}
	return services.KeyValue{Key: key, Value: i.Value, Revision: services.Revision(i.Revision)}, nil
}

func (s *fakeStore) CompareAndSwap(
	_ context.Context, key string, prev services.Revision, value []byte, _ services.LeaseID,
) (services.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, services.ErrUnavailable
	}
	if i, found := s.items[key]; found && !i.Deleted && i.Revision != uint64(prev) {
		return 0, services.ErrConflict
	}
	s.revision++
	s.items[key] = mirror.Item{Key: key, Value: value, Revision: s.revision}
	return services.Revision(s.revision), nil
}

func (s *fakeStore) unavailableError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return services.ErrUnavailable
	}
	return nil
}

func (s *fakeStore) List(context.Context, string, int) ([]string, error) {
	return nil, s.unavailableError()
}

func (s *fakeStore) Watch(context.Context, string, services.Revision) (services.KeyValue, error) {
	return services.KeyValue{}, services.ErrNotFound
}

func (s *fakeStore) Grant(context.Context, time.Duration) (services.LeaseID, error) {
	return 1, s.unavailableError()
}

func (s *fakeStore) Renew(context.Context, services.LeaseID) error { return s.unavailableError() }

func (s *fakeStore) Revoke(context.Context, services.LeaseID) error { return nil }

// fakeDecoder decodes items whose values are JSON of the types of packages directory and routing or of RolloutOrder and RolloutStatus.
type fakeDecoder struct{}

func (fakeDecoder) Decode(i mirror.Item) (DecodedItem, error) {
	f := DecodedItem{Deleted: i.Deleted}
	var err error
	switch kind, name, _ := strings.Cut(i.Key, "/"); kind {
	case "config":
		f.Kind, f.Config = ItemConfig, &routing.Config{}
		err = decodeUnlessDeleted(i, f.Config)
	case "upstream":
		f.Kind, f.Name = ItemUpstream, name
		err = decodeUnlessDeleted(i, &f.Upstream)
	case "evacuate":
		f.Kind, f.Name = ItemEvacuation, name
	case "order":
		f.Kind, f.Name = ItemRollout, name
		err = decodeUnlessDeleted(i, &f.Rollout)
	case "status":
		f.Kind, f.Name = ItemRolloutStatus, name
		err = decodeUnlessDeleted(i, &f.Status)
	}
	return f, err
}

func (fakeDecoder) UrgentPrefixes() []string { return []string{"upstream/", "evacuate/"} }

func (fakeDecoder) EncodeStatus(service string, status RolloutStatus) (string, []byte, error) {
	value, err := json.Marshal(status)
	return "status/" + service, value, err
}

func decodeUnlessDeleted(i mirror.Item, target any) error {
	if i.Deleted {
		return nil
	}
	return json.Unmarshal(i.Value, target)
}

type fakePrompts struct{}

func (fakePrompts) Path() string { return "/prompts" }

func (fakePrompts) Decode([]byte) ([]placement.Part, error) { return nil, nil }

var testHeaders = forward.HeaderNames{
	RequestID: "Test-Id", Deadline: "Test-Deadline", Team: "Test-Team",
	Priority: "Test-Priority", Upstream: "Test-Upstream", Signature: "Test-Signature",
	NotRun: "Test-Not-Run", LastEventID: "Last-Event-Id", PromptParts: "Test-Parts", TokenCounts: "Test-Tokens", Model: "Test-Model",
	Load: "Test-Load", RateLimit: "Test-Limit", UpstreamID: "Test-Upstream-Id", ColdFor: "Test-Cold", Authorization: "Authorization", KeyScheme: "Bearer",
	Reserved: []string{"Test-Team", "Test-Priority", "Test-Upstream", "Authorization", "Test-Reserved"},
}

// fixture is a gateway with an in-memory store and the test's upstreams.
type fixture struct {
	t       *testing.T
	store   *fakeStore
	gateway *Gateway
	config  routing.Config
	client  *http.Client
}

func newFixture(t *testing.T, upstreams ...*fakeUpstream) *fixture {
	f := &fixture{t: t, store: newFakeStore(), config: routing.Config{
		Version: 1,
		Routes: []routing.Route{
			{Name: "book", Host: "a.test", PathPrefix: "/book/", Kind: routing.NonIdempotent, MaxAttempts: 1},
			{Name: "look", Host: "a.test", PathPrefix: "/look/", Kind: routing.Idempotent, MaxAttempts: 2, Timeout: 2 * time.Second},
			{Name: "chat", Host: "a.test", PathPrefix: "/chat/", Kind: routing.Streaming, MaxAttempts: 2, Resumable: true},
			{Name: "talk", Host: "a.test", PathPrefix: "/talk/", Kind: routing.Streaming, MaxAttempts: 1},
		},
		Services: []routing.Service{{Name: "plain", HealthPath: "/health"}},
		Teams:    []routing.Team{{Name: "drivers", Keys: []string{"key"}}},
	}}
	for i := range f.config.Routes {
		f.config.Routes[i].TrafficSplit = []routing.Share{{Service: "plain", Weight: 1}}
	}
	f.store.put("config", f.config)
	for _, u := range upstreams {
		f.store.put("upstream/"+u.id, u.entry())
	}
	f.gateway = f.start("one")
	f.client = &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 10 * time.Second}
	t.Cleanup(f.client.CloseIdleConnections)
	f.waitReady(f.gateway)
	return f
}

// start runs a gateway and stops it at the end of the test.
func (f *fixture) start(name string) *Gateway { return f.startWith(name, f.store) }

func (f *fixture) startWith(name string, store Store) *Gateway {
	g := f.startUnmanaged(f.settings(name), store)
	f.t.Cleanup(func() { g.Stop(context.Background()) })
	return g
}

func (f *fixture) settings(name string) *settings.Gateway {
	s := settings.GatewayDefaults()
	s.Instance, s.DataCentre = name, "here"
	s.DataCentres = []settings.DataCentre{{Name: "here"}}
	s.CallersAddress, s.ReadyAddress, s.PeerAddress = loopback.UnusedAddress(), loopback.UnusedAddress(), loopback.UnusedAddress()
	s.Fleet.RevokeMS = 3000
	return &s
}

// startUnmanaged starts a gateway, which the test has to stop.
func (f *fixture) startUnmanaged(s *settings.Gateway, store Store) *Gateway {
	g, err := New(Options{Settings: s, Store: store, Decoder: fakeDecoder{}, Headers: testHeaders, Prompts: fakePrompts{}})
	must.NoError(f.t, err)
	must.NoError(f.t, g.Start())
	return g
}

func (f *fixture) waitReady(g *Gateway) {
	f.eventually("ready", func() bool { return g.notReady() == "" })
}

func (f *fixture) eventually(what string, condition func() bool) {
	f.t.Helper()
	must.Wait(f.t, wait.InitialSuccess(
		wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(5*time.Millisecond),
	), must.Sprint(what))
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// err is the error of reading the body.
	err error
	// closes means that the gateway announced the end of the connection.
	closes bool
}

func (f *fixture) send(g *Gateway, method, path string, modify func(*http.Request)) callerResponse {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+g.settings.CallersAddress+path, nil)
	must.NoError(f.t, err)
	if method == http.MethodPost {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("hello")), 5
	}
	r.Host = "a.test"
	r.Header.Set("Test-Id", "id-"+strings.Trim(strings.ReplaceAll(path, "/", "-"), "-"))
	r.Header.Set("Test-Deadline", "5000")
	r.Header.Set("Authorization", "Bearer key")
	if modify != nil {
		modify(r)
	}
	response, err := f.client.Do(r)
	must.NoError(f.t, err)
	defer response.Body.Close() //nolint:errcheck // the body has been read
	body, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(body), err, response.Close}
}

// fakeUpstream is an upstream whose responses the test defines.
type fakeUpstream struct {
	id      string
	version string
	// slots is the number of requests that the upstream says it runs at once, zero for the usual number.
	slots    int
	listener net.Listener
	// serve handles a request. If it returns false, the connection is closed.
	serve func(conn net.Conn, r *http.Request, body string) bool

	mu       sync.Mutex
	requests []*http.Request
	conns    []net.Conn
}

// crash closes the listener and all connections.
func (u *fakeUpstream) crash() {
	_ = u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}

func newUpstream(t *testing.T, id string, serve func(conn net.Conn, r *http.Request, body string) bool) *fakeUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	u := &fakeUpstream{id: id, listener: listener, serve: serve}
	u.acceptFrom(t, listener)
	return u
}

// acceptFrom serves the connections of a listener until the end of the test.
func (u *fakeUpstream) acceptFrom(t *testing.T, listener net.Listener) {
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.handle(conn)
		}
	}()
}

func (u *fakeUpstream) handle(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the peer sees the end either way
	u.mu.Lock()
	u.conns = append(u.conns, conn)
	u.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Upstream-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
			continue
		}
		u.mu.Lock()
		u.requests = append(u.requests, r)
		u.mu.Unlock()
		if !u.serve(conn, r, string(body)) {
			return
		}
	}
}

func (u *fakeUpstream) entry() directory.Entry {
	slots := 4
	if u.slots > 0 {
		slots = u.slots
	}
	return directory.Entry{
		ID: u.id, Service: "plain", Address: u.listener.Addr().String(), DataCentre: "here", Slots: slots, Version: u.version,
	}
}

func (u *fakeUpstream) received() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]*http.Request(nil), u.requests...)
}

// respond writes a signed response.
func respond(conn net.Conn, id string, status int, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nTest-Id: %s\r\nTest-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
	return err == nil
}

func succeed(conn net.Conn, r *http.Request, _ string) bool {
	return respond(conn, r.Header.Get("Test-Id"), 200, "", "done")
}

func refuseNotRun(conn net.Conn, r *http.Request, _ string) bool {
	return respond(conn, r.Header.Get("Test-Id"), 503, "Test-Not-Run: 1\r\n", "")
}

func closeWithoutResponse(net.Conn, *http.Request, string) bool { return false }

// writeEventStream writes an event stream with the given text. If complete is false, the connection is closed before the end of the stream.
func writeEventStream(conn net.Conn, r *http.Request, text string, complete bool) bool {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Signature: s\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", r.Header.Get("Test-Id"), len(text), text)
	if !complete {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// partitionedStore wraps a store whose Changes and Renew calls fail while it is partitioned.
type partitionedStore struct {
	*fakeStore
	partitioned atomic.Bool
}

func (s *partitionedStore) Changes(ctx context.Context, w mirror.Watch) (mirror.Batch, error) {
	if s.partitioned.Load() {
		return mirror.Batch{}, services.ErrUnavailable
	}
	return s.fakeStore.Changes(ctx, w)
}

func (s *partitionedStore) Renew(ctx context.Context, lease services.LeaseID) error {
	if s.partitioned.Load() {
		return services.ErrUnavailable
	}
	return s.fakeStore.Renew(ctx, lease)
}

type routingService = routing.Service
