package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config configures a Controller. Limits holds the settings that operators change through rules.
type Config struct {
	// DefaultBound is the load bound, as a multiple of the mean, if Limits.Bound is zero. Default 1.25. Must be at least 1.
	DefaultBound float64
	// MeanError is the relative error of a fresh mean that the bound allows for: work is admitted up to the bound times the
	// mean divided by 1+MeanError. Default 0.05: with half of the hints lost, 99% of the estimates of 12 sidecars were at most
	// 3.7% too high. Zero treats the mean as exact.
	MeanError float64
	// FloorSlack is how far above the mean, as a fraction of it, the load of an upstream may be for it to admit one more
	// request regardless of size. Default 0.05, the change of the mean below which entries send no new hint. At -1 only an
	// idle upstream admits a request beyond the bound; a service with equal requests then runs at most one per upstream
	// while the mean is below 1/(bound-1) requests.
	FloorSlack float64
	// MeanMaxAge is the age after which the mean is stale. Default 3 s. Zero is invalid.
	MeanMaxAge time.Duration
	// StaleBound replaces the bound while the mean is stale. Default 1, which limits the load to the last known mean. Zero
	// admits only one request at a time on a stale mean.
	StaleBound float64
	// NoMeanShare is the fraction of the engine's capacity that may be used before the first mean is known. Default 0.25.
	// Zero admits only one request at a time until then.
	NoMeanShare float64
	// RampUpRate is the fraction of the engine's capacity by which the allowed work grows each second, starting with the first
	// request and regardless of the mean. Default 0.08: an upstream that reaches 70% of its capacity with responses of 10 s
	// fills at 0.07 per second. A higher rate allows a larger difference in load between an upstream that gets most of the work
	// and the others; a lower one refuses more. Zero admits one request at a time until the mean applies.
	RampUpRate float64
	// RampUpDuration is the duration of this start-up allowance. Default 10 s, the duration of a response, after which as much work
	// ends as begins. Zero disables it.
	RampUpDuration time.Duration
	// RampUpMeanDelay is how long an upstream in its ramp-up ignores the mean. Default 1 s; 0.5 s and 2 s cause the same number of refusals.
	// Zero uses the mean immediately.
	RampUpMeanDelay time.Duration
	// RampUpSteadyGrowth is the growth of the mean within RampUpMeanDelay below which the fleet's load is considered steady, so that only
	// the mean limits the load. Default 0.1, the growth of a load that has risen linearly from zero for 11 s. Zero treats only a
	// falling mean as steady.
	RampUpSteadyGrowth float64
	// DefaultCapacity is the capacity, in work units, of an engine that reports none. Default 65536. Zero admits only one
	// request at a time on such an engine.
	DefaultCapacity uint64
	// PriorityReserve is the fraction of the capacity that is reserved for requests with a priority above zero. Default 0.1.
	// Zero reserves nothing.
	PriorityReserve float64

	// ContentionShare is the fraction of the capacity above which team shares are enforced: a team may then exceed its share
	// by the capacity that is still free. Default 0.7. Zero enforces shares always; 1 never.
	ContentionShare float64
	// TeamActiveFor is how long a team is considered active after its last request. Default 2 s, longer than RetryAfter, so that a
	// refused team keeps its share until it retries. With zero only teams with work in progress are active.
	TeamActiveFor time.Duration
	// TeamBurst sets the burst size of a team's rate limit: the rate times TeamBurst, but at least one request. Default 1 s; it must not
	// exceed TeamActiveFor, after which a team's state is dropped. Zero allows bursts of one request.
	TeamBurst time.Duration
	// MaxTeams is the maximum number of active teams that are tracked separately; all others together have one share. Default
	// 4096. Zero is invalid.
	MaxTeams int

	// FirstByteBase and FirstBytePerUnit define the longest normal time to first byte: the base plus the time per work unit
	// that was admitted at that time. Defaults 1.3 s and 100 µs. A base of zero is invalid; zero per unit ignores the load.
	FirstByteBase    time.Duration
	FirstBytePerUnit time.Duration
	// JumpFactor is the multiple of the baseline above which a time to first byte that also exceeds the normal time is treated as a
	// latency jump. Default 4. Zero disables the detection.
	JumpFactor float64
	// JumpCount is the number of consecutive jumps after which the engine is considered cold. Default 3, so that single long
	// prompts do not trigger it. Zero is invalid.
	JumpCount int
	// FailureCount is the number of consecutive failed requests after which the engine is considered cold, even before a report
	// shows the cause. Default 3: an engine that restarts breaks all its requests together, while a single failure may be due to
	// the request. Zero is invalid.
	FailureCount int
	// CacheLossShare is the fraction of the previous report's cached prefixes below which the cache is considered lost. Default
	// 0.2. Zero disables the detection.
	CacheLossShare float64
	// CacheMinPrefixes is the number of cached prefixes below which a loss is not detected. Default 16.
	CacheMinPrefixes int

	// RetryAfter is the delay suggested to the caller after a refusal due to load. Default 500 ms. Zero suggests none.
	RetryAfter time.Duration
	// UnavailableRetryAfter is the suggested delay after a refusal because the upstream is drained, leaving or unconfigured.
	// Default 2 s.
	UnavailableRetryAfter time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		DefaultBound:          1.25,
		MeanError:             0.05,
		FloorSlack:            0.05,
		MeanMaxAge:            3 * time.Second,
		StaleBound:            1,
		NoMeanShare:           0.25,
		RampUpRate:            0.08,
		RampUpDuration:        10 * time.Second,
		RampUpMeanDelay:       time.Second,
		RampUpSteadyGrowth:    0.1,
		DefaultCapacity:       1 << 16,
		PriorityReserve:       0.1,
		ContentionShare:       0.7,
		TeamActiveFor:         2 * time.Second,
		TeamBurst:             time.Second,
		MaxTeams:              4096,
		FirstByteBase:         1300 * time.Millisecond,
		FirstBytePerUnit:      100 * time.Microsecond,
		JumpFactor:            4,
		JumpCount:             3,
		FailureCount:          3,
		CacheLossShare:        0.2,
		CacheMinPrefixes:      16,
		RetryAfter:            500 * time.Millisecond,
		UnavailableRetryAfter: 2 * time.Second,
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
	check(c.DefaultBound >= 1 && !math.IsInf(c.DefaultBound, 1), "DefaultBound", c.DefaultBound)
	check(isFraction(c.MeanError), "MeanError", c.MeanError)
	check(c.FloorSlack >= -1 && c.FloorSlack <= 1, "FloorSlack", c.FloorSlack)
	check(c.MeanMaxAge > 0, "MeanMaxAge", c.MeanMaxAge)
	check(c.StaleBound >= 0 && c.StaleBound <= c.DefaultBound, "StaleBound", c.StaleBound)
	check(isFraction(c.NoMeanShare), "NoMeanShare", c.NoMeanShare)
	check(c.RampUpRate >= 0 && !math.IsInf(c.RampUpRate, 1), "RampUpRate", c.RampUpRate)
	check(c.RampUpDuration >= 0, "RampUpDuration", c.RampUpDuration)
	check(c.RampUpMeanDelay >= 0, "RampUpMeanDelay", c.RampUpMeanDelay)
	check(c.RampUpSteadyGrowth >= 0 && !math.IsInf(c.RampUpSteadyGrowth, 1), "RampUpSteadyGrowth", c.RampUpSteadyGrowth)
	check(isFraction(c.PriorityReserve), "PriorityReserve", c.PriorityReserve)
	check(isFraction(c.ContentionShare), "ContentionShare", c.ContentionShare)
	check(c.TeamActiveFor >= 0, "TeamActiveFor", c.TeamActiveFor)
	check(c.TeamBurst >= 0 && c.TeamBurst <= c.TeamActiveFor, "TeamBurst", c.TeamBurst)
	check(c.MaxTeams > 0, "MaxTeams", c.MaxTeams)
	check(c.FirstByteBase > 0, "FirstByteBase", c.FirstByteBase)
	check(c.FirstBytePerUnit >= 0, "FirstBytePerUnit", c.FirstBytePerUnit)
	check(c.JumpFactor == 0 || c.JumpFactor > 1 && !math.IsInf(c.JumpFactor, 1), "JumpFactor", c.JumpFactor)
	check(c.JumpCount > 0, "JumpCount", c.JumpCount)
	check(c.FailureCount > 0, "FailureCount", c.FailureCount)
	check(isFraction(c.CacheLossShare), "CacheLossShare", c.CacheLossShare)
	check(c.CacheMinPrefixes >= 0, "CacheMinPrefixes", c.CacheMinPrefixes)
	check(c.RetryAfter >= 0, "RetryAfter", c.RetryAfter)
	check(c.UnavailableRetryAfter >= 0, "UnavailableRetryAfter", c.UnavailableRetryAfter)
	return errors.Join(errs...)
}

func isFraction(x float64) bool { return x >= 0 && x <= 1 }
