package gateway

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/balancer"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/version/rollout"
)

const (
	// rolloutTick is the interval between steps of the active rollouts, a twelfth of rolloutConfig's window.
	rolloutTick = 50 * time.Millisecond
	// rolloutCap is the maximum traffic share of a new version until it has been evaluated. It is slightly below the share of all requests
	// that a faulty version is allowed to get.
	rolloutCap = 0.08
	// rolloutMonitorTime is how long the new version is observed with all traffic before the rollout is completed.
	rolloutMonitorTime = time.Second
	// reportMargin is the time that a decision needs until the operators can read it: a tick, the write of the record and that of the status,
	// which may have to be repeated once.
	reportMargin = 700 * time.Millisecond
	// maxMarginShare is the maximum fraction of a rollout's time limit that is reserved for monitoring and reporting.
	maxMarginShare = 0.25
	// statusWriteInterval is the minimum time between attempts to write a status.
	statusWriteInterval = 300 * time.Millisecond
)

// rolloutConfig returns the settings for rollouts with a time limit of about ten seconds. Their statistical tests see only a few requests
// per second, so that only large differences can be detected. A window is long enough that most requests to the new version have one to the old
// version beside them; those without one are no evidence. The leader and an aggregator in each data centre test independently.
func rolloutConfig(dataCentres int) rollout.Config {
	c := rollout.DefaultConfig()
	c.Alpha = 0.03
	c.IndependentTests = 1 + dataCentres
	c.Window = 600 * time.Millisecond
	c.Lag = 300 * time.Millisecond
	c.Beta = 0.05
	c.FailedDifference = 0.25
	c.SlowDifference = 0.5
	c.MinStep = 800 * time.Millisecond
	c.PlanReserve = 0.3
	c.SettleTime = 300 * time.Millisecond
	c.MonitorTime = rolloutMonitorTime
	c.DeadlineGrace = 2 * time.Second
	c.RetryEvery = 300 * time.Millisecond
	c.ObserveTime = 4 * time.Second // an upstream that ended is still listed for three registrations, 1.2 s apart
	c.GoneAfter = 10 * time.Second  // upstreams that crash are back within some seconds
	return c
}

// rolloutLease returns the lease settings of a rollout's leader. The lease is short, so that another gateway can take over within the
// rollout's time limit.
func rolloutLease() lease.Config {
	return lease.Config{TTL: 2500 * time.Millisecond, Margin: 500 * time.Millisecond, Jitter: 0.2, CallTimeout: time.Second}
}

// RolloutOrder is an operator's request to move the traffic of a service to upstreams of another version.
type RolloutOrder struct {
	Target string
	// TimeLimit is the time limit of the rollout, from the order on.
	TimeLimit time.Duration
}

// RolloutState is the state of a rollout as reported to the operators.
type RolloutState uint8

const (
	RolloutRunning RolloutState = iota
	// RolloutCompleted means that the target version gets all traffic and upstreams of other versions can be removed.
	RolloutCompleted
	RolloutRolledBack
)

// RolloutStatus is the reported status of a service's latest rollout.
type RolloutStatus struct {
	Target string
	State  RolloutState
}

// rolloutOrder is an order with its identity and deadline.
type rolloutOrder struct {
	RolloutOrder
	// id identifies the order. It contains the number of the item's revision, so that a repeated order has a new one, and one that a restored store
	// still holds keeps its own.
	id       string
	deadline time.Time
}

// rollouts tracks rollout orders and records and runs the rollout driver. It is owned by the control goroutine; other goroutines call only
// those methods of the driver that are documented as safe for them.
type rollouts struct {
	g      *Gateway
	driver *shift.Driver
	// orders are the current orders by service.
	orders map[string]rolloutOrder
	// records are the latest rollout records by order ID.
	records map[string]wire.RolloutRecord
	// statuses are the statuses in the store by service.
	statuses            map[string]storedStatus
	statusWriteInFlight bool
	nextStatusWriteAt   time.Time
	// directory is that of the control goroutine.
	directory *directory.Directory
	// ticker runs while there are orders. ticks is its channel, nil if there is no ticker.
	ticker *time.Ticker
	ticks  <-chan time.Time
}

type storedStatus struct {
	RolloutStatus
	revision services.Revision
}

func newRollouts(g *Gateway) *rollouts {
	return &rollouts{
		g: g,
		driver: shift.New(shift.Options{
			Config: rolloutConfig(len(g.settings.DataCentres)), Lease: rolloutLease(), Instance: g.settings.Instance, DataCentre: g.settings.DataCentre,
			KV: g.store, Host: rolloutHost{g},
		}),
		orders:   make(map[string]rolloutOrder),
		records:  make(map[string]wire.RolloutRecord),
		statuses: make(map[string]storedStatus),
	}
}

