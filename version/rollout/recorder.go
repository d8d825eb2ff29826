package rollout

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the recorded latencies.
const (
	latencyMin    = 1
	latencyMax    = 10 * 60 * 1000
	latencyDigits = 2
)

// minThresholdSamples is the number of latencies of the old version from which a threshold is derived; its 95th percentile is
// then about the tenth largest.
const minThresholdSamples = 200

// Observation is one finished request of a service that is being shifted.
type Observation struct {
	Side       Side
	Route      string
	DataCentre string
	Failed     bool
	// Latency is the time to the first token of a streamed answer, else to the answer.
	Latency time.Duration
	// Step is the step of the shift that chose the version.
	Step uint8
}

// Recorder counts the outcomes of one shift at one entry. A request is slow when its latency exceeds a quantile of the old
// version's latency on the same route and data centre. Both versions are held against the same threshold, so an inexact
// threshold costs power but blames nobody.
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
	// limitMS is zero until enough latencies are known.
	limitMS int64
}

// NewRecorder returns an empty recorder.
func NewRecorder(config Config) *Recorder {
	return &Recorder{config: config, thresholds: make(map[thresholdKey]*threshold)}
}

// Record counts a request that ended at time now.
func (r *Recorder) Record(now time.Time, o Observation) {
	key := Key{DataCentre: o.DataCentre, Route: o.Route, Window: r.config.WindowOf(now), Step: o.Step}
	r.evidence.Add(key, o.Side, r.outcome(o), 1)
}

// outcome classifies a request by the threshold that was in force before it.
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

// add records a latency of the old version. Each full batch sets a new threshold, so that it follows the time of day.
func (t *threshold) add(ms int64, quantile float64) {
	// The value is within the histogram's range, so it cannot be rejected.
	_ = t.latencies.RecordValue(ms)
	if t.latencies.TotalCount() < minThresholdSamples {
		return
	}
	t.limitMS = t.latencies.ValueAtQuantile(quantile * 100)
	t.latencies.Reset()
}

// Report returns the counts of all windows that are still open at time now, and forgets older ones. An entry sends it to the
// aggregator of its data centre once per window; sending it again does no harm.
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

// Ended is Report without the window under way, at which no judge looks before its end.
func (r *Recorder) Ended(now time.Time) Evidence {
	current := r.config.WindowOf(now)
	var ended Evidence
	for key, cell := range r.Report(now).cells {
		if key.Window < current {
			ended.AddCell(cell)
		}
	}
	return ended
}
