// Package rollout shifts the traffic of a service from one version of its upstreams to another and takes the shift back when
// the new version is worse.
//
// Entries count outcomes with a Recorder, an Aggregator per data centre sums the counts of its entries, and the leader sums
// those of the data centres. A Test compares the versions over the same data centre, route and time window. A Machine turns its
// verdicts, the lease, the persisted record and stops from peers into the current share. Nothing in the package reads a clock,
// performs I/O or locks: one goroutine owns each value.
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
	// By is when the new version must have all traffic.
	By time.Time
	// Cap is the largest share of the new version, above 0 and below 1, until it has been judged for the first time.
	Cap float64
	// Guards are routes that are judged on their own. The share rises only after each of them has enough evidence.
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
		{"By", !s.By.IsZero()},
		{"Cap", s.Cap > 0 && s.Cap < 1},
	}
	for _, check := range checks {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("shift: %s is invalid", check.field))
		}
	}
	return nil
}

// Steps returns the shares that a shift goes through, ascending: the cap first, 1 last.
func (c Config) Steps(limit float64) []float64 {
	var steps []float64
	for share := limit; share <= c.MaxPartial && len(steps) < maxPlanned; share *= c.Growth {
		steps = append(steps, share)
	}
	if len(steps) == 0 && limit < 1 {
		steps = append(steps, limit)
	}
	return append(steps, 1)
}

// shareAt returns the share of a step. The steps after the planned ones alternate between a comparison at MaxPartial and 1.
func (c Config) shareAt(steps []float64, step uint8) float64 {
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
