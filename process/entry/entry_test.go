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
	"github.com/jayridge/jayridge/internal/standin/loopback"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/quarantine"
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

// fakeResponse defines how a fake sidecar responds to one attempt. If disconnect is set, it closes the connection afterwards.
type fakeResponse struct {
	send       func(r *link.Responder)
	disconnect bool
}

// fakeSidecars runs two fake sidecars per service that share one queue of responses: the n-th attempt gets the n-th response.
type fakeSidecars struct {
	responses chan fakeResponse
	attempts  chan *wire.Open
}

func (s *fakeSidecars) HandleOpen(ctx context.Context, c *link.Conn, open *wire.Open, r *link.Responder) {
	select {
	case s.attempts <- open:
	case <-ctx.Done():
		return
	}
	select {
	case response := <-s.responses:
		response.send(r)
		if response.disconnect {
			_ = c.Close()
		}
	case <-ctx.Done():
	}
}

func (s *fakeSidecars) HandleControl(*link.Conn, wire.Message) {}

func (s *fakeSidecars) HandleClose(*link.Conn, error) {}

// maxTestAttempts exceeds the number of attempts that an entry makes for one request.
const maxTestAttempts = 32

// newTestEntry starts an entry with fake sidecars and returns its URL. If raw is not nil, its frames are used in place of fake responses.
func newTestEntry(t *testing.T, raw *rawSidecar) (*fakeSidecars, string) {
	fakes, e := startTestEntry(t, raw)
	return fakes, "http://" + e.ln.Addr().String()
}

// startTestEntry is like newTestEntry but returns the entry. Its gossip interval is longer than any test.
func startTestEntry(t *testing.T, raw *rawSidecar) (*fakeSidecars, *Entry) {
	fakes := &fakeSidecars{responses: make(chan fakeResponse, maxTestAttempts), attempts: make(chan *wire.Open, maxTestAttempts)}
	list := instances.New(nil)
	for _, service := range []string{"press-model", "basket-app"} {
		for i := range 2 {
			sidecar := services.Instance{
				ID: fmt.Sprintf("%s-%d", service, i), Role: settings.RoleSidecar, DataCentre: "suva", Service: service, Version: "v1", State: services.InstanceLive,
			}
			sidecar.Address = serveFake(t, fakes, raw, sidecar)
			list.Put(sidecar)
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
	s.PeerAddress, s.AdminAddress, s.HTTPAddress = loopback.UnusedAddress(), "127.0.0.1:0", "127.0.0.1:0"
	s.GossipIntervalMS = 60000
	e, err := New(Options{Settings: &s, KV: client, List: httplist.New(listServer.URL, time.Second)})
	must.NoError(t, err)
	e.Start()
	t.Cleanup(e.Stop)
	for e.Node().Snapshot().Config == nil || len(e.Node().Snapshot().Sidecars) < 4 {
		time.Sleep(time.Millisecond)
	}
	return fakes, e
}

func serveFake(t *testing.T, fakes *fakeSidecars, raw *rawSidecar, sidecar services.Instance) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	if raw != nil {
		sidecar.Address = ln.Addr().String()
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go raw.serve(nc, sidecar)
			}
		}()
		return sidecar.Address
	}
	hello := func() wire.Hello {
		return wire.Hello{
			Major: wire.MajorVersion, Instance: sidecar.ID, Role: sidecar.Role, DataCentre: sidecar.DataCentre, Service: sidecar.Service, Version: "v1", Address: ln.Addr().String(),
		}
	}
	server := link.NewServer(link.DefaultConfig(), hello, fakes)
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// callerResponse holds the parts of a response that a caller sees.
type callerResponse struct {
	status  int
	outcome string
	body    string
}

func send(t *testing.T, url, path string) callerResponse {
	req, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(`{"id":"x"}`))
	must.NoError(t, err)
	req.Header.Set(HeaderTeam, "drivers")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return callerResponse{resp.StatusCode, resp.Header.Get(HeaderOutcome), string(body)}
}

func write(r *link.Responder, parts ...string) {
	for _, part := range parts {
		_ = r.Write(context.Background(), []byte(part))
	}
}

func respondCompletely(r *link.Responder) {
	_ = r.Accepted()
	write(r, "the ", "whole ", "answer")
	_ = r.End(wire.End{Result: uint8(result.OK), Status: http.StatusOK})
}

// In each case the first attempt is refused or interrupted at a different point of the protocol. A call that may have run must not be
// reported as "not run", a non-idempotent call must not run twice, and responses must not be truncated or combined from two attempts.
func TestExchange_ConnectionLostAtEachFrame(t *testing.T) {
	refuse := func(code result.Code) func(r *link.Responder) {
		return func(r *link.Responder) { _ = r.End(wire.End{Result: uint8(code)}) }
	}
	cases := []struct {
		name  string
		first fakeResponse
		// nonIdempotentOutcome is the expected outcome of a non-idempotent call that is not retried, or empty if it is retried.
		nonIdempotentOutcome string
	}{
		{"connection lost before the first message", fakeResponse{func(*link.Responder) {}, true}, "unknown"},
		{"refused: sidecar is leaving", fakeResponse{refuse(result.Leaving), false}, ""},
		{"refused: load bound exceeded", fakeResponse{refuse(result.OverBound), false}, ""},
		{"accepted, then connection lost", fakeResponse{func(r *link.Responder) { _ = r.Accepted() }, true}, "unknown"},
		{"accepted, then upstream failed", fakeResponse{func(r *link.Responder) { _ = r.Accepted(); refuse(result.UpstreamBroken)(r) }, false}, "unknown"},
		{"connection lost after the first chunk", fakeResponse{func(r *link.Responder) { _ = r.Accepted(); write(r, "the ") }, true}, "unknown"},
		{"connection lost before the End", fakeResponse{func(r *link.Responder) { _ = r.Accepted(); write(r, "the ", "whole ", "answer") }, true}, "unknown"},
		{"upstream failed after two chunks", fakeResponse{func(r *link.Responder) { _ = r.Accepted(); write(r, "a ", "b "); refuse(result.UpstreamBroken)(r) }, false}, "unknown"},
	}
	fakes, url := newTestEntry(t, nil)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fakes.responses <- c.first
			fakes.responses <- fakeResponse{respondCompletely, false}
			must.Eq(t, callerResponse{200, "run", "the whole answer"}, send(t, url, "/chat"))
			first, second := <-fakes.attempts, <-fakes.attempts
			must.Eq(t, first.Request, second.Request)
			must.NotEq(t, first.Attempt, second.Attempt)

			fakes.responses <- c.first
			if c.nonIdempotentOutcome == "" {
				fakes.responses <- fakeResponse{respondCompletely, false}
				must.Eq(t, 200, send(t, url, "/bookings").status)
				<-fakes.attempts
			} else {
				response := send(t, url, "/bookings")
				must.Eq(t, c.nonIdempotentOutcome, response.outcome)
				must.True(t, json.Valid([]byte(response.body)))
			}
			<-fakes.attempts
			must.Eq(t, 0, len(fakes.attempts))
		})
	}
}

// rawSidecar responds to every attempt with arbitrary frames, including ones that a real sidecar never sends.
type rawSidecar struct {
	frames func(open *wire.Open) []wire.Message
	// majorOffset is added to the protocol's major version in the Hello.
	majorOffset uint16
}

// serve handles one connection.
func (s *rawSidecar) serve(nc net.Conn, sidecar services.Instance) {
	defer nc.Close()
	hello := &wire.Hello{
		Major: wire.MajorVersion + s.majorOffset, Instance: sidecar.ID, Role: sidecar.Role, DataCentre: sidecar.DataCentre, Service: sidecar.Service, Version: sidecar.Version, Address: sidecar.Address,
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
func TestExchange_CorruptResponses(t *testing.T) {
	sum := xxhash.Sum64String("the whole answer")
	chunk := func(open *wire.Open, n uint32, text string) wire.Message {
		return &wire.Chunk{Identity: open.Identity, Sequence: n, Data: []byte(text)}
	}
	end := func(open *wire.Open, chunks uint32, checksum uint64) wire.Message {
		return &wire.End{Identity: open.Identity, Status: 200, Chunks: chunks, Checksum: checksum}
	}
	withStatus := func(status uint16) func(*wire.Open) []wire.Message {
		return func(open *wire.Open) []wire.Message {
			return []wire.Message{chunk(open, 0, "the whole answer"), &wire.End{Identity: open.Identity, Status: status, Chunks: 1, Checksum: sum}}
		}
	}
	otherRequest := func(open *wire.Open) *wire.Open {
		copied := *open
		copied.Request[0]++
		return &copied
	}
	otherAttempt := func(open *wire.Open) *wire.Open {
		copied := *open
		copied.Attempt += 3
		return &copied
	}
	cases := map[string]struct {
		frames   func(o *wire.Open) []wire.Message
		complete bool
	}{
		"complete": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"duplicate chunk": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"chunk of another request": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(otherRequest(o), 1, "other"), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"chunk of another attempt": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(otherAttempt(o), 0, "old "), chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, true},
		"status 0":           {withStatus(0), false},
		"status 99":          {withStatus(99), false},
		"status 101":         {withStatus(101), false},
		"status 600":         {withStatus(600), false},
		"last chunk missing": {func(o *wire.Open) []wire.Message { return []wire.Message{chunk(o, 0, "the whole "), end(o, 2, sum)} }, false},
		"checksum mismatch": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the false "), chunk(o, 1, "answer"), end(o, 2, sum)}
		}, false},
		"wrong chunk count": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 1, "answer"), end(o, 3, sum)}
		}, false},
		"chunk sequence gap": {func(o *wire.Open) []wire.Message {
			return []wire.Message{chunk(o, 0, "the whole "), chunk(o, 2, "answer"), end(o, 2, sum)}
		}, false},
	}
	raw := &rawSidecar{}
	_, url := newTestEntry(t, raw)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			raw.frames = c.frames
			response := send(t, url, "/bookings")
			if c.complete {
				must.Eq(t, callerResponse{200, "run", "the whole answer"}, response)
				return
			}
			must.Eq(t, "unknown", response.outcome)
			must.StrNotContains(t, response.body, "the whole ")
		})
	}
}

