package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/jayridge/jayridge/connection/wire"
)

var start = time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)

const crashing Fingerprint = 1

// upstream is a fake upstream with its sidecar; the upstream crashes when the crashing request ends.
type upstream struct {
	tracker  *Tracker
	list     *List
	inFlight []Fingerprint
	crashes  int
}

func newUpstream() *upstream {
	list := NewList(DefaultConfig())
	return &upstream{tracker: NewTracker(DefaultConfig(), list), list: list}
}

// send sends a request and returns the decision. A suspect may only run while nothing else is in flight.
func (u *upstream) send(t *rapid.T, now time.Time, f Fingerprint) Decision {
	d := u.tracker.Decide(now, f)
	if d == RunAlone {
		must.SliceEmpty(t, u.inFlight)
	}
	if d == Run || d == RunAlone {
		u.tracker.Started(f)
		u.inFlight = append(u.inFlight, f)
	}
	return d
}

// end ends the i-th request in flight: completed or canceled, or by a crash if it is the crashing request.
func (u *upstream) end(t *rapid.T, now time.Time, i int, completed bool) {
	f := u.inFlight[i]
	if f != crashing {
		u.tracker.Ended(f, completed)
		u.inFlight = append(u.inFlight[:i], u.inFlight[i+1:]...)
		return
	}
	u.crashes++
	must.LessEq(t, 2, u.crashes)
	for _, s := range u.tracker.Crashed(now) {
		must.Eq(t, s.Quarantined, u.crashes == 2)
		must.True(t, !s.Quarantined || s.Fingerprint == crashing)
	}
	u.inFlight = nil
	must.True(t, u.crashes < 2 || u.list.Contains(now, crashing))
}

// The crashing request must not crash an upstream a third time, a harmless request must not be quarantined and must run again, and a
// suspect must not run concurrently with others. The crashing request is retried at random upstreams, which gossip at random times.
func TestOneCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		upstreams := make([]*upstream, rapid.IntRange(1, 4).Draw(t, "upstreams"))
		for i := range upstreams {
			upstreams[i] = newUpstream()
		}
		harmless := rapid.Custom(func(t *rapid.T) Fingerprint { return Fingerprint(rapid.Uint64Range(2, 9).Draw(t, "harmless")) })
		pick := func(t *rapid.T) *upstream { return rapid.SampledFrom(upstreams).Draw(t, "upstream") }
		t.Repeat(map[string]func(*rapid.T){
			"harmless": func(t *rapid.T) { pick(t).send(t, now, harmless.Draw(t, "fingerprint")) },
			"crashing": func(t *rapid.T) {
				u := pick(t)
				rejects := u.list.Contains(now, crashing)
				must.Eq(t, rejects, u.send(t, now, crashing) == Reject)
			},
			"end": func(t *rapid.T) {
				if u := pick(t); len(u.inFlight) > 0 {
					u.end(t, now, rapid.IntRange(0, len(u.inFlight)-1).Draw(t, "which"), rapid.IntRange(0, 4).Draw(t, "canceled") > 0)
				}
			},
			"gossip": func(t *rapid.T) { pick(t).list.Merge(now, pick(t).list.Digest(now, 4)) },
			"":       func(t *rapid.T) { now = now.Add(time.Second) },
		})
		for _, u := range upstreams {
			for len(u.inFlight) > 0 {
				u.end(t, now, 0, true)
			}
			for f := Fingerprint(2); f < 10; f++ {
				must.Eq(t, Run, u.send(t, now.Add(DefaultConfig().SuspectFor), f))
			}
		}
	})
}

// Harmless requests must not stay suspected after they completed, and a canceled suspect must not run more than once.
func TestSuspectsRunOnceAlone(t *testing.T) {
	u := NewTracker(DefaultConfig(), NewList(DefaultConfig()))
	for f := Fingerprint(1); f <= 3; f++ {
		must.Eq(t, Run, u.Decide(start, f))
		u.Started(f)
	}
	must.Eq(t, []Suspect{{1, false}, {2, false}, {3, false}}, u.Crashed(start))
	must.Eq(t, Run, u.Decide(start, 9))
	u.Started(9)
	must.Eq(t, Busy, u.Decide(start, 2))
	must.Eq(t, Busy, u.Decide(start, 8))
	u.Ended(9, true)
	must.Eq(t, RunAlone, u.Decide(start, 2))
	u.Started(2)
	must.Eq(t, Busy, u.Decide(start, 3))
	must.Eq(t, Busy, u.Decide(start, 2))
	u.Ended(2, true)
	must.Eq(t, Run, u.Decide(start, 2))
	must.Eq(t, RunAlone, u.Decide(start, 3))
	u.Started(3)
	u.Ended(3, false)
	must.Eq(t, Reject, u.Decide(start, 3))
	must.Eq(t, Run, u.Decide(start.Add(DefaultConfig().SuspectFor), 3))
}

