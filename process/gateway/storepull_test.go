package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
)

// A neighbour's answer that takes longer than a round of the peers' maintenance must be applied, not dropped.
func TestStorePull_AnswerAfterMaintenance(t *testing.T) {
	f := newFixture(t)
	p := newPeers(f.gateway)
	sent := bootclock.Now().Add(-pullConfig().Timeout / 2)
	questions := p.puller.Ask(sent, f.gateway.revision.Load(), []string{"b"})
	must.Len(t, 1, questions)
	p.maintain()
	revision := f.gateway.revision.Load() + 10
	must.Nil(t, p.applyPush("b", &wire.StorePush{ID: questions[0].ID, After: f.gateway.revision.Load(), Revision: revision, AgeMS: 1}))
	f.eventually("push applied", func() bool { return f.gateway.revision.Load() == revision })
}

// A gateway that the store turns away must ask its neighbours at once, not only when its copy is old.
func TestStorePull_StoreTurnsGatewayAway(t *testing.T) {
	f := newFixture(t, newUpstream(t, "a", succeed))
	store := &partitionedStore{fakeStore: f.store}
	g := f.startWith("two", store)
	f.waitReady(g)
	f.eventually("peer connected", func() bool { return len(g.peers.neighbourConns()) == 1 })
	store.partitioned.Store(true)
	f.eventually("call failed", func() bool { return g.metrics.storeFailures.Load() > 0 })
	f.store.remove("upstream/a")
	f.eventually("upstream gone", func() bool {
		g.copyConfirmedAt.Store(bootclock.Now().UnixNano()) // the copy stays young
		return len(g.view.Load().upstreams) == 0
	})
}
