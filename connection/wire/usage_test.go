package wire

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Counts are sent several times a second with the few teams that changed, and once a window with all of them. They must stay small.
func TestUsageCounts_Size(t *testing.T) {
	size := func(teams int) int {
		m := &UsageCounts{
			Gateway: "instance-gateway-17", Origin: "3w5e11264sgsf", Window: 359310031, Sequence: 25, Final: true, Counts: make(map[string]uint64),
			Recorded: 359310030,
		}
		for i := range teams {
			m.Counts[fmt.Sprint("front-desk-", i)] = 87
		}
		frame, err := Encode(ControlStream, m)
		must.NoError(t, err)
		return len(frame)
	}
	t.Logf("%d bytes with 3 teams, %d with 24", size(3), size(24))
	must.LessEq(t, 150, size(3))
	must.LessEq(t, 500, size(24))
}
