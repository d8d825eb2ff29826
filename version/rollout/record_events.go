package rollout

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// RecordRead processes the record as read from the platform.
func (m *Machine) RecordRead(now time.Time, r Record, revision services.Revision) Output {
	m.platformDown = false
	m.lastRead = now
	return m.RecordForwarded(now, r, revision)
}

// RecordForwarded processes a record forwarded by another process. While the platform is unreachable, the record's share takes effect
// only if it is lower or the shift is done.
func (m *Machine) RecordForwarded(now time.Time, r Record, revision services.Revision) Output {
	var out Output
	if r.ID == m.shift.ID {
		m.mergeRecord(&out, r, revision)
	}
	return m.finish(now, out)
}

// RecordMissing must be called when a read finds no record.
func (m *Machine) RecordMissing(now time.Time) Output {
	m.recordKnown = true
	m.recordLost = true
	m.outcomeRecorded = false
	m.lastRead = now
	m.platformDown = false
	return m.finish(now, Output{})
}

// WriteSucceeded must be called when a write took effect.
func (m *Machine) WriteSucceeded(now time.Time, w Write, revision services.Revision) Output {
	m.writing = false
	return m.RecordRead(now, w.Record, revision)
}

// WriteFailed must be called when a write failed, or was not sent because the lease was lost. The error is one of those of
// services.KV; after an unknown outcome or a conflict the record is read again.
func (m *Machine) WriteFailed(now time.Time, err error) Output {
	m.writing = false
	var out Output
	if errors.Is(err, services.ErrUnavailable) {
		m.markPlatformDown(now)
		return m.finish(now, out)
	}
	m.recordKnown = false
	m.nextAttempt = now
	m.requestRead(now, &out)
	return m.finish(now, out)
}

// PlatformUp is called when the platform is reachable again, by processes that do not read the record themselves.
func (m *Machine) PlatformUp(now time.Time) Output {
	m.platformDown = false
	return m.finish(now, Output{})
}

// PlatformDown must be called when the platform is unreachable. The share does not rise until a read succeeds.
func (m *Machine) PlatformDown(now time.Time) Output {
	m.markPlatformDown(now)
	return m.finish(now, Output{})
}

func (m *Machine) markPlatformDown(now time.Time) {
	if m.platformDown {
		return
	}
	m.outageShare = m.Share()
	m.platformDown = true
	m.platformDownSince = now
	m.nextAttempt = now.Add(m.config.RetryEvery)
}

// mergeRecord adopts a record if it takes precedence over the current one. Nothing takes precedence over the state Done, in which
// the old version's upstreams are stopped. A record in state RolledBack takes precedence over all other states; otherwise the higher
// revision does, unless its fencing token is lower than one that was seen before. A platform that came back from an older copy may hold an
// earlier state, and gives out fencing tokens again.
func (m *Machine) mergeRecord(out *Output, r Record, revision services.Revision) {
	restored := revision.Epoch() > m.revision.Epoch()
	stale := revision < m.revision
	if !stale {
		m.revision = revision
		m.recordKnown, m.recordLost = true, false
		m.outcomeRecorded = r.State == Done || r.State == RolledBack && m.State() != Done
	}
	switch {
	case m.State() == Done:
		return
	case r.State == RolledBack:
		m.rollBack(out, r.Reason, false)
		return
	case stale && (r.State != Done || revision.Epoch() == m.revision.Epoch()):
		return
	case r.Fence < m.highestFence && !restored && !stale:
		return
	}
	m.highestFence = r.Fence
	previous := m.record
	m.record = r
	if m.platformDown {
		m.outageShare = min(m.outageShare, r.Share)
	}
	if r.State == Done {
		m.outcomeRecorded = !stale
		m.revertRollback(out)
	}
	m.test.SetHistory(r.History)
	if r.Step != previous.Step || previous.State == Pending {
		m.test.BeginStep(r.Step)
		m.stepWindows = 0
		m.suspicion = ""
	}
	if m.lease.Held && r.Fence == m.lease.Fence && (r.State != previous.State || r.Step != previous.Step) {
		m.reportProgress(out)
	}
}

// reportProgress adds a message about a state or step change that this process made as the lease holder.
func (m *Machine) reportProgress(out *Output) {
	percent := m.record.Share * 100
	switch m.record.State {
	case Canary:
		m.addMessage(out, event.RolloutStarted, "started at %.3g%%, to be at 100%% by %s", percent, m.shift.Deadline.UTC().Format(time.RFC3339))
	case Ramping:
		m.addMessage(out, event.RolloutAdvanced, "no regression detected so far, share raised to %.3g%%", percent)
	case Full:
		m.addMessage(out, event.RolloutAdvanced, "at 100%%; %s is kept and outcomes are monitored for another %v", m.shift.From, m.config.MonitorTime)
	case Verifying:
		m.addMessage(out, event.RolloutAdvanced, "share lowered to %.3g%% to compare with %s again", percent, m.shift.From)
	case Done:
		m.addMessage(out, event.RolloutDone, "done, %s is no longer needed", m.shift.From)
	}
}
