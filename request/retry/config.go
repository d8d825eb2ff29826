package retry

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config tunes the retry policy and its budget.
type Config struct {
	// MaxAttempts bounds the attempts of one request, the first one included. Default 16: twice through a list of eight
	// candidates, so that a request whose candidates all refuse during a surge waits a few seconds before it fails. Zero is
	// invalid; 1 turns retries off.
	MaxAttempts int
	// MaxReruns bounds the attempts after one that may have run. Default 1: a request that crashes upstreams is rerun at most
	// once before its fingerprint is quarantined. Zero turns reruns and resumes off.
	MaxReruns int
	// MaxUnreachable bounds the attempts of one request whose upstream could not be reached. They do not count towards MaxAttempts then.
	// Default 0: they count like all others.
	MaxUnreachable int
	// MaxTeamRefusals is the number of refusals for a team's share or limit after which a request gives up. Default 3: a chat
	// that makes its team too large at one upstream may move to two others, while the refusals of a surging team, at
	// RefusalCost each, cost no more of the budget than its own requests add with BudgetShare. Zero and 1 never retry them.
	MaxTeamRefusals int
	// ImmediateRefusals is the number of refusals after which a request moves on to its next candidate without a backoff.
	// Default 4, so that overflow from a full first data centre reaches the next one at once. Zero backs off after each.
	ImmediateRefusals int
	// BaseBackoff is the upper limit of the first backoff; it doubles with each further one. Default 10 ms. Zero turns
	// backoffs off.
	BaseBackoff time.Duration
	// MaxBackoff limits the upper limit of every backoff. Default 1 s. Zero turns backoffs off.
	MaxBackoff time.Duration
	// MinTimeLeft is the least time to the deadline, after the backoff, for which another attempt is worth its cost. Default
	// 5 ms. Zero allows attempts until the deadline.
	MinTimeLeft time.Duration
	// LeaveDataCentreAfter is the number of attempts in a row in one data centre that found an upstream unreachable, drained
	// or leaving, after which the request passes over the data centre's other candidates. Default 2. Zero never does.
	LeaveDataCentreAfter int

	// BudgetShare is what each request adds to the budget, in retries. Default 0.2. Zero leaves only the minimum.
	BudgetShare float64
	// BudgetPerSecond is what each second adds to the budget, in retries, so that a process with few requests may retry too.
	// Default 10. Zero leaves only the share.
	BudgetPerSecond float64
	// BudgetBurst is the most that the budget holds, and what it holds at the start, in retries. Default 100. Zero allows no
	// retry.
	BudgetBurst float64
	// FailureCost is what a retry after work may have been done costs. Default 1. Zero is invalid.
	FailureCost float64
	// RefusalCost is what a retry after a "not run" refusal costs. A refusal costs the fleet one frame and no engine time, and
	// overflow to the next candidate is the normal way of a request near the load bound, so it costs less than a failure.
	// Default 0.1: when every upstream refuses, BudgetShare / RefusalCost = 2 further frames a request. Zero is invalid.
	RefusalCost float64
	// UnreachableCost is what a retry after an upstream that could not be reached costs. Default 0.1, as after a refusal: a connection to
	// a sidecar is shared by many requests. Zero is for callers whose failed attempts reach nobody.
	UnreachableCost float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MaxAttempts:          16,
		MaxReruns:            1,
		MaxTeamRefusals:      3,
		ImmediateRefusals:    4,
		BaseBackoff:          10 * time.Millisecond,
		MaxBackoff:           time.Second,
		MinTimeLeft:          5 * time.Millisecond,
		LeaveDataCentreAfter: 2,
		BudgetShare:          0.2,
		BudgetPerSecond:      10,
		BudgetBurst:          100,
		FailureCost:          1,
		RefusalCost:          0.1,
		UnreachableCost:      0.1,
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
	check(c.LeaveDataCentreAfter >= 0, "LeaveDataCentreAfter", c.LeaveDataCentreAfter)
	check(notNegative(c.BudgetShare), "BudgetShare", c.BudgetShare)
	check(notNegative(c.BudgetPerSecond), "BudgetPerSecond", c.BudgetPerSecond)
	check(notNegative(c.BudgetBurst), "BudgetBurst", c.BudgetBurst)
	check(notNegative(c.FailureCost) && c.FailureCost > 0, "FailureCost", c.FailureCost)
	check(notNegative(c.RefusalCost) && c.RefusalCost > 0, "RefusalCost", c.RefusalCost)
	check(notNegative(c.UnreachableCost), "UnreachableCost", c.UnreachableCost)
	return errors.Join(errs...)
}

// notNegative says whether x is a finite number of at least zero.
func notNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }
