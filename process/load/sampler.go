package load

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of the load reports of one sidecar. At the design scale an entry answers for 12.7 times the requests of a sidecar, and reports
// at this rate cost it 210 B/s; with one in each answer it would be 2.4 KB/s.
const (
	reportsPerSecond = 1.5
	reportBurst      = 8
)

// Sampler chooses which answers of a sidecar carry its load report. It is safe for concurrent use.
type Sampler struct{ limiter *rate.Limiter }

// NewSampler returns a Sampler with its whole burst.
func NewSampler() *Sampler { return &Sampler{rate.NewLimiter(reportsPerSecond, reportBurst)} }

// Allow says whether an answer that is sent now carries a report.
func (s *Sampler) Allow(now time.Time) bool { return s.limiter.AllowN(now, 1) }
