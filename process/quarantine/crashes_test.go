package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func crashAt(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// observer is an entry's detector and its record of crashes.
type observer struct {
	*Detector
	*Crashes
}

func newObserver() *observer {
	return &observer{NewDetector(DefaultDetectorConfig()), NewCrashes(DefaultCrashConfig())}
}

func (o *observer) RecordBrokenAnswer(now time.Time, crash Crash) []Crash {
	return o.record(o.Detector.RecordBrokenAnswer(now, crash))
}

func (o *observer) RecordUnreachable(now time.Time, upstream uint64) []Crash {
	return o.record(o.Detector.RecordUnreachable(now, upstream))
}

// record returns the crashes that are new.
func (o *observer) record(detected []DetectedCrash) []Crash {
	var crashes []Crash
	for _, d := range detected {
		if o.RecordCrash(d.At, d.Crash) {
			crashes = append(crashes, d.Crash)
		}
	}
	return crashes
}

// A request that crashes each upstream must be rejected after the third crash, also at an entry that saw only some of the crashes, and
// must not be rejected forever.
func TestCrashes_RejectsAfterThree(t *testing.T) {
	a, b := newObserver(), newObserver()
	for i, c := range []*observer{a, b, a} {
		now := crashAt(1000 * i)
		must.EqOp(t, 0, c.RejectedFor(now, 7))
		must.SliceEmpty(t, c.RecordBrokenAnswer(now.Add(60*time.Millisecond), Crash{Fingerprint: 7, Upstream: uint64(i), Started: now}))
		crashes := c.RecordUnreachable(now.Add(100*time.Millisecond), uint64(i))
		must.Len(t, 1, crashes)
		for _, other := range []*observer{a, b} {
			if other != c {
				must.True(t, other.RecordCrash(now.Add(150*time.Millisecond), crashes[0]))
				must.False(t, other.RecordCrash(now.Add(160*time.Millisecond), crashes[0]))
			}
		}
	}
	must.Positive(t, a.RejectedFor(crashAt(2200), 7))
	must.Positive(t, b.RejectedFor(crashAt(2200), 7))
	must.EqOp(t, 0, b.RejectedFor(crashAt(2200+60_000), 7))
}

// A request that many callers send must not be rejected because several upstreams failed at the same moment, and crashes from before
// an answer must not be counted.
func TestCrashes_IgnoresSimultaneousFailures(t *testing.T) {
	c := newObserver()
	for i := range uint64(5) {
		c.RecordBrokenAnswer(crashAt(40+int(i)), Crash{Fingerprint: 7, Upstream: i, Started: crashAt(int(7 * i))})
		c.RecordUnreachable(crashAt(50+int(i)), i)
	}
	must.EqOp(t, 0, c.RejectedFor(crashAt(100), 7))
	c.RecordAnswer(7)
	for i := range uint64(2) {
		c.RecordBrokenAnswer(crashAt(int(1000*i+1000)), Crash{Fingerprint: 7, Upstream: 10 + i, Started: crashAt(int(1000*i + 900))})
		c.RecordUnreachable(crashAt(int(1000*i+1010)), 10+i)
	}
	must.EqOp(t, 0, c.RejectedFor(crashAt(2500), 7))
}

// An answer that is cut off before its end must not be counted while its upstream stays reachable, and must be counted if it is cut
// off just after the upstream was found unreachable.
func TestCrashes_OnlyIfUpstreamUnreachable(t *testing.T) {
	c := newObserver()
	for i := range uint64(5) {
		must.SliceEmpty(t, c.RecordBrokenAnswer(crashAt(int(i)*2000), Crash{Fingerprint: 7, Upstream: i, Started: crashAt(int(i)*2000 - 50)}))
		must.SliceEmpty(t, c.RecordUnreachable(crashAt(int(i)*2000+1500), i))
	}
	must.EqOp(t, 0, c.Len())
	c.RecordUnreachable(crashAt(20_000), 9)
	must.Len(t, 1, c.RecordBrokenAnswer(crashAt(20_100), Crash{Fingerprint: 7, Upstream: 9, Started: crashAt(19_900)}))
}
