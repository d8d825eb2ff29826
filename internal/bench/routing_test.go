package bench

import (
	"testing"

	"github.com/shoenig/test/must"
)

// shortOptions are the options of the seeded runs below.
var shortOptions = Options{Seed: 1, Short: true}

// mustMeet runs a measurement in its short form and reports an error for each figure that misses its target.
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

// Guards against routing that loses the prefix caches when runners are replaced or chats overflow.
func TestCacheReuse(t *testing.T) { mustMeet(t, measureReuse) }

// Guards against a runner that leaves or joins and moves chats of other runners.
func TestMovedChats(t *testing.T) { mustMeet(t, measureMoves) }

// Guards against a load above the bound when a few chats cause most of the load and half of the hints are lost.
func TestLoadSkew(t *testing.T) { mustMeet(t, measureSkew) }

// Guards against a load above the bound when all entries are replaced at once, or when the traffic triples at once.
func TestLoadSkew_AfterEvents(t *testing.T) { mustMeet(t, measureLoadEvents) }

// Guards against a drain that is late, that lowers the mean load of the other data centres until they refuse work, or that ends with cold
// engines that crash.
func TestDataCentreLeaves(t *testing.T) { mustMeet(t, measureLeave) }

// Guards against an engine that restarts without warning and gets the load of a warm one.
func TestColdStartWithoutWarning(t *testing.T) { mustMeet(t, measureColdStart) }

// Guards against decisions that allocate or whose cost grows with the number of runners.
func TestDecisionCost(t *testing.T) { mustMeet(t, measureCost) }

// Guards against a run that its seed does not repeat, for example because of map order, and against a seed without effect.
func TestRunsRepeat(t *testing.T) {
	for name, run := range map[string]func(Options) []Figure{"cold start": measureColdStart, "moves": measureMoves} {
		must.Eq(t, run(shortOptions), run(shortOptions), must.Sprint(name))
		must.NotEq(t, run(shortOptions), run(Options{Seed: 2, Short: true}), must.Sprint(name))
	}
}

// Guards against events that run out of the order of their times, or events of the same time out of the order of their creation.
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
