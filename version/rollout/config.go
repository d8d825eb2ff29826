package rollout

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Limits of the number of steps. The test reserves a fraction of its error rate for a start time at each of maxSteps steps.
// Beyond the planned steps there is room for a comparison after 100% and the return to 100%.
const (
	maxSteps        = 16
	maxPlannedSteps = maxSteps - 3
)

// Config holds the parameters of the test and of the schedule. All processes of a fleet must use the same values, because counts
// of windows of different lengths cannot be added. No field may be zero unless its comment allows it.
type Config struct {
	// Window is the length of the time windows in which outcomes are counted, a whole number of milliseconds. Default 5 s.
	Window time.Duration
	// Lag is how long after a window's end its counts are accepted; later ones are dropped. Default 5 s. Zero: a window closes at
	// its end.
	Lag time.Duration

	// Alpha bounds the false-positive probability: that any of the independent tests rejects a good version during the whole
	// shift. Default 0.01.
	Alpha float64
	// Beta bounds the false-negative probability: that a step ends before a version that is worse by the smallest difference is
	// rejected, for each route group with required evidence. Default 0.01.
	Beta float64
	// IndependentTests is the number of processes that test independently: the leader and an aggregator per data centre. Alpha is
	// divided among them. Default 24.
	IndependentTests int
	// FailedDifference is the smallest increase of the share of failed requests that a step must be able to detect. Default 0.02.
	FailedDifference float64
	// SlowDifference is the smallest increase of the share of slow requests that a step must be able to detect. Default 0.1.
	SlowDifference float64
	// SlowQuantile is the quantile of the old version's latency above which a request counts as slow. Default 0.95.
	SlowQuantile float64
	// OddsRatios are the alternative hypotheses: odds ratios of a bad outcome, new to old, each above 1, at most 8 of them. A
	// version whose odds ratio is well below the smallest is never rejected. Default 2, 4, 16, 64.
	OddsRatios []float64
	// Starts is the number of evenly spaced start times of the test, which detect a defect that appears late. Default 64.
	Starts int
	// MaxRoutes is the number of routes, besides the guards, that are also tested on their own. Default 32. Zero: only the
	// guards and all routes together are tested.
	MaxRoutes int
	// CellLimit bounds the contribution of one data centre in one window, as a share of the logarithm of the threshold, so that
	// a single burst of failures cannot reject a version. Default 0.4.
	CellLimit float64

	// Growth is the factor between the shares of successive steps, above 1. Default 3.
	Growth float64
	// MaxPartial is the largest share below 1. The versions are also compared again at this share if the new one at 100% appears
	// worse than the past rate of the old one. Above one half the old version has too little traffic for a comparison. Default
	// 0.5.
	MaxPartial float64
	// MinStep is the minimum duration of a step. Default 30 s.
	MinStep time.Duration
	// PlanReserve is the fraction of the time until the deadline that the schedule reserves for steps that are repeated after a
	// change of the lease holder. Default 0.25. Zero: the plan ends at the deadline.
	PlanReserve float64
	// SettleTime is how long a new lease holder waits before its first advance, so that earlier rollback decisions reach it by
	// gossip. Default 10 s.
	SettleTime time.Duration
	// MonitorTime is how long the old version is kept and outcomes are tested after the new version has all traffic. Default 30 min.
	MonitorTime time.Duration
	// DeadlineGrace is how long after the deadline a process without the lease waits for the lease holder to act. Default 1 min.
	DeadlineGrace time.Duration
	// RetryEvery is the time between attempts to write or read the record. Default 2 s.
	RetryEvery time.Duration
	// ObserveTime is how long a process must have known the upstreams before it rolls back because of the deadline: just after a
	// restart, upstreams may be listed that no longer run. Default 15 s. Zero: the first list is trusted.
	ObserveTime time.Duration
	// GoneAfter is how long a version must have been without upstreams before it is taken to be removed and not just restarting.
	// Default 1 min.
	GoneAfter time.Duration
}

// DefaultConfig returns the default values, which are valid.
func DefaultConfig() Config {
	return Config{
		Window:           5 * time.Second,
		Lag:              5 * time.Second,
		Alpha:            0.01,
		Beta:             0.01,
		IndependentTests: 24,
		FailedDifference: 0.02,
		SlowDifference:   0.1,
		SlowQuantile:     0.95,
		OddsRatios:       []float64{2, 4, 16, 64},
		Starts:           64,
		MaxRoutes:        32,
		CellLimit:        0.4,
		Growth:           3,
		MaxPartial:       0.5,
		MinStep:          30 * time.Second,
		PlanReserve:      0.25,
		SettleTime:       10 * time.Second,
		MonitorTime:      30 * time.Minute,
		DeadlineGrace:    time.Minute,
		RetryEvery:       2 * time.Second,
		ObserveTime:      15 * time.Second,
		GoneAfter:        time.Minute,
	}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	checks := []struct {
		field string
		ok    bool
	}{
		{"Window", c.Window >= time.Millisecond && c.Window%time.Millisecond == 0},
		{"Lag", c.Lag >= 0},
		{"Alpha", c.Alpha > 0 && c.Alpha < 1},
		{"Beta", c.Beta > 0 && c.Beta < 1},
		{"IndependentTests", c.IndependentTests >= 1},
		{"FailedDifference", c.FailedDifference > 0 && c.FailedDifference < 1},
		{"SlowDifference", c.SlowDifference > 0 && c.SlowDifference < 1},
		{"SlowQuantile", c.SlowQuantile > 0 && c.SlowQuantile < 1},
		{"OddsRatios", validOddsRatios(c.OddsRatios)},
		{"Starts", c.Starts >= 1},
		{"MaxRoutes", c.MaxRoutes >= 0},
		{"CellLimit", c.CellLimit > 0 && c.CellLimit <= 1},
		{"Growth", c.Growth > 1},
		{"MaxPartial", c.MaxPartial > 0 && c.MaxPartial < 1},
		{"MinStep", c.MinStep > 0},
		{"PlanReserve", c.PlanReserve >= 0 && c.PlanReserve < 1},
		{"SettleTime", c.SettleTime > 0},
		{"MonitorTime", c.MonitorTime > 0},
		{"DeadlineGrace", c.DeadlineGrace > 0},
		{"RetryEvery", c.RetryEvery > 0},
		{"ObserveTime", c.ObserveTime >= 0},
		{"GoneAfter", c.GoneAfter > 0},
	}
	for _, check := range checks {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("rollout config: %s is out of range", check.field))
		}
	}
	return nil
}

func validOddsRatios(ratios []float64) bool {
	for _, r := range ratios {
		if r <= 1 {
			return false
		}
	}
	return len(ratios) > 0 && len(ratios) <= maxOddsRatios
}
