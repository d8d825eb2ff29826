package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/jayridge/jayridge/process/mirror"
)

// rewriteWithin is the time within which the operators and the upstreams write again what a restored store lacks.
const rewriteWithin = 2 * time.Second

// restoration holds the removals that follow from a restored copy of the store and not from a decision of the one who wrote the key. They take
// effect only if the key is not written again: an evacuated data centre stays evacuated meanwhile, and a rollout goes on. The zero value is empty.
// It belongs to the control goroutine.
type restoration struct {
	removals []mirror.Item
	// until is the end of the time to write again.
	until time.Time
}

// begin takes the changes to a restored copy and returns those that take effect at once.
func (r *restoration) begin(now time.Time, changes []mirror.Item) []mirror.Item {
	r.until = now.Add(rewriteWithin)
	return slices.DeleteFunc(changes, func(item mirror.Item) bool {
		if item.Deleted {
			r.removals = append(r.removals, item)
		}
		return item.Deleted
	})
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
