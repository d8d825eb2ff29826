package gateway

import (
	"time"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/settings"
)

// Reload applies changed settings. The fleet-wide limits take effect with the next decision. All other settings require a restart;
// needs_restart in the log event says whether any of them changed.
func (g *Gateway) Reload(s *settings.Gateway) {
	fixed := *s
	fixed.Fleet = g.settings.Fleet
	needsRestart := !fixed.Equal(g.settings)
	fleet := s.Fleet
	g.fleet.Store(&fleet)
	g.budgets.setFleet(fleet)
	g.balancer.SetLoadFactor(loadFactorShare * fleet.LoadFactor)
	g.balancer.SetLearnCapacity(fleet.LearnCapacity)
	g.places.setEnabled(fleet.QueueRequests)
	event.Log(event.SettingsReloaded, "needs_restart", needsRestart, "revoke_ms", fleet.RevokeMS, "retry_ratio", fleet.RetryRatio,
		"load_factor", fleet.LoadFactor, "learn_capacity", fleet.LearnCapacity, "queue_requests", fleet.QueueRequests)
}

// ShutdownTime returns the time from a stop signal until the process is killed, by the settings in force.
func (g *Gateway) ShutdownTime() time.Duration {
	return time.Duration(g.fleet.Load().ShutdownS * float64(time.Second))
}
