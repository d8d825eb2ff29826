package load

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Config tunes the load table of an entry.
type Config struct {
	// ReportMaxAge is the age after which an upstream's report no longer counts. Default 10 s: at the design scale an entry
	// hears from each upstream of its data centre about every 2 s. Zero is invalid.
	ReportMaxAge time.Duration
	// ReportDecay is the age at which a report counts 1/e of a new one. Default zero, which lets all count alike. With a decay,
	// upstreams that are heard of often count more, and those are the ones with much load: with 435 upstreams, 34 entries and
	// Zipf chats the mean was 4.5% too high at 2 s and 1.5% at 10 s, against 0.3% without. A decay follows growing load faster:
	// in a trial with 435 upstreams and 30 entries the mean was then 1.7% too low at 2 s, against 4.8% without.
	ReportDecay time.Duration
	// SummaryMaxAge is the age after which another data centre's summary no longer counts, its age at sending included.
	// Default 10 s. Zero is invalid.
	SummaryMaxAge time.Duration
	// HintChange is the relative change of the mean since the last hint to an upstream that makes a new one due. Default
	// 0.05. Zero makes a hint due at each change.
	HintChange float64
	// HintMaxAge is the age of the last hint to an upstream that makes a new one due. Default 1 s, a third of the time after
	// which a sidecar takes its mean for stale. Zero makes a hint due on each Open.
	HintMaxAge time.Duration
	// HintBytes is the size of one hint in an Open frame. Default 5: the msgpack key of 2 bytes and a number of 3, as means below
	// 65,536 tokens take. Zero is invalid.
	HintBytes int
	// HintBytesPerSecond bounds the bytes of hints that the entry sends. Default 160, 8% of the control budget of 2 KB/s: at the
	// design scale a sidecar gets 2.5 hints a second. Zero sends no hints.
	HintBytesPerSecond float64
	// HintBurstBytes is how many bytes of hints may be sent at once. Default 512. Zero sends no hints.
	HintBurstBytes int
	// ChangeBytesPerSecond bounds the bytes of further hints to upstreams that know a mean which has changed by more than HintChange.
	// Default 48. They cost nothing while the load is steady; while it grows, an upstream that knows an old mean refuses work
	// within the bound, and chats lose their caches. Zero sends only the first burst.
	ChangeBytesPerSecond float64
	// ChangeBurstBytes is how many bytes of such hints may be sent at once, which is saved up while the load is steady. Default
	// 2,048, with the rate 82 B/s of the minute in which the load grows. Zero sends none of them.
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

// EstimatorConfig tunes the mean-load estimate of a sidecar.
type EstimatorConfig struct {
	// Window is the age up to which hints are preferred. Default 2 s, in which about five hints come at the design scale; with 1 s
	// the median of two refused more work than the bound requires. Zero uses every hint up to MaxAge.
	Window time.Duration
	// MaxAge is the age after which a hint is dropped. Default 3 s, the age at which a mean is stale. Zero is invalid.
	MaxAge time.Duration
	// MinHints is the number of senders with a hint within Window below which older hints count too. Default 3, so that one
	// wrong sender does not decide. Zero and 1 use older hints only if there is none within Window.
	MinHints int
	// MaxSenders bounds the senders whose latest hint is kept; a new sender replaces the one with the oldest hint. Default 9:
	// four wrong senders do not decide, and the estimate follows a surge after five hints. Zero is invalid.
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

// maxSenders bounds EstimatorConfig.MaxSenders, since each hint searches all senders.
const maxSenders = 1024
