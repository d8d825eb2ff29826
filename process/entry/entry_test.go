package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/httplist"
	"github.com/jayridge/jayridge/internal/standin/instances"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rules"
)

const testRules = `service press-model kind=model versions=v1 # losana: the model
service basket-app kind=plain versions=v1 # josefa: bookings
route /chat service=press-model deadline=20s # losana: chats
route /bookings service=basket-app idempotent=no deadline=20s # josefa: bookings
`

// script defines how a fake sidecar responds to one attempt. If cut is set, it closes the connection afterwards.
type script struct {
	frames func(r *link.Responder)
	cut    bool
}

// sidecars runs two fake sidecars per service that share one queue of scripts: the n-th attempt uses the n-th script.
type sidecars struct {
	scripts  chan script
	attempts chan *wire.Open
}

func (s *sidecars) HandleOpen(ctx context.Context, c *link.Conn, open *wire.Open, r *link.Responder) {
	select {
	case s.attempts <- open:
	case <-ctx.Done():
		return
	}
	select {
	case script := <-s.scripts:
		script.frames(r)
		if script.cut {
			_ = c.Close()
		}
	case <-ctx.Done():
	}
}

func (s *sidecars) HandleControl(*link.Conn, wire.Message) {}

func (s *sidecars) HandleClose(*link.Conn, error) {}

// maxTestAttempts exceeds the number of attempts that an entry makes for one request.
const maxTestAttempts = 32

// newTestEntry starts an entry with fake sidecars. If raw is not nil, its frames are used in place of scripts.
func newTestEntry(t *testing.T, raw *rawSidecar) (*sidecars, string) {
	fakes := &sidecars{scripts: make(chan script, maxTestAttempts), attempts: make(chan *wire.Open, maxTestAttempts)}
	list := instances.New(nil)
	for _, service := range []string{"press-model", "basket-app"} {
		for i := range 2 {
			row := services.Instance{
				ID: fmt.Sprintf("%s-%d", service, i), Role: settings.RoleSidecar, DataCentre: "suva", Service: service, Version: "v1", State: services.InstanceLive,
			}
			row.Address = serveFake(t, fakes, raw, row)
			list.Put(row)
		}
	}
	store := httptest.NewServer(kv.New())
	t.Cleanup(store.Close)
	listServer := httptest.NewServer(list)
	t.Cleanup(listServer.Close)
	client, err := httpkv.New(httpkv.DefaultConfig(store.URL))
	must.NoError(t, err)
	_, err = config.Propose(t.Context(), client, config.Proposal{File: "rules", Text: testRules, ChangeID: "c", Author: "t", Time: time.Now()})
	must.NoError(t, err)

	s := settings.Defaults()
	s.Instance, s.Role, s.DataCentre = "entry-1", settings.RoleEntry, "suva"
	s.PeerAddress, s.AdminAddress, s.HTTPAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	e, err := New(Options{Settings: &s, KV: client, List: httplist.New(listServer.URL, time.Second)})
	must.NoError(t, err)
	e.Start()
	t.Cleanup(e.Stop)
	for e.Node().Snapshot().Config == nil || len(e.Node().Snapshot().Sidecars) < 4 {
		time.Sleep(time.Millisecond)
	}
	return fakes, "http://" + e.ln.Addr().String()
}

func serveFake(t *testing.T, fakes *sidecars, raw *rawSidecar, row services.Instance) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	if raw != nil {
		row.Address = ln.Addr().String()
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go raw.serve(nc, row)
			}
		}()
		return row.Address
	}
	hello := func() wire.Hello {
		return wire.Hello{
			Major: wire.MajorVersion, Instance: row.ID, Role: row.Role, DataCentre: row.DataCentre, Service: row.Service, Version: "v1", Address: ln.Addr().String(),
		}
	}
	server := link.NewServer(link.DefaultConfig(), hello, fakes)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// caller holds the parts of a response that a caller sees.
type caller struct {
	status  int
	outcome string
	body    string
}

func send(t *testing.T, url, path string) caller {
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(`{"id":"x"}`))
	must.NoError(t, err)
	req.Header.Set(HeaderTeam, "drivers")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return caller{resp.StatusCode, resp.Header.Get(HeaderOutcome), string(body)}
}

func write(r *link.Responder, parts ...string) {
	for _, part := range parts {
		_ = r.Write(context.Background(), []byte(part))
	}
}

