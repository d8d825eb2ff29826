package settings

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A number of milliseconds beyond the range of durations must not become an arbitrary one, which depends on the processor.
func TestFractionalMilliseconds_OutOfRange(t *testing.T) {
	must.EqOp(t, 1500*time.Microsecond, FractionalMilliseconds(1.5))
	for _, ms := range []float64{1e308, 1e16, math.Inf(1)} {
		must.EqOp(t, time.Duration(math.MaxInt64), FractionalMilliseconds(ms))
		must.EqOp(t, time.Duration(math.MinInt64), FractionalMilliseconds(-ms))
	}
}
