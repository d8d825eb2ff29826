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

// maxCrashNews bounds the crashes that wait to be told to neighbours; the rest are told by gateways that saw others.
const maxCrashNews = 256

// crashes watches for requests that crash the upstreams that run them.
type crashes struct {
	// any says that there are suspects, so that most answers need no lock.
	any atomic.Bool

	mu    sync.Mutex
	known *quarantine.Crashes
	news  []quarantine.Crash
}

func newCrashes() *crashes {
	return &crashes{known: quarantine.NewCrashes(quarantine.DefaultCrashConfig())}
}

// startHash names one start of an upstream.
func startHash(u *directory.Upstream) uint64 { return xxhash.Sum64String(u.ID) ^ uint64(u.Started) }

// fingerprint identifies requests of the same team with the same target and body.
func (c *call) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(c.team, c.request.RequestURI, c.body)
}

// broke takes an attempt whose answer broke off.
func (s *crashes) broke(now time.Time, a *attempt) {
	crash := quarantine.Crash{
		Fingerprint: a.call.fingerprint(), Upstream: startHash(&a.choice.Upstream), Started: now.Add(-time.Since(a.started)),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.known.Broke(now, crash))
}

// gone takes an upstream that went down.
func (s *crashes) gone(now time.Time, u *directory.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tell(s.known.Gone(now, startHash(u)))
}

// answered takes a request that an upstream answered.
func (s *crashes) answered(c *call) {
	if !s.any.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known.Answered(c.fingerprint())
	s.any.Store(s.known.Len() > 0)
}

// rejects returns for how much longer requests like the call's are rejected.
func (s *crashes) rejects(now time.Time, c *call) time.Duration {
	if !s.any.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known.Rejects(now, c.fingerprint())
}

// heard takes a neighbour's crashes and passes on what is new.
func (s *crashes) heard(now time.Time, told []wire.RequestCrash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range told {
		crash := quarantine.Crash{
			Fingerprint: quarantine.Fingerprint(t.Fingerprint), Upstream: t.Upstream, Started: now.Add(-time.Duration(t.StartedMS) * time.Millisecond),
		}
		if s.known.Heard(now, crash) {
			s.tell([]quarantine.Crash{crash})
		}
	}
}

// tell queues crashes for the neighbours. The lock is held.
func (s *crashes) tell(crashes []quarantine.Crash) {
	for _, c := range crashes {
		s.any.Store(true)
		event.Sampled(event.RequestSuspected, "fingerprint", uint64(c.Fingerprint), "upstream_start", c.Upstream, "crashes", s.known.Count(c.Fingerprint))
		if len(s.news) < maxCrashNews {
			s.news = append(s.news, c)
		}
	}
}

// takeNews returns the crashes that neighbours have not been told.
func (s *crashes) takeNews(now time.Time) []wire.RequestCrash {
	s.mu.Lock()
	defer s.mu.Unlock()
	var news []wire.RequestCrash
	for _, c := range s.news {
		news = append(news, wire.RequestCrash{
			Fingerprint: uint64(c.Fingerprint), Upstream: c.Upstream, StartedMS: uint32(now.Sub(c.Started).Milliseconds()),
		})
	}
	s.news = nil
	return news
}
