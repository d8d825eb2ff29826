package rollout

import (
	"errors"
	"time"

	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/services"
)

// RecordRead takes the record as read from the platform.
func (m *Machine) RecordRead(now time.Time, r Record, revision services.Revision) Output {
	m.down = false
	m.lastRead = now
	return m.RecordHeard(now, r, revision)
}

// RecordHeard takes the record as another process passed it on. While the platform is unreachable only a stop is taken from it.
func (m *Machine) RecordHeard(now time.Time, r Record, revision services.Revision) Output {
	var out Output
	if r.ID == m.shift.ID {
		m.adopt(&out, r, revision)
	}
	return m.finish(now, out)
}

// RecordMissing says that the platform answered that there is no record.
func (m *Machine) RecordMissing(now time.Time) Output {
	m.known = true
	m.lastRead = now
	m.down = false
	return m.finish(now, Output{})
}

// Written says that a write took effect.
func (m *Machine) Written(now time.Time, w Write, revision services.Revision) Output {
	m.writing = false
	return m.RecordRead(now, w.Record, revision)
}

// WriteFailed says that a write failed, or that it was not sent because the lease was lost. The error is one of those of
// services.KV; after an unknown outcome or a conflict the record is read again.
func (m *Machine) WriteFailed(now time.Time, err error) Output {
	m.writing = false
	var out Output
	if errors.Is(err, services.ErrUnavailable) {
		m.setDown(now)
		return m.finish(now, out)
	}
	m.known = false
	m.notBefore = now
	m.read(now, &out)
	return m.finish(now, out)
}

// PlatformUp says that the platform answers again, for a process that does not read the record itself.
func (m *Machine) PlatformUp(now time.Time) Output {
	m.down = false
	return m.finish(now, Output{})
}

// PlatformDown says that the platform could not be reached. From then on the share does not rise until a read succeeds.
func (m *Machine) PlatformDown(now time.Time) Output {
	m.setDown(now)
	return m.finish(now, Output{})
}

func (m *Machine) setDown(now time.Time) {
	if m.down {
		return
	}
	m.down = true
	m.downSince = now
	m.notBefore = now.Add(m.config.RetryEvery)
}

// adopt merges a record: a stop wins over everything, else the higher revision wins, unless its fencing token is lower than one
// that was seen before.
func (m *Machine) adopt(out *Output, r Record, revision services.Revision) {
	if r.State == RolledBack {
		m.stopRecorded = true
		m.revision = max(m.revision, revision)
		m.known = true
		m.stop(out, r.Reason, false)
		return
	}
	if m.down || revision < m.revision {
		return
	}
	m.known = true
	m.revision = revision
	if r.Fence < m.topFence {
		return
	}
	m.topFence = r.Fence
	previous := m.record
	m.record = r
	m.test.SetPast(r.Past)
	if r.Step != previous.Step || previous.State == Pending {
		m.test.BeginStep(r.Step)
		m.windows = 0
		m.suspicion = ""
	}
	if m.lease.Held && r.Fence == m.lease.Fence && (r.State != previous.State || r.Step != previous.Step) {
		m.announce(out)
	}
}

// announce tells the operators of the lease holder's own advance.
func (m *Machine) announce(out *Output) {
	percent := m.record.Share * 100
	switch m.record.State {
	case Canary:
		m.say(out, event.RolloutStarted, "started at %.3g%%, to be at 100%% by %s", percent, m.shift.By.UTC().Format(time.RFC3339))
	case Ramping:
		m.say(out, event.RolloutAdvanced, "judged good so far, now at %.3g%%", percent)
	case Full:
		m.say(out, event.RolloutAdvanced, "at 100%%; %s is kept and outcomes are judged for %v more", m.shift.From, m.config.Monitor)
	case Verifying:
		m.say(out, event.RolloutAdvanced, "lowered to %.3g%% to compare with %s again", percent, m.shift.From)
	case Done:
		m.say(out, event.RolloutDone, "done, %s is no longer needed", m.shift.From)
	}
}