// An upstream must accept requests again if the suspect that it is reserved for is never retried.
func TestIsolationOfMissingSuspectEnds(t *testing.T) {
	config := DefaultConfig()
	u := NewTracker(config, NewList(config))
	u.Started(1)
	u.Crashed(start)
	u.Started(5)
	must.Eq(t, Busy, u.Decide(start, 1))
	must.Eq(t, Busy, u.Decide(start, 6))
	must.Eq(t, Run, u.Decide(start.Add(config.IsolationWait), 6))
}

// Gossip must not prolong a quarantine beyond its duration, digests must be bounded, and each entry must reach all processes. 800 lists
// gossip with one random peer per second.
func TestGossipReachesAllAndEnds(t *testing.T) {
	config := DefaultConfig()
	config.QuarantineFor = 2 * time.Minute
	random := rand.New(rand.NewPCG(1, 1))
	lists := make([]*List, 800)
	for i := range lists {
		lists[i] = NewList(config)
	}
	for f := range Fingerprint(20) {
		lists[f].Add(start, f)
	}
	now, sent, reached := start, 0, 0
	for ; now.Before(start.Add(config.QuarantineFor)); now = now.Add(time.Second) {
		for i, l := range lists {
			digest := l.Digest(now, 16)
			must.LessEq(t, 16, len(digest))
			sent += len(digest)
			late := now.Add(time.Duration(random.Int64N(int64(config.GossipMargin))))
			lists[(i+1+random.IntN(len(lists)-1))%len(lists)].Merge(late, digest)
		}
		ignorant := slices.ContainsFunc(lists, func(l *List) bool { return l.Len(now) < 20 })
		if reached == 0 && !ignorant {
			reached = int(now.Sub(start)/time.Second) + 1
		}
	}
	t.Logf("all 800 lists know all 20 entries after %d rounds; %.2f entries per digest", reached, float64(sent)/800/120)
	must.Between(t, 1, reached, 40)
	must.False(t, slices.ContainsFunc(lists, func(l *List) bool { return l.Len(now) > 0 }))
}

// A list must be bounded, and must evict the entries that expire first.
func TestListIsBounded(t *testing.T) {
	config := DefaultConfig()
	config.MaxEntries, config.MaxSuspects = 10, 10
	list := NewList(config)
	tracker := NewTracker(config, list)
	for f := range Fingerprint(30) {
		list.Merge(start, []wire.QuarantineEntry{{Fingerprint: uint64(f), RemainingMS: uint32(1000 * (f + 1))}})
		tracker.Suspect(start.Add(time.Duration(f)), f+100)
	}
	must.Eq(t, 10, list.Len(start))
	must.True(t, list.Contains(start, 29))
	must.False(t, list.Contains(start, 19))
	must.Eq(t, 10, len(tracker.suspects))
	must.Eq(t, RunAlone, tracker.Decide(start, 129))
	must.ErrorContains(t, Config{}.Validate(), "SuspectFor")
	must.NoError(t, config.Validate())
}

// Different requests whose concatenated parts are equal must have different fingerprints.
func TestFingerprintSeparatesItsParts(t *testing.T) {
	must.NotEq(t, FingerprintOf("a", "bc", []byte("d")), FingerprintOf("ab", "c", []byte("d")))
	must.NotEq(t, FingerprintOf("a", "b", []byte("cd")), FingerprintOf("a", "bc", []byte("d")))
}

func Example() {
	config := DefaultConfig()
	list := NewList(config)
	tracker := NewTracker(config, list)
	request := FingerprintOf("press-model", "/chat/driver", []byte(`{"prompt":"..."}`))
	for range 2 {
		if d := tracker.Decide(start, request); d == Run || d == RunAlone {
			tracker.Started(request)
			fmt.Println(tracker.Crashed(start)[0].Quarantined)
		}
	}
	fmt.Println(tracker.Decide(start, request) == Reject, len(list.Digest(start, 16)))
	// Output:
	// false
	// true
	// true 1
}
