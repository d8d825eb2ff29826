package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/mirror"
)

// The rate of calls to the store must grow more slowly than the fleet, and a configuration must still be in force in time.
func TestWatchPause(t *testing.T) {
	must.EqOp(t, 300*time.Millisecond, watchPauseFor(0, 2000))
	must.EqOp(t, 300*time.Millisecond, watchPauseFor(5, 2000))
	must.EqOp(t, 600*time.Millisecond, watchPauseFor(20, 3000))
	must.EqOp(t, 900*time.Millisecond, watchPauseFor(31, 3000))
	must.EqOp(t, time.Second, watchPauseFor(790, 13_000))
	must.EqOp(t, 300*time.Millisecond, watchPauseFor(790, 500))
}

// A response must not count as current after the time at which it was made: later changes would be taken as known, and a revoked key would
// be accepted. A watch that ran its full time without changes must count as current at its end, or keys would be refused a second too
// early in an outage.
func TestCurrentAt(t *testing.T) {
	sent := time.Unix(1000, 0)
	item := []mirror.Item{{Key: "a", Revision: 1}}
	late := sent.Add(3 * time.Second)
	must.EqOp(t, sent.Add(watchWait), currentAt(sent, sent.Add(watchWait), watchWait, mirror.Batch{}))
	must.EqOp(t, sent.Add(watchWait), currentAt(sent, late, watchWait, mirror.Batch{}))
	must.EqOp(t, sent, currentAt(sent, sent.Add(watchWait-1), watchWait, mirror.Batch{}))
	must.EqOp(t, sent, currentAt(sent, late, watchWait, mirror.Batch{Items: item}))
	must.EqOp(t, sent, currentAt(sent, late, watchWait, mirror.Batch{Full: true}))
}

// The regular time between responses of the store must not count as an outage: an upstream that left would count as missing and get
// requests for two more seconds, as was seen in three days of the fault search.
func TestWatchWait_NoOutageBetweenAnswers(t *testing.T) {
	for _, gateways := range []int{1, 5, 31, 790} {
		pause := watchPauseFor(gateways, 13_000)
		must.Positive(t, watchWaitFor(pause))
		must.Less(t, directory.DefaultConfig().OutageAfter, pause+watchWaitFor(pause))
	}
}

// An upstream whose removal arrives at the end of a long watch must count as gone: the store was available all the time.
func TestApply_RemovalInLongWatch(t *testing.T) {
	f := newFixture(t)
	now := bootclock.Now()
	s := &state{
		g: f.gateway, mirror: mirror.New(), directory: directory.New(now.Add(-time.Second), directory.DefaultConfig()),
		evacuated: make(map[string]struct{}), members: make(map[string]member),
	}
	u := newUpstream(t, "a", succeed)
	text, err := json.Marshal(u.entry())
	must.NoError(t, err)
	old := now.Add(-2300 * time.Millisecond)
	s.apply(sourcedBatch{source: sourceStore, batch: mirror.Batch{
		Full: true, Revision: 1, AsOf: old, Items: []mirror.Item{{Key: "upstream/a", Value: text, Revision: 1}},
	}})
	must.Len(t, 1, s.directory.Usable())
	s.apply(sourcedBatch{source: sourceStore, after: 1, batch: mirror.Batch{
		Revision: 2, AsOf: old, Items: []mirror.Item{{Key: "upstream/a", Revision: 2, Deleted: true}},
	}})
	must.SliceEmpty(t, s.directory.Usable())
}
