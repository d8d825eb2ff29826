package sidecar

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/standin/engine"
	"github.com/jayridge/jayridge/internal/standin/httpengine"
	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/internal/standin/loopback"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/config"
	"github.com/jayridge/jayridge/version/rollout"
	"github.com/jayridge/jayridge/version/rules"
)

const testRules = `service press-model kind=model versions=v1,v2 # losana: the model
route /chat service=press-model deadline=20s # losana: chats
`

// fakeEntry responds to configuration pulls unless silent is set, and keeps the quarantine entries that it is told of.
type fakeEntry struct {
	mu          sync.Mutex
	config      *config.State
	silent      bool
	quarantined []wire.QuarantineEntry
}

func (e *fakeEntry) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}

func (e *fakeEntry) HandleControl(c *link.Conn, m wire.Message) {
	pull, ok := m.(*wire.ConfigPull)
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := m.(*wire.Gossip); ok {
		e.quarantined = append(e.quarantined, g.Quarantine...)
	}
	if !ok || e.silent {
		return
	}
	for _, push := range e.config.Answer(*pull) {
		_ = c.Send(&push)
	}
}

func (e *fakeEntry) HandleClose(*link.Conn, error) {}

// fixture is a sidecar with a model engine and a connected entry.
type fixture struct {
	t       *testing.T
	sidecar *Sidecar
	engine  *engine.Server
	entry   *fakeEntry
	conn    *link.Conn
}

// newFixture starts a sidecar whose entry has adopted the given rules texts in order.
func newFixture(t *testing.T, silent bool, texts ...string) *fixture {
	f := &fixture{t: t, engine: engine.New(engine.Config{}), entry: &fakeEntry{config: config.New(config.DefaultConfig()), silent: silent}}
	upstream := httptest.NewServer(f.engine)
	t.Cleanup(upstream.Close)
	f.accept(texts...)
	s := settings.Defaults()
	s.Instance, s.Role, s.DataCentre, s.Service = "press-1", settings.RoleSidecar, "nadi", "press-model"
	s.PeerAddress, s.AdminAddress = loopback.UnusedAddress(), "127.0.0.1:0"
	s.Upstream.LoadIntervalMS = 10
	sidecar, err := New(Options{Settings: &s, Engine: httpengine.New(httpengine.Config{URL: upstream.URL})})
	must.NoError(t, err)
	f.sidecar = sidecar
	sidecar.Start()
	t.Cleanup(func() { sidecar.Stop(context.Background()) })
	hello := func() wire.Hello {
		return wire.Hello{Major: wire.MajorVersion, Instance: "entry-1", Role: settings.RoleEntry, DataCentre: "suva"}
	}
	f.conn, err = link.Dial(t.Context(), s.PeerAddress, link.DefaultConfig(), hello, f.entry)
	must.NoError(t, err)
	t.Cleanup(func() { _ = f.conn.Close() })
	return f
}

// accept makes the entry adopt the given rules texts in order.
func (f *fixture) accept(texts ...string) {
	server := httptest.NewServer(kv.New())
	defer server.Close()
	store, err := httpkv.New(httpkv.DefaultConfig(server.URL))
	must.NoError(f.t, err)
	for i, text := range texts {
		_, err := config.Propose(f.t.Context(), store, config.Proposal{
			File: "rules", Text: text, Base: uint64(i), ChangeID: fmt.Sprint(i), Author: "test", Time: time.Now(),
		})
		must.NoError(f.t, err)
	}
	head, err := config.ReadHead(f.t.Context(), store, nil)
	must.NoError(f.t, err)
	if len(texts) > 0 {
		_, err = f.entry.config.AdoptHead(head)
		must.NoError(f.t, err)
	}
}

// open sends a request with the given configuration version and returns its result code.
func (f *fixture) open(version uint64, deadline time.Duration) result.Code {
	f.t.Helper()
	open := &wire.Open{
		Identity: wire.Identity{Attempt: 1}, Service: "press-model", Route: "/chat", Path: "/chat", Method: "POST", Team: "drivers",
		DeadlineMS: uint32(deadline.Milliseconds()), WorkUnits: 10, Body: []byte("{}"), ConfigVersion: version,
	}
	stream, err := f.conn.Open(f.t.Context(), open)
	must.NoError(f.t, err)
	for {
		m, err := stream.Recv(f.t.Context())
		must.NoError(f.t, err)
		if end, ok := m.(*wire.End); ok {
			return result.Code(end.Result)
		}
	}
}

