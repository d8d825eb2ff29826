package health

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// An upstream that refuses connections must be down until a probe succeeds.
func TestMonitor_UnreachableUntilProbed(t *testing.T) {
	m := New(DefaultConfig())
	must.True(t, m.Record(at(0), Unreachable))
	must.False(t, m.Record(at(1), Unreachable))
	must.False(t, m.ProbeDue(at(100)))
	must.True(t, m.ProbeDue(at(250)))
	must.False(t, m.ProbeDue(at(251)))
	must.False(t, m.RecordProbe(at(260), false))
	must.True(t, m.Down())
	must.True(t, m.ProbeDue(at(750)))
	must.True(t, m.RecordProbe(at(760), true))
	must.False(t, m.Down())
}

// An upstream must go down after three consecutive broken or unanswered requests, not before; an answer in between must reset the count.
func TestMonitor_BrokenInARow(t *testing.T) {
	m := New(DefaultConfig())
	for i, o := range []Outcome{Broken, Unanswered, Answered, Broken, Unanswered} {
		must.False(t, m.Record(at(i), o))
	}
	must.True(t, m.Record(at(9), Broken))
}

// The failure rate must reflect failures, and must decay without requests: otherwise the upstream would never be tried again.
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
