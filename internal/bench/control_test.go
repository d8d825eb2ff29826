package bench

import (
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
)

// met asserts the bounded figures that a filter chooses.
func met(t *testing.T, figures []Figure, chosen func(Figure) bool) {
	t.Helper()
	n := 0
	for _, f := range figures {
		if !f.Bounded || !chosen(f) {
			continue
		}
		n++
		test.True(t, f.Met(), test.Sprintf("%s, %s: %s %s, want %s", f.Measure, f.Name, number(f.Value), f.Unit, f.Target()))
	}
	must.Positive(t, n)
}

func all(Figure) bool { return true }

func shortRun() Options { return Options{Seed: 1, Short: true} }

// duty says whether a figure is that of an entry with a part in a shift besides its own, or of one that leaves.
func duty(f Figure) bool {
	return slices.ContainsFunc([]string{"entry that sums a data centre's evidence", "entry that leads a shift", "entry with the most expensive duty", "leaving entry"}, func(name string) bool {
		return strings.HasPrefix(f.Name, name)
	})
}

var shortTraffic = sync.OnceValue(func() []Figure { return controlTraffic(shortRun()) })

// Guards against control traffic that grows with the fleet beyond a node's budget.
func TestControlTraffic(t *testing.T) {
	met(t, shortTraffic(), func(f Figure) bool { return !duty(f) })
}

// Guards against a duty that costs an entry more than the control budget.
func TestControlTraffic_Duties(t *testing.T) {
	met(t, shortTraffic(), duty)
}

// Guards against a change of the configuration that some process learns late or never while the platform is down.
func TestSpread(t *testing.T) { met(t, spread(shortRun()), all) }

// Guards against claims that are refused, slow, or beyond the platform's write rate.
func TestClaims(t *testing.T) { met(t, claims(shortRun()), all) }

// Guards against bad versions that stay and good ones that are blamed or late.
func TestVersions(t *testing.T) { met(t, versions(shortRun()), all) }

// Guards against requests that fail without a cause on the way through an entry and a sidecar.
func TestThroughput(t *testing.T) { met(t, throughput(shortRun()), all) }

// Guards against slopes that panic or print nothing; their values depend on the machine.
func TestSlopes(t *testing.T) { must.Positive(t, len(slopes(shortRun()))) }
