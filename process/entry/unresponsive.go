package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/jayridge/jayridge/request/candidate"
)

const (
	// acceptTimeout is how long an attempt that may be repeated waits for the sidecar's first message. A sidecar decides within
	// milliseconds, and waits 500 ms at most for a configuration; one that sends nothing is paused or cut off.
	acceptTimeout = 2 * time.Second
	// unresponsiveFor is how long an unresponsive sidecar is tried after the others.
	unresponsiveFor = 5 * time.Second
)

// unresponsive remembers the sidecars that did not answer a moment ago. It may be used by any goroutine.
type unresponsive struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// note records that a sidecar did not answer.
func (u *unresponsive) note(now time.Time, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[string]time.Time{}
	}
	maps.DeleteFunc(u.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	u.until[id] = now.Add(unresponsiveFor)
}

// order moves the candidates that did not answer a moment ago behind the others, in place.
func (u *unresponsive) order(now time.Time, candidates []candidate.Candidate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.until) == 0 {
		return
	}
	var late []candidate.Candidate
	kept := candidates[:0]
	for _, c := range candidates {
		if now.Before(u.until[c.ID]) {
			late = append(late, c)
			continue
		}
		kept = append(kept, c)
	}
	copy(candidates[len(kept):], late)
}
