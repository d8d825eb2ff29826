// Package shift drives the rollouts of an entry. It passes request outcomes, evidence from other entries, the lease state and the
// platform's rollout record to the state machine of each rollout, and publishes the traffic share of each new version.
//
// Entries report counts to the aggregator of their data centre, and aggregators report the sums to the leader. Both are chosen among the
// entries by hash, so that no process receives reports from all others. Only the leader tries to acquire the lease. While entries
// disagree about who the leader is, evidence is delayed, with no other effect.
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

// Host is the part of the process that a driver depends on. Its methods do not block.
type Host interface {
	// Post queues f for the control goroutine. It returns false if the queue is full.
	Post(f func()) bool
	// Go runs f on a new goroutine. The context ends when the process stops.
	Go(f func(ctx context.Context))
	// Send sends to an entry, in the background, the message that build returns for the minor protocol version of that entry. Messages
	// may be lost.
	Send(to services.Instance, build func(minor uint16) (wire.Message, error))
	// GossipNow sends the gossip message to some random peers without waiting for the gossip interval.
	GossipNow()
	// Upstreams says which versions of a shift have upstreams that can take requests.
	Upstreams(s rollout.Shift) rollout.Upstreams
}

// Options are the configuration and dependencies of a driver. If KV is nil, no rollout advances.
type Options struct {
	Config     rollout.Config
	Lease      lease.Config
	Instance   string
	DataCentre string
	KV         services.KV
	Host       Host
}

const (
	// forwardLagFraction is the fraction of the configured lag after which an aggregator sends its sum to the leader. By then the
	// entries' reports have arrived, and the sum arrives before the leader closes the window.
	forwardLagFraction = 0.5
	// outcomeQueueSize bounds the outcomes that wait for the control goroutine.
	outcomeQueueSize = 8192
	// maxReadDelay bounds the random delay of a record's first read by entries that do not try for the lease. These usually receive
	// the record by gossip.
	maxReadDelay = 10 * time.Second
)

// Plan determines which version of a service handles a chat. It is immutable.
type Plan struct {
	ID       string
	From, To string
	Share    float64
	Step     uint8
	// Stopped is set once the rollout has been rolled back, which is final.
	Stopped bool
	// Salt makes the cohorts of different rollouts statistically independent.
	Salt uint64
}

// Outcome is the result of one attempt at a service that has a plan.
type Outcome struct {
	Plan        *Plan
	Observation rollout.Observation
}

// Status is the state of a rollout as status pages show it.
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
	// Recorded means that the platform is known to hold the state.
	Recorded bool `json:"recorded"`
}

// publishedState is an immutable snapshot for other goroutines.
type publishedState struct {
	plans  map[string]*Plan
	status []Status
}

// Driver runs the rollouts of one entry. All methods except Plan, Status and Observe must be called on the control goroutine.
type Driver struct {
	opts      Options
	shifts    map[string]*activeRollout
	order     []string
	outcomes  chan Outcome
	published atomic.Pointer[publishedState]
	// reported and forwarded are the windows in which this entry last sent its counts and its data centre's sum. The window of
	// forwarded is delayed by forwardLagFraction.
	reported, forwarded int64
	entries             []services.Instance
}

// activeRollout is the state of one rollout in this process.
type activeRollout struct {
	shift    rollout.Shift
	machine  *rollout.Machine
	recorder *rollout.Recorder
	// dataCentre aggregates the counts of the entries of this data centre, fleet those of the data centres.
	dataCentre *rollout.Aggregator
	fleet      *rollout.Aggregator
	keeper     *lease.Keeper
	stopKeeper context.CancelFunc
	stopNotice *wire.RolloutStop
	// record is the newest known record, encoded for gossip, or the one in state Done if there was one; recordRevision is its revision.
	record         []byte
	recordRevision services.Revision
	// done is set once a record in state Done is known.
	done bool
	// revision is the highest revision of a record that is known.
	revision services.Revision
	// recordSent counts the digests built since the record changed.
	recordSent    int
	readNotBefore time.Time
}

// New returns a driver without rollouts.
func New(opts Options) *Driver {
	d := &Driver{opts: opts, shifts: map[string]*activeRollout{}, outcomes: make(chan Outcome, outcomeQueueSize)}
	d.published.Store(&publishedState{})
	return d
}

// Plan returns the plan of a service, or nil if it has no rollout. It may be called from any goroutine.
func (d *Driver) Plan(service string) *Plan { return d.published.Load().plans[service] }

// Status returns the state of all rollouts. It may be called from any goroutine.
func (d *Driver) Status() []Status { return d.published.Load().status }

// Observe queues the outcome of an attempt. It may be called from any goroutine and does not block. It returns false if the outcome was
// dropped because the queue is full.
func (d *Driver) Observe(o Outcome) bool {
	select {
	case d.outcomes <- o:
		return true
	default:
		return false
	}
}

// SetRules starts the rollouts that a rule set adds and ends those that it no longer has.
func (d *Driver) SetRules(now time.Time, set *rules.Set) {
	var shifts []rollout.Shift
	for _, s := range set.Shifts() {
		shifts = append(shifts, rollout.Shift{ID: s.ID, Service: s.Service, From: s.From, To: s.To, Deadline: s.Deadline, MaxCanaryShare: s.MaxCanaryShare, Guards: s.Guards})
	}
	d.SetShifts(now, shifts)
}

