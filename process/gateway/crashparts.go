package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/quarantine"
)

const (
	// soundEvents is the number of events of a stream after which its prompt cannot be what crashes the upstream: a prompt part that crashes
	// upstreams does so as they begin to answer. It is a number and not a time, since upstreams differ in speed.
	soundEvents = 8
	// maxReportedParts is the maximum number of prompt parts of crashes in one report to the neighbours; the rest follows in the next one.
	maxReportedParts = 2048
	// maxQueuedParts is the maximum number of prompt parts of crashes queued for the neighbours. Those beyond it are not sent.
	maxQueuedParts = 16 * maxReportedParts
)

// partReport is what the neighbours have not been told yet about prompt parts.
type partReport struct {
	crashes     []quarantine.PartCrash
	answers     []quarantine.PartAnswer
	quarantined []quarantine.QuarantinedPart
	// queued is the number of parts in crashes.
	queued int
}

func formatPart(id uint64) string { return strconv.FormatUint(id, 36) }

// proveSound records that the upstream answers the request without a crash.
func (a *attempt) proveSound() {
	if a.provenSound {
		return
	}
	a.provenSound = true
	a.call.g.crashes.recordSound(bootclock.Now(), a.call)
}

// recordSound records that the parts of a request's prompt crash no upstream.
func (s *crashTracker) recordSound(now time.Time, c *call) {
	if len(c.partIDs.Answered) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range c.partIDs.Answered {
		answer := quarantine.PartAnswer{Part: quarantine.Part{Service: c.serviceHash(), ID: id}, At: now}
		if s.recordPartAnswer(s.parts.RecordAnswer, answer) {
			s.updateParts(now, false)
		}
	}
}

// recordPartAnswer records an answer by the given method of Parts, forwards it if that returns true and reports whether it did. The caller holds
// s.mu.
func (s *crashTracker) recordPartAnswer(record func(quarantine.PartAnswer) bool, a quarantine.PartAnswer) bool {
	wasQuarantined := s.parts.IsQuarantined(a.Part)
	if !record(a) {
		return false
	}
	if wasQuarantined && !s.parts.IsQuarantined(a.Part) {
		event.Log(event.PartReleased, "part", formatPart(a.Part.ID), "service", a.Part.Service)
		s.queueChange(quarantineChange{part: a.Part, released: true})
	}
	s.partReport.answers = append(s.partReport.answers, a)
	s.wakeSender()
	return true
}

// recordPartCrash records the parts of requests that were in flight at a crash, forwards those that are new and returns them. The caller holds s.mu.
func (s *crashTracker) recordPartCrash(now time.Time, crash quarantine.PartCrash) []uint64 {
	crash.IDs = s.parts.RecordCrash(now, crash)
	if n := len(crash.IDs); n > 0 && s.partReport.queued+n <= maxQueuedParts {
		s.partReport.crashes = append(s.partReport.crashes, crash)
		s.partReport.queued += n
		s.wakeSender()
	}
	return crash.IDs
}

// updateParts quarantines the parts that the crashes point to. own means that this gateway detected the latest crash, so that it writes the newly
// quarantined parts to the store. The caller holds s.mu.
func (s *crashTracker) updateParts(now time.Time, own bool) {
	for _, q := range s.parts.Update(now) {
		s.announce(q, "own", true)
		if own {
			s.queueChange(quarantineChange{part: q.Part, entry: q})
		}
	}
}

// announce queues a quarantined part for the neighbours, and logs it if it is new. The caller holds s.mu.
func (s *crashTracker) announce(q quarantine.QuarantinedPart, source string, isNew bool) {
	if isNew {
		event.Log(event.PartQuarantined, "part", formatPart(q.Part.ID), "service", q.Part.Service, "crashes", q.Crashes, "trials", q.Trials, "source", source)
	}
	s.partReport.quarantined = append(s.partReport.quarantined, q)
	s.wakeSender()
}

// judgeParts returns how long requests with the call's prompt parts are rejected and for which part, zero if they are not.
func (s *crashTracker) judgeParts(now time.Time, c *call) (time.Duration, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.parts.Judge(now, c.partIDs.All, func(p quarantine.Part) bool { return s.isAssigned(p.ID) })
	if v.Trial != nil {
		event.Log(event.PartTrial, "part", formatPart(v.Trial.Part.ID), "trials", v.Trial.Trials, "request", c.id)
		s.partReport.quarantined = append(s.partReport.quarantined, *v.Trial)
		s.wakeSender()
	}
	return v.RetryAfter, v.Part
}

