package load

import (
	"container/list"
	"math"
	"time"
)

// rebaseAfter is the number of decay times after which the weights are recomputed with a new base time, before they grow so large
// that the sums lose precision.
const rebaseAfter = 20

// dataCentreLoad sums the reports of one group in one data centre. The weight of a report decays with its age. Since all weights
// decay at the same rate, the sums hold them relative to a base time and need no update as time passes.
type dataCentreLoad struct {
	// records holds values of type *record, the oldest report first.
	records *list.List
	// upstreams is the number of counted reports, weights the sum of their weights, and weightedWork the sum of their work times
	// their weight.
	upstreams             uint32
	weights, weightedWork float64
	base                  time.Time
}

func newDataCentreLoad() *dataCentreLoad { return &dataCentreLoad{records: list.New()} }

// add counts a report that is in records.
func (s *dataCentreLoad) add(r *record, decay time.Duration) {
	if s.upstreams == 0 {
		s.weights, s.weightedWork, s.base = 0, 0, r.at
	}
	if decay > 0 && r.at.Sub(s.base) > rebaseAfter*decay {
		s.rebase(r, decay)
	}
	s.include(r, decay)
}

func (s *dataCentreLoad) include(r *record, decay time.Duration) {
	if !r.counted() {
		return
	}
	r.weight = 1
	if decay > 0 {
		r.weight = math.Exp(r.at.Sub(s.base).Seconds() / decay.Seconds())
	}
	s.upstreams++
	s.weights += r.weight
	s.weightedWork += r.weight * float64(r.report.WorkUnits)
}

// rebase recomputes the sums of all reports except latest, with the time of latest as the base.
func (s *dataCentreLoad) rebase(latest *record, decay time.Duration) {
	s.upstreams, s.weights, s.weightedWork, s.base = 0, 0, 0, latest.at
	for e := s.records.Front(); e != nil; e = e.Next() {
		if r := e.Value.(*record); r != latest {
			s.include(r, decay)
		}
	}
}

func (s *dataCentreLoad) subtract(r *record) {
	if !r.counted() {
		return
	}
	s.upstreams--
	s.weights -= r.weight
	s.weightedWork -= r.weight * float64(r.report.WorkUnits)
}

// work returns the total work of all counted upstreams, which is their number times the weighted mean of their reports.
func (s *dataCentreLoad) work() uint64 {
	if s.upstreams == 0 || s.weights <= 0 {
		return 0
	}
	return uint64(math.Round(max(0, s.weightedWork/s.weights*float64(s.upstreams))))
}