// SetShifts starts the shifts whose ID is new and ends those whose ID is missing.
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

func (d *Driver) start(now time.Time, shift rollout.Shift) *activeRollout {
	return &activeRollout{
		shift:         shift,
		machine:       rollout.NewMachine(d.opts.Config, shift, now),
		recorder:      rollout.NewRecorder(d.opts.Config),
		dataCentre:    rollout.NewAggregator(d.opts.Config, now),
		fleet:         rollout.NewAggregator(d.opts.Config, now),
		readNotBefore: now.Add(rand.N(maxReadDelay)),
	}
}

// Tick advances all rollouts. entries are the instances among which aggregators and leaders are chosen.
func (d *Driver) Tick(now time.Time, entries []services.Instance) {
	d.entries = entries
	d.recordOutcomes(now)
	window := d.opts.Config.WindowOf(now)
	forwardWindow := d.opts.Config.WindowOf(now.Add(-time.Duration(forwardLagFraction * float64(d.opts.Config.Lag))))
	report, forward := window != d.reported, forwardWindow != d.forwarded
	d.reported, d.forwarded = window, forwardWindow
	for _, id := range d.order {
		d.tickRollout(now, d.shifts[id], report, forward)
	}
	if len(d.order) > 0 {
		d.publish(now)
	}
}

// recordOutcomes passes the queued outcomes to the recorders of their rollouts.
func (d *Driver) recordOutcomes(now time.Time) {
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

func (d *Driver) tickRollout(now time.Time, r *activeRollout, report, forward bool) {
	aggregator := electByHash(d.entries, r.shift.Service, func(i services.Instance) bool { return i.DataCentre == d.opts.DataCentre })
	leader := electByHash(d.entries, r.shift.Service, func(services.Instance) bool { return true })
	aggregates := aggregator.ID == d.opts.Instance
	leads := leader.ID == d.opts.Instance
	d.updateLease(r, leads)
	if report {
		d.report(now, r, aggregator)
	}
	if forward && aggregates {
		d.forward(now, r, leader)
	}
	own, fleet := r.dataCentre.CloseWindows(now), r.fleet.CloseWindows(now)
	switch {
	case leads:
		d.applyOutput(now, r, r.machine.Evidence(now, fleet))
	case aggregates:
		d.applyOutput(now, r, r.machine.Evidence(now, own))
	}
	r.machine.SetUpstreams(now, d.opts.Host.Upstreams(r.shift))
	held := rollout.Lease{}
	if r.keeper != nil {
		held.Fence, held.Held = r.keeper.Held()
	}
	d.applyOutput(now, r, r.machine.Tick(now, held))
}

// report sends this entry's counts of the last window to the aggregator of its data centre.
func (d *Driver) report(now time.Time, r *activeRollout, aggregator services.Instance) {
	counts := r.recorder.ReportEnded(now)
	if aggregator.ID != d.opts.Instance {
		d.sendEvidence(aggregator, r, d.opts.Instance, false, counts)
		return
	}
	_ = r.dataCentre.Add(now, d.opts.Instance, counts)
}

// forward sends the data centre's sum to the leader.
func (d *Driver) forward(now time.Time, r *activeRollout, leader services.Instance) {
	sum := r.dataCentre.OpenWindows()
	if leader.ID != d.opts.Instance {
		d.sendEvidence(leader, r, d.opts.DataCentre, true, sum)
		return
	}
	_ = r.fleet.Add(now, d.opts.DataCentre, sum)
}

// sendEvidence sends evidence to an entry. The caller must not use the evidence afterwards, because it is encoded later.
func (d *Driver) sendEvidence(to services.Instance, r *activeRollout, source string, toLeader bool, evidence rollout.Evidence) {
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

// decodeEvidence decodes evidence in either encoding. The sender chooses it by the receiver's minor protocol version.
func decodeEvidence(m *wire.Evidence) (rollout.Evidence, error) {
	if len(m.Columns) > 0 {
		return rollout.DecodeColumns(m.Columns)
	}
	return rollout.DecodeEvidence(m.Data)
}

// HandleEvidence adds the counts that another entry or data centre reported.
func (d *Driver) HandleEvidence(now time.Time, m *wire.Evidence) {
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

// electByHash returns the matching entry with the lowest hash, which is the same on all entries that see the same list. It returns the
// zero Instance if none matches.
func electByHash(entries []services.Instance, service string, match func(services.Instance) bool) services.Instance {
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
	next := &publishedState{plans: make(map[string]*Plan, len(d.order))}
	for _, id := range d.order {
		r := d.shifts[id]
		s := r.shift
		next.plans[s.Service] = &Plan{
			ID: id, From: s.From, To: s.To, Share: r.machine.Share(), Step: r.machine.Step(), Salt: xxhash.Sum64String(id),
			Stopped: r.machine.State() == rollout.RolledBack,
		}
		leads := false
		if r.keeper != nil {
			_, leads = r.keeper.Held()
		}
		next.status = append(next.status, Status{
			ID: id, Service: s.Service, From: s.From, To: s.To, By: s.Deadline,
			State: r.machine.State().String(), Share: r.machine.Share(), Reason: r.machine.Reason(), Leader: leads, Recorded: r.machine.Recorded(),
		})
	}
	d.published.Store(next)
}
