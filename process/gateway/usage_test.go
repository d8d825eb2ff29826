package gateway

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
)

func encodeJSON(t *testing.T, v any) []byte {
	data, err := json.Marshal(v)
	must.NoError(t, err)
	return data
}

// Without failures every window must be reported in time, and the counts must be those of the upstream. Guards against requests that are counted
// twice, not at all, or in another window than that in which they began to run.
func TestUsage_Reported(t *testing.T) {
	f := newDutyFleet(t, "one", "two", "three")
	stop := f.sendSteadily(f.members["one"], f.members["two"], f.members["three"])
	f.awaitReporter("")
	from := presentWindow() + 1
	f.eventually("windows", func() bool { return presentWindow() > from+6 })
	stop()
	inTime, exact := f.checkWindows(from, from+5)
	must.EqOp(t, 6, inTime)
	must.GreaterEq(t, 4, exact)
	reported, truth := f.totals(from, from+5)
	must.InDelta(t, float64(truth), float64(reported), 4) // at the ends of the six windows
	must.Greater(t, 500, truth)
}
