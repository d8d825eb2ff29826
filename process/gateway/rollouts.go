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
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/mirror"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/process/shift"
	"github.com/jayridge/jayridge/request/candidate"
	"github.com/jayridge/jayridge/request/result"
	"github.com/jayridge/jayridge/version/rollout"
)

const (
	// rolloutTick is the time between two steps of the rollouts while there are any, a sixth of a window.
	rolloutTick = 50 * time.Millisecond
	// rolloutCap is the share of a new version until it has been judged, somewhat less than the part of all requests that a bad version
	// may get.
	rolloutCap = 0.08
	// statusRetry is the time between attempts to write a status.
	statusRetry = 300 * time.Millisecond
)

// rolloutConfig returns the settings of rollouts that are due within some ten seconds. Their tests see a few requests a second, so that
// only large differences can be told apart.
func rolloutConfig() rollout.Config {
	c := rollout.DefaultConfig()
	c.Window = 300 * time.Millisecond
	c.Lag = 300 * time.Millisecond
	c.Beta = 0.05
	c.FailedDifference = 0.25
	c.SlowDifference = 0.5
	c.MinStep = 800 * time.Millisecond
	c.Slack = 0.3
	c.Settle = 300 * time.Millisecond
	c.Monitor = time.Second
	c.Grace = 2 * time.Second
	c.RetryEvery = 300 * time.Millisecond
	return c
}

// rolloutLease returns the lease of the gateway that leads a rollout: short, so that another one takes over within the rollout's time.
func rolloutLease() lease.Config {
	return lease.Config{TTL: 2500 * time.Millisecond, Margin: 500 * time.Millisecond, Jitter: 0.2, CallTimeout: time.Second}
}

// RolloutOrder asks for the traffic of a service to be moved to upstreams of another version.
type RolloutOrder struct {
	Target string
	// Within is the time from the order until the move must have ended.
	Within time.Duration
}

// RolloutState is what the operators are told of a rollout.
type RolloutState uint8

// The states.
const (
	RolloutRunning RolloutState = iota
	// RolloutCompleted means that the upstreams of other versions are no longer needed.
	RolloutCompleted
	RolloutRolledBack
)

// RolloutStatus is the status of a service's latest rollout.
type RolloutStatus struct {
	Target string
	State  RolloutState
}

// rolloutOrder is an order as the control goroutine knows it.
type rolloutOrder struct {
	RolloutOrder
	// id names the order; an order that is given again has another one.
	id    string
	until time.Time
}

// rollouts belong to the control goroutine, except the driver's methods that say otherwise.
type rollouts struct {
	g      *Gateway
	driver *shift.Driver
	// orders are those in force, by service.
	orders map[string]rolloutOrder
	// records are the newest records, by the id of their order.
	records map[string]wire.RolloutRecord
	// statuses are what the store holds, by service.
	statuses map[string]storedStatus
	writing  bool
	writeAt  time.Time
	// ticker runs while there are orders; ticks is its channel, nil without it.
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
			Config: rolloutConfig(), Lease: rolloutLease(), Instance: g.settings.Instance, DataCentre: g.settings.DataCentre,
			KV: g.store, Host: rolloutHost{g},
		}),
		orders:   make(map[string]rolloutOrder),
		records:  make(map[string]wire.RolloutRecord),
		statuses: make(map[string]storedStatus),
	}
}

// order takes an order or its end.
func (r *rollouts) order(now time.Time, f Fact, revision uint64) {
	if f.Deleted {
		delete(r.orders, f.Name)
		return
	}
	id := f.Name + "-" + strconv.FormatUint(revision, 10)
	if r.orders[f.Name].id != id {
		r.orders[f.Name] = rolloutOrder{f.Rollout, id, now.Add(f.Rollout.Within)}
	}
}

// status takes what the store says of a service's rollout.
func (r *rollouts) status(f Fact, revision uint64) {
	if f.Deleted {
		delete(r.statuses, f.Name)
		return
	}
	r.statuses[f.Name] = storedStatus{f.Status, services.Revision(revision)}
}

