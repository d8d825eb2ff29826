package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Decision is what to do with a request.
type Decision uint8

const (
	// Run: forward it.
	Run Decision = iota
	// RunAlone: forward it now; the tracker answers Busy to all others until it has ended.
	RunAlone
	// Busy: not now, because a suspect runs alone or waits to. The request is "not run" and may be sent elsewhere.
	Busy
	// Reject: the request is not to run on this upstream. It is "not run" and not to be sent elsewhere.
	Reject
)

// Suspect is a request that was in flight at a crash.
type Suspect struct {
	Fingerprint Fingerprint
	// Quarantined is set if the request ran alone when the upstream crashed; it goes to List.Add.
	Quarantined bool
}

// Tracker watches the requests of one upstream. The sidecar calls Decide before it forwards a request, Started when it does, Ended
// when the request has ended while the upstream is still alive, and Crashed when the upstream is gone without having been told to
// stop. After Crashed, Ended is not called for the requests that were in flight.
type Tracker struct {
	config   Config
	list     *List
	inFlight map[Fingerprint]int
	running  int
	suspects map[Fingerprint]suspicion

	// alone is the suspect that runs alone or waits for the others to end.
	alone     Fingerprint
	isolated  bool
	started   bool
	waitUntil time.Time
}

type suspicion struct {
	since time.Time
	// spent is set once the request has run alone.
	spent bool
}

// NewTracker returns a tracker that rejects what list holds. The list may be shared by trackers of the same goroutine.
func NewTracker(config Config, list *List) *Tracker {
	return &Tracker{
		config:   config,
		list:     list,
		inFlight: make(map[Fingerprint]int),
		suspects: make(map[Fingerprint]suspicion),
	}
}

// Decide says what to do with a request that arrived at time now. RunAlone reserves the upstream: Started follows at once.
func (t *Tracker) Decide(now time.Time, f Fingerprint) Decision {
	if t.list.Contains(now, f) {
		return Reject
	}
	s, suspected := t.suspicion(now, f)
	if suspected && s.spent && !(t.isolated && t.alone == f) {
		return Reject
	}
	if t.isolated && !t.started && !now.Before(t.waitUntil) {
		t.isolated = false
	}
	if t.isolated && (t.started || t.alone != f) {
		return Busy
	}
	if !suspected {
		return Run
	}
	return t.isolate(now, f)
}

// isolate gives the suspect its turn; it runs once nothing else is in flight.
func (t *Tracker) isolate(now time.Time, f Fingerprint) Decision {
	if !t.isolated {
		t.isolated = true
		t.alone = f
		t.waitUntil = now.Add(t.config.IsolationWait)
	}
	if t.running > 0 {
		return Busy
	}
	return RunAlone
}

func (t *Tracker) suspicion(now time.Time, f Fingerprint) (suspicion, bool) {
	s, ok := t.suspects[f]
	if ok && now.Sub(s.since) >= t.config.SuspectFor {
		delete(t.suspects, f)
		return suspicion{}, false
	}
	return s, ok
}

// Started records that a request is being forwarded.
func (t *Tracker) Started(f Fingerprint) {
	t.inFlight[f]++
	t.running++
	if t.isolated && t.alone == f {
		t.started = true
		s := t.suspects[f]
		s.spent = true
		t.suspects[f] = s
	}
}

// Ended records that a request ended. Completed means that the upstream answered it to the end; a suspect is then cleared. One that
// was canceled has had its only run and stays suspected until SuspectFor has passed.
func (t *Tracker) Ended(f Fingerprint, completed bool) {
	if t.inFlight[f] == 0 {
		return
	}
	t.inFlight[f]--
	t.running--
	if t.inFlight[f] == 0 {
		delete(t.inFlight, f)
	}
	if !t.isolated || !t.started || t.alone != f {
		return
	}
	t.endIsolation()
	if completed {
		delete(t.suspects, f)
	}
}

// Crashed records that the upstream crashed at time now, and returns the requests that were in flight in ascending order. A request
// that ran alone is quarantined; the others become suspects.
func (t *Tracker) Crashed(now time.Time) []Suspect {
	quarantined := t.isolated && t.started && len(t.inFlight) == 1
	var found []Suspect
	for _, f := range slices.Sorted(maps.Keys(t.inFlight)) {
		found = append(found, Suspect{Fingerprint: f, Quarantined: quarantined})
		if quarantined {
			delete(t.suspects, f)
			t.list.Add(now, f)
			continue
		}
		t.Suspect(now, f)
	}
	clear(t.inFlight)
	t.running = 0
	t.endIsolation()
	return found
}

// Suspect makes a request run alone, for instance because it was in flight when another upstream crashed. It does not give a
// request that is already suspected another run.
func (t *Tracker) Suspect(now time.Time, f Fingerprint) {
	if _, ok := t.suspicion(now, f); ok {
		return
	}
	if len(t.suspects) >= t.config.MaxSuspects {
		t.forgetOldest()
	}
	t.suspects[f] = suspicion{since: now}
}

func (t *Tracker) forgetOldest() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b Fingerprint) int {
		return cmp.Or(t.suspects[a].since.Compare(t.suspects[b].since), cmp.Compare(a, b))
	})
	delete(t.suspects, oldest)
}

func (t *Tracker) endIsolation() {
	t.isolated = false
	t.started = false
}
