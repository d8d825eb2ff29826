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
