package candidate

import (
	"errors"
	"fmt"
	"math"
)

// Config configures the length of candidate lists and the quantisation of data-centre weights.
type Config struct {
	// FirstDataCentreCandidates is the number of upstreams taken from the chat's preferred data centre, 1 to SlotDepth. Default 4. Zero
	// is invalid.
	FirstDataCentreCandidates int
	// OtherDataCentreCandidates is the number of upstreams taken from each further data centre, 0 to SlotDepth. Default 2. Zero keeps
	// every chat within its preferred data centre.
	OtherDataCentreCandidates int
	// WeightStep is the width of a data-centre weight level as a fraction of its lowest count. Default 0.1, so that quantisation
	// changes a large data centre's load by at most about 5%. Zero makes every level WeightMinStep wide.
	WeightStep float64
	// WeightMinStep is the minimum width of a level of three or more upstreams, in upstreams. Default 3, so that a change from
	// 4 upstreams to 3 or 5 does not change the weight. Zero is invalid; 1 disables quantisation for small data centres.
	WeightMinStep int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{FirstDataCentreCandidates: SlotDepth, OtherDataCentreCandidates: 2, WeightStep: 0.1, WeightMinStep: 3}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var errs []error
	if c.FirstDataCentreCandidates < 1 || c.FirstDataCentreCandidates > SlotDepth {
		errs = append(errs, fmt.Errorf("FirstDataCentreCandidates: %d is outside 1 to %d", c.FirstDataCentreCandidates, SlotDepth))
	}
	if c.OtherDataCentreCandidates < 0 || c.OtherDataCentreCandidates > SlotDepth {
		errs = append(errs, fmt.Errorf("OtherDataCentreCandidates: %d is outside 0 to %d", c.OtherDataCentreCandidates, SlotDepth))
	}
	if math.IsNaN(c.WeightStep) || c.WeightStep < 0 || c.WeightStep > 1 {
		errs = append(errs, fmt.Errorf("WeightStep: %g is outside 0 to 1", c.WeightStep))
	}
	if c.WeightMinStep < 1 {
		errs = append(errs, fmt.Errorf("WeightMinStep: %d is below 1", c.WeightMinStep))
	}
	return errors.Join(errs...)
}
