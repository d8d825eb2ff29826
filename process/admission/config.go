package admission

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config tunes a Controller. What operators set by rules is in Limits.
type Config struct {
	// DefaultBound is the load bound, as a multiple of the mean, where Limits.Bound is zero. Default 1.25. Must be at least 1.
	DefaultBound float64
	// MeanError is the relative error of a fresh mean that the bound allows for: work is admitted up to the bound times the
	// mean divided by 1+MeanError. Default 0.05: with half of the hints lost, 99% of the estimates of 12 sidecars were at most
	// 3.7% too high. Zero takes the mean for exact.
	MeanError float64
	// FloorSlack is how far above the mean, as a share of it, the load of an upstream may be that still takes one more
	// request whatever its size. Default 0.05, the change of the mean below which entries send no new hint. At -1 only an
	// idle upstream takes a request beyond the bound; a service with equal requests then runs at most one per upstream
	// while the mean is below 1/(bound-1) requests.
	FloorSlack float64
	// MeanMaxAge is the age after which the mean is stale. Default 3 s. Zero is invalid.
	MeanMaxAge time.Duration
	// StaleBound replaces the bound while the mean is stale. Default 1: the last mean itself. Zero admits only one request
	// at a time on a stale mean.
	StaleBound float64
	// NoMeanShare is the share of the engine's capacity that may be used before any mean was seen. Default 0.25. Zero admits
	// only one request at a time until then.
	NoMeanShare float64
	// FillRate is the share of the engine's capacity, per second, by which the work that an upstream may take grows from its first request on,
	// whatever the mean. Default 0.08: an upstream at 70% of its capacity with answers of 10 s fills by 0.07 a second. A higher rate lets an
	// upstream that gets most of the work run further ahead of the others, a lower one refuses more. Zero admits one request at a time
	// until the mean counts.
	FillRate float64
	// FillFor is how long an upstream fills so. Default 10 s, the time of an answer, after which as much work ends as begins. Zero turns it off.
	FillFor time.Duration
	// FillSettle is how long a filling upstream ignores the mean. Default 1 s; 0.5 s and 2 s gave the same refusals in trials. Zero uses it at once.
	FillSettle time.Duration
	// FillGrowth is the growth of the mean within FillSettle below which the fleet does not fill, so that only the mean counts. Default 0.1, what
	// a load that grows evenly from nothing reaches after 11 s. Zero takes only a falling mean for steady.
	FillGrowth float64
	// DefaultCapacity is the capacity, in work units, of an engine that reports none. Default 65536. Zero admits only one
	// request at a time on such an engine.
	DefaultCapacity uint64
	// PriorityReserve is the last share of the capacity that only requests with a priority above zero may use. Default 0.1.
	// Zero reserves nothing.
	PriorityReserve float64

	// ContentionShare is the share of the capacity above which team shares are enforced: a team may then exceed its share by
	// the capacity that is still free. Default 0.7. Zero enforces them always; 1 never.
	ContentionShare float64
	// TeamActiveFor is how long a team counts as active after its last attempt. Default 2 s, longer than RetryAfter, so that a
	// refused team's share is kept until it tries again. Zero counts only teams with work in progress.
	TeamActiveFor time.Duration
	// TeamBurst is how long a team may stay below its rate limit to save up for a burst. Default 1 s; it must not exceed
	// TeamActiveFor, after which a team is forgotten. Zero allows one request at a time.
	TeamBurst time.Duration
	// MaxTeams bounds the teams that are told apart at one time; further ones share one share. Default 4096. Zero is invalid.
	MaxTeams int

	// FirstByteBase and FirstBytePerUnit give the longest normal time to the first byte: the base plus the time for each
	// work unit admitted at that time. Defaults 1.3 s and 100 µs. A base of zero is invalid; zero per unit ignores the load.
	FirstByteBase    time.Duration
	FirstBytePerUnit time.Duration
	// JumpFactor is the ratio to its usual value at which a time to first byte above normal counts as a jump. Default 4. Zero
	// turns the detection off.
	JumpFactor float64
	// JumpCount is the number of jumps in a row that make the engine cold. Default 3, so that single long prompts do not.
	// Zero is invalid.
	JumpCount int
	// FailureCount is the number of requests in a row that fail at the engine from which on it counts as cold, before a report
	// shows why. Default 3: an engine that restarts breaks all its requests at once, and single failures tell of the request.
	// Zero is invalid.
	FailureCount int
	// CacheLossShare is the share of the cached prefixes of the previous report below which the cache counts as lost. Default
	// 0.2. Zero turns the detection off.
	CacheLossShare float64
	// CacheMinPrefixes is the number of cached prefixes below which a loss is not detected. Default 16.
	CacheMinPrefixes int

	// RetryAfter is what a caller is told to wait after a refusal for load. Default 500 ms. Zero tells no time.
	RetryAfter time.Duration
	// UnavailableRetryAfter is the same after a refusal by drain, departure or missing configuration. Default 2 s.
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
		FillRate:              0.08,
		FillFor:               10 * time.Second,
		FillSettle:            time.Second,
		FillGrowth:            0.1,
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
	check(isShare(c.MeanError), "MeanError", c.MeanError)
	check(c.FloorSlack >= -1 && c.FloorSlack <= 1, "FloorSlack", c.FloorSlack)
	check(c.MeanMaxAge > 0, "MeanMaxAge", c.MeanMaxAge)
	check(c.StaleBound >= 0 && c.StaleBound <= c.DefaultBound, "StaleBound", c.StaleBound)
	check(isShare(c.NoMeanShare), "NoMeanShare", c.NoMeanShare)
	check(c.FillRate >= 0 && !math.IsInf(c.FillRate, 1), "FillRate", c.FillRate)
	check(c.FillFor >= 0, "FillFor", c.FillFor)
	check(c.FillSettle >= 0, "FillSettle", c.FillSettle)
	check(c.FillGrowth >= 0 && !math.IsInf(c.FillGrowth, 1), "FillGrowth", c.FillGrowth)
	check(isShare(c.PriorityReserve), "PriorityReserve", c.PriorityReserve)
	check(isShare(c.ContentionShare), "ContentionShare", c.ContentionShare)
	check(c.TeamActiveFor >= 0, "TeamActiveFor", c.TeamActiveFor)
	check(c.TeamBurst >= 0 && c.TeamBurst <= c.TeamActiveFor, "TeamBurst", c.TeamBurst)
	check(c.MaxTeams > 0, "MaxTeams", c.MaxTeams)
	check(c.FirstByteBase > 0, "FirstByteBase", c.FirstByteBase)
	check(c.FirstBytePerUnit >= 0, "FirstBytePerUnit", c.FirstBytePerUnit)
	check(c.JumpFactor == 0 || c.JumpFactor > 1 && !math.IsInf(c.JumpFactor, 1), "JumpFactor", c.JumpFactor)
	check(c.JumpCount > 0, "JumpCount", c.JumpCount)
	check(c.FailureCount > 0, "FailureCount", c.FailureCount)
	check(isShare(c.CacheLossShare), "CacheLossShare", c.CacheLossShare)
	check(c.CacheMinPrefixes >= 0, "CacheMinPrefixes", c.CacheMinPrefixes)
	check(c.RetryAfter >= 0, "RetryAfter", c.RetryAfter)
	check(c.UnavailableRetryAfter >= 0, "UnavailableRetryAfter", c.UnavailableRetryAfter)
	return errors.Join(errs...)
}

func isShare(x float64) bool { return x >= 0 && x <= 1 }
