package admission

import (
	"math"
	"time"

	"github.com/jayridge/jayridge/process/services"
)

// meanLoad is the latest estimate of the mean load of the service's upstreams.
type meanLoad struct {
	units uint32
	at    time.Time
	known bool
}

func (m *meanLoad) fresh(now time.Time, cfg *Config) bool {
	return m.known && now.Sub(m.at) <= cfg.MeanMaxAge
}

// bound returns the load up to which work is admitted whole, and the load up to which one more request is admitted whatever
// its size.
//
// The second value is the floor that keeps a service working whose mean is a few requests. With k upstreams at one equal
// request each, another request would put any of them above 1.25 times the mean, so that the bound alone would refuse it
// everywhere and the mean could never grow. An upstream at or below the mean always exists, and it takes the request: its
// load is then at most (1+FloorSlack) x mean plus this one request. From a mean of 1/(bound-1-FloorSlack) requests (5 with
// the defaults) on, that is within the bound, and the floor has no effect.
func (m *meanLoad) bound(now time.Time, bound float64, cfg *Config) (limit, floor float64) {
	mean := float64(m.units)
	switch {
	case !m.known:
		return math.Inf(1), 0
	case m.fresh(now, cfg):
		return bound * mean / (1 + cfg.MeanError), (1 + cfg.FloorSlack) * mean
	default:
		return min(bound, cfg.StaleBound) * mean, 0
	}
}

// engineCapacity is what the engine says of its load, which lags behind the admitted work.
type engineCapacity struct {
	units uint64
	// peak is the most work that was admitted at one time since the last report.
	peak uint64
	// excess is the work of the last report beyond peak: work that the estimates did not foresee.
	excess uint64
	at     time.Time
}

// admitted notes the admitted work after an admission.
func (e *engineCapacity) admitted(work uint64) { e.peak = max(e.peak, work) }

// report takes over a report; work is the work admitted now.
func (e *engineCapacity) report(now time.Time, load services.EngineLoad, work uint64) {
	e.units, e.at = load.Capacity, now
	e.excess = 0
	if load.WorkUnits > e.peak {
		e.excess = load.WorkUnits - e.peak
	}
	e.peak = work
}

// room returns the work that the engine can hold. Without any mean seen it is a share of it, since nothing else limits the load.
func (e *engineCapacity) room(meanKnown bool, cfg *Config) float64 {
	units := float64(e.units)
	if e.units == 0 {
		units = float64(cfg.DefaultCapacity)
	}
	if !meanKnown {
		units *= cfg.NoMeanShare
	}
	return units
}

// unforeseen returns the excess of a report that is not older than the mean may be.
func (e *engineCapacity) unforeseen(now time.Time, cfg *Config) float64 {
	if now.Sub(e.at) > cfg.MeanMaxAge {
		return 0
	}
	return float64(e.excess)
}
