package sidecar

import (
	"context"
	"time"

	"github.com/jayridge/jayridge/connection/link"
	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// maxQuarantineEntries is the maximum number of quarantine entries in one gossip message.
const maxQuarantineEntries = 16

// crashState tracks which requests were in flight when the upstream crashed. It is guarded by Sidecar.mu.
type crashState struct {
	list    *quarantine.List
	tracker *quarantine.Tracker
	// epoch counts the upstream's crashes.
	epoch int
	// startID identifies the upstream's process, from its load reports. It changes with each restart.
	startID string
}

func newCrashState() crashState {
	cfg := quarantine.DefaultConfig()
	list := quarantine.NewList(cfg)
	return crashState{list: list, tracker: quarantine.NewTracker(cfg, list)}
}

// trackedRequest is a request registered with the crash tracker.
type trackedRequest struct {
	fingerprint quarantine.Fingerprint
	epoch       int
}

// trackStart decides whether a request may run, given earlier crashes, and registers it with the crash tracker if so.
func (s *Sidecar) trackStart(open *wire.Open) (trackedRequest, result.Code) {
	f := trackedRequest{fingerprint: quarantine.FingerprintOf(open.Service, open.Route, open.Body)}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if open.Suspect {
		s.crashes.tracker.Suspect(now, f.fingerprint)
	}
	switch s.crashes.tracker.Decide(now, f.fingerprint) {
	case quarantine.Reject:
		return f, result.Quarantined
	case quarantine.Busy:
		return f, result.Full
	}
	s.crashes.tracker.Started(f.fingerprint)
	f.epoch = s.crashes.epoch
	return f, result.OK
}

// reportQuarantine tells a peer that a fingerprint is quarantined. The peer has sent a request with it, so that it has missed the
// broadcast of handleCrash. Control frames overtake responses: the peer knows before the rejection arrives.
func (s *Sidecar) reportQuarantine(conn *link.Conn, f quarantine.Fingerprint) {
	s.mu.Lock()
	entry, ok := s.crashes.list.Entry(time.Now(), f)
	s.mu.Unlock()
	if ok {
		_ = conn.Send(&wire.Gossip{ConfigVersion: s.node.Snapshot().Version(), Quarantine: []wire.QuarantineEntry{entry}})
	}
}

// trackEnd unregisters a request that has ended. Requests that were in flight during a crash were already handled by handleCrash.
func (s *Sidecar) trackEnd(f trackedRequest, code result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.epoch == s.crashes.epoch {
		s.crashes.tracker.Ended(f.fingerprint, code == result.OK || code == result.UpstreamError)
	}
}

// checkForCrash reads the upstream's load after a response was cut off, to distinguish a crash of the upstream from a failure of the
// single response.
func (s *Sidecar) checkForCrash(epoch int) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	report, err := s.fetchLoad(ctx)
	s.mu.Lock()
	crashed := s.crashes.epoch == epoch && (err != nil || report.StartID != s.crashes.startID)
	if err == nil {
		s.admission.Report(time.Now(), report)
	}
	s.mu.Unlock()
	if crashed {
		s.handleCrash(epoch, report.StartID)
	}
}

// detectRestart stores the start ID of a load report. A changed ID while requests are in flight is treated as a crash.
func (s *Sidecar) detectRestart(report services.EngineLoad) {
	s.mu.Lock()
	known, epoch := s.crashes.startID, s.crashes.epoch
	running := s.admission.Load().InFlight > 0
	if known == "" || !running {
		s.crashes.startID = report.StartID
	}
	s.mu.Unlock()
	if known != "" && running && known != report.StartID {
		s.handleCrash(epoch, report.StartID)
	}
}

// handleCrash marks the requests that were in flight as suspects. If a suspect was running in isolation, it is quarantined and the
// peers are notified immediately. Only the first call for an epoch has an effect.
func (s *Sidecar) handleCrash(epoch int, startID string) {
	now := time.Now()
	s.mu.Lock()
	if s.crashes.epoch != epoch {
		s.mu.Unlock()
		return
	}
	s.crashes.epoch++
	s.crashes.startID = startID
	suspects := s.crashes.tracker.Crashed(now)
	quarantined := false
	for _, suspect := range suspects {
		if suspect.Quarantined {
			event.Log(event.RequestQuarantined, "instance", s.opts.Settings.Instance, "fingerprint", uint64(suspect.Fingerprint))
			quarantined = true
		}
	}
	digest := s.crashes.list.Digest(now, maxQuarantineEntries)
	s.mu.Unlock()
	event.Log(event.UpstreamCrashed, "instance", s.opts.Settings.Instance, "in_flight", len(suspects))
	metrics.Add("upstream_crashes", 1)
	if quarantined {
		s.node.Broadcast(&wire.Gossip{ConfigVersion: s.node.Snapshot().Version(), Quarantine: digest})
	}
}
