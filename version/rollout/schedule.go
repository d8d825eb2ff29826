package rollout

import (
	"fmt"
	"time"

	"github.com/jayridge/jayridge/process/event"
)

// checkDeadline rolls the shift back at the deadline if the old version still has upstreams, and warns in advance if the deadline will
// probably not be met.
func (m *Machine) checkDeadline(now time.Time, out *Output) {
	if m.rolledBack || m.record.State >= Full {
		return
	}
	if m.deadlineExpired(now) {
		if !m.canRollBack(now) {
			return
		}
		// Without a lease holder, all processes reach the deadline at the same time. Those that never held the lease leave the
		// record and the message to the next holder.
		m.rollBack(out, "deadline reached without enough evidence: "+m.missingEvidence(), m.lease.Fence != 0)
		return
	}
	if m.deadlineWarned || !m.mayAdvance() || m.record.State == Pending {
		return
	}
	if end := m.expectedCompletion(now); end.After(m.shift.Deadline) {
		m.deadlineWarned = true
		m.addMessage(out, event.RolloutAdvanced, "the deadline %s will probably not be met: %s", m.shift.Deadline.UTC().Format(time.RFC3339), m.missingEvidence())
	}
}

// deadlineExpired reports whether this process must roll the shift back because of its deadline. A process without the lease
// waits for DeadlineGrace. It also requires a read after the deadline or an outage that began before it, so that it does not roll
// back a shift whose last advance it has not seen.
func (m *Machine) deadlineExpired(now time.Time) bool {
	if m.mayAdvance() && !m.platformDown {
		return !now.Before(m.shift.Deadline) && !now.Before(m.leaseSince.Add(m.config.SettleTime))
	}
	if m.record.State == Pending || now.Before(m.shift.Deadline.Add(m.config.DeadlineGrace)) {
		return false
	}
	if m.platformDown {
		return m.platformDownSince.Before(m.shift.Deadline)
	}
	return m.lastRead.After(m.shift.Deadline)
}

// missingEvidence describes the missing evidence in a single line.
func (m *Machine) missingEvidence() string {
	if m.record.State == Pending {
		return "the shift never started"
	}
	missing, received, name := m.test.MissingRequests()
	if missing == 0 {
		return fmt.Sprintf("too little time for the steps after %.3g%%", m.record.Share*100)
	}
	return fmt.Sprintf("at %.3g%%, %s needs %.0f requests to %s and has %.0f",
		m.record.Share*100, name, missing+received, m.shift.To, received)
}

// minRateWindows is the minimum number of windows for extrapolating the request rate.
const minRateWindows = 12

// maxWaitWindows bounds the extrapolated number of windows, so that its conversion to a duration does not overflow.
const maxWaitWindows = 1e6

// expectedCompletion returns when the shift would reach 100% if it advanced at the earliest possible times.
func (m *Machine) expectedCompletion(now time.Time) time.Time {
	left := len(m.steps) - 1 - int(m.record.Step)
	earliest := now
	if leave := m.record.since().Add(m.config.MinStep); leave.After(now) {
		earliest = leave
	}
	earliest = earliest.Add(time.Duration(left-1) * m.config.MinStep)
	if m.stepWindows < minRateWindows {
		return earliest
	}
	evidenceAt := now.Add(time.Duration(min(m.waitWindows, maxWaitWindows) * float64(m.config.Window)))
	if evidenceAt.After(earliest) {
		return evidenceAt
	}
	return earliest
}

// advance requests the write of the next step or state once its time has come and the evidence is sufficient.
func (m *Machine) advance(now time.Time, out *Output) {
	if m.rolledBack || !m.mayAdvance() || !m.attemptDue(now) {
		return
	}
	if m.record.Fence != m.lease.Fence && m.record.State != Pending {
		m.takeOver(now, out)
		return
	}
	if now.Before(m.leaseSince.Add(m.config.SettleTime)) {
		return
	}
	late := !now.Before(m.shift.Deadline)
	switch {
	case late && m.record.State != Done && m.onlyNewVersionLeft(now):
		m.proposeDone(now, out)
		return
	case late && m.record.State < Full:
		return // the share no longer rises; the shift ends once it is clear which version is left
	}
	switch m.record.State {
	case Pending:
		m.proposeStep(now, out, 0)
	case Canary, Ramping:
		if m.stepComplete(now) {
			m.proposeStep(now, out, m.record.Step+1)
		}
	case Full:
		m.endMonitoring(now, out)
	case Verifying:
		m.endVerification(now, out)
	}
}

