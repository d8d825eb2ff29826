package config

import "github.com/jayridge/jayridge/connection/wire"

// history keeps the most recent steps to answer the pulls of peers that are behind.
type history struct {
	// steps are consecutive and end at the current version, or there are none.
	steps []step
	bytes int
}

// extend adds the steps that end at a version. Earlier steps are dropped if there is a gap between them and the new ones.
func (h *history) extend(version uint64, steps []step, cfg Config) {
	if len(steps) == 0 || steps[len(steps)-1].change.Version != version || !consecutive(steps) {
		*h = history{}
		return
	}
	last := steps[0].from
	if n := len(h.steps); n > 0 && last <= h.steps[n-1].change.Version {
		last = h.steps[n-1].change.Version
	} else {
		*h = history{}
	}
	for _, s := range steps {
		if s.from >= last {
			h.add(s, cfg)
		}
	}
	h.trim(cfg)
}

// consecutive reports whether each step starts at the version at which the previous one ends.
func consecutive(steps []step) bool {
	for i := range steps[1:] {
		if steps[i+1].from != steps[i].change.Version {
			return false
		}
	}
	return true
}

// add appends a step. A step that exceeds MaxPushBytes clears the history instead, so that peers that need it get the whole text.
func (h *history) add(s step, cfg Config) {
	if changeBytes(s.change) > cfg.MaxPushBytes {
		*h = history{}
		return
	}
	h.steps = append(h.steps, s)
	h.bytes += s.bytes()
}

// bytes returns an upper estimate of the size of a step.
func (s *step) bytes() int {
	bytes := changeBytes(s.change)
	for _, lines := range s.removed {
		for _, line := range lines {
			bytes += len(line)
		}
	}
	return bytes
}

// trim drops the oldest steps until the history is within its limits.
func (h *history) trim(cfg Config) {
	drop := 0
	for drop < len(h.steps) && (len(h.steps)-drop > cfg.MaxHistoryChanges || h.bytes > cfg.MaxHistoryBytes) {
		h.bytes -= h.steps[drop].bytes()
		drop++
	}
	// The dropped steps are not overwritten, because answers that have not been sent yet may refer to them.
	h.steps = h.steps[drop:]
}

// since returns the steps from a version on, or false if no step starts at it.
func (h *history) since(version uint64) ([]step, bool) {
	for i := len(h.steps) - 1; i >= 0 && h.steps[i].from >= version; i-- {
		if h.steps[i].from == version {
			return h.steps[i:], true
		}
	}
	return nil, false
}

// changes returns the steps as changes, or false if one of them covers several versions.
func changes(steps []step) ([]wire.ConfigChange, bool) {
	list := make([]wire.ConfigChange, len(steps))
	for i, s := range steps {
		if s.change.Version != s.from+1 {
			return nil, false
		}
		list[i] = s.change
	}
	return list, true
}

// stepsFromChanges returns changes as steps with unknown removed lines.
func stepsFromChanges(changes []wire.ConfigChange) []step {
	steps := make([]step, len(changes))
	for i, c := range changes {
		steps[i] = step{from: c.Version - 1, change: c}
	}
	return steps
}
