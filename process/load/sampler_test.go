package load

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Reports of a steady load must not exceed their part of the control budget, and fast changes of the load must be reported before the
// next regular report.
func TestSampler(t *testing.T) {
	s := NewSampler()
	reports, now := 0, start
	minute := func(entries int) int {
		s.SetEntries(now, entries)
		reports = 0
		for ms := range 60_000 {
			now = now.Add(time.Millisecond)
			if s.Allow(now, 30_000+uint32(ms%5000)) {
				reports++
			}
		}
		return reports
	}
	for _, entries := range []int{790, 17} {
		must.Between(t, 60, minute(entries), 60*minReportsPerSecond+reportBurst+1)
	}
	// In a fleet of few runners the report rate must be high, so that the mean is not too old, but limited.
	for _, entries := range []int{0, 1, 6} {
		must.Between(t, 11*60, minute(entries), 60*maxReportsPerSecond+reportBurst+1)
	}
	minute(790)
	must.False(t, s.Allow(now, 31_000))
	for _, work := range []uint32{45_000, 60_000, 20_000, 0, 1} {
		must.True(t, s.Allow(now, work))
		must.False(t, s.Allow(now, work))
	}
	allowed := 0
	for i := range uint32(100) {
		if s.Allow(now, i%2*30_000) {
			allowed++
		}
	}
	must.LessEq(t, changeReportBurst, allowed)
}
