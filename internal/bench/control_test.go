package bench

import (
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// assertTargetsMet checks the bounded figures for which include returns true, and that there is at least one.
func assertTargetsMet(t *testing.T, figures []Figure, include func(Figure) bool) {
	t.Helper()
	n := 0
	for _, f := range figures {
		if !f.Bounded || !include(f) {
			continue
		}
		n++
		test.True(t, f.Met(), test.Sprintf("%s, %s: %s %s, want %s", f.Measure, f.Name, formatNumber(f.Value), f.Unit, f.Target()))
	}
	must.Positive(t, n)
}

func everyFigure(Figure) bool { return true }

func shortRun() Options { return Options{Seed: 1, Short: true} }

// isDutyFigure reports whether a figure is that of an entry with a duty in a shift, or of one that leaves.
func isDutyFigure(f Figure) bool {
	return slices.ContainsFunc([]string{"entry that sums a data centre's evidence", "entry that leads a shift", "entry with the most expensive duty", "leaving entry"}, func(name string) bool {
		return strings.HasPrefix(f.Name, name)
	})
}

var shortTraffic = sync.OnceValue(func() []Figure { return measureControlTraffic(shortRun()) })

// The control traffic of an instance must stay within its budget at each fleet size.
func TestControlTraffic(t *testing.T) {
	assertTargetsMet(t, shortTraffic(), func(f Figure) bool { return !isDutyFigure(f) })
}

// An entry with a duty, or one that leaves, must stay within the control budget.
func TestControlTraffic_Duties(t *testing.T) {
	assertTargetsMet(t, shortTraffic(), isDutyFigure)
}

// A configuration change must reach every process in time while the platform is down.
func TestSpread(t *testing.T) { assertTargetsMet(t, measureSpread(shortRun()), everyFigure) }

// Claims must not be refused or slow, and must not write more often than the platform allows.
func TestClaims(t *testing.T) { assertTargetsMet(t, measureClaims(shortRun()), everyFigure) }

// Bad versions must be rolled back. Good ones must not be, and must have all traffic by the requested time.
func TestVersions(t *testing.T) { assertTargetsMet(t, measureVersions(shortRun()), everyFigure) }

// No request through an entry and a sidecar may fail when there is no fault.
func TestThroughput(t *testing.T) { assertTargetsMet(t, measureThroughput(shortRun()), everyFigure) }

// The measurement must return figures. Their values depend on the machine and have no targets.
func TestSlopes(t *testing.T) { must.Positive(t, len(measureSlopes(shortRun()))) }
