package gateway

import (
	"time"

	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/eventstream"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rollout"
)

// measuredIntervals is the number of intervals between events after which a stream's speed is reported to the rollout. It is reported
// before the stream ends, because the streams of a slow version end last.
const measuredIntervals = 8

// streamPace measures the time to the first event of a stream and between the first ones.
type streamPace struct {
	// first and last are the times of the first event and of the latest measured one.
	first, last time.Time
	intervals   int
}

// add records the arrival of events at time now and reports whether the measurement has just become complete.
func (p *streamPace) add(now time.Time, events int) bool {
	if events == 0 || p.intervals >= measuredIntervals {
		return false
	}
	if p.first.IsZero() {
		p.first, p.last = now, now
		events--
	}
	if events > 0 {
		p.intervals, p.last = p.intervals+events, now
	}
	return p.intervals >= measuredIntervals
}

// interval returns the mean time between the measured events, zero if there are fewer than two.
func (p *streamPace) interval() time.Duration {
	if p.intervals == 0 {
		return 0
	}
	return p.last.Sub(p.first) / time.Duration(p.intervals)
}

// reportEvents reports the speed of a stream to the rollout of the service as soon as it is known.
func (a *attempt) reportEvents(events []byte) {
	if a.plan == nil || !a.pace.add(time.Now(), eventstream.Count(events)) {
		return
	}
	a.paceReported = true
	a.observe(a.observation(time.Now()))
}

// reportToRollout reports the outcome of an attempt to the rollout of the service, if there is one. A stream whose speed has been reported is
// reported again only if it failed. Refused requests are not reported, since
// they show nothing about the version.
func (a *attempt) reportToRollout(code result.Code) {
	if a.plan == nil || code.Outcome() == result.NotRun {
		return
	}
	o := a.observation(time.Now())
	switch {
	case code == result.Canceled:
		o.Abandoned = true
		if !a.pace.first.IsZero() {
			// The mean over all measured intervals would have been at least this.
			o.EventInterval = time.Since(a.pace.first) / measuredIntervals
		}
	case code != result.OK:
		o.Failed = true
	case a.inconclusive:
		return
	}
	if a.paceReported && !o.Failed {
		return
	}
	a.observe(o)
}

// observation returns what the attempt has shown until now about the speed of the upstream's version.
func (a *attempt) observation(now time.Time) rollout.Observation {
	c := a.call
	o := rollout.Observation{
		Route: c.route.Name, DataCentre: a.choice.DataCentre, Latency: time.Duration(a.headLatency.Load()), EventInterval: a.pace.interval(),
		PromptTokens: max(0, c.prompt.Tokens-a.choice.Cached-a.choice.Fetched),
		Warming:      bootclock.Now().Before(a.choice.ColdUntil),
	}
	switch {
	case !a.pace.first.IsZero():
		o.Latency = a.pace.first.Sub(a.started)
	case a.headLatency.Load() == 0:
		o.Latency = now.Sub(a.started)
	}
	return o
}

// observe sends an observation to the rollout by whose plan the upstream was chosen.
func (a *attempt) observe(o rollout.Observation) {
	o.Step = a.plan.Step
	if a.choice.Version == a.plan.To {
		o.Side = rollout.New
	}
	if !a.call.g.rollouts.driver.Observe(shift.Outcome{Plan: a.plan, Observation: o}) {
		a.call.g.metrics.outcomesDropped.Add(1)
	}
}