// applyOrder adds or removes an order.
func (r *rollouts) applyOrder(now time.Time, f DecodedItem, revision uint64) {
	if f.Deleted {
		delete(r.orders, f.Name)
		return
	}
	id := f.Name + "-" + strconv.FormatUint(services.Revision(revision).Number(), 10)
	if r.orders[f.Name].id != id {
		r.orders[f.Name] = rolloutOrder{f.Rollout, id, now.Add(f.Rollout.TimeLimit)}
	}
}

// applyStatus records the status that the store holds for a service's rollout.
func (r *rollouts) applyStatus(f DecodedItem, revision uint64) {
	if f.Deleted {
		delete(r.statuses, f.Name)
		return
	}
	r.statuses[f.Name] = storedStatus{f.Status, services.Revision(revision)}
}

// applyRecord stores an item and passes it to the driver if it is a rollout record.
func (r *rollouts) applyRecord(now time.Time, item mirror.Item) {
	id, ok := strings.CutPrefix(item.Key, rollout.RecordKey(""))
	if !ok {
		return
	}
	if item.Deleted {
		delete(r.records, id)
		return
	}
	record := wire.RolloutRecord{Rollout: id, Revision: item.Revision, Data: item.Value}
	r.records[id] = record
	r.driver.HandleGossip(now, &wire.Gossip{Rollouts: []wire.RolloutRecord{record}})
}

// updateDriver passes the current orders and records to the driver. fromVersion returns the version that a service's traffic moves from:
// the most common one other than the target.
func (r *rollouts) updateDriver(now time.Time, fromVersion func(service, target string) string) {
	var shifts []rollout.Shift
	for service, o := range r.orders {
		deadline := o.deadline
		if known, found := r.records[o.id]; found {
			deadline = r.deadlineOf(known, o)
		}
		shifts = append(shifts, rollout.Shift{
			ID: o.id, Service: service, From: fromVersion(service, o.Target), To: o.Target, Deadline: deadline.Add(-decisionMargin(o.TimeLimit)),
			MaxCanaryShare: rolloutCap,
		})
	}
	r.stopTicker()
	if len(shifts) > 0 {
		r.ticker = time.NewTicker(rolloutTick)
		r.ticks = r.ticker.C
	}
	r.driver.SetShifts(now, shifts)
	for _, record := range r.records {
		// A rollout may have started before this process did; its progress is in the record.
		r.driver.HandleGossip(now, &wire.Gossip{Rollouts: []wire.RolloutRecord{record}})
	}
}

// decisionMargin returns how long before the end of a rollout's time limit the new version must have all traffic, so that the end of the
// rollout is reported within the limit.
func decisionMargin(limit time.Duration) time.Duration {
	return min(rolloutMonitorTime+reportMargin, time.Duration(maxMarginShare*float64(limit)))
}

// stopTicker stops the ticker, if there is one.
func (r *rollouts) stopTicker() {
	if r.ticker != nil {
		r.ticker.Stop()
		r.ticker, r.ticks = nil, nil
	}
}

// deadlineOf returns the deadline of a rollout that has a record. If it started before this gateway received the order, the deadline is
// counted from the recorded start.
func (r *rollouts) deadlineOf(known wire.RolloutRecord, o rolloutOrder) time.Time {
	record, err := rollout.DecodeRecord(known.Data)
	if err != nil || record.StartedMS == 0 {
		return o.deadline
	}
	if deadline := time.UnixMilli(record.StartedMS).Add(o.TimeLimit); deadline.Before(o.deadline) {
		return deadline
	}
	return o.deadline
}

// tick advances the rollouts and writes their statuses.
func (r *rollouts) tick(now time.Time, members map[string]member) {
	entries := []services.Instance{{ID: r.g.settings.Instance, DataCentre: r.g.settings.DataCentre, Address: r.g.settings.PeerAddress}}
	for name, m := range members {
		if name != r.g.settings.Instance {
			entries = append(entries, services.Instance{ID: name, DataCentre: m.DataCentre, Address: m.PeerAddress})
		}
	}
	r.driver.Tick(now, entries)
	for _, s := range r.driver.Status() {
		r.writeStatus(now, s)
	}
}

