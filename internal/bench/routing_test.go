package bench

import (
	"testing"

	"github.com/shoenig/test/must"
)

// shortOptions are the options of the seeded runs in this file.
var shortOptions = Options{Seed: 1, Short: true}

// mustMeet runs a short measurement and reports an error for each figure that misses its target.
func mustMeet(t *testing.T, run func(Options) []Figure) {
	t.Helper()
	figures := run(shortOptions)
	bounded := 0
	for _, f := range figures {
		t.Logf("%s: %s: %s %s (%s)", f.Measure, f.Name, formatNumber(f.Value), f.Unit, f.Target())
		if !f.Met() {
			t.Errorf("%s, %s: %s is not %s", f.Measure, f.Name, formatNumber(f.Value), f.Target())
		}
		if f.Bounded {
			bounded++
		}
	}
	must.Positive(t, bounded)
}

// Routing must keep the reuse of the prefix caches when runners are replaced, and when the load bound sends requests of a chat elsewhere.
func TestCacheReuse(t *testing.T) { mustMeet(t, measureReuse) }

// A runner that leaves or joins must not move chats of other runners.
func TestMovedChats(t *testing.T) { mustMeet(t, measureMoves) }

// The load must stay within the bound when a few chats cause most of the load and half of the hints are lost.
func TestLoadSkew(t *testing.T) { mustMeet(t, measureSkew) }

// The load must stay within the bound when all entries are replaced at once, and when the traffic triples at once.
func TestLoadSkew_AfterEvents(t *testing.T) { mustMeet(t, measureLoadEvents) }

// A drain must take effect in time, must not lower the mean load so far that the other data centres refuse work, and must not end with cold
// engines that crash.
func TestDataCentreDrain(t *testing.T) { mustMeet(t, measureLeave) }

// An engine that restarts unannounced must not get the load of a warm one.
func TestColdStartAfterUnannouncedRestart(t *testing.T) { mustMeet(t, measureColdStart) }

// A decision must not allocate, and its cost must not grow with the number of runners.
func TestDecisionCost(t *testing.T) { mustMeet(t, measureCost) }

// The same seed must give the same figures, whatever the order of map iteration, and another seed must give other figures.
func TestRunsRepeat(t *testing.T) {
	for name, run := range map[string]func(Options) []Figure{"cold start": measureColdStart, "moves": measureMoves} {
		must.Eq(t, run(shortOptions), run(shortOptions), must.Sprint(name))
		must.NotEq(t, run(shortOptions), run(Options{Seed: 2, Short: true}), must.Sprint(name))
	}
}

// Events must run in the order of their times, and events of the same time in the order of their creation.
func TestLoopOrder(t *testing.T) {
	var l eventLoop
	var got []int
	note := func(n int) func() { return func() { got = append(got, n) } }
	l.after(2, note(3))
	l.after(1, func() {
		got = append(got, 1)
		l.after(0, note(2))
		l.after(1, note(4))
	})
	l.after(9, note(5))
	l.run(8)
	must.Eq(t, []int{1, 2, 3, 4}, got)
	must.Eq(t, 8, l.elapsed)
}
