package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Decision is how to handle a request.
type Decision uint8

const (
	// Run means to forward the request.
	Run Decision = iota
	// RunAlone means to forward the request now; the decision for all others is Busy until it has ended.
	RunAlone
	// Busy means to refuse the request because a suspect runs alone or waits to. It has not run and may be sent elsewhere.
	Busy
	// Reject means to refuse the request because it must not run on this upstream. It has not run and must not be sent elsewhere.
	Reject
)

// Suspect is a request that was in flight at a crash.
type Suspect struct {
	Fingerprint Fingerprint
	// Quarantined is set if the request ran alone when the upstream crashed. Its fingerprint is then on the tracker's List.
	Quarantined bool
}

// Tracker tracks the requests of one upstream. The sidecar calls Decide before it forwards a request, Started when it does, Ended when
// the request has ended while the upstream is still running, and Crashed when the upstream terminated unexpectedly. After Crashed, Ended
// must not be called for the requests that were in flight.
type Tracker struct {
	config        Config
	list          *List
	inFlight      map[Fingerprint]int
	inFlightTotal int
	suspects      map[Fingerprint]suspectState

	// isolatedRequest is the suspect that runs alone or waits for the others to end, if isolated is set.
	isolatedRequest Fingerprint
	isolated        bool
	isolatedStarted bool
	waitUntil       time.Time
}

type suspectState struct {
	since time.Time
	// ranAlone is set once the request has been started alone.
	ranAlone bool
}

// NewTracker returns a tracker that rejects the fingerprints in list. Trackers of the same goroutine may share the list.
func NewTracker(config Config, list *List) *Tracker {
	return &Tracker{
		config:   config,
		list:     list,
		inFlight: make(map[Fingerprint]int),
		suspects: make(map[Fingerprint]suspectState),
	}
}

// Decide returns how to handle a request that arrived at time now. RunAlone reserves the upstream; Started must be called
// immediately.
func (t *Tracker) Decide(now time.Time, f Fingerprint) Decision {
	if t.list.Contains(now, f) {
		return Reject
	}
	s, suspected := t.suspect(now, f)
	if suspected && s.ranAlone && !(t.isolated && t.isolatedRequest == f) {
		return Reject
	}
	if t.isolated && !t.isolatedStarted && !now.Before(t.waitUntil) {
		t.isolated = false
	}
	if t.isolated && (t.isolatedStarted || t.isolatedRequest != f) {
		return Busy
	}
	if !suspected {
		return Run
	}
	return t.isolate(now, f)
}

// isolate reserves the upstream for the suspect, which runs once nothing else is in flight.
func (t *Tracker) isolate(now time.Time, f Fingerprint) Decision {
	if !t.isolated {
		t.isolated = true
		t.isolatedRequest = f
		t.waitUntil = now.Add(t.config.IsolationWait)
	}
	if t.inFlightTotal > 0 {
		return Busy
	}
	return RunAlone
}

func (t *Tracker) suspect(now time.Time, f Fingerprint) (suspectState, bool) {
	s, ok := t.suspects[f]
	if ok && now.Sub(s.since) >= t.config.SuspectFor {
		delete(t.suspects, f)
		return suspectState{}, false
	}
	return s, ok
}

// Started records that a request is being forwarded.
func (t *Tracker) Started(f Fingerprint) {
	t.inFlight[f]++
	t.inFlightTotal++
	if t.isolated && t.isolatedRequest == f {
		t.isolatedStarted = true
		s := t.suspects[f]
		s.ranAlone = true
		t.suspects[f] = s
	}
}

// Ended records that a request ended. completed is set if the upstream answered it completely; a suspect is then cleared. A suspect
// that was canceled has used its only run and stays a suspect until SuspectFor has passed.
func (t *Tracker) Ended(f Fingerprint, completed bool) {
	if t.inFlight[f] == 0 {
		return
	}
	t.inFlight[f]--
	t.inFlightTotal--
	if t.inFlight[f] == 0 {
		delete(t.inFlight, f)
	}
	if !t.isolated || !t.isolatedStarted || t.isolatedRequest != f {
		return
	}
	t.endIsolation()
	if completed {
		delete(t.suspects, f)
	}
}

// Crashed records that the upstream crashed at time now, and returns the requests that were in flight, in ascending order. A request
// that ran alone is quarantined; otherwise the requests become suspects.
func (t *Tracker) Crashed(now time.Time) []Suspect {
	quarantined := t.isolated && t.isolatedStarted && len(t.inFlight) == 1
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
	t.inFlightTotal = 0
	t.endIsolation()
	return found
}

// Suspect marks a request as a suspect, for instance because it was in flight when another upstream crashed. A request that already
// is a suspect does not get another run.
func (t *Tracker) Suspect(now time.Time, f Fingerprint) {
	if _, ok := t.suspect(now, f); ok {
		return
	}
	if len(t.suspects) >= t.config.MaxSuspects {
		t.evictOldestSuspect()
	}
	t.suspects[f] = suspectState{since: now}
}

func (t *Tracker) evictOldestSuspect() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.suspects)), func(a, b Fingerprint) int {
		return cmp.Or(t.suspects[a].since.Compare(t.suspects[b].since), cmp.Compare(a, b))
	})
	delete(t.suspects, oldest)
}

func (t *Tracker) endIsolation() {
	t.isolated = false
	t.isolatedStarted = false
}
