package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/quarantine"
)

// maxQueuedCrashReports is the maximum number of crashes queued for the neighbours. Those beyond it are not sent; neighbours receive them
// only from other gateways that detected them.
const maxQueuedCrashReports = 256

// crashTracker detects requests that crash the upstreams that run them, and reports the crashes to neighbours.
type crashTracker struct {
	// hasSuspects is set when a suspect request is found, and cleared by recordAnswered when there is none left. Most requests skip the
	// mutex, since it is not set.
	hasSuspects atomic.Bool

	mu      sync.Mutex
	tracker *quarantine.Crashes
	reports []quarantine.Crash
}

func newCrashTracker() *crashTracker {
	return &crashTracker{tracker: quarantine.NewCrashes(quarantine.DefaultCrashConfig())}
}

// processHash identifies an upstream process; it changes with each restart.
func processHash(u *directory.Upstream) uint64 { return xxhash.Sum64String(u.ID) ^ uint64(u.Started) }

// fingerprint is the same for all requests of a team with the same target and body.
func (c *call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(c.team, c.request.RequestURI, c.body)
}

// recordBroken records an attempt whose outcome is health.Broken: the connection ended or the response was invalid.
func (s *crashTracker) recordBroken(now time.Time, a *attempt) {
	crash := quarantine.Crash{
		Fingerprint: a.call.fingerprint(), Upstream: processHash(&a.choice.Upstream), Started: now.Add(-time.Since(a.started)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueReports(s.tracker.RecordBrokenAnswer(now, crash))
}

// recordDown records that an upstream went down.
func (s *crashTracker) recordDown(now time.Time, u *directory.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueReports(s.tracker.RecordUnreachable(now, processHash(u)))
}

// recordAnswered records that an upstream responded to a request, which removes the request from the suspects.
func (s *crashTracker) recordAnswered(c *call) {
	if !s.hasSuspects.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := c.fingerprint()
	if n := s.tracker.Count(f); n > 0 {
		event.LogSampled(event.SuspectCleared, "fingerprint", uint64(f), "crashes", n, "request", c.id, "parts", c.sharedPartIDs())
	}
	s.tracker.RecordAnswer(f)
	s.hasSuspects.Store(s.tracker.Len() > 0)
}

// quarantinedFor returns how much longer requests with the call's fingerprint are rejected, zero if they are not.
func (s *crashTracker) quarantinedFor(now time.Time, c *call) time.Duration {
	if !s.hasSuspects.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RejectedFor(now, c.fingerprint())
}

// recordFromPeer records crashes reported by a neighbour and forwards those that are new.
func (s *crashTracker) recordFromPeer(now time.Time, reports []wire.RequestCrash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		crash := quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(r.Fingerprint), Upstream: r.Upstream, Started: now.Add(-time.Duration(r.AgeMS) * time.Millisecond),
		}
		if s.tracker.RecordPeerCrash(now, crash) {
			s.queueReports([]quarantine.Crash{crash})
		}
	}
}

// queueReports queues crashes for the neighbours. The caller holds s.mu.
func (s *crashTracker) queueReports(crashes []quarantine.Crash) {
	for _, c := range crashes {
		s.hasSuspects.Store(true)
		event.LogSampled(event.CrashSuspectFound, "fingerprint", uint64(c.Fingerprint), "upstream_start", c.Upstream, "crashes", s.tracker.Count(c.Fingerprint))
		if len(s.reports) < maxQueuedCrashReports {
			s.reports = append(s.reports, c)
		}
	}
}

// takeReports returns and clears the crashes queued for the neighbours.
func (s *crashTracker) takeReports(now time.Time) []wire.RequestCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []wire.RequestCrash
	for _, c := range s.reports {
		reports = append(reports, wire.RequestCrash{
			Fingerprint: uint64(c.Fingerprint), Upstream: c.Upstream, AgeMS: uint32(now.Sub(c.Started).Milliseconds()),
		})
	}
	s.reports = nil
	return reports
}
