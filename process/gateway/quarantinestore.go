package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/internal/sleep"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/services"
)

// quarantineKeyPrefix is the prefix of the keys under which quarantined prompt parts are stored, for gateways that start when no other gateway
// knows of them any more.
const quarantineKeyPrefix = "fleet/quarantine/"

const (
	// storedQuarantineTTL is the time after which a stored quarantine is removed.
	storedQuarantineTTL = 10 * time.Minute
	// maxQuarantineChanges is the maximum number of changes that wait to be written. Further ones are not stored.
	maxQuarantineChanges = 64
	// maxSaveAttempts is the number of attempts to write one change, saveRetry the pause between them.
	maxSaveAttempts = 20
	saveRetry       = 500 * time.Millisecond
)

// quarantineChange is a part that was quarantined or released.
type quarantineChange struct {
	part     quarantine.Part
	entry    quarantine.QuarantinedPart
	released bool
	// restored means that the store was restored from an older copy, and all that this gateway stored is to be stored again. part is not set.
	restored bool
}

// ownQuarantine is a quarantine that this gateway stored, and its lease.
type ownQuarantine struct {
	entry quarantine.QuarantinedPart
	lease services.LeaseID
}

// storedQuarantine is the value of a stored quarantine.
type storedQuarantine struct {
	Service uint64 `json:"service"`
	Part    uint64 `json:"part"`
	Crashes int    `json:"crashes"`
}

// queueChange queues a change for saveQuarantines. It never blocks.
func (s *crashTracker) queueChange(c quarantineChange) {
	select {
	case s.quarantineChanges <- c:
	default:
		event.LogSampled(event.QuarantineNotSaved, "part", formatPart(c.part.ID), "released", c.released, "error", "too many changes")
	}
}

// saveQuarantines writes changes of the list of quarantined parts to the store until the gateway stops.
func (g *Gateway) saveQuarantines() {
	own := make(map[quarantine.Part]ownQuarantine)
	for {
		select {
		case <-g.ctx.Done():
			return
		case c := <-g.crashes.quarantineChanges:
			changes := []quarantineChange{c}
			if c.restored {
				changes = changes[:0]
				for part, q := range own {
					changes = append(changes, quarantineChange{part: part, entry: q.entry})
				}
			}
			for _, c := range changes {
				if err := g.saveQuarantine(own, c); err != nil && g.ctx.Err() == nil {
					event.LogSampled(event.QuarantineNotSaved, "part", formatPart(c.part.ID), "released", c.released, "error", err)
				}
			}
		}
	}
}

// saveQuarantine writes one change. A release is written only by the gateway that stored the quarantine.
func (g *Gateway) saveQuarantine(own map[quarantine.Part]ownQuarantine, c quarantineChange) error {
	q, stored := own[c.part]
	lease := q.lease
	if c.released && !stored {
		return nil
	}
	var err error
	for range maxSaveAttempts {
		if c.released {
			err = g.store.Revoke(g.ctx, lease)
		} else {
			lease, err = g.storeQuarantine(g.ctx, c.entry)
		}
		if err == nil || errors.Is(err, services.ErrNotFound) || errors.Is(err, services.ErrConflict) || g.ctx.Err() != nil {
			break
		}
		sleep.For(g.ctx, saveRetry)
	}
	delete(own, c.part)
	if err == nil && !c.released {
		own[c.part] = ownQuarantine{c.entry, lease}
	}
	if errors.Is(err, services.ErrConflict) {
		return nil // another gateway stored it
	}
	return err
}

// storeQuarantine writes a quarantine under a lease of its own, unless there is one for the part.
func (g *Gateway) storeQuarantine(ctx context.Context, q quarantine.QuarantinedPart) (services.LeaseID, error) {
	value, err := json.Marshal(storedQuarantine{Service: q.Part.Service, Part: q.Part.ID, Crashes: q.Crashes})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	lease, err := g.store.Grant(ctx, storedQuarantineTTL)
	if err != nil {
		return 0, err
	}
	key := quarantineKeyPrefix + formatPart(q.Part.Service) + "-" + formatPart(q.Part.ID)
	if _, err = g.store.CompareAndSwap(ctx, key, 0, value, lease); err != nil {
		_ = g.store.Revoke(ctx, lease) // if it fails, the lease expires without keys
	}
	return lease, err
}

// applyStored takes over a quarantine from the store.
func (s *crashTracker) applyStored(now time.Time, item mirror.Item) {
	if item.Deleted || !strings.HasPrefix(item.Key, quarantineKeyPrefix) {
		return
	}
	var stored storedQuarantine
	if err := json.Unmarshal(item.Value, &stored); err != nil {
		event.Log(event.StoreItemInvalid, "key", item.Key, "revision", item.Revision, "error", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The neighbours may know of trials, so that the time until the next one begins now.
	s.adopt(now, quarantine.QuarantinedPart{Part: quarantine.Part{Service: stored.Service, ID: stored.Part}, Crashes: stored.Crashes, At: now}, "store")
}
