package admission

import "time"

// rampUp limits the work of an upstream that starts without load, before the mean is known. The allowance grows over time at the
// same rate at all upstreams. Upstreams that start together therefore fill evenly, and the load of one that gets most of the work
// exceeds that of the others by at most the difference between the allowance and the arriving work. Hints cannot achieve this, since
// the mean in them is older than the time in which the load doubles.
type rampUp struct {
	// startedAt is the time of the first request; zero if there was none.
	startedAt time.Time
	// lastMean is the mean at the start of the current interval, which lasts RampUpMeanDelay.
	lastMean   uint32
	lastMeanAt time.Time
	// steady is set if the mean grew by less than RampUpSteadyGrowth in the last interval: the load of the fleet is steady and only this
	// upstream is new.
	steady bool
}

// onAdmit records that an upstream with the given number of requests in progress admits one more. The allowance starts again if
// the upstream was idle for so long that its mean is stale.
func (f *rampUp) onAdmit(now time.Time, inFlight int, meanFresh bool, cfg *Config) {
	if f.startedAt.IsZero() || inFlight == 0 && !meanFresh && !f.active(now, cfg) {
		*f = rampUp{startedAt: now}
	}
}

func (f *rampUp) active(now time.Time, cfg *Config) bool {
	return !f.startedAt.IsZero() && now.Sub(f.startedAt) < cfg.RampUpDuration
}

// observe tracks the growth of the mean, beginning RampUpMeanDelay after the first request. Earlier means are too high, because the
// first upstreams that report to entries are those that have a request.
func (f *rampUp) observe(now time.Time, mean uint32, cfg *Config) {
	if !f.active(now, cfg) || now.Sub(f.startedAt) < cfg.RampUpMeanDelay || now.Sub(f.lastMeanAt) < cfg.RampUpMeanDelay {
		return
	}
	f.steady = f.lastMean > 0 && float64(mean) < (1+cfg.RampUpSteadyGrowth)*float64(f.lastMean)
	f.lastMean, f.lastMeanAt = mean, now
}

// limits adjusts the limit and the floor derived from the mean for an upstream in its ramp-up; capacity is that of its engine.
func (f *rampUp) limits(now time.Time, limit, floor, capacity float64, meanFresh bool, cfg *Config) (float64, float64) {
	if !f.active(now, cfg) || f.steady && meanFresh {
		return limit, floor
	}
	elapsed := now.Sub(f.startedAt)
	allowance := cfg.RampUpRate * elapsed.Seconds() * capacity
	if !meanFresh || elapsed < cfg.RampUpMeanDelay {
		return allowance, 0
	}
	return max(allowance, limit), floor
}