// recordPartsFromPeer records a neighbour's report and forwards what is new.
func (s *crashTracker) recordPartsFromPeer(now time.Time, report *wire.PartReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range report.Answers {
		answer := quarantine.PartAnswer{Part: quarantine.Part{Service: a.Service, ID: a.Part}, At: ago(now, a.AgeMS)}
		if a.Service == wholeRequests {
			s.clearRequest(answer)
			continue
		}
		s.recordPartAnswer(s.parts.RecordPeerAnswer, answer)
	}
	for _, c := range report.Crashes {
		crash := quarantine.PartCrash{Service: c.Service, Upstream: c.Upstream, Started: ago(now, c.StartedAgeMS), At: ago(now, c.AgeMS), IDs: c.Parts}
		s.vouch(now, crash, report.Answers)
		s.recordPartCrash(now, crash)
		// This gateway's own requests there may have ended before it can know why.
		s.recordDetected(now, s.detector.RecordPeerCrash(now, c.Upstream))
	}
	for _, q := range report.Quarantined {
		s.adopt(now, quarantine.QuarantinedPart{
			Part: quarantine.Part{Service: q.Service, ID: q.Part}, Crashes: int(q.Crashes), Trials: int(q.Trials), At: ago(now, q.AgeMS),
		}, "peer")
	}
	s.updateParts(now, false)
}

// vouch tells the neighbours which parts of a crash were answered here recently, except for those that they vouched for themselves. The caller holds
// s.mu.
func (s *crashTracker) vouch(now time.Time, crash quarantine.PartCrash, told []wire.PartAnswer) {
	for _, id := range crash.IDs {
		part := quarantine.Part{Service: crash.Service, ID: id}
		at, protected := s.parts.AnsweredAt(now, part)
		isTold := slices.ContainsFunc(told, func(a wire.PartAnswer) bool { return a.Part == id && a.Service == crash.Service })
		if protected && !isTold {
			s.partReport.answers = append(s.partReport.answers, quarantine.PartAnswer{Part: part, At: at})
			s.wakeSender()
		}
	}
}

// adopt takes over a quarantine that this gateway did not decide on. The caller holds s.mu.
func (s *crashTracker) adopt(now time.Time, q quarantine.QuarantinedPart, source string) {
	isNew := !s.parts.IsQuarantined(q.Part)
	adopted, answer := s.parts.RecordPeerQuarantine(now, q)
	if adopted {
		s.announce(q, source, isNew)
	}
	if answer != nil {
		s.partReport.answers = append(s.partReport.answers, *answer)
		s.wakeSender()
	}
}

// takePartReport returns and clears what is queued for the neighbours about prompt parts, nil if nothing is.
func (s *crashTracker) takePartReport(now time.Time) *wire.PartReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &s.partReport
	if len(r.crashes) == 0 && len(r.answers) == 0 && len(r.quarantined) == 0 {
		return nil
	}
	report := &wire.PartReport{Quarantined: wireQuarantines(now, r.quarantined)}
	for _, a := range r.answers {
		report.Answers = append(report.Answers, wire.PartAnswer{Service: a.Part.Service, Part: a.Part.ID, AgeMS: age(now, a.At)})
	}
	r.answers, r.quarantined = nil, nil
	n, sent := 0, 0
	for ; n < len(r.crashes) && sent < maxReportedParts; n++ {
		sent += len(r.crashes[n].IDs)
	}
	report.Crashes = wireCrashes(now, r.crashes[:n])
	r.crashes = r.crashes[n:]
	if r.queued -= sent; len(r.crashes) > 0 {
		s.wakeSender()
	}
	return report
}

// knownParts returns a report for a new neighbour: all quarantined parts and the latest crashes. It returns nil if there are none.
func (s *crashTracker) knownParts(now time.Time) *wire.PartReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := &wire.PartReport{
		Quarantined: wireQuarantines(now, s.parts.Quarantined()),
		Crashes:     wireCrashes(now, s.parts.LatestCrashes(maxReportedParts)),
	}
	if len(report.Quarantined) == 0 && len(report.Crashes) == 0 {
		return nil
	}
	return report
}

func wireCrashes(now time.Time, crashes []quarantine.PartCrash) []wire.PartCrash {
	var out []wire.PartCrash
	for _, c := range crashes {
		out = append(out, wire.PartCrash{
			Service: c.Service, Upstream: c.Upstream, StartedAgeMS: age(now, c.Started), AgeMS: age(now, c.At), Parts: c.IDs,
		})
	}
	return out
}

func wireQuarantines(now time.Time, all []quarantine.QuarantinedPart) []wire.QuarantinedPart {
	var out []wire.QuarantinedPart
	for _, q := range all {
		out = append(out, wire.QuarantinedPart{
			Service: q.Part.Service, Part: q.Part.ID, Crashes: uint32(q.Crashes), Trials: uint32(q.Trials), AgeMS: age(now, q.At),
		})
	}
	return out
}

// age returns the time since at in milliseconds.
func age(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

func ago(now time.Time, ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
