package scaling

import "time"

// maxHorizon is the longest boot time for which growth is extrapolated. Growth of longer ago says little about the next minute, and the history stays
// small.
const maxHorizon = time.Minute

// sampleInterval is the minimum time between samples. Loads are told between gateways every 200 ms or more.
const sampleInterval = 200 * time.Millisecond

// maxGap is the longest time without a sample. After a longer one, as when the process was paused, the history starts anew.
const maxGap = 3 * time.Second

// sample is the demand at one time, in requests.
type sample struct {
	at time.Time
	// total is the demand of the service, smooth its average over the time of Config.Smoothing.
	total, smooth float64
	// centres is the demand of each data centre, sustained the lowest demand of each within Config.SustainTime.
	centres, sustained map[string]float64
}

// history holds the demand of the latest time.
type history struct {
	config  Config
	samples []sample
	// since is the time from which on samples have been recorded without a gap.
	since time.Time
}

// add records the demand of each data centre. The window is what is needed of the history besides the horizon.
func (h *history) add(now time.Time, demand map[string]float64, keep time.Duration) {
	if n := len(h.samples); n > 0 {
		last := h.samples[n-1].at
		switch gap := now.Sub(last); {
		case gap > maxGap || gap < 0:
			h.samples = nil
		case gap < sampleInterval:
			return
		}
	}
	if len(h.samples) == 0 {
		h.since = now
	}
	s := sample{at: now, centres: demand, sustained: make(map[string]float64, len(demand))}
	for name, v := range demand {
		s.total += v
		s.sustained[name] = h.sustainedAt(now, name, v)
	}
	sum, count := s.total, 1.0
	for i := len(h.samples) - 1; i >= 0 && now.Sub(h.samples[i].at) < h.config.Smoothing; i-- {
		sum += h.samples[i].total
		count++
	}
	s.smooth = sum / count
	h.samples = append(h.samples, s)
	for len(h.samples) > 0 && now.Sub(h.samples[0].at) > keep {
		h.samples = h.samples[1:]
	}
}

// sustainedAt returns the lowest demand of a data centre within Config.SustainTime, or zero if the history is shorter.
func (h *history) sustainedAt(now time.Time, name string, demand float64) float64 {
	lowest := demand
	for i := len(h.samples) - 1; i >= 0; i-- {
		lowest = min(lowest, h.samples[i].centres[name])
		if now.Sub(h.samples[i].at) >= h.config.SustainTime {
			return lowest
		}
	}
	return 0
}

// peak returns the highest smoothed demand in the time of length window that ends at a time.
func (h *history) peak(end time.Time, window time.Duration) float64 {
	highest := 0.0
	for _, s := range h.samples {
		if !s.at.After(end) && end.Sub(s.at) <= window {
			highest = max(highest, s.smooth)
		}
	}
	return highest
}

// sustained returns the highest sustained demand of a data centre in the time of length window that ends now.
func (h *history) sustained(now time.Time, name string, window time.Duration) float64 {
	highest := 0.0
	for _, s := range h.samples {
		if now.Sub(s.at) <= window {
			highest = max(highest, s.sustained[name])
		}
	}
	return highest
}

// growth returns by how much the peak of a window has risen within the horizon, or since the history began.
func (h *history) growth(now time.Time, window, horizon time.Duration) float64 {
	horizon = min(horizon, now.Sub(h.since))
	return max(0, h.peak(now, window)-h.peak(now.Add(-horizon), window))
}
