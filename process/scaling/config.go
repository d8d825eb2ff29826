// Package scaling decides how many upstreams of a service each data centre should have. It does no I/O, starts no goroutine and does not read the
// clock.
//
// The load that it addresses:
//
//   - Demand rises and falls in the course of a day. A new upstream serves only after its boot time, so the decision runs ahead of demand by what
//     demand grew within a boot time. Upstreams are billed by the second, so those that are no longer needed are given up, slowly and by steps.
//   - Requests come in clumps, as waves with a period of some 13 s and a swing of half the mean. An upstream that is given up in a trough is missing
//     at the next crest, so the highest demand of Config.Window counts, which is longer than a period.
//   - A data centre is lost or evacuated, and the others take its share at once. What is ordered there is left as it is, since the data centre
//     returns.
//   - Upstreams boot late or never, and orders are lost or executed late, after newer ones. What is registered is compared with the order all the
//     time.
//
// The demand of a service is that of all its data centres together, since its requests run in any of them: the number of upstreams follows from the
// sum, and is spread evenly. A data centre in which all slots stay in use although others have free ones gets more on its own account: some requests
// may run in one region only.
package scaling

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Config holds the parameters of the decision. No field may be zero.
type Config struct {
	// TargetUse is the fraction of the slots that are in use at the highest demand of Window. The rest serves part of what a lost data centre leaves
	// until the others have more upstreams, and demand that is known late. Default 0.75; docs/design/scaling.md compares it with other values.
	TargetUse float64
	// DownUse is the fraction of the slots that may be in use at the highest demand of Window after upstreams were given up. It is below TargetUse, or
	// a demand that varies a little would have an upstream given up and ordered again in turn. Default 0.65.
	DownUse float64
	// Window is the time over which the highest demand counts, and that a new holder waits before it gives upstreams up. It is longer than the period
	// of the waves, 13 s, by a quarter. Twice the boot time is used if that is longer: what has been given up is away for that time. Default 16 s.
	Window time.Duration
	// Smoothing is the time over which demand is averaged, so that a single moment does not order upstreams. Default 1 s.
	Smoothing time.Duration
	// SustainTime is how long all slots of a data centre must be in use until it gets upstreams on its own account. Default 2 s, several messages
	// between gateways and most short requests.
	SustainTime time.Duration
	// MinUpInterval is the minimum time between increases unless more requests are in progress and waiting than there are slots. Default 1 s, so
	// that a rise costs a call a second at most.
	MinUpInterval time.Duration
	// MinDownInterval is the minimum time from any change to a decrease. Default 4 s: the effect of a decrease on the use of the others shows after
	// their longer requests, which take some seconds.
	MinDownInterval time.Duration
	// LeastChange is the smallest change, as a fraction of the service's upstreams; at least one upstream. A smaller one is made only if callers need
	// it. Default 0.05.
	LeastChange float64
	// MaxDecrease is the largest decrease in one step, as a fraction of the service's upstreams; at least one upstream. A decrease empties caches, so
	// the rest is given up only if the use of the remaining ones permits it. Default 0.2.
	MaxDecrease float64
	// FollowMargin is the time beyond the boot time within which what is registered must follow an order. It covers the time until an order is executed
	// and until registrations, which are written every 1.2 s, have been read. Default 3 s.
	FollowMargin time.Duration
	// FallTime is how long what is registered must differ from an order that it followed before until the order is repeated. It is shorter than the
	// boot time because an older order that is executed late ends upstreams at once. Default 2 s, longer than an upstream needs to register again.
	FallTime time.Duration
	// UnknownRetry is the time after which an order is repeated whose call had an unknown outcome. Default 1 s.
	UnknownRetry time.Duration
}

// DefaultConfig returns the default values that the fields of Config document.
func DefaultConfig() Config {
	return Config{
		TargetUse: 0.75, DownUse: 0.65, Window: 16 * time.Second, Smoothing: time.Second, SustainTime: 2 * time.Second,
		MinUpInterval: time.Second, MinDownInterval: 4 * time.Second, LeastChange: 0.05, MaxDecrease: 0.2,
		FollowMargin: 3 * time.Second, FallTime: 2 * time.Second, UnknownRetry: time.Second,
	}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	for _, check := range []struct {
		field string
		ok    bool
	}{
		{"TargetUse", c.TargetUse > 0 && c.TargetUse <= 1},
		{"DownUse", c.DownUse > 0 && c.DownUse <= c.TargetUse},
		{"Window", c.Window > 0},
		{"Smoothing", c.Smoothing > 0 && c.Smoothing <= c.Window},
		{"SustainTime", c.SustainTime > 0 && c.SustainTime <= c.Window},
		{"MinUpInterval", c.MinUpInterval > 0},
		{"MinDownInterval", c.MinDownInterval > 0},
		{"LeastChange", c.LeastChange > 0 && c.LeastChange < 1},
		{"MaxDecrease", c.MaxDecrease > 0 && c.MaxDecrease < 1},
		{"FollowMargin", c.FollowMargin > 0},
		{"FallTime", c.FallTime > 0},
		{"UnknownRetry", c.UnknownRetry > 0},
	} {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("scaling config: %s is out of range", check.field))
		}
	}
	return nil
}
