// Package shift drives the rollouts of an entry: it feeds their state machines with outcomes, evidence of other entries, the lease and
// the platform's record, and publishes the share of each new version.
//
// Entries report counts to the aggregator of their data centre, aggregators report the sums to the leader. Both are chosen by hash among
// the entries, so that no process receives from all. The leader is the one that tries to hold the lease; if entries disagree for a while
// about who that is, evidence is late and nothing worse.
package shift

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/lease"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/version/rollout"
	"github.com/jayridge/jayridge/version/rules"
)

// Host is what a driver needs of its process. Its methods do not block.
type Host interface {
	// Post runs f on the control goroutine, or reports false.
	Post(f func()) bool
	// Go runs f on a goroutine of its own until the process stops.
	Go(f func(ctx context.Context))
	// Send sends an entry the message that build returns for its minor version of the protocol. It does so in the background, and
	// messages may be lost.
	Send(to services.Instance, build func(minor uint16) (wire.Message, error))
	// GossipSome sends the digests to some peers at once.
	GossipSome()
}

// Options describe a driver. KV may be nil; no rollout advances then.
type Options struct {
	Config     rollout.Config
	Lease      lease.Config
	Instance   string
	DataCentre string
	KV         services.KV
	Host       Host
}

const (
	// forwardAfter is the part of the lag after which an aggregator sends its sum to the leader: the entries' reports have arrived by
	// then, and the sum arrives before the leader closes the window.
	forwardAfter = 0.5
	// observationQueue bounds the outcomes that wait for the control goroutine.
	observationQueue = 8192
	// readSpread spreads the reads of a record over the entries that can expect it from gossip.
	readSpread = 10 * time.Second
)

// Plan says which version of a service gets a chat. It is immutable.
type Plan struct {
	ID       string
	From, To string
	Share    float64
	Step     uint8
	// Stopped says that the new version was taken back for good.
	Stopped bool
	// Salt makes the cohorts of different rollouts independent.
	Salt uint64
}

// Outcome is one finished attempt of a service with a plan.
type Outcome struct {
	Plan        *Plan
	Observation rollout.Observation
}

// Status is what status pages show of a rollout.
type Status struct {
	ID      string    `json:"id"`
	Service string    `json:"service"`
	From    string    `json:"from"`
	To      string    `json:"to"`
	By      time.Time `json:"by"`
	State   string    `json:"state"`
	Share   float64   `json:"share"`
	Reason  string    `json:"reason,omitempty"`
	Leader  bool      `json:"leader"`
}

// view is the published state.
type view struct {
	plans  map[string]*Plan
	status []Status
}

// Driver runs the rollouts of one entry. Its methods belong to the control goroutine except Plan, Status and Observe.
type Driver struct {
	opts     Options
	shifts   map[string]*running
	order    []string
	outcomes chan Outcome
	view     atomic.Pointer[view]
	// reported and forwarded are the windows in which the last report of this entry and of its data centre were sent.
	reported, forwarded int64
	entries             []services.Instance
}

// running is one shift.
type running struct {
	shift    rollout.Shift
	machine  *rollout.Machine
	recorder *rollout.Recorder
	// dataCentre sums the entries of this data centre, fleet the data centres.
	dataCentre *rollout.Aggregator
	fleet      *rollout.Aggregator
	keeper     *lease.Keeper
	stopKeeper context.CancelFunc
	stop       *wire.RolloutStop
	// record is the newest record with its revision, as it is gossiped.
	record   []byte
	revision services.Revision
	// recordSent counts the gossip messages since the record changed.
	recordSent int
	readFrom   time.Time
}

// New returns a driver without rollouts.
func New(opts Options) *Driver {
	d := &Driver{opts: opts, shifts: map[string]*running{}, outcomes: make(chan Outcome, observationQueue)}
	d.view.Store(&view{})
	return d
}

// Plan returns the plan of a service, or nil. It may be called from any goroutine.
func (d *Driver) Plan(service string) *Plan { return d.view.Load().plans[service] }

// Status returns the rollouts. It may be called from any goroutine.
func (d *Driver) Status() []Status { return d.view.Load().status }

// Observe notes the outcome of an attempt. It may be called from any goroutine and does not block; it reports false for an outcome that
// is dropped because the control goroutine cannot keep up.
func (d *Driver) Observe(o Outcome) bool {
	select {
	case d.outcomes <- o:
		return true
	default:
		return false
	}
}

// SetRules starts the shifts of new rules and ends those that are gone.
func (d *Driver) SetRules(now time.Time, set *rules.Set) {
	var shifts []rollout.Shift
	for _, s := range set.Shifts() {
		shifts = append(shifts, rollout.Shift{ID: s.ID, Service: s.Service, From: s.From, To: s.To, By: s.By, Cap: s.Cap, Guards: s.Guards})
	}
	d.SetShifts(now, shifts)
}

// SetShifts starts the shifts that are new by their ID and ends those that are gone.
func (d *Driver) SetShifts(now time.Time, shifts []rollout.Shift) {
	keep := map[string]bool{}
	d.order = d.order[:0]
	for _, s := range shifts {
		keep[s.ID] = true
		d.order = append(d.order, s.ID)
		if d.shifts[s.ID] == nil {
			d.shifts[s.ID] = d.start(now, s)
		}
	}
	for id, r := range d.shifts {
		if !keep[id] {
			r.endLease()
			delete(d.shifts, id)
		}
	}
	d.publish(now)
}

func (d *Driver) start(now time.Time, shift rollout.Shift) *running {
	return &running{
		shift:      shift,
		machine:    rollout.NewMachine(d.opts.Config, shift, now),
		recorder:   rollout.NewRecorder(d.opts.Config),
		dataCentre: rollout.NewAggregator(d.opts.Config, now),
		fleet:      rollout.NewAggregator(d.opts.Config, now),
		readFrom:   now.Add(rand.N(readSpread)),
	}
}