// writeStatus writes the status of a rollout that this gateway leads, if the store holds a different one. A new leader first reads the record:
// another leader may have ended the rollout.
func (r *rollouts) writeStatus(now time.Time, s shift.Status) {
	want := RolloutStatus{Target: s.To, State: RolloutRunning}
	switch s.State {
	case rollout.Done.String():
		want.State = RolloutCompleted
	case rollout.RolledBack.String():
		want.State = RolloutRolledBack
	}
	stored, found := r.statuses[s.Service]
	if !s.Leader || !s.Recorded || r.statusWriteInFlight || now.Before(r.nextStatusWriteAt) || found && stored.RolloutStatus == want {
		return
	}
	key, value, err := r.g.decoder.EncodeStatus(s.Service, want)
	if err != nil {
		event.Log(event.RolloutStatusFailed, "rollout", s.ID, "error", err)
		return
	}
	r.statusWriteInFlight, r.nextStatusWriteAt = true, now.Add(statusWriteInterval)
	r.g.startWorker(func() {
		ctx, cancel := context.WithTimeout(r.g.ctx, time.Second)
		defer cancel()
		revision, err := r.g.store.CompareAndSwap(ctx, key, stored.revision, value, 0)
		if err != nil && !errors.Is(err, services.ErrConflict) && r.g.ctx.Err() == nil {
			event.Log(event.RolloutStatusFailed, "rollout", s.ID, "error", err)
		}
		r.g.enqueueTask(func() {
			r.statusWriteInFlight = false
			if err == nil {
				r.statuses[s.Service] = storedStatus{want, revision}
			}
		})
	})
}

// rolloutHost adapts the gateway to shift.Host.
type rolloutHost struct{ g *Gateway }

// Post implements shift.Host.
func (h rolloutHost) Post(f func()) bool {
	select {
	case h.g.tasks <- f:
		return true
	default:
		return false
	}
}

// Go implements shift.Host.
func (h rolloutHost) Go(f func(ctx context.Context)) { h.g.startWorker(func() { f(h.g.ctx) }) }

// Send implements shift.Host.
func (h rolloutHost) Send(to services.Instance, build func(minor uint16) (wire.Message, error)) {
	h.g.startWorker(func() {
		conn, err := h.g.peers.connTo(h.g.ctx, to)
		if err == nil {
			var m wire.Message
			if m, err = build(conn.Remote().Minor); err == nil {
				err = conn.Send(m)
			}
		}
		if err != nil && h.g.ctx.Err() == nil {
			event.LogSampled(event.PeerUnreachable, "peer", to.ID, "address", to.Address, "for", "rollout", "error", err)
		}
	})
}

// Upstreams implements shift.Host.
func (h rolloutHost) Upstreams(s rollout.Shift) rollout.Upstreams {
	return rollout.Upstreams{
		From:    h.presence(s.Service, func(version string) bool { return version != s.To }),
		To:      h.presence(s.Service, func(version string) bool { return version == s.To }),
		Current: h.g.rollouts.directory.IsCurrent(bootclock.Now()),
	}
}

// presence returns the presence of versions of a service. It is called on the control goroutine.
func (h rolloutHost) presence(service string, versions balancer.Versions) rollout.Presence {
	switch {
	case h.g.balancer.CanServe(service, versions):
		return rollout.Serving
	case h.g.rollouts.directory.HasVersion(service, versions):
		return rollout.Registered
	default:
		return rollout.Absent
	}
}

// GossipNow implements shift.Host. Sending to the neighbours suffices for a stop to reach all gateways, since each forwards what is new
// to it.
func (h rolloutHost) GossipNow() {
	m := &wire.Gossip{}
	h.g.rollouts.driver.AppendGossip(m)
	for _, c := range h.g.peers.neighbourConns() {
		_ = c.Send(m) // a lost message is covered by the record in the store
	}
}

// enqueueTask queues f for the control goroutine and blocks while the queue is full. f is dropped if the gateway stops.
func (g *Gateway) enqueueTask(f func()) {
	select {
	case g.tasks <- f:
	case <-g.ctx.Done():
	}
}

// versions returns the sets of upstream versions that may run the call's next attempt, in order of preference. A nil set means all
// versions.
func (c *call) versions(plan *shift.Plan) []balancer.Versions {
	if plan == nil {
		return []balancer.Versions{nil}
	}
	newer := func(version string) bool { return version == plan.To }
	older := func(version string) bool { return version != plan.To }
	chat := c.prompt.Session()
	if chat == 0 {
		chat = xxhash.Sum64String(c.id)
	}
	switch failed := len(c.progress.attempts) > 0; {
	case plan.Stopped:
		return []balancer.Versions{older}
	case plan.Share == 0 && c.g.balancer.HasVersion(c.service, older):
		return []balancer.Versions{older}
	case candidate.InCohort(chat, plan.Salt, plan.Share) && (!failed || plan.Share == 1):
		return []balancer.Versions{newer, older}
	default:
		return []balancer.Versions{older, newer}
	}
}
