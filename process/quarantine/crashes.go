package quarantine

import (
	"time"

	"github.com/gravitational/trace"
)

// CrashConfig holds the limits of Crashes. No field may be zero.
type CrashConfig struct {
	// Crashes is the number of crashes from which on a request is rejected. Default 3: one or two may be a coincidence.
	Crashes int
	// SuspectFor is how long after its latest crash a request stays suspected. Default 20 s.
	SuspectFor time.Duration
	// RejectFor is how long a request is rejected after its latest crash. Default 1 min.
	RejectFor time.Duration
	// CrashWindow is the longest time between a broken answer and the detection that the upstream is unreachable for both to be
	// attributed to the same crash. Default 1 s.
	CrashWindow time.Duration
	// MaxSuspects is the maximum number of suspected requests, and of broken answers kept for one upstream; at the limit, no further
	// ones are recorded. Default 4096.
	MaxSuspects int
}

// DefaultCrashConfig returns the defaults.
func DefaultCrashConfig() CrashConfig {
	return CrashConfig{
		Crashes: 3, SuspectFor: 20 * time.Second, RejectFor: time.Minute, CrashWindow: time.Second, MaxSuspects: 4096,
	}
}

// Validate returns an error if a field is out of range.
func (c CrashConfig) Validate() error {
	if c.Crashes < 1 || c.SuspectFor <= 0 || c.RejectFor <= 0 || c.CrashWindow <= 0 || c.MaxSuspects < 1 {
		return trace.BadParameter("crash config: all fields must be positive: %+v", c)
	}
	return nil
}

// Crash records that a request was in flight at an upstream process when it crashed.
type Crash struct {
	Fingerprint Fingerprint
	// Upstream is a hash that identifies the upstream process; it changes with each restart.
	Upstream uint64
	// Started is when the request was sent to the upstream.
	Started time.Time
}

// Crashes tracks the requests that were in flight when upstreams crashed, for an entry that sends to upstreams directly. A request is
// rejected after several consecutive crashes without an answer in between. A crash counts only if the request was sent after the
// previous one: if several upstreams fail at the same moment, a request that was in flight at all of them is not the cause.
// It is not safe for concurrent use.
type Crashes struct {
	config CrashConfig
	// brokenAnswers holds the requests whose answers were recently cut off before their end, by upstream; unreachableAt is when an
	// upstream was last found unreachable.
	brokenAnswers map[uint64][]brokenAnswer
	unreachableAt map[uint64]time.Time
	suspects      map[Fingerprint]*suspectRecord
}

type brokenAnswer struct {
	crash Crash
	at    time.Time
}

type suspectRecord struct {
	upstreams map[uint64]struct{}
	// count is the number of counted crashes, latest the time of the latest one.
	count  int
	latest time.Time
}

// NewCrashes returns a Crashes without suspects. The config must be valid.
func NewCrashes(config CrashConfig) *Crashes {
	return &Crashes{
		config: config, brokenAnswers: make(map[uint64][]brokenAnswer), unreachableAt: make(map[uint64]time.Time), suspects: make(map[Fingerprint]*suspectRecord),
	}
}

// RecordBrokenAnswer records that an upstream's answer was cut off before its end, which is treated as a crash if the upstream is
// unreachable. It returns the crash if it is new and the upstream is already known to be unreachable.
func (c *Crashes) RecordBrokenAnswer(now time.Time, crash Crash) []Crash {
	if at, unreachable := c.unreachableAt[crash.Upstream]; unreachable && now.Sub(at) < c.config.CrashWindow {
		return c.addCrash(now, nil, crash)
	}
	if len(c.brokenAnswers[crash.Upstream]) < c.config.MaxSuspects {
		c.brokenAnswers[crash.Upstream] = append(c.brokenAnswers[crash.Upstream], brokenAnswer{crash, now})
	}
	return nil
}

// RecordUnreachable records that an upstream is unreachable. It returns the new crashes, to be sent to the other entries.
func (c *Crashes) RecordUnreachable(now time.Time, upstream uint64) []Crash {
	c.expire(now)
	c.unreachableAt[upstream] = now
	var crashes []Crash
	for _, b := range c.brokenAnswers[upstream] {
		if now.Sub(b.at) < c.config.CrashWindow {
			crashes = c.addCrash(b.at, crashes, b.crash)
		}
	}
	delete(c.brokenAnswers, upstream)
	return crashes
}

// RecordPeerCrash records a crash received from another entry and reports whether it is new.
func (c *Crashes) RecordPeerCrash(now time.Time, crash Crash) bool {
	return len(c.addCrash(now, nil, crash)) > 0
}

// addCrash records a crash at the given time and appends it to the list if it is new.
func (c *Crashes) addCrash(at time.Time, list []Crash, crash Crash) []Crash {
	s := c.suspects[crash.Fingerprint]
	if s == nil {
		if len(c.suspects) >= c.config.MaxSuspects {
			return list
		}
		s = &suspectRecord{upstreams: make(map[uint64]struct{})}
		c.suspects[crash.Fingerprint] = s
	}
	if _, known := s.upstreams[crash.Upstream]; known {
		return list
	}
	s.upstreams[crash.Upstream] = struct{}{}
	if crash.Started.After(s.latest) {
		s.count++
		s.latest = at
	}
	return append(list, crash)
}

// RecordAnswer clears the suspicion of a request that an upstream answered.
func (c *Crashes) RecordAnswer(f Fingerprint) { delete(c.suspects, f) }

// RejectedFor returns how much longer a request is to be rejected, zero if it may be sent.
func (c *Crashes) RejectedFor(now time.Time, f Fingerprint) time.Duration {
	if c.Count(f) < c.config.Crashes {
		return 0
	}
	return max(0, c.config.RejectFor-now.Sub(c.suspects[f].latest))
}

// Count returns the number of counted consecutive crashes of a request.
func (c *Crashes) Count(f Fingerprint) int {
	if s := c.suspects[f]; s != nil {
		return s.count
	}
	return 0
}

// Len returns the number of suspected requests.
func (c *Crashes) Len() int { return len(c.suspects) }

func (c *Crashes) expire(now time.Time) {
	for upstream, at := range c.unreachableAt {
		if now.Sub(at) >= c.config.CrashWindow {
			delete(c.unreachableAt, upstream)
		}
	}
	for upstream, breaks := range c.brokenAnswers {
		if now.Sub(breaks[len(breaks)-1].at) >= c.config.CrashWindow {
			delete(c.brokenAnswers, upstream)
		}
	}
	for f, s := range c.suspects {
		keep := c.config.SuspectFor
		if s.count >= c.config.Crashes {
			keep = c.config.RejectFor
		}
		if now.Sub(s.latest) >= keep {
			delete(c.suspects, f)
		}
	}
}
