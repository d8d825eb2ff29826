package sidecar

import (
	"context"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/quarantine"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

// digestEntries bounds the quarantined fingerprints in one gossip message.
const digestEntries = 16

// crashes notes which requests were in flight when the upstream crashed. The sidecar's lock guards it.
type crashes struct {
	list    *quarantine.List
	tracker *quarantine.Tracker
	// epoch counts the upstream's crashes.
	epoch int
	// startID is that of the upstream's last load report.
	startID string
}

func newCrashes() crashes {
	cfg := quarantine.DefaultConfig()
	list := quarantine.NewList(cfg)
	return crashes{list: list, tracker: quarantine.NewTracker(cfg, list)}
}

// flight is one request that the tracker was told of.
type flight struct {
	fingerprint quarantine.Fingerprint
	epoch       int
}

// begin decides whether a request may run beside or after a crash, and notes it if so.
func (s *Sidecar) begin(open *wire.Open) (flight, result.Code) {
	f := flight{fingerprint: quarantine.FingerprintOf(open.Service, open.Route, open.Body)}
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

// end notes that a request has ended. Requests that were in flight at a crash were already accounted for.
func (s *Sidecar) end(f flight, code result.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.epoch == s.crashes.epoch {
		s.crashes.tracker.Ended(f.fingerprint, code == result.OK || code == result.UpstreamError)
	}
}

// upstreamBroke finds out, after an answer broke off, whether the upstream crashed or only the one answer failed.
func (s *Sidecar) upstreamBroke(epoch int) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	report, err := s.upstreamLoad(ctx)
	s.mu.Lock()
	gone := s.crashes.epoch == epoch && (err != nil || report.StartID != s.crashes.startID)
	if err == nil {
		s.admission.Report(time.Now(), report)
	}
	s.mu.Unlock()
	if gone {
		s.upstreamCrashed(epoch, report.StartID)
	}
}

// restarted notes the start id of a load report, and a crash if it is a new one while requests are in flight.
func (s *Sidecar) restarted(report services.EngineLoad) {
	s.mu.Lock()
	known, epoch := s.crashes.startID, s.crashes.epoch
	running := s.admission.Load().InFlight > 0
	if known == "" || !running {
		s.crashes.startID = report.StartID
	}
	s.mu.Unlock()
	if known != "" && running && known != report.StartID {
		s.upstreamCrashed(epoch, report.StartID)
	}
}

// upstreamCrashed suspects what was in flight, and tells the peers at once of a request that crashed the upstream alone. Only the first
// call for an epoch has an effect.
func (s *Sidecar) upstreamCrashed(epoch int, startID string) {
	now := time.Now()
	s.mu.Lock()
	if s.crashes.epoch != epoch {
		s.mu.Unlock()
		return
	}
	s.crashes.epoch++
	s.crashes.startID = startID
	suspects := s.crashes.tracker.Crashed(now)
	found := false
	for _, suspect := range suspects {
		if suspect.Quarantined {
			event.Log(event.RequestQuarantined, "instance", s.opts.Settings.Instance, "fingerprint", uint64(suspect.Fingerprint))
			found = true
		}
	}
	digest := s.crashes.list.Digest(now, digestEntries)
	s.mu.Unlock()
	event.Log(event.UpstreamCrashed, "instance", s.opts.Settings.Instance, "in_flight", len(suspects))
	metrics.Add("upstream_crashes", 1)
	if found {
		s.node.Broadcast(&wire.Gossip{ConfigVersion: s.node.Snapshot().Version(), Quarantine: digest})
	}
}