// Tick advances all rollouts.
func (d *Driver) Tick(now time.Time, entries []services.Instance) {
	d.entries = entries
	d.drain(now)
	window := d.opts.Config.WindowOf(now)
	late := d.opts.Config.WindowOf(now.Add(-time.Duration(forwardAfter * float64(d.opts.Config.Lag))))
	report, forward := window != d.reported, late != d.forwarded
	d.reported, d.forwarded = window, late
	for _, id := range d.order {
		d.tick(now, d.shifts[id], report, forward)
	}
	if len(d.order) > 0 {
		d.publish(now)
	}
}

// drain hands the queued outcomes to the recorders.
func (d *Driver) drain(now time.Time) {
	for {
		select {
		case o := <-d.outcomes:
			if r := d.shifts[o.Plan.ID]; r != nil {
				r.recorder.Record(now, o.Observation)
			}
		default:
			return
		}
	}
}

func (d *Driver) tick(now time.Time, r *running, report, forward bool) {
	aggregator := first(d.entries, r.shift.Service, func(i services.Instance) bool { return i.DataCentre == d.opts.DataCentre })
	leader := first(d.entries, r.shift.Service, func(services.Instance) bool { return true })
	aggregates := aggregator.ID == d.opts.Instance
	leads := leader.ID == d.opts.Instance
	d.keepLease(r, leads)
	if report {
		d.report(now, r, aggregator)
	}
	if forward && aggregates {
		d.forward(now, r, leader)
	}
	own, fleet := r.dataCentre.Close(now), r.fleet.Close(now)
	switch {
	case leads:
		d.handle(now, r, r.machine.Evidence(now, fleet))
	case aggregates:
		d.handle(now, r, r.machine.Evidence(now, own))
	}
	held := rollout.Lease{}
	if r.keeper != nil {
		held.Fence, held.Held = r.keeper.Held(now)
	}
	d.handle(now, r, r.machine.Tick(now, held))
}

// report sends this entry's counts of the window that just ended to the aggregator of its data centre.
func (d *Driver) report(now time.Time, r *running, aggregator services.Instance) {
	counts := r.recorder.Ended(now)
	if aggregator.ID != d.opts.Instance {
		d.sendEvidence(aggregator, r, d.opts.Instance, false, counts)
		return
	}
	_ = r.dataCentre.Add(now, d.opts.Instance, counts)
}

// forward sends the data centre's sum to the leader.
func (d *Driver) forward(now time.Time, r *running, leader services.Instance) {
	sum := r.dataCentre.Open()
	if leader.ID != d.opts.Instance {
		d.sendEvidence(leader, r, d.opts.DataCentre, true, sum)
		return
	}
	_ = r.fleet.Add(now, d.opts.DataCentre, sum)
}

// sendEvidence sends evidence that nothing else refers to.
func (d *Driver) sendEvidence(to services.Instance, r *running, source string, toLeader bool, evidence rollout.Evidence) {
	if to.ID == "" || evidence.Len() == 0 {
		return
	}
	m := wire.Evidence{Rollout: r.shift.ID, Source: source, ToLeader: toLeader}
	d.opts.Host.Send(to, func(minor uint16) (wire.Message, error) {
		var err error
		if minor >= wire.MinorEvidenceColumns {
			m.Columns, err = evidence.EncodeColumns()
		} else {
			m.Data, err = evidence.Encode()
		}
		return &m, err
	})
}

// decodeEvidence reads the form that the sender chose.
func decodeEvidence(m *wire.Evidence) (rollout.Evidence, error) {
	if len(m.Columns) > 0 {
		return rollout.DecodeColumns(m.Columns)
	}
	return rollout.DecodeEvidence(m.Data)
}

// Evidence takes the counts of another entry or data centre.
func (d *Driver) Evidence(now time.Time, m *wire.Evidence) {
	r := d.shifts[m.Rollout]
	if r == nil {
		return
	}
	evidence, err := decodeEvidence(m)
	if err != nil {
		return
	}
	if m.ToLeader {
		_ = r.fleet.Add(now, m.Source, evidence)
		return
	}
	_ = r.dataCentre.Add(now, m.Source, evidence)
}

// first returns the entry that comes first by hash among those that match, the same one for all entries that see the same list.
// The zero Instance means that none matches.
func first(entries []services.Instance, service string, match func(services.Instance) bool) services.Instance {
	var chosen services.Instance
	var lowest uint64
	found := false
	for _, e := range entries {
		if !match(e) {
			continue
		}
		if h := xxhash.Sum64String(service + "\x00" + e.ID); !found || h < lowest {
			chosen, lowest, found = e, h, true
		}
	}
	return chosen
}

// publish makes plans and status visible to other goroutines.
func (d *Driver) publish(now time.Time) {
	next := &view{plans: make(map[string]*Plan, len(d.order))}
	for _, id := range d.order {
		r := d.shifts[id]
		s := r.shift
		next.plans[s.Service] = &Plan{
			ID: id, From: s.From, To: s.To, Share: r.machine.Share(), Step: r.machine.Step(), Salt: xxhash.Sum64String(id),
			Stopped: r.machine.State() == rollout.RolledBack,
		}
		leads := false
		if r.keeper != nil {
			_, leads = r.keeper.Held(now)
		}
		next.status = append(next.status, Status{
			ID: id, Service: s.Service, From: s.From, To: s.To, By: s.By,
			State: r.machine.State().String(), Share: r.machine.Share(), Reason: r.machine.Reason(), Leader: leads,
		})
	}
	d.view.Store(next)
}
