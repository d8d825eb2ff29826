package rollout

import (
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// Lease is what the process knows of the lease on the shift's service at the time of a tick.
type Lease struct {
	Held  bool
	Fence uint64
}

// Machine is the state of one shift in one process. Every process runs one: the entries to know the share, an aggregator to
// stop a bad version on the evidence of its data centre, the lease holder to advance as well. The share rises only when a
// record that says so has been read or its write confirmed, and never while the platform is unreachable. Every input returns the
// complete Output.
type Machine struct {
	config Config
	shift  Shift
	steps  []float64
	test   *Test

	record   Record
	revision services.Revision
	// known is set once the record has been read or found missing.
	known    bool
	lastRead time.Time

	// lease keeps the last fencing token after the lease was lost.
	lease     Lease
	leaseFrom time.Time
	// topFence is the highest fencing token seen in a record.
	topFence uint64

	writing   bool
	notBefore time.Time

	down      bool
	downSince time.Time

	stopReason   string
	stopped      bool
	stopIsOwn    bool
	stopRecorded bool

	// suspicion is the reason for a comparison at a lower share, empty if none is due.
	suspicion string
	// windows is the number of windows judged since the current step began.
	windows float64
	// wait is the number of windows until there is enough evidence for all steps, as the lease holder last estimated it.
	wait     float64
	reported bool
}

// NewMachine returns a machine that knows no record yet. Its config and shift must be valid.
func NewMachine(config Config, shift Shift, now time.Time) *Machine {
	return &Machine{
		config: config,
		shift:  shift,
		steps:  config.Steps(shift.Cap),
		test:   NewTest(config, shift, now),
		record: Record{ID: shift.ID},
	}
}

// State returns the state of the shift as this process knows it.
func (m *Machine) State() State {
	if m.stopped {
		return RolledBack
	}
	return m.record.State
}

// Share returns the new version's share of the traffic.
func (m *Machine) Share() float64 {
	if m.stopped {
		return 0
	}
	return m.record.Share
}

// Step returns the step that goes with Share, for Observation.Step.
func (m *Machine) Step() uint8 { return m.record.Step }

// Reason returns why the shift was rolled back, empty if it was not.
func (m *Machine) Reason() string { return m.stopReason }

// Tick advances the time. The driver calls it at least once per window with the lease as it is now. The holder of the lease must
// receive the evidence of all data centres.
func (m *Machine) Tick(now time.Time, lease Lease) Output {
	m.setLease(now, lease)
	var out Output
	if m.known || m.down {
		m.checkDeadline(now, &out)
	}
	if m.known && !m.down {
		m.advance(now, &out)
	}
	if m.lease.Held && (m.down || !m.known) {
		m.read(now, &out)
	}
	return m.finish(now, out)
}

func (m *Machine) setLease(now time.Time, lease Lease) {
	if lease.Held && (!m.lease.Held || lease.Fence != m.lease.Fence) {
		m.leaseFrom = now
		// Another holder may have written since the last read.
		m.known = false
	}
	if lease.Held {
		m.lease = lease
		return
	}
	m.lease.Held = false
}

// suspect asks for a comparison at a lower share, or stops if that cannot be had or was made before. Only the process that wrote the
// record does, because it has the evidence of all data centres.
func (m *Machine) suspect(out *Output, reason string) {
	if m.lease.Fence == 0 || m.lease.Fence != m.record.Fence {
		return
	}
	if m.down || !m.lease.Held || int(m.record.Step) >= len(m.steps) {
		m.stop(out, reason, true)
		return
	}
	m.suspicion = reason
}

// countWindows counts the windows with evidence of the current step.
func (m *Machine) countWindows(cells []Cell) {
	last := int64(-1)
	for _, c := range cells {
		if c.Key.Step == m.record.Step && c.Key.Window != last {
			last = c.Key.Window
			m.windows++
		}
	}
}

// holds reports whether this process may advance the shift.
func (m *Machine) holds() bool { return m.lease.Held && m.lease.Fence >= m.topFence }

// Evidence takes the cells of closed windows, as Aggregator.Close returns them.
func (m *Machine) Evidence(now time.Time, cells []Cell) Output {
	var out Output
	if m.stopped || m.record.State == Done {
		return m.finish(now, out)
	}
	m.countWindows(cells)
	v := m.test.Observe(cells)
	switch {
	case v.Blamed && m.record.State != Pending:
		m.stop(&out, v.Reason, true)
	case v.Suspected && m.record.State == Full:
		m.suspect(&out, v.Reason)
	}
	if m.lease.Held && m.record.State < Full {
		m.wait = m.test.Expected(m.windows)
	}
	return m.finish(now, out)
}

// StopReceived takes a stop that another process decided, from gossip.
func (m *Machine) StopReceived(now time.Time, stop wire.RolloutStop) Output {
	var out Output
	if stop.Rollout == m.shift.ID {
		m.stop(&out, stop.Reason, false)
	}
	return m.finish(now, out)
}

func (m *Machine) stop(out *Output, reason string, own bool) {
	if m.stopped {
		return
	}
	m.stopped = true
	m.stopIsOwn = own
	m.stopReason = reason
	if own || m.lease.Held {
		m.say(out, event.RolloutStopped, "undone, %s has all traffic again: %s", m.shift.From, reason)
	}
}

// finish adds to the output what follows from the state.
func (m *Machine) finish(now time.Time, out Output) Output {
	if m.stopped {
		out.Stop = &wire.RolloutStop{Rollout: m.shift.ID, Reason: m.stopReason}
		m.recordStop(now, &out)
	}
	out.Share = m.Share()
	return out
}

// recordStop writes the stop down. Only the process that decided it and the lease holder do, because the writes of a whole fleet
// would exceed what the platform sustains.
func (m *Machine) recordStop(now time.Time, out *Output) {
	if m.stopRecorded || (!m.stopIsOwn && !m.lease.Held) || out.Read || !m.due(now) {
		return
	}
	if m.down || !m.known {
		m.read(now, out)
		return
	}
	r := m.record
	r.State = RolledBack
	r.Share = 0
	r.SinceMS = now.UnixMilli()
	r.Reason = m.stopReason
	r.Fence = m.topFence
	m.write(now, out, r)
}

func (m *Machine) due(now time.Time) bool { return !m.writing && !now.Before(m.notBefore) }

func (m *Machine) read(now time.Time, out *Output) {
	if m.due(now) {
		m.notBefore = now.Add(m.config.RetryEvery)
		out.Read = true
	}
}

func (m *Machine) write(now time.Time, out *Output, r Record) {
	m.writing = true
	m.notBefore = now.Add(m.config.RetryEvery)
	out.Write = &Write{Record: r, Previous: m.revision}
}
