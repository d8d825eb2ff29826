package load

import (
	"container/list"
	"math"
	"time"
)

// rebaseAfter is the number of decay times after which the scales of a site are computed anew, before they grow out of the
// range in which the sums are exact enough.
const rebaseAfter = 20

// site sums the reports of one group in one data centre. A report counts less the older it is. Since all parts decay alike,
// the sums hold them relative to a base time, and time passing changes nothing.
type site struct {
	// records holds *record, the oldest report first.
	records *list.List
	// upstreams is the number of reports that count, scales the sum of their scales, and scaled the sum of their work times
	// their scale.
	upstreams      uint32
	scales, scaled float64
	base           time.Time
}

func newSite() *site { return &site{records: list.New()} }

// add counts a report that is in records.
func (s *site) add(r *record, decay time.Duration) {
	if s.upstreams == 0 {
		s.scales, s.scaled, s.base = 0, 0, r.at
	}
	if decay > 0 && r.at.Sub(s.base) > rebaseAfter*decay {
		s.rebase(r, decay)
	}
	s.include(r, decay)
}

func (s *site) include(r *record, decay time.Duration) {
	if !r.counted() {
		return
	}
	r.scale = 1
	if decay > 0 {
		r.scale = math.Exp(r.at.Sub(s.base).Seconds() / decay.Seconds())
	}
	s.upstreams++
	s.scales += r.scale
	s.scaled += r.scale * float64(r.report.WorkUnits)
}

// rebase sums all reports but latest anew with latest's time as the base.
func (s *site) rebase(latest *record, decay time.Duration) {
	s.upstreams, s.scales, s.scaled, s.base = 0, 0, 0, latest.at
	for e := s.records.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r != latest {
			s.include(r, decay)
		}
	}
}

func (s *site) subtract(r *record) {
	if !r.counted() {
		return
	}
	s.upstreams--
	s.scales -= r.scale
	s.scaled -= r.scale * float64(r.report.WorkUnits)
}

// work returns the work of all upstreams that count, by the weighted mean of their reports.
func (s *site) work() uint64 {
	if s.upstreams == 0 || s.scales <= 0 {
		return 0
	}
	return uint64(math.Round(max(0, s.scaled/s.scales*float64(s.upstreams))))
}
