package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/jayridge/jayridge/request/candidate"
)

const (
	// acceptTimeout is how long an attempt that may be repeated waits for the sidecar's first word. A sidecar decides within
	// milliseconds, and waits 500 ms at most for a configuration; one that says nothing is paused or cut off.
	acceptTimeout = 2 * time.Second
	// silentFor is how long a sidecar that said nothing is tried after the others.
	silentFor = 5 * time.Second
)

// silence remembers the sidecars that did not answer a moment ago. It may be used by any goroutine.
type silence struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// note records that a sidecar did not answer.
func (s *silence) note(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	maps.DeleteFunc(s.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.until[id] = now.Add(silentFor)
}

// order moves the candidates that did not answer a moment ago behind the others, in place.
func (s *silence) order(now time.Time, candidates []candidate.Candidate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) == 0 {
		return
	}
	var silent []candidate.Candidate
	kept := candidates[:0]
	for _, c := range candidates {
		if now.Before(s.until[c.ID]) {
			silent = append(silent, c)
			continue
		}
		kept = append(kept, c)
	}
	copy(candidates[len(kept):], silent)
}
