package entry

import (
	"context"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/settings"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rollout"
)

func newShifts(e *Entry) *shift.Driver {
	s := e.opts.Settings
	cfg := rollout.DefaultConfig()
	cfg.Window = settings.Milliseconds(s.Rollout.WindowMS)
	cfg.Lag = settings.Milliseconds(s.Rollout.LagMS)
	cfg.MinStep = settings.Milliseconds(s.Rollout.MinStepMS)
	cfg.MonitorTime = settings.Milliseconds(s.Rollout.MonitorMS)
	cfg.SettleTime = settings.Milliseconds(s.Rollout.SettleMS)
	return shift.New(shift.Options{
		Config: cfg, Lease: lease.DefaultConfig(), Instance: s.Instance, DataCentre: s.DataCentre, KV: e.opts.KV, Host: shiftHost{e},
	})
}

// shiftHost implements shift.Host on top of an Entry.
type shiftHost struct{ e *Entry }

// Post implements shift.Host.
func (h shiftHost) Post(f func()) bool { return h.e.node.Post(f) }

// Go implements shift.Host.
func (h shiftHost) Go(f func(ctx context.Context)) { h.e.node.Go(f) }

// GossipNow implements shift.Host.
func (h shiftHost) GossipNow() { h.e.node.GossipNow() }

// Upstreams implements shift.Host. The list of instances keeps those that are missing for a moment.
func (h shiftHost) Upstreams(s rollout.Shift) rollout.Upstreams {
	u := rollout.Upstreams{Current: true}
	for _, sidecar := range h.e.node.Snapshot().Sidecars {
		switch {
		case sidecar.Service != s.Service:
		case sidecar.Version == s.From:
			u.From = rollout.Serving
		case sidecar.Version == s.To:
			u.To = rollout.Serving
		}
	}
	return u
}

// Send implements shift.Host.
func (h shiftHost) Send(to services.Instance, build func(minor uint16) (wire.Message, error)) {
	h.e.node.Go(func(ctx context.Context) {
		if err := h.send(ctx, to, build); err != nil {
			metrics.Add("evidence_unsent", 1)
		}
	})
}

func (h shiftHost) send(ctx context.Context, to services.Instance, build func(minor uint16) (wire.Message, error)) error {
	conn, err := h.e.node.Pool().Get(ctx, to)
	if err != nil {
		return err
	}
	m, err := build(conn.Remote().Minor)
	if err != nil {
		return err
	}
	return conn.Send(m)
}

// Tick implements node.Role.
func (e *Entry) Tick(now time.Time, snapshot *node.Snapshot) { e.shifts.Tick(now, snapshot.Entries) }

// HandleEvidence implements node.Role.
func (e *Entry) HandleEvidence(m *wire.Evidence) {
	e.node.Post(func() { e.shifts.HandleEvidence(time.Now(), m) })
}

// versionsByPreference returns the versions that may serve the request, the preferred one first. While a shift is in progress, the
// chat's hash selects the version, so that the traffic split is exact and each chat stays on one version.
func (x *exchange) versionsByPreference() []string {
	x.plan = x.e.shifts.Plan(x.service.Name)
	if x.plan == nil {
		return x.service.Versions
	}
	if candidate.InCohort(x.chat, x.plan.Salt, x.plan.Share) {
		return []string{x.plan.To, x.plan.From}
	}
	if x.plan.Share == 0 {
		return []string{x.plan.From}
	}
	return []string{x.plan.From, x.plan.To}
}

// recordOutcome reports an attempt to the shift in progress. Refused and canceled requests are excluded because they say nothing about
// the health of the version.
func (x *exchange) recordOutcome(target services.Instance, code result.Code, latency time.Duration) {
	if x.plan == nil || code.Outcome() == result.NotRun || code == result.Canceled {
		return
	}
	side := rollout.Old
	if target.Version == x.plan.To {
		side = rollout.New
	}
	observation := rollout.Observation{
		Side: side, Route: x.route.Path, DataCentre: target.DataCentre, Failed: code != result.OK, Latency: latency, Step: x.plan.Step,
	}
	if !x.e.shifts.Observe(shift.Outcome{Plan: x.plan, Observation: observation}) {
		metrics.Add("outcomes_dropped", 1)
	}
}
