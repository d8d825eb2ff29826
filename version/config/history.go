package config

import "github.com/jayridge/jayridge/connection/wire"

// history has the most recent steps for peers that are behind.
type history struct {
	// steps follow one another and end at the current version, or there are none.
	steps []step
	bytes int
}

// extend adds the steps that led to a version. If they do not connect to the ones before, those are dropped.
func (h *history) extend(version uint64, steps []step, cfg Config) {
	if len(steps) == 0 || steps[len(steps)-1].change.Version != version || !consecutive(steps) {
		*h = history{}
		return
	}
	have := steps[0].from
	if n := len(h.steps); n > 0 && have <= h.steps[n-1].change.Version {
		have = h.steps[n-1].change.Version
	} else {
		*h = history{}
	}
	for _, s := range steps {
		if s.from >= have {
			h.add(s, cfg)
		}
	}
	h.trim(cfg)
}

func consecutive(steps []step) bool {
	for i := range steps[1:] {
		if steps[i+1].from != steps[i].change.Version {
			return false
		}
	}
	return true
}

// add appends a step. One that does not fit a push breaks the history: peers that need it get the whole text.
func (h *history) add(s step, cfg Config) {
	if changeBytes(s.change) > cfg.PushBytes {
		*h = history{}
		return
	}
	h.steps = append(h.steps, s)
	h.bytes += s.bytes()
}

// bytes estimates the size of a step from above.
func (s *step) bytes() int {
	bytes := changeBytes(s.change)
	for _, lines := range s.removed {
		for _, line := range lines {
			bytes += len(line)
		}
	}
	return bytes
}

// trim drops the oldest steps beyond the limits.
func (h *history) trim(cfg Config) {
	drop := 0
	for drop < len(h.steps) && (len(h.steps)-drop > cfg.HistoryChanges || h.bytes > cfg.HistoryBytes) {
		h.bytes -= h.steps[drop].bytes()
		drop++
	}
	// The dropped steps stay as they are, because answers that have not been sent yet may still refer to them.
	h.steps = h.steps[drop:]
}

// since returns the steps after a version, or false if none begins there.
func (h *history) since(version uint64) ([]step, bool) {
	for i := len(h.steps) - 1; i >= 0 && h.steps[i].from >= version; i-- {
		if h.steps[i].from == version {
			return h.steps[i:], true
		}
	}
	return nil, false
}

// changes returns the steps as changes, or false if one of them is a run.
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

// stepsOf returns changes of which the removed lines are not known.
func stepsOf(changes []wire.ConfigChange) []step {
	steps := make([]step, len(changes))
	for i, c := range changes {
		steps[i] = step{from: c.Version - 1, change: c}
	}
	return steps
}