// An entry may have a newer rule than the sidecar. A request that this rule forbids must be refused by the sidecar.
func TestServe_DrainedByNewerConfiguration(t *testing.T) {
	f := newFixture(t, false, testRules, testRules+"drain datacentre nadi # ops: power work\n")
	must.Eq(t, result.Draining, f.open(2, time.Minute))
	must.Zero(t, f.engine.Counters().Received)
	must.True(t, result.Draining.Outcome() == result.NotRun)
}

// If a request specifies a newer configuration version that the sidecar cannot obtain, the sidecar must refuse the request.
func TestServe_UnknownNewerConfiguration(t *testing.T) {
	f := newFixture(t, false, testRules)
	must.Eq(t, result.OK, f.open(1, time.Minute))
	f.entry.mu.Lock()
	f.entry.silent = true
	f.entry.mu.Unlock()
	received := f.engine.Counters().Received
	must.Eq(t, result.NoConfiguration, f.open(7, time.Minute))
	must.Eq(t, received, f.engine.Counters().Received)
}

// A request must not reach the engine before the sidecar has a configuration or after the request's deadline.
func TestServe_RefusesBeforeForwarding(t *testing.T) {
	f := newFixture(t, true)
	must.Eq(t, result.NoConfiguration, f.open(0, time.Minute))
	f = newFixture(t, false, testRules)
	must.Eq(t, result.OK, f.open(1, time.Minute))
	must.Eq(t, result.DeadlineBeforeRun, f.open(1, 0))
	must.Eq(t, 1, f.engine.Counters().Received)
}

// An entry that was not connected when a request was quarantined sends it to a sidecar that rejects it. The rejection must tell the entry, which
// would otherwise send the request to sidecars that do not know of the quarantine yet.
func TestServe_RejectionTellsEntryOfQuarantine(t *testing.T) {
	f := newFixture(t, false, testRules)
	must.Eq(t, result.OK, f.open(1, time.Minute))
	fingerprint := quarantine.FingerprintOf("press-model", "/chat", []byte("{}"))
	f.sidecar.mu.Lock()
	f.sidecar.crashes.list.Add(time.Now(), fingerprint)
	f.sidecar.mu.Unlock()
	must.Eq(t, result.Quarantined, f.open(1, time.Minute))
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	must.Len(t, 1, f.entry.quarantined)
	must.Eq(t, uint64(fingerprint), f.entry.quarantined[0].Fingerprint)
	must.Between(t, 3_500_000, f.entry.quarantined[0].RemainingMS, 3_600_000)
}

// Requests that were already in transit when the sidecar announced its departure must be refused.
func TestServe_Leaving(t *testing.T) {
	f := newFixture(t, false, testRules)
	must.Eq(t, result.OK, f.open(1, time.Minute))
	f.sidecar.Leave()
	x := exchange{s: f.sidecar, open: &wire.Open{Team: "drivers", WorkUnits: 1}}
	_, refusal := x.admit("entry-1")
	must.Eq(t, result.Leaving, refusal.Code)
}

// Guards against an upstream that refuses all requests after a former leader's rollback notice although its version's rollout is done.
func TestHandleGossip_StopAfterDone(t *testing.T) {
	const shiftRule = "shift press-model v1 -> v2 by 2030-01-01T00:00:00Z cap=5% # losana: new weights\n"
	f := newFixture(t, false, testRules+shiftRule)
	must.Eq(t, result.OK, f.open(1, time.Minute))
	set, faults := rules.ParseString("rules", testRules+shiftRule)
	must.SliceEmpty(t, faults)
	f.sidecar.mu.Lock()
	f.sidecar.opts.Settings.Upstream.Version = "v2"
	f.sidecar.setShift(set)
	id := f.sidecar.shift.ID
	f.sidecar.mu.Unlock()
	stop := wire.Gossip{Stops: []wire.RolloutStop{{Rollout: id, Reason: "deadline"}}}
	f.sidecar.HandleGossip(&stop)
	must.Eq(t, result.VersionStopped, f.open(1, time.Minute))
	record, err := rollout.Record{ID: id, State: rollout.Done, Share: 1}.Encode()
	must.NoError(t, err)
	f.sidecar.HandleGossip(&wire.Gossip{Rollouts: []wire.RolloutRecord{{Rollout: id, Revision: 1, Data: record}}})
	f.sidecar.HandleGossip(&stop)
	must.Eq(t, result.OK, f.open(1, time.Minute))
}
