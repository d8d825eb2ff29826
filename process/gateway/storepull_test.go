package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
)

// A neighbour's answer that takes longer than a round of the peers' maintenance must be applied, not dropped.
func TestStorePull_AnswerAfterMaintenance(t *testing.T) {
	f := newFixture(t)
	p := newPeers(f.gateway)
	p.pendingPulls[1] = pendingPull{sent: bootclock.Now().Add(-pullTimeout / 2), peer: "b"}
	p.pendingPulls[2] = pendingPull{sent: bootclock.Now().Add(-pullTimeout - time.Millisecond), peer: "b"}
	p.maintain()
	must.MapContainsKeys(t, p.pendingPulls, []uint64{1})
	must.MapNotContainsKey(t, p.pendingPulls, 2)
	revision := f.gateway.revision.Load() + 10
	p.applyPush("b", &wire.StorePush{ID: 1, After: f.gateway.revision.Load(), Revision: revision, AgeMS: 1})
	f.eventually("push applied", func() bool { return f.gateway.revision.Load() == revision })
}
