package load

import (
	"slices"
	"time"
)

// hint is the latest hint of one sender.
type hint struct {
	sender string
	at     time.Time
	mean   uint32
}

// MeanEstimator merges the mean-load hints of many entries into one estimate: the median of each sender's latest hint within the
// recent window. A minority of entries with incorrect or outdated hints therefore has little effect, however often it sends. Sidecars
// use it. It is not safe for concurrent use.
type MeanEstimator struct {
	cfg EstimatorConfig
	// hints holds at most one hint per sender, unordered.
	hints   []hint
	scratch []uint32
}

// NewMeanEstimator returns an estimator without hints. cfg must be valid.
func NewMeanEstimator(cfg EstimatorConfig) *MeanEstimator {
	return &MeanEstimator{
		cfg:     cfg,
		hints:   make([]hint, 0, cfg.MaxSenders),
		scratch: make([]uint32, 0, cfg.MaxSenders),
	}
}

// AddHint records the hint of one sender, in work units. A mean of zero means no hint and is ignored.
func (e *MeanEstimator) AddHint(now time.Time, sender string, mean uint32) {
	if mean == 0 {
		return
	}
	*e.slotFor(sender) = hint{sender: sender, at: now, mean: mean}
}

// slotFor returns the slot for a sender's hint: the sender's existing slot, a free one, or that of the oldest hint.
func (e *MeanEstimator) slotFor(sender string) *hint {
	oldest := -1
	for i := range e.hints {
		if e.hints[i].sender == sender {
			return &e.hints[i]
		}
		if oldest < 0 || e.hints[i].at.Before(e.hints[oldest].at) {
			oldest = i
		}
	}
	if len(e.hints) < e.cfg.MaxSenders {
		e.hints = append(e.hints, hint{})
		return &e.hints[len(e.hints)-1]
	}
	return &e.hints[oldest]
}

// Mean returns the estimate in work units, and whether there is one. With an even number of hints it is the lower of the two
// middle values: an estimate that is too low sends work to the next candidate, one that is too high exceeds the load bound.
func (e *MeanEstimator) Mean(now time.Time) (uint32, bool) {
	means := e.meansWithin(now, e.window())
	if len(means) < max(e.cfg.MinHints, 1) {
		means = e.meansWithin(now, e.cfg.MaxAge)
	}
	if len(means) == 0 {
		return 0, false
	}
	slices.Sort(means)
	return means[(len(means)-1)/2], true
}

func (e *MeanEstimator) window() time.Duration {
	if e.cfg.Window == 0 {
		return e.cfg.MaxAge
	}
	return e.cfg.Window
}

// meansWithin returns the means of the hints up to an age. The result is valid until the next call.
func (e *MeanEstimator) meansWithin(now time.Time, age time.Duration) []uint32 {
	means := e.scratch[:0]
	for i := range e.hints {
		if now.Sub(e.hints[i].at) <= age {
			means = append(means, e.hints[i].mean)
		}
	}
	return means
}