// takeOver writes the unchanged record with the new fencing token, so that a write of the previous holder that is still in flight
// conflicts.
func (m *Machine) takeOver(now time.Time, out *Output) {
	r := m.record
	r.Fence = m.lease.Fence
	m.requestWrite(now, out, r)
}

// stepComplete reports whether the step has lasted long enough and has enough evidence. The remaining planned time is divided
// evenly among the remaining steps, because some defects appear only after a while.
func (m *Machine) stepComplete(now time.Time) bool {
	since := m.record.since()
	// A record read from the platform may be in a state that does not belong to its step.
	stepsLeft := time.Duration(max(1, len(m.steps)-1-int(m.record.Step)))
	stay := max(m.plannedEnd().Sub(since)/stepsLeft, m.config.MinStep)
	if now.Before(since.Add(stay)) {
		return false
	}
	missing, _, _ := m.test.MissingRequests()
	return missing == 0
}

// plannedEnd returns when the schedule reaches 100%.
func (m *Machine) plannedEnd() time.Time {
	total := m.shift.Deadline.Sub(m.record.started())
	return m.shift.Deadline.Add(-time.Duration(float64(total) * m.config.PlanReserve))
}

// proposeStep requests the write of a record that begins the step.
func (m *Machine) proposeStep(now time.Time, out *Output, step uint8) {
	r := Record{
		ID:        m.shift.ID,
		State:     Ramping,
		Step:      step,
		Share:     m.config.shareAtStep(m.steps, step),
		Fence:     m.lease.Fence,
		StartedMS: m.record.StartedMS,
		SinceMS:   now.UnixMilli(),
		History:   m.test.History(),
	}
	switch {
	case step == 0:
		r.State = Canary
		r.StartedMS = now.UnixMilli()
	case r.Share == 1:
		r.State = Full
	case int(step) >= len(m.steps):
		r.State = Verifying
		r.History = nil
	}
	m.requestWrite(now, out, r)
}

// endVerification ends a comparison at a lower share. The shift returns to 100% if there is enough evidence and the new version
// was not rejected, and is rolled back if there is not enough evidence within MonitorTime.
func (m *Machine) endVerification(now time.Time, out *Output) {
	missing, _, _ := m.test.MissingRequests()
	if missing == 0 && !now.Before(m.record.since().Add(m.config.MinStep)) {
		m.proposeStep(now, out, m.record.Step+1)
		return
	}
	if !now.Before(m.record.since().Add(m.config.MonitorTime)) && m.canRollBack(now) {
		m.rollBack(out, "not enough evidence after the new version looked worse at 100%: "+m.missingEvidence(), true)
	}
}

// endMonitoring ends the shift after the monitoring, or starts a comparison at a lower share if there is a suspicion.
func (m *Machine) endMonitoring(now time.Time, out *Output) {
	if m.suspicion != "" {
		m.proposeStep(now, out, m.record.Step+1)
		return
	}
	if m.onlyOldVersionLeft(now) {
		m.rollBack(out, "no upstream of the new version is left", true)
		return
	}
	if now.Before(m.record.since().Add(m.config.MonitorTime)) || !m.canComplete() {
		return
	}
	m.proposeDone(now, out)
}

// proposeDone requests the write of a record that ends the shift.
func (m *Machine) proposeDone(now time.Time, out *Output) {
	r := m.record
	r.State = Done
	r.Share = 1
	r.Fence = m.lease.Fence
	r.SinceMS = now.UnixMilli()
	if r.StartedMS == 0 {
		r.StartedMS = r.SinceMS
	}
	m.requestWrite(now, out, r)
}
