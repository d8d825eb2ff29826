package rollout

import (
	"fmt"
	"time"

	"github.com/jayridge/jayridge/process/event"
)

// checkDeadline rolls back at the deadline, and reports early that it cannot be met.
func (m *Machine) checkDeadline(now time.Time, out *Output) {
	if m.stopped || m.record.State >= Full {
		return
	}
	if m.pastDeadline(now) {
		// Without a holder all processes come to this point at the same time; those that never held the lease leave the record and the
		// message to the next holder.
		m.stop(out, "deadline reached without enough evidence: "+m.lack(), m.lease.Fence != 0)
		return
	}
	if m.reported || !m.holds() || m.record.State == Pending {
		return
	}
	if end := m.expected(now); end.After(m.shift.By) {
		m.reported = true
		m.say(out, event.RolloutAdvanced, "the deadline %s will probably not be met: %s", m.shift.By.UTC().Format(time.RFC3339), m.lack())
	}
}

// pastDeadline reports whether this process rolls the shift back for its deadline. A process without the lease waits for Grace,
// and for a read after the deadline or for an outage that began before it, so that it does not stop a shift whose last advance it
// has not seen.
func (m *Machine) pastDeadline(now time.Time) bool {
	if m.holds() && !m.down {
		return !now.Before(m.shift.By)
	}
	if m.record.State == Pending || now.Before(m.shift.By.Add(m.config.Grace)) {
		return false
	}
	if m.down {
		return m.downSince.Before(m.shift.By)
	}
	return m.lastRead.After(m.shift.By)
}

// lack says which evidence is missing, in one line.
func (m *Machine) lack() string {
	if m.record.State == Pending {
		return "the shift never started"
	}
	missing, have, name := m.test.Missing()
	if missing == 0 {
		return fmt.Sprintf("too little time for the steps after %.3g%%", m.record.Share*100)
	}
	return fmt.Sprintf("at %.3g%%, %s needs %.0f requests to %s and has %.0f",
		m.record.Share*100, name, missing+have, m.shift.To, have)
}

// minRateWindows is the number of windows from which a rate of requests is extrapolated.
const minRateWindows = 12

// maxWait bounds an extrapolated number of windows, so that it does not overflow as a duration.
const maxWait = 1e6

// expected returns when the shift would be at 100% if it advanced as soon as it may.
func (m *Machine) expected(now time.Time) time.Time {
	left := len(m.steps) - 1 - int(m.record.Step)
	earliest := now
	if leave := m.record.since().Add(m.config.MinStep); leave.After(now) {
		earliest = leave
	}
	earliest = earliest.Add(time.Duration(left-1) * m.config.MinStep)
	if m.windows < minRateWindows {
		return earliest
	}
	gathered := now.Add(time.Duration(min(m.wait, maxWait) * float64(m.config.Window)))
	if gathered.After(earliest) {
		return gathered
	}
	return earliest
}

// advance proposes the next step when its time has come and the evidence suffices.
func (m *Machine) advance(now time.Time, out *Output) {
	if m.stopped || !m.holds() || !m.due(now) {
		return
	}
	if m.record.Fence != m.lease.Fence && m.record.State != Pending {
		m.takeOver(now, out)
		return
	}
	if now.Before(m.leaseFrom.Add(m.config.Settle)) {
		return
	}
	switch m.record.State {
	case Pending:
		m.propose(now, out, 0)
	case Canary, Ramping:
		if m.mayLeave(now) {
			m.propose(now, out, m.record.Step+1)
		}
	case Full:
		m.complete(now, out)
	case Verifying:
		m.verify(now, out)
	}
}

// takeOver writes the unchanged record with the new fencing token, so that a write of the previous holder that is still under
// way conflicts.
func (m *Machine) takeOver(now time.Time, out *Output) {
	r := m.record
	r.Fence = m.lease.Fence
	m.write(now, out, r)
}

// mayLeave reports whether the step has lasted long enough and has enough evidence. The time that the plan leaves is divided
// evenly among the steps, because a fault may also come with time.
func (m *Machine) mayLeave(now time.Time) bool {
	since := m.record.since()
	stepsLeft := time.Duration(len(m.steps) - 1 - int(m.record.Step))
	stay := max(m.planEnd().Sub(since)/stepsLeft, m.config.MinStep)
	if now.Before(since.Add(stay)) {
		return false
	}
	missing, _, _ := m.test.Missing()
	return missing == 0
}

// planEnd is when the planned pace reaches 100%.
func (m *Machine) planEnd() time.Time {
	total := m.shift.By.Sub(m.record.started())
	return m.shift.By.Add(-time.Duration(float64(total) * m.config.Slack))
}

func (m *Machine) propose(now time.Time, out *Output, step uint8) {
	r := Record{
		ID:        m.shift.ID,
		State:     Ramping,
		Step:      step,
		Share:     m.config.shareAt(m.steps, step),
		Fence:     m.lease.Fence,
		StartedMS: m.record.StartedMS,
		SinceMS:   now.UnixMilli(),
		Past:      m.test.Past(),
	}
	switch {
	case step == 0:
		r.State = Canary
		r.StartedMS = now.UnixMilli()
	case r.Share == 1:
		r.State = Full
	case int(step) >= len(m.steps):
		r.State = Verifying
		r.Past = nil
	}
	m.write(now, out, r)
}

// verify ends a comparison: back to 100% with enough evidence, which has not blamed the new version, or back to the old version if
// there is none within Monitor.
func (m *Machine) verify(now time.Time, out *Output) {
	missing, _, _ := m.test.Missing()
	if missing == 0 && !now.Before(m.record.since().Add(m.config.MinStep)) {
		m.propose(now, out, m.record.Step+1)
		return
	}
	if !now.Before(m.record.since().Add(m.config.Monitor)) {
		m.stop(out, "not enough evidence after the new version looked worse at 100%: "+m.lack(), true)
	}
}

// complete ends the monitoring, or starts a comparison if the new version is suspected.
func (m *Machine) complete(now time.Time, out *Output) {
	if m.suspicion != "" {
		m.propose(now, out, m.record.Step+1)
		return
	}
	if now.Before(m.record.since().Add(m.config.Monitor)) {
		return
	}
	r := m.record
	r.State = Done
	r.Fence = m.lease.Fence
	r.SinceMS = now.UnixMilli()
	m.write(now, out, r)
}
