package gateway

import (
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/settings"
)

// Reload takes changed settings. The bounds of the fleet apply from the next decision on; everything else is fixed for the life of the
// process, and a difference there is logged.
func (g *Gateway) Reload(s *settings.Gateway) {
	fixed := *s
	fixed.Fleet = g.settings.Fleet
	needsRestart := !fixed.Equal(g.settings)
	fleet := s.Fleet
	g.fleet.Store(&fleet)
	g.budgets.setFleet(fleet)
	g.balancer.SetLoadFactor(loadShare * fleet.LoadFactor)
	event.Log(event.SettingsReloaded, "needs_restart", needsRestart, "revoke_ms", fleet.RevokeMS, "retry_ratio", fleet.RetryRatio,
		"load_factor", fleet.LoadFactor)
}
