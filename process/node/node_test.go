package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/kv"
	"github.com/jayridge/jayridge/internal/standin/loopback"
	"github.com/jayridge/jayridge/process/membership"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/config"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// idleRole does nothing.
type idleRole struct{}

func (idleRole) HandleOpen(context.Context, *link.Conn, *wire.Open, *link.Responder) {}
func (idleRole) Publish(*Snapshot)                                                   {}
func (idleRole) Tick(time.Time, *Snapshot)                                           {}
func (idleRole) Connect(*Snapshot)                                                   {}
func (idleRole) HandleEvidence(*wire.Evidence)                                       {}
func (idleRole) HandleOrder(context.Context, *wire.Order) (result.Code, error) {
	return result.NotFound, nil
}
func (idleRole) AppendGossip(*wire.Gossip) {}
func (idleRole) HandleGossip(*wire.Gossip) {}
func (idleRole) Status() any               { return nil }

// startNode starts an entry with the given key-value service, which may be nil, and seeds.
func startNode(t *testing.T, name string, store services.KV, seeds ...string) *Node {
	return start(t, Options{Settings: testSettings(name, loopback.UnusedAddress(), seeds...), KV: store, Role: idleRole{}})
}

// startRole starts an entry with the given role implementation.
func startRole(t *testing.T, name string, role Role) *Node {
	return startAt(t, name, loopback.UnusedAddress(), role)
}

func startAt(t *testing.T, name, address string, role Role) *Node {
	return start(t, Options{Settings: testSettings(name, address), Role: role})
}

func testSettings(name, address string, seeds ...string) *settings.Settings {
	s := settings.Defaults()
	s.Instance, s.Role, s.DataCentre = name, settings.RoleEntry, "suva"
	s.PeerAddress, s.AdminAddress = address, "127.0.0.1:0"
	s.GossipIntervalMS, s.Seeds = 10, seeds
	return &s
}

func start(t *testing.T, opts Options) *Node {
	n := create(t, opts)
	n.Start()
	return n
}

func create(t *testing.T, opts Options) *Node {
	opts.Link = link.DefaultConfig()
	opts.Member = membership.DefaultConfig()
	opts.Member.DownAfter = 50 * time.Millisecond
	n, err := New(opts)
	must.NoError(t, err)
	t.Cleanup(n.Stop)
	return n
}

// An instance must be able to obtain the configuration from its peers: changes must spread along a chain of seeds of which only the first
// has access to the platform.
func TestConfig_PulledFromPeer(t *testing.T) {
	standin := kv.New()
	server := httptest.NewServer(standin)
	defer server.Close()
	// Cancels the pending watches, which server.Close would wait for.
	defer server.CloseClientConnections()
	store, err := httpkv.New(httpkv.DefaultConfig(server.URL))
	must.NoError(t, err)
	defer store.Close()
	first := startNode(t, "first", store)
	second := startNode(t, "second", nil, first.opts.Settings.PeerAddress)
	third := startNode(t, "third", nil, second.opts.Settings.PeerAddress)
	for version := uint64(1); version <= 3; version++ {
		_, err := config.Propose(t.Context(), store, config.Proposal{
			File: "rules", Text: fmt.Sprintf("service s kind=plain versions=v%d # ops: test\n", version), Base: version - 1, ChangeID: fmt.Sprint(version), Author: "test", Time: time.Now(),
		})
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		for _, n := range []*Node{first, second, third} {
			must.Eq(t, version, n.AwaitVersion(ctx, version).Version())
		}
		cancel()
	}
}
