package load

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config configures the load table of an entry.
type Config struct {
	// ReportMaxAge is the age after which an upstream's report is ignored. Default 10 s: at the design scale an entry
	// receives a report from each upstream of its data centre about every 2 s. Zero is invalid.
	ReportMaxAge time.Duration
	// ReportDecay is the time constant by which the weight of a report decays: at this age it weighs 1/e of a new one. Default
	// zero, which gives all reports the same weight. A decay favours upstreams that report often, which are those with high
	// load: with 435 upstreams, 34 entries and Zipf-distributed chats the mean is 4.5% too high at 2 s and 1.5% at 10 s,
	// against 0.3% without decay. On the other hand a decay follows growing load faster: with 435 upstreams and 30 entries the
	// mean is then 1.7% too low at 2 s, against 4.8% without.
	ReportDecay time.Duration
	// SummaryMaxAge is the age after which another data centre's summary is ignored, including its age when it was sent.
	// Default 10 s. Zero is invalid.
	SummaryMaxAge time.Duration
	// HintChange is the relative change of the mean since the last hint to an upstream above which a new hint is due. Default
	// 0.05. Zero makes a hint due at each change.
	HintChange float64
	// HintMaxAge is the age of the last hint to an upstream from which a new hint is due. Default 1 s, a third of the age at
	// which a sidecar treats its mean as stale. Zero makes a hint due on each Open.
	HintMaxAge time.Duration
	// HintBytes is the size of one hint in an Open frame. Default 5: a msgpack key of 2 bytes and a number of 3 bytes, the size
	// of means below 65,536 tokens. Zero is invalid.
	HintBytes int
	// HintBytesPerSecond limits the rate of hint bytes that the entry sends. Default 160, 8% of the control budget of 2 KB/s: at
	// the design scale a sidecar receives 2.5 hints per second. Zero sends no hints.
	HintBytesPerSecond float64
	// HintBurstBytes is the burst size of HintBytesPerSecond. Default 512. Zero sends no hints.
	HintBurstBytes int
	// ChangeBytesPerSecond limits the rate of additional hints to upstreams whose last hint differs from the mean by more than
	// HintChange. Default 48. They cost nothing while the load is steady. While it grows, an upstream with an outdated mean
	// refuses work within the bound, and chats lose their cached prompts. Zero sends only the first burst.
	ChangeBytesPerSecond float64
	// ChangeBurstBytes is the burst size of ChangeBytesPerSecond, which accumulates while the load is steady. Default 2,048,
	// which together with the rate gives 82 B/s over the minute in which the load grows. Zero sends none of these hints.
	ChangeBurstBytes int
}

// DefaultConfig returns the default configuration of a Table.
func DefaultConfig() Config {
	return Config{
		ReportMaxAge:         10 * time.Second,
		SummaryMaxAge:        10 * time.Second,
		HintChange:           0.05,
		HintMaxAge:           time.Second,
		HintBytes:            5,
		HintBytesPerSecond:   160,
		HintBurstBytes:       512,
		ChangeBytesPerSecond: 48,
		ChangeBurstBytes:     2048,
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
	check(c.ReportMaxAge > 0, "ReportMaxAge", c.ReportMaxAge)
	check(c.ReportDecay >= 0, "ReportDecay", c.ReportDecay)
	check(c.SummaryMaxAge > 0, "SummaryMaxAge", c.SummaryMaxAge)
	check(c.HintChange >= 0 && !math.IsInf(c.HintChange, 1), "HintChange", c.HintChange)
	check(c.HintMaxAge >= 0, "HintMaxAge", c.HintMaxAge)
	check(c.HintBytes > 0, "HintBytes", c.HintBytes)
	check(c.HintBytesPerSecond >= 0 && !math.IsInf(c.HintBytesPerSecond, 1), "HintBytesPerSecond", c.HintBytesPerSecond)
	check(c.HintBurstBytes >= 0, "HintBurstBytes", c.HintBurstBytes)
	check(c.ChangeBytesPerSecond >= 0 && !math.IsInf(c.ChangeBytesPerSecond, 1), "ChangeBytesPerSecond", c.ChangeBytesPerSecond)
	check(c.ChangeBurstBytes >= 0, "ChangeBurstBytes", c.ChangeBurstBytes)
	return errors.Join(errs...)
}

// EstimatorConfig configures the mean-load estimate of a sidecar.
type EstimatorConfig struct {
	// Window is the age up to which hints are preferred. Default 2 s, in which about five hints arrive at the design scale; with
	// 1 s the median of only two hints refuses more work than the bound requires. Zero uses every hint up to MaxAge.
	Window time.Duration
	// MaxAge is the age after which a hint is dropped. Default 3 s, the age at which a mean is stale. Zero is invalid.
	MaxAge time.Duration
	// MinHints is the number of senders with a hint within Window below which older hints are used too. Default 3, so that one
	// sender with an incorrect hint cannot determine the estimate. Zero and 1 use older hints only if there is none within Window.
	MinHints int
	// MaxSenders is the maximum number of senders whose latest hint is kept; a new sender replaces the one with the oldest hint.
	// Default 9: four senders with incorrect hints cannot determine the estimate, and it follows a surge after five hints. Zero is
	// invalid.
	MaxSenders int
}

// DefaultEstimatorConfig returns the default configuration of a MeanEstimator.
func DefaultEstimatorConfig() EstimatorConfig {
	return EstimatorConfig{Window: 2 * time.Second, MaxAge: 3 * time.Second, MinHints: 3, MaxSenders: 9}
}

// Validate returns an error that names every invalid field.
func (c EstimatorConfig) Validate() error {
	var errs []error
	check := func(ok bool, field string, value any) {
		if !ok {
			errs = append(errs, fmt.Errorf("%s: %v is out of range", field, value))
		}
	}
	check(c.Window >= 0, "Window", c.Window)
	check(c.MaxAge > 0 && c.MaxAge >= c.Window, "MaxAge", c.MaxAge)
	check(c.MinHints >= 0, "MinHints", c.MinHints)
	check(c.MaxSenders >= 1 && c.MaxSenders <= maxSenders, "MaxSenders", c.MaxSenders)
	return errors.Join(errs...)
}

// maxSenders is the upper limit of EstimatorConfig.MaxSenders, since each hint causes a search through all senders.
const maxSenders = 1024
