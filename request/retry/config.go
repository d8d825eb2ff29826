package retry

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config configures the retry policy and its budget.
type Config struct {
	// MaxAttempts limits the attempts of one request, including the first one. Default 16: two passes over a list of eight
	// candidates, so that a request whose candidates all refuse during a traffic surge waits a few seconds before it fails. Zero
	// is invalid; 1 disables retries.
	MaxAttempts int
	// MaxReruns limits the attempts after one that may have run. Default 1: a request that crashes upstreams is rerun at most
	// once before its fingerprint is quarantined. Zero disables reruns and resumes.
	MaxReruns int
	// MaxUnreachable limits the attempts of one request whose upstream could not be reached. If it is set, they do not count towards
	// MaxAttempts. Default 0: they count like all other attempts.
	MaxUnreachable int
	// MaxTeamRefusals is the number of refusals because of a team's share or limit after which a request gives up. Default 3: a
	// chat that takes its team over the share of one upstream may move to two others, while the refusals of a team with a traffic
	// surge, at RefusalCost each, use no more of the budget than its own requests add through BudgetRatio. Zero and 1 disable
	// these retries.
	MaxTeamRefusals int
	// ImmediateRefusals is the number of refusals after which a request moves on to its next candidate without a backoff.
	// Default 4, so that a request that a full first data centre refused reaches the next one immediately. With zero, every
	// refusal is followed by a backoff.
	ImmediateRefusals int
	// BaseBackoff is the upper limit of the first backoff; it doubles with each further one. Default 10 ms. Zero disables
	// backoffs.
	BaseBackoff time.Duration
	// MaxBackoff is the maximum of the upper limit. Default 1 s. Zero disables backoffs.
	MaxBackoff time.Duration
	// MinTimeLeft is the minimum time that must remain until the deadline, after the backoff, for another attempt. Default 5 ms.
	// Zero allows attempts until the deadline.
	MinTimeLeft time.Duration
	// SkipDataCentreAfter is the number of consecutive attempts in one data centre that found the upstream unreachable, drained or
	// leaving, after which the request skips the other candidates of that data centre. Default 2. Zero disables skipping.
	SkipDataCentreAfter int

	// BudgetRatio is the number of retries that each request adds to the budget. Default 0.2. With zero, only BudgetPerSecond adds
	// to it.
	BudgetRatio float64
	// BudgetPerSecond is the number of retries that each second adds to the budget, so that a process with few requests can retry
	// too. Default 10. With zero, only BudgetRatio adds to it.
	BudgetPerSecond float64
	// BudgetBurst is the capacity and the initial content of the budget, in retries. Default 100. Zero disables retries.
	BudgetBurst float64
	// FailureCost is the cost of a retry after an attempt that may have run. Default 1. Zero is invalid.
	FailureCost float64
	// RefusalCost is the cost of a retry after a "not run" refusal. It is lower than FailureCost, since a refusal takes one frame
	// and no engine time, and a retry on the next candidate is normal when an upstream is near its load bound. Default 0.1: when
	// every upstream refuses, each request causes BudgetRatio / RefusalCost = 2 further frames. Zero is invalid.
	RefusalCost float64
	// UnreachableCost is the cost of a retry after an upstream that could not be reached. Default 0.1, as after a refusal, since many
	// requests share a connection to a sidecar. Zero suits callers whose failed attempts put no load on any upstream.
	UnreachableCost float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:         16,
		MaxReruns:           1,
		MaxTeamRefusals:     3,
		ImmediateRefusals:   4,
		BaseBackoff:         10 * time.Millisecond,
		MaxBackoff:          time.Second,
		MinTimeLeft:         5 * time.Millisecond,
		SkipDataCentreAfter: 2,
		BudgetRatio:         0.2,
		BudgetPerSecond:     10,
		BudgetBurst:         100,
		FailureCost:         1,
		RefusalCost:         0.1,
		UnreachableCost:     0.1,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var errs []error
	check := func(ok bool, field string, value any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %v is out of range", field, value))
		}
	}
	check(c.MaxAttempts >= 1 && c.MaxAttempts <= math.MaxUint8, "MaxAttempts", c.MaxAttempts)
	check(c.MaxReruns >= 0, "MaxReruns", c.MaxReruns)
	check(c.MaxUnreachable >= 0, "MaxUnreachable", c.MaxUnreachable)
	check(c.MaxTeamRefusals >= 0, "MaxTeamRefusals", c.MaxTeamRefusals)
	check(c.ImmediateRefusals >= 0, "ImmediateRefusals", c.ImmediateRefusals)
	check(c.BaseBackoff >= 0, "BaseBackoff", c.BaseBackoff)
	check(c.MaxBackoff >= 0, "MaxBackoff", c.MaxBackoff)
	check(c.MinTimeLeft >= 0, "MinTimeLeft", c.MinTimeLeft)
	check(c.SkipDataCentreAfter >= 0, "SkipDataCentreAfter", c.SkipDataCentreAfter)
	check(notNegative(c.BudgetRatio), "BudgetRatio", c.BudgetRatio)
	check(notNegative(c.BudgetPerSecond), "BudgetPerSecond", c.BudgetPerSecond)
	check(notNegative(c.BudgetBurst), "BudgetBurst", c.BudgetBurst)
	check(notNegative(c.FailureCost) && c.FailureCost > 0, "FailureCost", c.FailureCost)
	check(notNegative(c.RefusalCost) && c.RefusalCost > 0, "RefusalCost", c.RefusalCost)
	check(notNegative(c.UnreachableCost), "UnreachableCost", c.UnreachableCost)
	return errors.Join(errs...)
}

// notNegative reports whether x is finite and at least zero.
func notNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
