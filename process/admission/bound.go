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

// bound returns two thresholds: limit, which the load including the new request must not exceed, and floor, the current load up
// to which one more request is admitted regardless of its size.
//
// The floor keeps a service working whose mean is only a few requests. With k upstreams at one equal request each, another
// request would put any of them above 1.25 times the mean, so the bound alone would refuse it everywhere and the mean could
// never grow. There is always an upstream at or below the mean, and the floor lets it admit the request: its load is then at
// most (1+FloorSlack) x mean plus this one request. From a mean of 1/(bound-1-FloorSlack) requests (5 with the defaults)
// upwards, that is within the bound and the floor has no effect.
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

// engineCapacity holds the capacity and load that the engine reports. Reports lag behind the admitted work.
type engineCapacity struct {
	units uint64
	// peak is the highest amount of admitted work in progress since the last report.
	peak uint64
	// excess is the reported work beyond peak, which the work estimates did not account for.
	excess uint64
	at     time.Time
}

// recordAdmitted updates the peak after an admission.
func (e *engineCapacity) recordAdmitted(work uint64) { e.peak = max(e.peak, work) }

// report applies an engine report; work is the admitted work in progress now.
func (e *engineCapacity) report(now time.Time, load services.EngineLoad, work uint64) {
	e.units, e.at = load.Capacity, now
	e.excess = 0
	if load.WorkUnits > e.peak {
		e.excess = load.WorkUnits - e.peak
	}
	e.peak = work
}

// capacity returns the work that the engine may hold. Until a mean is known it is only NoMeanShare of the engine's capacity,
// since nothing else limits the load then.
func (e *engineCapacity) capacity(meanKnown bool, cfg *Config) float64 {
	units := float64(e.units)
	if e.units == 0 {
		units = float64(cfg.DefaultCapacity)
	}
	if !meanKnown {
		units *= cfg.NoMeanShare
	}
	return units
}

// unestimatedWork returns the excess of the last report, or zero if the report is older than MeanMaxAge.
func (e *engineCapacity) unestimatedWork(now time.Time, cfg *Config) float64 {
	if now.Sub(e.at) > cfg.MeanMaxAge {
		return 0
	}
	return float64(e.excess)
}
