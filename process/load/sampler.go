package load

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of the load reports of one sidecar. At the design scale an entry handles 12.7 times the requests of a sidecar, and reports
// at the minimum rate cost it about 220 B/s; a report in each response would cost 2.4 KB/s. A load that changed by more than
// changeThreshold (relative) since the last report has an additional budget, because the bound follows the mean: a fleet whose
// load grows fast would otherwise refuse work until the next regular report.
const (
	minReportsPerSecond    = 1.5
	reportBurst            = 2
	changeThreshold        = 0.25
	changeReportsPerSecond = 6
	changeReportBurst      = 8

	// maxReportsPerSecond is the regular rate of a sidecar with up to fullRateEntries entries. The rate falls with the square of
	// the number of entries, since a fleet with more entries also has more sidecars, and reaches minReportsPerSecond, the rate at
	// the design scale, at 17 entries.
	maxReportsPerSecond = 12
	fullRateEntries     = 6
)

// Sampler selects the responses of a sidecar that include its load report. It is not safe for concurrent use.
type Sampler struct {
	regular, changes *rate.Limiter
	lastWork         float64
}

// NewSampler returns a Sampler whose bursts are fully available.
func NewSampler() *Sampler {
	return &Sampler{regular: rate.NewLimiter(minReportsPerSecond, reportBurst), changes: rate.NewLimiter(changeReportsPerSecond, changeReportBurst)}
}

// SetEntries adapts the regular rate to the number of connected entries. All of them share the reports of a sidecar, and the mean
// of few runners changes faster: 9 runners exceeded the bound at the rate of the design scale.
func (s *Sampler) SetEntries(now time.Time, n int) {
	ratio := fullRateEntries / float64(max(fullRateEntries, n))
	s.regular.SetLimitAt(now, rate.Limit(max(minReportsPerSecond, maxReportsPerSecond*ratio*ratio)))
}

// Allow reports whether a response that is sent now should include a report of the given work.
func (s *Sampler) Allow(now time.Time, workUnits uint32) bool {
	work := float64(workUnits)
	changed := max(work-s.lastWork, s.lastWork-work) > changeThreshold*s.lastWork
	if !s.regular.AllowN(now, 1) && !(changed && s.changes.AllowN(now, 1)) {
		return false
	}
	s.lastWork = work
	return true
}
