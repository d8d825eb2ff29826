package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/jayridge/jayridge/request/candidate"
)

const (
	// acceptTimeout is how long an idempotent attempt waits for the sidecar's first message. A sidecar accepts or refuses
	// within milliseconds, plus at most 500 ms if it waits for a configuration version. One that sends nothing for longer is paused or
	// partitioned.
	acceptTimeout = 2 * time.Second
	// unresponsiveDuration is how long an unresponsive sidecar stays at the end of the candidate list.
	unresponsiveDuration = 5 * time.Second
)

// unresponsiveSidecars tracks sidecars that recently failed to respond. It is safe for concurrent use.
type unresponsiveSidecars struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// markUnresponsive records that a sidecar failed to respond.
func (u *unresponsiveSidecars) markUnresponsive(now time.Time, id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[string]time.Time{}
	}
	maps.DeleteFunc(u.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	u.until[id] = now.Add(unresponsiveDuration)
}

// moveToBack reorders candidates in place so that recently unresponsive sidecars come last.
func (u *unresponsiveSidecars) moveToBack(now time.Time, candidates []candidate.Candidate) {
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
