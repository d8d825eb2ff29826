// Package rollout shifts the traffic of a service gradually from one version of its upstreams to another, and rolls the shift
// back if the new version is worse.
//
// Entries count outcomes with a Recorder, an Aggregator per data centre sums the counts of its entries, and the leader sums those
// of the data centres. A SequentialTest compares the versions within the same data centre, route and time window. A Machine
// computes the current share from the test's verdicts, the lease, the persisted record and rollback decisions of peers. Nothing
// in the package reads a clock, performs I/O or locks: each value is owned by one goroutine.
package rollout

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Shift is one accepted shift rule.
type Shift struct {
	// ID identifies the rule; a changed rule has another ID.
	ID      string
	Service string
	// From and To are the old and the new version.
	From string
	To   string
	// Deadline is the deadline for the new version to have all traffic.
	Deadline time.Time
	// MaxCanaryShare is the largest share of the new version during the canary step, above 0 and below 1.
	MaxCanaryShare float64
	// Guards are routes that are tested on their own. The share rises only after each of them has enough evidence.
	Guards []string
}

// Validate returns an error that names the first invalid field.
func (s Shift) Validate() error {
	checks := []struct {
		field string
		ok    bool
	}{
		{"ID", s.ID != ""},
		{"Service", s.Service != ""},
		{"From", s.From != ""},
		{"To", s.To != "" && s.To != s.From},
		{"Deadline", !s.Deadline.IsZero()},
		{"MaxCanaryShare", s.MaxCanaryShare > 0 && s.MaxCanaryShare < 1},
	}
	for _, check := range checks {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("shift: %s is invalid", check.field))
		}
	}
	return nil
}

// Steps returns the shares of the planned steps in ascending order, from maxCanaryShare to 1.
func (c Config) Steps(maxCanaryShare float64) []float64 {
	var steps []float64
	for share := maxCanaryShare; share <= c.MaxPartial && len(steps) < maxPlannedSteps; share *= c.Growth {
		steps = append(steps, share)
	}
	if len(steps) == 0 && maxCanaryShare < 1 {
		steps = append(steps, maxCanaryShare)
	}
	return append(steps, 1)
}

// shareAtStep returns the share of a step. Steps beyond the planned ones alternate between a comparison at MaxPartial and 1.
func (c Config) shareAtStep(steps []float64, step uint8) float64 {
	beyond := int(step) - len(steps)
	switch {
	case beyond < 0:
		return steps[step]
	case beyond%2 == 0:
		return c.MaxPartial
	default:
		return 1
	}
}