// record takes an item if it is the record of a rollout.
func (r *rollouts) record(now time.Time, item mirror.Item) {
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

// set hands the orders to the driver. versions returns the version that most upstreams of a service run besides a given one.
func (r *rollouts) set(now time.Time, versions func(service, besides string) string) {
	var shifts []rollout.Shift
	for service, o := range r.orders {
		by := o.until
		if known, found := r.records[o.id]; found {
			by = r.startedBy(known, o)
		}
		shifts = append(shifts, rollout.Shift{
			ID: o.id, Service: service, From: versions(service, o.Target), To: o.Target, By: by, Cap: rolloutCap,
		})
	}
	r.stop()
	if len(shifts) > 0 {
		r.ticker = time.NewTicker(rolloutTick)
		r.ticks = r.ticker.C
	}
	r.driver.SetShifts(now, shifts)
	for _, record := range r.records {
		// A rollout that was under way before this process began has its record from then.
		r.driver.HandleGossip(now, &wire.Gossip{Rollouts: []wire.RolloutRecord{record}})
	}
}

// stop ends the ticks.
func (r *rollouts) stop() {
	if r.ticker != nil {
		r.ticker.Stop()
		r.ticker, r.ticks = nil, nil
	}
}

// startedBy is the end of a rollout that began before this gateway heard of it.
func (r *rollouts) startedBy(known wire.RolloutRecord, o rolloutOrder) time.Time {
	record, err := rollout.DecodeRecord(known.Data)
	if err != nil || record.StartedMS == 0 {
		return o.until
	}
	if by := time.UnixMilli(record.StartedMS).Add(o.Within); by.Before(o.until) {
		return by
	}
	return o.until
}

// tick advances the rollouts and writes their status.
func (r *rollouts) tick(now time.Time, members map[string]member) {
	entries := []services.Instance{{ID: r.g.settings.Instance, DataCentre: r.g.settings.DataCentre, Address: r.g.settings.PeerAddress}}
	for name, m := range members {
		if name != r.g.settings.Instance {
			entries = append(entries, services.Instance{ID: name, DataCentre: m.DataCentre, Address: m.PeerAddress})
		}
	}
	r.driver.Tick(now, entries)
	for _, s := range r.driver.Status() {
		r.tell(now, s)
	}
}

// tell writes the status of a rollout that this gateway leads, if the store says otherwise.
func (r *rollouts) tell(now time.Time, s shift.Status) {
	want := RolloutStatus{Target: s.To, State: RolloutRunning}
	switch s.State {
	case rollout.Done.String():
		want.State = RolloutCompleted
	case rollout.RolledBack.String():
		want.State = RolloutRolledBack
	}
	stored, found := r.statuses[s.Service]
	if !s.Leader || r.writing || now.Before(r.writeAt) || found && stored.RolloutStatus == want {
		return
	}
	key, value, err := r.g.decoder.EncodeStatus(s.Service, want)
	if err != nil {
		event.Log(event.RolloutStatusFailed, "rollout", s.ID, "error", err)
		return
	}
	r.writing, r.writeAt = true, now.Add(statusRetry)
	r.g.work(func() {
		ctx, cancel := context.WithTimeout(r.g.ctx, time.Second)
		defer cancel()
		revision, err := r.g.store.CompareAndSwap(ctx, key, stored.revision, value, 0)
		if err != nil && !errors.Is(err, services.ErrConflict) && r.g.ctx.Err() == nil {
			event.Log(event.RolloutStatusFailed, "rollout", s.ID, "error", err)
		}
		r.g.postWait(func() {
			r.writing = false
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
	case h.g.posts <- f:
		return true
	default:
		return false
	}
}

// Go implements shift.Host.
func (h rolloutHost) Go(f func(ctx context.Context)) { h.g.work(func() { f(h.g.ctx) }) }

// Send implements shift.Host.
func (h rolloutHost) Send(to services.Instance, build func(minor uint16) (wire.Message, error)) {
	h.g.work(func() {
		conn, err := h.g.peers.reach(h.g.ctx, to)
		if err == nil {
			var m wire.Message
			if m, err = build(conn.Remote().Minor); err == nil {
				err = conn.Send(m)
			}
		}
		if err != nil && h.g.ctx.Err() == nil {
			event.Sampled(event.PeerUnreachable, "peer", to.ID, "address", to.Address, "for", "rollout", "error", err)
		}
	})
}

// GossipSome implements shift.Host. Stops reach all gateways, since each passes on what is new to it.
func (h rolloutHost) GossipSome() {
	m := &wire.Gossip{}
	h.g.rollouts.driver.Gossip(m)
	for _, c := range h.g.peers.conns() {
		_ = c.Send(m) // the record in the store says the same
	}
}

// postWait runs f on the control goroutine, unless the gateway stops first.
func (g *Gateway) postWait(f func()) {
	select {
	case g.posts <- f:
	case <-g.ctx.Done():
	}
}

// versions returns which versions of the service's upstreams may run the call's next attempt, the preferred ones first. nil stands for all.
func (c *call) versions() []balancer.Versions {
	plan := c.g.rollouts.driver.Plan(c.service)
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
	case plan.Share == 0 && c.g.balancer.Runs(c.service, older):
		return []balancer.Versions{older}
	case candidate.Cohort(chat, plan.Salt, plan.Share) && (!failed || plan.Share == 1):
		return []balancer.Versions{newer, older}
	default:
		return []balancer.Versions{older, newer}
	}
}

// observe tells the rollout of the service, if there is one, how an attempt ended. Refusals and canceled requests say nothing of the
// version.
func (a *attempt) observe(code result.Code) {
	c := a.call
	plan := c.g.rollouts.driver.Plan(c.service)
	if plan == nil || a.silent || code.Outcome() == result.NotRun || code == result.Canceled {
		return
	}
	o := rollout.Observation{
		Side: rollout.Old, Route: c.route.Name, DataCentre: a.choice.DataCentre, Failed: code != result.OK, Latency: a.answered, Step: plan.Step,
	}
	if a.answered == 0 {
		o.Latency = time.Since(a.started)
	}
	if a.choice.Version == plan.To {
		o.Side = rollout.New
	}
	if !c.g.rollouts.driver.Observe(shift.Outcome{Plan: plan, Observation: o}) {
		c.g.metrics.outcomesDropped.Add(1)
	}
}