// An incompatible protocol version must not be reported as an unreachable peer, because the operator would then suspect a network
// fault. The second request receives the first one's dial error from the connection pool.
func TestProtocolVersion(t *testing.T) {
	_, url := newTestEntry(t, &rawSidecar{majorOffset: 1})
	for _, path := range []string{"/bookings", "/bookings", "/chat"} {
		response := send(t, url, path)
		must.Eq(t, "not-run", response.outcome)
		must.StrContains(t, response.body, `"name":"protocol-version"`)
		must.StrContains(t, response.body, "other major protocol version: peer has 2.")
	}
}

// A refusal must say not-run whether or not an attempt was made, and a 503 must say in Retry-After how long to wait.
func TestRefusals(t *testing.T) {
	fakes, url := newTestEntry(t, nil)
	for path, want := range map[string]int{"/nowhere": 404, "/bookings": 503} {
		for range maxTestAttempts {
			fakes.responses <- fakeResponse{func(r *link.Responder) { _ = r.End(wire.End{Result: uint8(result.OverBound), RetryAfterMS: 1500}) }, false}
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
		for len(fakes.responses) > 0 {
			<-fakes.responses
		}
		for len(fakes.attempts) > 0 {
			<-fakes.attempts
		}
	}
}

// fakeNeighbour is another entry that keeps the quarantine entries that it is told of.
type fakeNeighbour struct{ told chan wire.QuarantineEntry }

func (n fakeNeighbour) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

func (n fakeNeighbour) HandleControl(_ *link.Conn, m wire.Message) {
	if g, ok := m.(*wire.Gossip); ok {
		for _, q := range g.Quarantine {
			n.told <- q
		}
	}
}

func (n fakeNeighbour) HandleClose(*link.Conn, error) {}

// A sidecar tells the entries that are connected to it of a quarantine. They must tell the other entries at once and only once: until these
// know, they send the request to upstreams that it crashes.
func TestHandleGossip_PassesQuarantineOnToEntries(t *testing.T) {
	_, e := startTestEntry(t, nil)
	neighbours := make([]fakeNeighbour, 2)
	for i := range neighbours {
		neighbours[i] = fakeNeighbour{told: make(chan wire.QuarantineEntry, 8)}
		hello := func() wire.Hello {
			return wire.Hello{Major: wire.MajorVersion, Instance: fmt.Sprintf("entry-%d", i+2), Role: settings.RoleEntry, DataCentre: "nadi"}
		}
		conn, err := link.Dial(t.Context(), e.opts.Settings.PeerAddress, link.DefaultConfig(), hello, neighbours[i])
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	body := `{"prompt":"poison"}`
	known := quarantine.FingerprintOf("press-model", "/chat", []byte(body))
	for _, f := range []quarantine.Fingerprint{known, known, known + 1} {
		e.HandleGossip(&wire.Gossip{Quarantine: []wire.QuarantineEntry{{Fingerprint: uint64(f), RemainingMS: 60000}}})
	}
	must.True(t, e.isQuarantined("press-model", "/chat", []byte(body)))
	for _, n := range neighbours {
		for _, want := range []quarantine.Fingerprint{known, known + 1} {
			select {
			case q := <-n.told:
				must.Eq(t, uint64(want), q.Fingerprint)
				must.Between(t, 57_000, q.RemainingMS, 58_000)
			case <-time.After(10 * time.Second):
				t.Fatal("the entry was not told of the quarantine")
			}
		}
	}
}

// Upstreams of other regions are used only if the entry's own region has none for the service version. If all upstreams of a version in the
// region are drained, it must keep those of other regions.
func TestReachable_PrefersTheRegion(t *testing.T) {
	sidecar := func(id, dataCentre, region, version string) services.Instance {
		return services.Instance{ID: id, DataCentre: dataCentre, Region: region, Service: "s", Version: version}
	}
	set, faults := rules.Parse("rules", []byte("service s kind=model versions=v1,v2 # a: b\ndrain datacentre riga-b # a: b\n"))
	must.SliceEmpty(t, faults)
	snapshot := &node.Snapshot{
		Config: &config.Accepted{Rules: set},
		Sidecars: []services.Instance{
			sidecar("near", "riga-a", "baltic", "v1"), sidecar("far", "suva", "pacific", "v1"), sidecar("far-new", "suva", "pacific", "v2"), sidecar("drained", "riga-b", "baltic", "v2"),
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
