package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/mirror"
)

// The store's calls must grow more slowly than the fleet, and a configuration must still be in force in time.
func TestWatchPause(t *testing.T) {
	must.EqOp(t, 300*time.Millisecond, watchPauseOf(0, 2000))
	must.EqOp(t, 300*time.Millisecond, watchPauseOf(5, 2000))
	must.EqOp(t, 600*time.Millisecond, watchPauseOf(20, 3000))
	must.EqOp(t, 900*time.Millisecond, watchPauseOf(31, 3000))
	must.EqOp(t, time.Second, watchPauseOf(790, 13_000))
	must.EqOp(t, 300*time.Millisecond, watchPauseOf(790, 500))
}

// An answer must not count as current after it was made: changes that came later would be taken as known, and a revoked key be served. A
// watch that ran its full time without changes must count as current at its end, or keys would end a second too early in an outage.
func TestCurrentAt(t *testing.T) {
	sent := time.Unix(1000, 0)
	item := []mirror.Item{{Key: "a", Revision: 1}}
	late := sent.Add(3 * time.Second)
	must.EqOp(t, sent.Add(watchWait), currentAt(sent, sent.Add(watchWait), mirror.Batch{}))
	must.EqOp(t, sent.Add(watchWait), currentAt(sent, late, mirror.Batch{}))
	must.EqOp(t, sent, currentAt(sent, sent.Add(watchWait-1), mirror.Batch{}))
	must.EqOp(t, sent, currentAt(sent, late, mirror.Batch{Items: item}))
	must.EqOp(t, sent, currentAt(sent, late, mirror.Batch{Whole: true}))
}
