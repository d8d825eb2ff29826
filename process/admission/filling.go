package admission

import "time"

// filling limits the work of an upstream that starts from nothing while nobody knows the mean. Its allowance grows with time at a rate that
// is the same at all upstreams, so that those whose callers come at once fill alike, and one that gets most of the work is ahead of the
// others by no more than the allowance is ahead of the work that arrives. Hints cannot do this: the mean that they carry is older than
// the time in which the load doubles.
type filling struct {
	// since is when the upstream took its first request; zero if it took none.
	since time.Time
	// last is the mean at the start of the present interval of FillSettle.
	last   uint32
	lastAt time.Time
	// steady says that the mean grew by less than FillGrowth in the last interval: the fleet does not fill, only this upstream is new.
	steady bool
}

// take notes that an upstream with the given number of requests in progress takes one more. An upstream that was idle for so long that its
// mean is no longer fresh fills anew.
func (f *filling) take(now time.Time, running int, meanFresh bool, cfg *Config) {
	if f.since.IsZero() || running == 0 && !meanFresh && !f.active(now, cfg) {
		*f = filling{since: now}
	}
}

func (f *filling) active(now time.Time, cfg *Config) bool {
	return !f.since.IsZero() && now.Sub(f.since) < cfg.FillFor
}

// observe follows the mean from FillSettle after the first request on: the first upstreams of which entries hear are those that took a
// request, so that the first means are too high.
func (f *filling) observe(now time.Time, mean uint32, cfg *Config) {
	if !f.active(now, cfg) || now.Sub(f.since) < cfg.FillSettle || now.Sub(f.lastAt) < cfg.FillSettle {
		return
	}
	f.steady = f.last > 0 && float64(mean) < (1+cfg.FillGrowth)*float64(f.last)
	f.last, f.lastAt = mean, now
}

// limits adapts the bound and the floor of the mean to an upstream that fills; capacity is what its engine can hold.
func (f *filling) limits(now time.Time, limit, floor, capacity float64, meanFresh bool, cfg *Config) (float64, float64) {
	if !f.active(now, cfg) || f.steady && meanFresh {
		return limit, floor
	}
	since := now.Sub(f.since)
	allowance := cfg.FillRate * since.Seconds() * capacity
	if !meanFresh || since < cfg.FillSettle {
		return allowance, 0
	}
	return max(allowance, limit), floor
}
