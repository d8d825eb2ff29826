package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
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
	// revision is that of the restored copy until the configuration is confirmed, confirmedAt the latest confirmation of the copy before it.
	revision    uint64
	confirmedAt time.Time
	// epoch is that of the latest restored copy.
	epoch uint64
	// configRevision is the highest revision at which the configuration was written.
	configRevision uint64
}

// begin takes the changes to a restored copy with the given revision and returns those that take effect at once. confirmedAt is the latest confirmation
// of the copy before it.
func (r *restoration) begin(now time.Time, changes []mirror.Item, revision uint64, confirmedAt time.Time) []mirror.Item {
	if r.revision == 0 {
		r.confirmedAt = confirmedAt // else the store is restored once more, and the copy in between was not confirmed
	}
	r.revision, r.epoch = revision, services.Revision(revision).Epoch()
	r.until = now.Add(rewriteWithin)
	return slices.DeleteFunc(changes, func(item mirror.Item) bool {
		if item.Deleted {
			r.removals = append(r.removals, item)
		}
		return item.Deleted
	})
}

// learn records that a neighbour's copy was restored at the given revision, and that its configuration is not confirmed for the time left. It reports
// whether that is new to this gateway, which has then started since: its first copy, at revision copied or still to come, may lack a configuration
// that the neighbour's lacks.
func (r *restoration) learn(now time.Time, copied, revision uint64, left time.Duration) bool {
	epoch := services.Revision(revision).Epoch()
	if r.epoch >= epoch || r.configRevision > revision || copied > 0 && services.Revision(copied).Epoch() != epoch {
		return false
	}
	r.revision, r.epoch = revision, epoch
	r.until = now.Add(min(left, rewriteWithin))
	r.confirmedAt = time.Unix(0, 0)
	return true
}

// configWritten records the revision at which the configuration was written.
func (r *restoration) configWritten(revision uint64) {
	r.configRevision = max(r.configRevision, revision)
	if revision > r.revision {
		r.revision = 0
	}
}

// unconfirmed returns the revision of a restored copy whose configuration is not confirmed, and the time for which it is not; zeros if it is.
func (r *restoration) unconfirmed(now time.Time) (revision uint64, left time.Duration) {
	if r.revision == 0 || !now.Before(r.until) {
		return 0, 0
	}
	return r.revision, r.until.Sub(now)
}

// confirmation returns the latest time at which the configuration was known to be current. asOf is that of the copy of the store.
func (r *restoration) confirmation(now, asOf time.Time) time.Time {
	if revision, _ := r.unconfirmed(now); revision > 0 {
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

// applyRestored applies what a neighbour says of a restored copy. It belongs to the control goroutine.
func (g *Gateway) applyRestored(name string, m *wire.RestoredStore) {
	left := time.Duration(m.LeftMS) * time.Millisecond
	if g.restored.learn(bootclock.Now(), g.revision.Load(), m.Revision, left) {
		event.Log(event.ConfigUnconfirmed, "epoch", services.Revision(m.Revision).Epoch(), "revision", m.Revision, "left_ms", left.Milliseconds(), "peer", name)
	}
}

// writeAgain writes again what this gateway had written to the store.
func (g *Gateway) writeAgain() {
	select {
	case g.registerNow <- struct{}{}:
	default: // a wake-up is already pending
	}
	g.crashes.queueChange(quarantineChange{restored: true})
}
