package admission

import (
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// counts holds the totals since the start.
type counts struct {
	admitted, done, workDone uint64
	refused                  [256]uint64
}

// TeamState is the state of one active team.
type TeamState struct {
	Name      string
	WorkUnits uint64
	InFlight  int
	// Share is the team's fraction of the capacity under contention.
	Share float64
}

// State is a snapshot of a controller for status pages and metrics.
type State struct {
	Configured, Drained, Leaving bool

	WorkUnits uint64
	InFlight  int
	// CapacityUnits is the capacity that the engine reported, or the default if it reported none.
	CapacityUnits uint64
	// MeanUnits is the last mean, and MeanAt the time when it was received; both are zero if there was none.
	MeanUnits uint32
	MeanAt    time.Time

	Cold bool
	// ColdLimit is the current limit on concurrent requests of a cold engine, zero if the engine is warm.
	ColdLimit int
	// ColdStarts counts the resets to the initial limit.
	ColdStarts uint32

	// Totals since the start: Admitted and Done count requests, WorkDone counts work units, and Refused requests by code.
	Admitted, Done, WorkDone uint64
	Refused                  map[result.Code]uint64
	// Teams are the active teams, the most recently active one last.
	Teams []TeamState
}

// State returns a snapshot of the controller.
func (c *Controller) State() State {
	s := State{
		Configured:    c.configured,
		Drained:       c.limits.Drained,
		Leaving:       c.leaving,
		WorkUnits:     c.work,
		InFlight:      c.inFlight,
		CapacityUnits: c.engine.units,
		MeanUnits:     c.mean.units,
		MeanAt:        c.mean.at,
		Cold:          c.cold.limited(&c.limits),
		ColdStarts:    c.cold.epoch,
		Admitted:      c.counts.admitted,
		Done:          c.counts.done,
		WorkDone:      c.counts.workDone,
		Refused:       make(map[result.Code]uint64),
	}
	if s.CapacityUnits == 0 {
		s.CapacityUnits = c.cfg.DefaultCapacity
	}
	if s.Cold {
		s.ColdLimit = c.cold.limit(&c.limits)
	}
	for code, n := range c.counts.refused {
		if n > 0 {
			s.Refused[result.Code(code)] = n
		}
	}
	for m := c.teams.lru.next; m != &c.teams.lru; m = m.next {
		s.Teams = append(s.Teams, TeamState{Name: m.name, WorkUnits: m.work, InFlight: m.inFlight, Share: c.teams.share(m)})
	}
	return s
}
