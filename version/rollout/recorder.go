package rollout

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range in milliseconds and number of significant digits of the recorded latencies.
const (
	latencyMin    = 1
	latencyMax    = 10 * 60 * 1000
	latencyDigits = 2
)

// minThresholdSamples is the number of the old version's latencies that one threshold is computed from. The 95th percentile is
// then about the tenth largest.
const minThresholdSamples = 200

// Observation is a finished request of a service with a shift in progress.
type Observation struct {
	Side       Side
	Route      string
	DataCentre string
	Failed     bool
	// Latency is the time to the first token of a streamed response, otherwise the time to the response.
	Latency time.Duration
	// Step is the step of the shift at which the version was selected.
	Step uint8
}

// Recorder counts the outcomes of one shift at one entry. A request is slow if its latency exceeds a quantile of the old
// version's latency on the same route and data centre. The threshold is the same for both versions, so an inexact threshold
// reduces the power of the test but does not cause false positives.
type Recorder struct {
	config     Config
	thresholds map[thresholdKey]*threshold
	evidence   Evidence
}

type thresholdKey struct {
	route      string
	dataCentre string
}

type threshold struct {
	latencies *hdrhistogram.Histogram
	// limitMS is zero until enough latencies have been recorded.
	limitMS int64
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	return &Recorder{config: config, thresholds: make(map[thresholdKey]*threshold)}
}

// Record counts a request that finished at time now.
func (r *Recorder) Record(now time.Time, o Observation) {
	key := Key{DataCentre: o.DataCentre, Route: o.Route, Window: r.config.WindowOf(now), Step: o.Step}
	r.evidence.Add(key, o.Side, r.outcome(o), 1)
}

// outcome classifies a request by the threshold before the request itself is recorded.
func (r *Recorder) outcome(o Observation) Outcome {
	if o.Failed {
		return Failed
	}
	t := r.threshold(thresholdKey{o.Route, o.DataCentre})
	ms := min(max(o.Latency.Milliseconds(), latencyMin), latencyMax)
	slow := t.limitMS > 0 && ms > t.limitMS
	if o.Side == Old {
		t.add(ms, r.config.SlowQuantile)
	}
	if slow {
		return Slow
	}
	return OK
}

func (r *Recorder) threshold(key thresholdKey) *threshold {
	t := r.thresholds[key]
	if t == nil {
		t = &threshold{latencies: hdrhistogram.New(latencyMin, latencyMax, latencyDigits)}
		r.thresholds[key] = t
	}
	return t
}

// add records a latency of the old version. Every minThresholdSamples latencies set a new threshold, so that it follows the
// variation of the latency over the day.
func (t *threshold) add(ms int64, quantile float64) {
	// The value is within the histogram's range, so it cannot be rejected.
	_ = t.latencies.RecordValue(ms)
	if t.latencies.TotalCount() < minThresholdSamples {
		return
	}
	t.limitMS = t.latencies.ValueAtQuantile(quantile * 100)
	t.latencies.Reset()
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
