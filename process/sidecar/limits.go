package sidecar

import (
	"time"

	"github.com/jayridge/jayridge/process/admission"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/version/rules"
)

// Publish implements node.Role. It applies the limits of a new configuration.
func (s *Sidecar) Publish(snapshot *node.Snapshot) {
	if snapshot.Config == nil {
		return
	}
	limits, drain := s.limits(snapshot.Config.Rules)
	s.mu.Lock()
	wasDrained := s.admission.State().Drained
	s.admission.SetLimits(time.Now(), limits)
	s.setShift(snapshot.Config.Rules)
	s.mu.Unlock()
	switch {
	case limits.Drained && !wasDrained:
		event.Log(event.DrainStarted, "instance", s.opts.Settings.Instance, "line", drain.Line, "comment", drain.Comment)
	case !limits.Drained && wasDrained:
		event.Log(event.DrainEnded, "instance", s.opts.Settings.Instance)
	}
}

// setShift stores the shift to this upstream's version, if there is one. The caller must hold s.mu.
func (s *Sidecar) setShift(set *rules.Set) {
	shift, ok := set.Shift(s.opts.Settings.Service)
	if !ok || shift.To != s.opts.Settings.Upstream.Version {
		shift = rules.Shift{}
	}
	if shift.ID != s.shift.ID {
		s.shift = shift
		s.shiftStopped, s.shiftDone = nil, false
	}
}

// limits returns the admission limits that the rules set for this upstream, and the active drain, if any.
func (s *Sidecar) limits(set *rules.Set) (admission.Limits, rules.Drain) {
	drain, drained := set.Drained(s.opts.Settings.DataCentre, s.opts.Settings.Instance)
	limits := admission.Limits{
		Drained:    drained,
		TeamWeight: func(name string) float64 { return teamPolicyOf(set, name).weight },
		TeamLimit:  func(name string) float64 { return teamPolicyOf(set, name).limit },
	}
	if service, ok := set.Service(s.opts.Settings.Service); ok {
		limits.Bound = service.Bound.Factor
		limits.ColdInitial = service.ColdStart.Initial
		limits.ColdLimit = service.ColdStart.Limit
	}
	return limits, drain
}

// teamPolicy holds a team's weight and request rate limit from the rules.
type teamPolicy struct{ weight, limit float64 }

func teamPolicyOf(set *rules.Set, name string) teamPolicy {
	team, _ := set.Team(name)
	return teamPolicy{weight: float64(team.Weight), limit: team.Limit}
}
