package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/bootclock"
	"github.com/jayridge/jayridge/process/directory"
	"github.com/jayridge/jayridge/process/event"
	"github.com/jayridge/jayridge/process/health"
	"github.com/jayridge/jayridge/process/quarantine"
)

// maxQueuedCrashReports is the maximum number of crashes queued for the neighbours. Those beyond it are not sent; neighbours receive them
// only from other gateways that detected them.
const maxQueuedCrashReports = 256

// crashTracker detects requests and prompt parts that crash the upstreams that answer them, and exchanges what it finds with neighbours.
type crashTracker struct {
	// hasSuspects is set when a suspect request is found, and cleared by recordAnswered when there is none left. Most requests skip the
	// mutex, since it is not set.
	hasSuspects atomic.Bool
	// reportsQueued gets a value when there is something to send to the neighbours.
	reportsQueued chan struct{}
	// quarantineChanges are the changes of the list of quarantined parts that this gateway has to write to the store.
	quarantineChanges chan quarantineChange
	// isAssigned reports whether a task is assigned to this gateway. It must not block.
	isAssigned func(task uint64) bool

	mu       sync.Mutex
	detector *quarantine.Detector
	requests *quarantine.Crashes
	parts    *quarantine.Parts
	reports  []quarantine.Crash
	// partReport is queued for the neighbours.
	partReport partReport
}

func newCrashTracker(isAssigned func(task uint64) bool) *crashTracker {
	return &crashTracker{
		reportsQueued:     make(chan struct{}, 1),
		quarantineChanges: make(chan quarantineChange, maxQuarantineChanges),
		isAssigned:        isAssigned,
		detector:          quarantine.NewDetector(quarantine.DefaultDetectorConfig()),
		requests:          quarantine.NewCrashes(quarantine.DefaultCrashConfig()),
		parts:             quarantine.NewParts(quarantine.DefaultPartConfig()),
	}
}

// processHash identifies an upstream process; it changes with each restart.
func processHash(u *directory.Upstream) uint64 { return xxhash.Sum64String(u.ID) ^ uint64(u.Started) }

// fingerprint is the same for all requests of a team with the same target and body.
func (c *call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(c.team, c.request.RequestURI, c.body.Segments()...)
}

func (c *call) serviceHash() uint64 { return serviceHash(c.service) }

// isQuarantined decides whether the request is rejected because its content crashed upstreams, and sets quarantinedFor if it is.
func (c *call) isQuarantined() bool {
	now := bootclock.Now()
	c.quarantinedFor = c.g.crashes.quarantinedFor(now, c)
	if c.quarantinedFor == 0 {
		c.quarantinedFor, c.quarantinedPart = c.g.crashes.judgeParts(now, c)
	}
	return c.quarantinedFor > 0
}

// recordBroken records an attempt that ended without a complete answer. Its prompt parts are not suspected if the answer had gone on for long.
func (s *crashTracker) recordBroken(now time.Time, a *attempt) {
	crash := quarantine.Crash{
		Fingerprint: a.call.fingerprint(), Upstream: processHash(&a.choice.Upstream), Started: a.sentAt,
		Service: a.call.serviceHash(),
	}
	crash.Abandoned = a.inconclusive || a.outcome == health.Unanswered
	if !a.provenSound {
		crash.Parts = a.call.partIDs.All
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDetected(now, s.detector.RecordBrokenAnswer(now, crash))
}

// recordDown records that an upstream went down.
func (s *crashTracker) recordDown(now time.Time, u *directory.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordDetected(now, s.detector.RecordUnreachable(now, processHash(u)))
}

// recordDetected records the requests that were in flight at an upstream that crashed. The caller holds s.mu.
func (s *crashTracker) recordDetected(now time.Time, detected []quarantine.DetectedCrash) {
	if len(detected) == 0 {
		return
	}
	for _, d := range detected {
		if !d.Abandoned && s.requests.RecordCrash(d.At, d.Crash) {
			s.queueReport(d.Crash)
		}
		crash := quarantine.PartCrash{Service: d.Service, Upstream: d.Upstream, Started: d.Started, At: d.At, IDs: d.Parts}
		crash.IDs = s.recordPartCrash(now, crash)
		s.vouch(now, crash, nil)
	}
	s.updateParts(now, true)
}

// recordAnswered records that an upstream responded to a request, which removes the request from the suspects.
func (s *crashTracker) recordAnswered(c *call) {
	if !s.hasSuspects.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := c.fingerprint()
	if n := s.requests.Count(f); n > 0 {
		event.LogSampled(event.SuspectCleared, "fingerprint", uint64(f), "crashes", n, "request", c.id, "parts", c.sharedPartIDs())
	}
	s.clearRequest(quarantine.PartAnswer{Part: quarantine.Part{Service: wholeRequests, ID: uint64(f)}, At: bootclock.Now()})
}

// wholeRequests stands for the service in answers to whole requests, which are identified by their fingerprint and not by a prompt part.
const wholeRequests = 0

// clearRequest removes a request that was answered from the suspects, and tells the neighbours if it was one. The caller holds s.mu.
func (s *crashTracker) clearRequest(answer quarantine.PartAnswer) {
	if s.requests.RecordAnswer(quarantine.Fingerprint(answer.Part.ID)) {
		s.partReport.answers = append(s.partReport.answers, answer)
		s.wakeSender()
	}
	s.hasSuspects.Store(s.requests.Len() > 0)
}

// quarantinedFor returns how much longer requests with the call's fingerprint are rejected, zero if they are not.
func (s *crashTracker) quarantinedFor(now time.Time, c *call) time.Duration {
	if !s.hasSuspects.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests.RejectedFor(now, c.fingerprint())
}

// recordFromPeer records crashes reported by a neighbour and forwards those that are new.
func (s *crashTracker) recordFromPeer(now time.Time, reports []wire.RequestCrash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range reports {
		crash := quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(r.Fingerprint), Upstream: r.Upstream, Started: now.Add(-time.Duration(r.AgeMS) * time.Millisecond),
		}
		if s.requests.RecordCrash(now, crash) {
			s.queueReport(crash)
		}
	}
}

// queueReport queues a crash for the neighbours. The caller holds s.mu.
func (s *crashTracker) queueReport(c quarantine.Crash) {
	s.hasSuspects.Store(true)
	event.LogSampled(event.CrashSuspectFound, "fingerprint", uint64(c.Fingerprint), "upstream_start", c.Upstream, "crashes", s.requests.Count(c.Fingerprint))
	if len(s.reports) < maxQueuedCrashReports {
		s.reports = append(s.reports, c)
		s.wakeSender()
	}
}

// wakeSender makes the worker that sends reports send the queued ones.
func (s *crashTracker) wakeSender() {
	select {
	case s.reportsQueued <- struct{}{}:
	default: // it is about to send
	}
}

// takeReports returns and clears the crashes queued for the neighbours.
func (s *crashTracker) takeReports(now time.Time) []wire.RequestCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reports []wire.RequestCrash
	for _, c := range s.reports {
		reports = append(reports, wire.RequestCrash{Fingerprint: uint64(c.Fingerprint), Upstream: c.Upstream, AgeMS: age(now, c.Started)})
	}
	s.reports = nil
	return reports
}