func whole(r *link.Responder) {
	_ = r.Accepted()
	write(r, "the ", "whole ", "answer")
	_ = r.End(wire.End{Result: uint8(result.OK), Status: http.StatusOK})
}

// Each case interrupts the first attempt at a different point of the protocol. A call that may have run must not be reported as "not
// run", a non-idempotent call must not run twice, and responses must not be truncated or combined from two attempts.
func TestExchange_CutAtEveryFrame(t *testing.T) {
	refuse := func(code result.Code) func(r *link.Responder) {
		return func(r *link.Responder) { _ = r.End(wire.End{Result: uint8(code)}) }
	}
	cases := []struct {
		name  string
		first script
		// booking is the expected outcome of a non-idempotent call that is not retried, or empty if it is retried.
		booking string
	}{
		{"nothing, then lost", script{func(*link.Responder) {}, true}, "unknown"},
		{"refused as leaving", script{refuse(result.Leaving), false}, ""},
		{"refused over the bound", script{refuse(result.OverBound), false}, ""},
		{"accepted, then lost", script{func(r *link.Responder) { _ = r.Accepted() }, true}, "unknown"},
		{"accepted, upstream broke", script{func(r *link.Responder) { _ = r.Accepted(); refuse(result.UpstreamBroken)(r) }, false}, "unknown"},
		{"one part, then lost", script{func(r *link.Responder) { _ = r.Accepted(); write(r, "the ") }, true}, "unknown"},
		{"all parts, then lost", script{func(r *link.Responder) { _ = r.Accepted(); write(r, "the ", "whole ", "answer") }, true}, "unknown"},
		{"parts, then broken", script{func(r *link.Responder) { _ = r.Accepted(); write(r, "a ", "b "); refuse(result.UpstreamBroken)(r) }, false}, "unknown"},
	}
	fakes, url := newTestEntry(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fakes.scripts <- c.first
			fakes.scripts <- script{whole, false}
			must.Eq(t, caller{200, "run", "the whole answer"}, send(t, url, "/chat"))
			first, second := <-fakes.attempts, <-fakes.attempts
			must.Eq(t, first.Request, second.Request)
			must.NotEq(t, first.Attempt, second.Attempt)

			fakes.scripts <- c.first
			if c.booking == "" {
				fakes.scripts <- script{whole, false}
				must.Eq(t, 200, send(t, url, "/bookings").status)
				<-fakes.attempts
			} else {
				answer := send(t, url, "/bookings")
				must.Eq(t, c.booking, answer.outcome)
				must.True(t, json.Valid([]byte(answer.body)))
			}
			<-fakes.attempts
			must.Eq(t, 0, len(fakes.attempts))
		})
	}
}

// rawSidecar responds to every attempt with arbitrary frames, including ones that a real sidecar never sends.
type rawSidecar struct {
	frames func(open *wire.Open) []wire.Message
	// newer is added to the protocol's major version in the Hello.
	newer uint16
}

// serve handles one connection.
func (s *rawSidecar) serve(nc net.Conn, row services.Instance) {
	defer nc.Close()
	hello := &wire.Hello{
		Major: wire.MajorVersion + s.newer, Instance: row.ID, Role: row.Role, DataCentre: row.DataCentre, Service: row.Service, Version: row.Version, Address: row.Address,
	}
	sendFrame(nc, 0, hello)
	for {
		f, err := wire.Read(nc)
		if err != nil {
			return
		}
		open, ok := f.Message.(*wire.Open)
		if !ok {
			continue
		}
		for _, m := range s.frames(open) {
			sendFrame(nc, f.Stream, m)
		}
	}
}

func sendFrame(nc net.Conn, stream uint32, m wire.Message) {
	frame, err := wire.Encode(stream, m)
	if err == nil {
		_, _ = nc.Write(frame)
	}
}

