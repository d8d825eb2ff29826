package config

import "github.com/jayridge/jayridge/connection/wire"

// history has the most recent changes for peers that are a few versions behind.
type history struct {
	// changes are of consecutive versions and end at the current one, or there are none.
	changes []wire.ConfigChange
	bytes   int
}

// extend adds the changes that led to a version. If they do not connect to the ones before, those are dropped.
func (h *history) extend(version uint64, changes []wire.ConfigChange, cfg Config) {
	if len(changes) == 0 || changes[len(changes)-1].Version != version || !consecutive(changes) {
		*h = history{}
		return
	}
	next := changes[0].Version
	if n := len(h.changes); n > 0 && next <= h.changes[n-1].Version+1 {
		next = h.changes[n-1].Version + 1
	} else {
		*h = history{}
	}
	for _, c := range changes {
		if c.Version >= next {
			h.add(c, cfg)
		}
	}
	h.trim(cfg)
}

func consecutive(changes []wire.ConfigChange) bool {
	for i := range changes {
		if changes[i].Version != changes[0].Version+uint64(i) {
			return false
		}
	}
	return true
}

// add appends a change. One that does not fit a push breaks the history: peers that need it get the whole text.
func (h *history) add(c wire.ConfigChange, cfg Config) {
	bytes := changeBytes(c)
	if bytes > cfg.PushBytes {
		*h = history{}
		return
	}
	h.changes = append(h.changes, c)
	h.bytes += bytes
}

// trim drops the oldest changes beyond the limits.
func (h *history) trim(cfg Config) {
	drop := 0
	for drop < len(h.changes) && (len(h.changes)-drop > cfg.HistoryChanges || h.bytes > cfg.HistoryBytes) {
		h.bytes -= changeBytes(h.changes[drop])
		drop++
	}
	// The dropped changes stay as they are, because answers that have not been sent yet may still refer to them.
	h.changes = h.changes[drop:]
}

// since returns the changes after a version, or false if they do not reach back to it.
func (h *history) since(version uint64) ([]wire.ConfigChange, bool) {
	if len(h.changes) == 0 || h.changes[0].Version > version+1 {
		return nil, false
	}
	return h.changes[version+1-h.changes[0].Version:], true
}
