package sidecar

import (
	"time"

	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/version/rules"
)

// Publish implements node.Role: it takes over the limits of a new configuration.
func (s *Sidecar) Publish(snapshot *node.Snapshot) {
	if snapshot.Config == nil {
		return
	}
	limits, drain := s.limits(snapshot.Config.Rules)
	s.mu.Lock()
	was := s.admission.State().Drained
	s.admission.SetLimits(time.Now(), limits)
	s.setShift(snapshot.Config.Rules)
	s.mu.Unlock()
	switch {
	case limits.Drained && !was:
		event.Log(event.DrainStarted, "instance", s.opts.Settings.Instance, "line", drain.Line, "comment", drain.Comment)
	case !limits.Drained && was:
		event.Log(event.DrainEnded, "instance", s.opts.Settings.Instance)
	}
}

// setShift notes the shift to this upstream's version. The lock is held.
func (s *Sidecar) setShift(set *rules.Set) {
	shift, ok := set.Shift(s.opts.Settings.Service)
	if !ok || shift.To != s.opts.Settings.Upstream.Version {
		shift = rules.Shift{}
	}
	if shift.ID != s.shift.ID {
		s.shift = shift
		s.shiftStopped = nil
	}
}

func (s *Sidecar) limits(set *rules.Set) (admission.Limits, rules.Drain) {
	drain, drained := set.Drained(s.opts.Settings.DataCentre, s.opts.Settings.Instance)
	limits := admission.Limits{
		Drained:    drained,
		TeamWeight: func(name string) float64 { return teamOf(set, name).weight },
		TeamLimit:  func(name string) float64 { return teamOf(set, name).limit },
	}
	if service, ok := set.Service(s.opts.Settings.Service); ok {
		limits.Bound = service.Bound.Factor
		limits.ColdInitial = service.ColdStart.Initial
		limits.ColdLimit = service.ColdStart.Limit
	}
	return limits, drain
}

// teamShare is what the rules say of a team, with a rate for this upstream.
type teamShare struct{ weight, limit float64 }

func teamOf(set *rules.Set, name string) teamShare {
	team, _ := set.Team(name)
	return teamShare{weight: float64(team.Weight), limit: team.Limit}
}