// Each case corrupts a response in a different way. A response with chunks that are missing, duplicated, or from another request or
// attempt must not be passed on as complete.
func TestExchange_DamagedAnswers(t *testing.T) {
	sum := xxhash.Sum64String("the whole answer")
	chunk := func(open *wire.Open, n uint32, text string) wire.Message {
		return &wire.Chunk{Identity: open.Identity, Sequence: n, Data: []byte(text)}
	}
	end := func(open *wire.Open, chunks uint32, checksum uint64) wire.Message {
		return &wire.End{Identity: open.Identity, Status: 200, Chunks: chunks, Checksum: checksum}
	}
	other := func(open *wire.Open) *wire.Open {
		copied := *open
		copied.Request[0]++
		return &copied
	}
	older := func(open *wire.Open) *wire.Open {
		copied := *open
		copied.Attempt += 3
		return &copied
	}
	cases := map[string]struct {
		frames func(o *wire.Open) []wire.Message
		whole  bool
	}{
		"whole": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"part doubled": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"part of another request": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(other(o), 1, "fraud"), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"part of another attempt": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(older(o), 0, "old "), chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"last part missing": {func(o *wire.Open) []wire.Message { return []wire.Message{chunk(o, 0, "the whole "), end(o, 2, sum)} }, false},
		"part changed": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the false "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, false},
		"count wrong": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 3, sum)}
		}, false},
		"part skipped": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 2, "answer"), end(o, 2, sum)}
		}, false},
	}
	raw := &rawSidecar{}
	_, url := newTestEntry(t, raw)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			raw.frames = c.frames
			answer := send(t, url, "/bookings")
			if c.whole {
				must.Eq(t, caller{200, "run", "the whole answer"}, answer)
				return
			}
			must.Eq(t, "unknown", answer.outcome)
			must.StrNotContains(t, answer.body, "the whole ")
		})
	}
}

// An incompatible protocol version must not be reported as an unreachable peer, which would send the operator looking for a network
// problem. The second request receives the first one's dial error from the connection pool.
func TestProtocolVersion(t *testing.T) {
	_, url := newTestEntry(t, &rawSidecar{newer: 1})
	for _, path := range []string{"/bookings", "/bookings", "/chat"} {
		answer := send(t, url, path)
		must.Eq(t, "not-run", answer.outcome)
		must.StrContains(t, answer.body, `"name":"protocol-version"`)
		must.StrContains(t, answer.body, "other major protocol version: peer has 2.")
	}
}

// Guards against a refusal that says "not run" when no attempt was made, or that does not say how long to wait.
func TestRefusals(t *testing.T) {
	fakes, url := newTestEntry(t, nil)
	for path, want := range map[string]int{"/nowhere": 404, "/bookings": 503} {
		for range maxTestAttempts {
			fakes.scripts <- script{func(r *link.Responder) { _ = r.End(wire.End{Result: uint8(result.OverBound), RetryAfterMS: 1500}) }, false}
		}
		req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("{}"))
		must.NoError(t, err)
		req.Header.Set(HeaderTeam, "drivers")
		resp, err := http.DefaultClient.Do(req)
		must.NoError(t, err)
		must.Eq(t, want, resp.StatusCode)
		must.Eq(t, "not-run", resp.Header.Get(HeaderOutcome))
		if want == http.StatusServiceUnavailable {
			must.Eq(t, "2", resp.Header.Get("Retry-After"))
		}
		resp.Body.Close()
		for len(fakes.scripts) > 0 {
			<-fakes.scripts
		}
		for len(fakes.attempts) > 0 {
			<-fakes.attempts
		}
	}
}

// Upstreams of other regions are used only if the entry's own region has none for the service version. A service version must not lose
// all upstreams because they are drained or in other regions.
func TestReachable_PrefersTheRegion(t *testing.T) {
	row := func(id, dataCentre, region, version string) services.Instance {
		return services.Instance{ID: id, DataCentre: dataCentre, Region: region, Service: "s", Version: version}
	}
	set, faults := rules.Parse("rules", []byte("service s kind=model versions=v1,v2 # a: b\ndrain datacentre riga-b # a: b\n"))
	must.SliceEmpty(t, faults)
	snapshot := &node.Snapshot{
		Config: &config.Accepted{Rules: set},
		Sidecars: []services.Instance{
			row("near", "riga-a", "baltic", "v1"), row("far", "suva", "pacific", "v1"), row("far-new", "suva", "pacific", "v2"), row("drained", "riga-b", "baltic", "v2"),
		},
	}
	ids := func(region string) (names []string) {
		for _, i := range reachableSidecars(snapshot, region) {
			names = append(names, i.ID)
		}
		return names
	}
	must.Eq(t, []string{"near", "far-new"}, ids("baltic"))
	must.Eq(t, []string{"near", "far", "far-new"}, ids(""))
}
