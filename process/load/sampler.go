package load

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of the load reports of one sidecar. At the design scale an entry answers for 12.7 times the requests of a sidecar, and reports
// at the usual rate cost it about 220 B/s; with one in each answer it would be 2.4 KB/s. A load that changed by more than reportChange since
// the last report is reported at the higher rate, because the bound follows the mean: a fleet whose load grows fast would otherwise refuse
// work until the next usual report.
const (
	reportsPerSecond = 1.5
	reportBurst      = 2
	reportChange     = 0.25
	changesPerSecond = 6
	changeBurst      = 8
)

// Sampler chooses which answers of a sidecar carry its load report. It is not safe for concurrent use.
type Sampler struct {
	usual, changes *rate.Limiter
	last           float64
}

// NewSampler returns a Sampler with its whole burst.
func NewSampler() *Sampler {
	return &Sampler{usual: rate.NewLimiter(reportsPerSecond, reportBurst), changes: rate.NewLimiter(changesPerSecond, changeBurst)}
}

// Allow says whether an answer that is sent now carries a report of the given work.
func (s *Sampler) Allow(now time.Time, workUnits uint32) bool {
	work := float64(workUnits)
	changed := max(work-s.last, s.last-work) > reportChange*s.last
	if !s.usual.AllowN(now, 1) && !(changed && s.changes.AllowN(now, 1)) {
		return false
	}
	s.last = work
	return true
}
