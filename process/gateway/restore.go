package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/jayridge/jayridge/process/mirror"
)

// rewriteWithin is the time within which the operators and the upstreams write again what a restored store lacks.
const rewriteWithin = 2 * time.Second

// restoration holds what follows from a restored copy of the store and not from a decision of the one who wrote the key. Removals take effect only if
// the key is not written again: an evacuated data centre stays evacuated meanwhile, and a rollout goes on. The configuration counts as confirmed only
// once it is written again: the store may have lost a newer one. The zero value is empty. It belongs to the control goroutine.
type restoration struct {
	removals []mirror.Item
	// until is the end of the time to write again.
	until time.Time
	// revision is that of the restored copy, confirmedAt the latest confirmation of the copy before it.
	revision    uint64
	confirmedAt time.Time
}

// begin takes the changes to a restored copy with the given revision and returns those that take effect at once. confirmedAt is the latest confirmation
// of the copy before it.
func (r *restoration) begin(now time.Time, changes []mirror.Item, revision uint64, confirmedAt time.Time) []mirror.Item {
	if r.revision == 0 {
		r.confirmedAt = confirmedAt // else the store is restored once more, and the copy in between was not confirmed
	}
	r.revision = revision
	r.until = now.Add(rewriteWithin)
	return slices.DeleteFunc(changes, func(item mirror.Item) bool {
		if item.Deleted {
			r.removals = append(r.removals, item)
		}
		return item.Deleted
	})
}

// configWritten records the revision at which the configuration was written.
func (r *restoration) configWritten(revision uint64) {
	if revision > r.revision {
		r.revision = 0
	}
}

// confirmation returns the latest time at which the configuration was known to be current. asOf is that of the copy of the store.
func (r *restoration) confirmation(now, asOf time.Time) time.Time {
	if r.revision > 0 && now.Before(r.until) {
		return r.confirmedAt
	}
	r.revision = 0
	return asOf
}

// due returns the removals of keys that have not been written again in time.
func (r *restoration) due(now time.Time, copied *mirror.Mirror) []mirror.Item {
	if len(r.removals) == 0 || now.Before(r.until) {
		return nil
	}
	removals := slices.DeleteFunc(r.removals, func(item mirror.Item) bool {
		current, found := copied.Item(item.Key)
		return found && !current.Deleted
	})
	r.removals = nil
	slices.SortFunc(removals, func(a, b mirror.Item) int { return cmp.Compare(a.Key, b.Key) })
	return removals
}

// writeAgain writes again what this gateway had written to the store.
func (g *Gateway) writeAgain() {
	select {
	case g.registerNow <- struct{}{}:
	default: // a wake-up is already pending
	}
	g.crashes.queueChange(quarantineChange{restored: true})
}
