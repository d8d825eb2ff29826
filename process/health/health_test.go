package health

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// An upstream that refuses connections must get no further request before a probe succeeds.
func TestMonitor_UnreachableUntilProbed(t *testing.T) {
	m := New(DefaultConfig())
	must.True(t, m.Record(at(0), Unreachable))
	must.False(t, m.Record(at(1), Unreachable))
	must.False(t, m.ProbeDue(at(100)))
	must.True(t, m.ProbeDue(at(250)))
	must.False(t, m.ProbeDue(at(251)))
	must.False(t, m.Probed(at(260), false))
	must.True(t, m.Down())
	must.True(t, m.ProbeDue(at(750)))
	must.True(t, m.Probed(at(760), true))
	must.False(t, m.Down())
}

// One broken connection is no reason to avoid an upstream, three in a row are; an answer in between starts the count anew.
func TestMonitor_BrokenInARow(t *testing.T) {
	m := New(DefaultConfig())
	for i, o := range []Outcome{Broken, Unanswered, Answered, Broken, Unanswered} {
		must.False(t, m.Record(at(i), o))
	}
	must.True(t, m.Record(at(9), Broken))
}

// A part of the requests failing must show in the rate, and be forgotten without requests, so that the upstream is tried again.
func TestMonitor_FailureRate(t *testing.T) {
	m := New(DefaultConfig())
	for i := range 100 {
		o := Answered
		if i%2 == 0 {
			o = Failed
		}
		m.Record(at(i), o)
	}
	rate := m.FailureRate(at(100))
	must.Between(t, 0.35, rate, 0.65)
	must.False(t, m.Down())
	must.Less(t, rate/3, m.FailureRate(at(8100)))
}
