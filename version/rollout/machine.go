package rollout

import (
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// Lease is the state of the lease on the shift's service at the time of a tick, as this process sees it.
type Lease struct {
	Held  bool
	Fence uint64
}

// Machine is the state machine of one shift in one process. Every process runs one: an entry uses it to obtain the share, an
// aggregator can roll a bad version back on the evidence of its data centre, and the lease holder also advances the shift. The
// share rises only after the record with the higher share has been read or its write confirmed. While the platform is unreachable it
// rises only if another process reports that the shift is done. Every input method returns the complete Output.
type Machine struct {
	config Config
	shift  Shift
	steps  []float64
	test   *SequentialTest

	record   Record
	revision services.Revision
	// recordKnown is set once the record has been read or found missing.
	recordKnown bool
	lastRead    time.Time

	// lease keeps its last fencing token after the lease is lost.
	lease      Lease
	leaseSince time.Time
	// highestFence is the highest fencing token seen in a record.
	highestFence uint64

	writing     bool
	nextAttempt time.Time

	platformDown      bool
	platformDownSince time.Time
	// outageShare is the highest share until the platform is reachable again, unless the shift is done.
	outageShare float64

	rollbackReason    string
	rolledBack        bool
	rolledBackLocally bool
	// outcomeRecorded is set while the platform is known to hold the final state, Done or RolledBack, that this machine is in.
	outcomeRecorded bool
	// recordLost is set if the platform no longer has the record.
	recordLost bool

	observed observation

	// suspicion is the reason for a new comparison at a lower share, empty if none is pending.
	suspicion string
	// stepWindows is the number of windows with evidence since the current step began.
	stepWindows float64
	// waitWindows is the lease holder's last estimate of the number of windows until all steps have enough evidence.
	waitWindows    float64
	deadlineWarned bool
}

// NewMachine returns a machine without a record. The config and the shift must be valid.
func NewMachine(config Config, shift Shift, now time.Time) *Machine {
	return &Machine{
		config: config,
		shift:  shift,
		steps:  config.Steps(shift.MaxCanaryShare),
		test:   NewSequentialTest(config, shift, now),
		record: Record{ID: shift.ID},
	}
}

// State returns the state of the shift as seen by this process.
func (m *Machine) State() State {
	if m.rolledBack {
		return RolledBack
	}
	return m.record.State
}

// Share returns the new version's share of the traffic.
func (m *Machine) Share() float64 {
	switch {
	case m.rolledBack:
		return 0
	case m.platformDown && m.record.State != Done:
		return min(m.record.Share, m.outageShare)
	default:
		return m.record.Share
	}
}

// Step returns the step that Share belongs to, for use in Observation.Step.
func (m *Machine) Step() uint8 { return m.record.Step }

// Reason returns why the shift was rolled back, empty if it was not.
func (m *Machine) Reason() string { return m.rollbackReason }

// Recorded reports whether the platform is known to hold the state. A state that is not recorded may still be replaced by that of
// another process and must not be reported as the outcome of the shift.
func (m *Machine) Recorded() bool {
	return m.recordKnown && !m.platformDown && (!m.ended() || m.outcomeRecorded)
}

// ended reports whether the shift is in a final state.
func (m *Machine) ended() bool { return m.rolledBack || m.record.State == Done }

// Tick advances the time. The driver calls it at least once per window with the current lease. The lease holder must receive the
// evidence of all data centres.
func (m *Machine) Tick(now time.Time, lease Lease) Output {
	m.setLease(now, lease)
	var out Output
	if m.recordKnown || m.platformDown {
		m.checkDeadline(now, &out)
	}
	if m.recordKnown && !m.platformDown {
		m.advance(now, &out)
	}
	if m.lease.Held && (m.platformDown || !m.recordKnown) {
		m.requestRead(now, &out)
	}
	return m.finish(now, out)
}

func (m *Machine) setLease(now time.Time, lease Lease) {
	if lease.Held && (!m.lease.Held || lease.Fence != m.lease.Fence) {
		m.leaseSince = now
		// Another holder may have written since the last read.
		m.recordKnown = false
	}
	if lease.Held {
		m.lease = lease
		return
	}
	m.lease.Held = false
}

// handleSuspicion requests a new comparison at a lower share, or rolls the shift back if a comparison is impossible or has
// already been made. Only the process that wrote the record does so, because it has the evidence of all data centres.
func (m *Machine) handleSuspicion(out *Output, reason string) {
	if m.lease.Fence == 0 || m.lease.Fence != m.record.Fence {
		return
	}
	if m.platformDown || !m.lease.Held || int(m.record.Step) >= len(m.steps) {
		m.rollBack(out, reason, true)
		return
	}
	m.suspicion = reason
}

// countWindows adds the windows with evidence of the current step to stepWindows. The cells are sorted by window.
func (m *Machine) countWindows(cells []Cell) {
	last := int64(-1)
	for _, c := range cells {
		if c.Key.Step == m.record.Step && c.Key.Window != last {
			last = c.Key.Window
			m.stepWindows++
		}
	}
}

// mayAdvance reports whether this process may advance the shift: it holds the lease, and no record with a higher fencing token
// has been seen.
func (m *Machine) mayAdvance() bool { return m.lease.Held && m.lease.Fence >= m.highestFence }

// Evidence processes the cells of closed windows, as returned by Aggregator.CloseWindows.
func (m *Machine) Evidence(now time.Time, cells []Cell) Output {
	var out Output
	if m.rolledBack || m.record.State == Done {
		return m.finish(now, out)
	}
	m.countWindows(cells)
	v := m.test.Observe(cells)
	switch {
	case v.Rejected && m.record.State != Pending:
		m.rollBack(&out, v.Reason, true)
	case v.Suspected && m.record.State == Full:
		m.handleSuspicion(&out, v.Reason)
	}
	if m.lease.Held && m.record.State < Full {
		m.waitWindows = m.test.ExpectedWindows(m.stepWindows)
	}
	return m.finish(now, out)
}

// RollbackReceived processes the rollback decision of another process, received by gossip. It has no effect once the shift is done.
func (m *Machine) RollbackReceived(now time.Time, stop wire.RolloutStop) Output {
	var out Output
	if stop.Rollout == m.shift.ID {
		m.rollBack(&out, stop.Reason, false)
	}
	return m.finish(now, out)
}

func (m *Machine) rollBack(out *Output, reason string, local bool) {
	if m.rolledBack || m.record.State == Done {
		return
	}
	m.rolledBack = true
	m.rolledBackLocally = local
	m.rollbackReason = reason
	if local || m.lease.Held {
		m.addMessage(out, event.RolloutStopped, "rolled back, %s receives all traffic again: %s", m.shift.From, reason)
	}
}

// revertRollback drops a rollback decision that was made before this process learned that the shift is done.
func (m *Machine) revertRollback(out *Output) {
	if !m.rolledBack {
		return
	}
	m.addMessage(out, event.RolloutDone, "done, another process completed it before the rollback was recorded: %s", m.rollbackReason)
	m.rolledBack, m.rolledBackLocally = false, false
	m.rollbackReason = ""
}

// finish adds the share to the output and, after a rollback decision, the decision. In a final state it also requests the write of the
// record if the platform does not hold that state.
func (m *Machine) finish(now time.Time, out Output) Output {
	if m.rolledBack {
		out.Stop = &wire.RolloutStop{Rollout: m.shift.ID, Reason: m.rollbackReason}
	}
	if m.ended() {
		m.recordOutcome(now, &out)
	}
	out.Share = m.Share()
	return out
}

// recordOutcome persists the final state: a rollback decision that was just made, or an outcome that the platform lost when it came back
// from an older copy. Only the lease holder and the process that decided to roll back write it, because writes from the whole fleet would
// exceed the platform's write capacity.
func (m *Machine) recordOutcome(now time.Time, out *Output) {
	if m.outcomeRecorded || (!m.rolledBackLocally && !m.lease.Held) || out.Read || !m.attemptDue(now) {
		return
	}
	if m.platformDown || !m.recordKnown {
		m.requestRead(now, out)
		return
	}
	r := m.record
	if m.rolledBack {
		r.State = RolledBack
		r.Share = 0
		r.SinceMS = now.UnixMilli()
		r.Reason = m.rollbackReason
		r.Fence = m.highestFence
	} else {
		r.Fence = m.lease.Fence
	}
	m.requestWrite(now, out, r)
}

// attemptDue reports whether the record may be read or written now.
func (m *Machine) attemptDue(now time.Time) bool { return !m.writing && !now.Before(m.nextAttempt) }

func (m *Machine) requestRead(now time.Time, out *Output) {
	if m.attemptDue(now) {
		m.nextAttempt = now.Add(m.config.RetryEvery)
		out.Read = true
	}
}

func (m *Machine) requestWrite(now time.Time, out *Output, r Record) {
	m.writing = true
	m.nextAttempt = now.Add(m.config.RetryEvery)
	previous := m.revision
	if m.recordLost {
		previous = 0
	}
	out.Write = &Write{Record: r, Previous: previous}
}
