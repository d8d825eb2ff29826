package rollout

import "time"

// Observation is a request of a service with a shift in progress, as far as it shows how well the version works.
type Observation struct {
	Side       Side
	Route      string
	DataCentre string
	Failed     bool
	// Latency is the time to the first event of a streamed response, otherwise the time to the response.
	Latency time.Duration
	// EventInterval is the mean time between the first events of a streamed response. It is zero for responses with fewer than two events.
	EventInterval time.Duration
	// PromptTokens is the number of prompt tokens that the upstream had to process, zero if unknown. Latencies are compared among requests
	// of similar size, because a new version starts without cached prompts.
	PromptTokens int
	// Abandoned means that the caller left before the latencies were complete: they are lower bounds.
	Abandoned bool
	// Warming means that the upstream had just started and was slow for that reason.
	Warming bool
	// Step is the step of the shift at which the version was selected.
	Step uint8
}

// Recorder counts the outcomes of one shift at one entry. A request is slow if one of its latencies exceeds a quantile of the old version's
// on the same route. The limits are the same for both versions, so an inexact limit reduces the power of the test but does not cause false
// positives. A request without a limit for each of its latencies is counted as unmeasured.
type Recorder struct {
	config   Config
	limits   map[limitKey]*latencyLimit
	evidence Evidence
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	return &Recorder{config: config, limits: make(map[limitKey]*latencyLimit)}
}

// Record counts a request at time now.
func (r *Recorder) Record(now time.Time, o Observation) {
	outcome, known := r.outcome(o)
	if !known {
		return
	}
	key := Key{DataCentre: o.DataCentre, Route: o.Route, Window: r.config.WindowOf(now), Step: o.Step}
	r.evidence.Add(key, o.Side, outcome, 1)
}

// outcome classifies a request by the limits before the request itself is recorded. It returns false if an abandoned request shows nothing.
func (r *Recorder) outcome(o Observation) (Outcome, bool) {
	if o.Failed {
		return Failed, true
	}
	latencies := o.latencies()
	measured, slow := !o.Warming && len(latencies) > 0, false
	for _, m := range latencies {
		limit := r.limit(m.key)
		measured = measured && limit > 0
		slow = slow || m.value > limit
	}
	if o.Side == Old && !o.Warming && !o.Abandoned {
		r.recordLatencies(latencies)
	}
	switch {
	case o.Abandoned:
		return Slow, measured && slow
	case !measured:
		return Unmeasured, true
	case slow:
		return Slow, true
	default:
		return OK, true
	}
}

// measuredLatency is one of the latencies of a request, with the key of its limit.
type measuredLatency struct {
	key   limitKey
	value time.Duration
}

// latencies returns the latencies of the request that can be compared.
func (o *Observation) latencies() []measuredLatency {
	list := make([]measuredLatency, 0, 2)
	if o.Latency > 0 {
		list = append(list, measuredLatency{limitKey{o.Route, o.DataCentre, promptClass(o.PromptTokens)}, o.Latency})
	}
	if o.EventInterval > 0 {
		list = append(list, measuredLatency{limitKey{o.Route, o.DataCentre, eventIntervals}, o.EventInterval})
	}
	return list
}

func (r *Recorder) recordLatencies(latencies []measuredLatency) {
	for _, m := range latencies {
		for _, key := range []limitKey{m.key, m.key.anyDataCentre()} {
			l := r.limits[key]
			if l == nil {
				l = &latencyLimit{}
				r.limits[key] = l
			}
			l.add(m.value, r.config.SlowQuantile)
		}
	}
}

// limit returns the limit of a latency, zero if there are too few latencies of the old version. The limit of the data centre is used once
// it is precise, and that of all data centres together before.
func (r *Recorder) limit(key limitKey) time.Duration {
	if l := r.limits[key]; l != nil && l.precise {
		return l.limit
	}
	if l := r.limits[key.anyDataCentre()]; l != nil {
		return l.limit
	}
	return 0
}

// Report returns the counts of all windows that are open at time now and removes older ones.
func (r *Recorder) Report(now time.Time) Evidence {
	oldest := r.config.firstOpen(now)
	var open Evidence
	for key, cell := range r.evidence.cells {
		if key.Window < oldest {
			delete(r.evidence.cells, key)
			continue
		}
		open.AddCell(cell)
	}
	return open
}

// ReportEnded is Report without the current window, which is not tested before its end. An entry sends the result to the
// aggregator of its data centre once per window; repeated reports are harmless.
func (r *Recorder) ReportEnded(now time.Time) Evidence {
	current := r.config.WindowOf(now)
	var ended Evidence
	for key, cell := range r.Report(now).cells {
		if key.Window < current {
			ended.AddCell(cell)
		}
	}
	return ended
}
