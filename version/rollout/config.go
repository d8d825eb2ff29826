package rollout

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// maxSteps bounds the steps of a shift; the test reserves error rate for a fresh start at each. The planned ones leave room for a
// comparison after 100% and the return from it.
const (
	maxSteps   = 16
	maxPlanned = maxSteps - 3
)

// Config holds the constants of the test and of the pace. All processes of a fleet use the same values, because counts of
// windows of different lengths do not add up. No field may be zero unless its comment says so.
type Config struct {
	// Window is the length of the time windows in which outcomes are counted, a whole number of milliseconds. Default 5 s.
	Window time.Duration
	// Lag is how long after a window's end its counts may arrive; later ones are dropped. Default 5 s. Zero: none is awaited.
	Lag time.Duration

	// Alpha is the largest probability that a good version is blamed during the whole shift, by any judge. Default 0.01.
	Alpha float64
	// Beta is the largest probability that one step ends before a version that is worse by the smallest difference is blamed,
	// for each route group with required evidence. Default 0.01.
	Beta float64
	// Judges is the number of processes that test independently: the leader and an aggregator per data centre. Alpha is
	// divided among them. Default 24.
	Judges int
	// FailedDifference is the smallest increase of the share of failed requests that a step must be able to detect. Default 0.02.
	FailedDifference float64
	// SlowDifference is the smallest increase of the share of slow requests that a step must be able to detect. Default 0.1.
	SlowDifference float64
	// SlowQuantile is the quantile of the old version's latency above which a request counts as slow. Default 0.95.
	SlowQuantile float64
	// OddsRatios are the odds ratios of a bad outcome, new to old, that the test weighs against equality, each above 1, at
	// most 8. A difference well below the smallest is never blamed. Default 2, 4, 16, 64.
	OddsRatios []float64
	// Starts is the number of evenly spaced times from which a late fault is looked for. Default 64.
	Starts int
	// MaxRoutes is the number of routes, besides the guards, that are also judged on their own. Default 32. Zero: only the
	// guards and all routes together are judged.
	MaxRoutes int
	// CellLimit bounds what one data centre contributes in one window, as a share of the logarithm of the threshold, so that
	// one burst of failures cannot blame a version. Default 0.4.
	CellLimit float64

	// Growth is the factor between two shares, above 1. Default 3.
	Growth float64
	// MaxPartial is the largest share below 1, and the one at which the versions are compared again when the new one looks worse
	// at 100% than the old one did before. Above one half the old version's traffic is too small to compare with. Default 0.5.
	MaxPartial float64
	// MinStep is the shortest stay at a share. Default 30 s.
	MinStep time.Duration
	// Slack is the part of the time until the deadline that the planned pace leaves free for repeated steps after a change of
	// the lease holder. Default 0.25. Zero: the plan ends at the deadline.
	Slack float64
	// Settle is how long a new lease holder waits before its first advance, so that stops reach it by gossip. Default 10 s.
	Settle time.Duration
	// Monitor is how long the old version is kept and outcomes are judged after the new version has all traffic. Default 30 min.
	Monitor time.Duration
	// Grace is how long after the deadline a process that does not hold the lease waits for the holder. Default 1 min.
	Grace time.Duration
	// RetryEvery is the time between attempts to write or read the record. Default 2 s.
	RetryEvery time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Window:           5 * time.Second,
		Lag:              5 * time.Second,
		Alpha:            0.01,
		Beta:             0.01,
		Judges:           24,
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
		Slack:            0.25,
		Settle:           10 * time.Second,
		Monitor:          30 * time.Minute,
		Grace:            time.Minute,
		RetryEvery:       2 * time.Second,
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
		{"Judges", c.Judges >= 1},
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
		{"Slack", c.Slack >= 0 && c.Slack < 1},
		{"Settle", c.Settle > 0},
		{"Monitor", c.Monitor > 0},
		{"Grace", c.Grace > 0},
		{"RetryEvery", c.RetryEvery > 0},
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
