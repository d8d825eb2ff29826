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
	// MaxSuspects is the maximum number of suspected requests; at the limit, no further ones are recorded. Default 4096.
	MaxSuspects int
}

// DefaultCrashConfig returns the defaults.
func DefaultCrashConfig() CrashConfig {
	return CrashConfig{Crashes: 3, SuspectFor: 20 * time.Second, RejectFor: time.Minute, MaxSuspects: 4096}
}

// Validate returns an error if a field is out of range.
func (c CrashConfig) Validate() error {
	if c.Crashes < 1 || c.SuspectFor <= 0 || c.RejectFor <= 0 || c.MaxSuspects < 1 {
		return trace.BadParameter("crash config: all fields must be positive: %+v", c)
	}
	return nil
}

// Crashes tracks the requests that were in flight when upstreams crashed, for an entry that sends to upstreams directly. A request is
// rejected after several consecutive crashes without an answer in between. A crash counts only if the request was sent after the
// previous one: if several upstreams fail at the same moment, a request that was in flight at all of them is not the cause.
// It is not safe for concurrent use.
type Crashes struct {
	config   CrashConfig
	suspects map[Fingerprint]*suspectRecord
}

type suspectRecord struct {
	upstreams map[uint64]struct{}
	// count is the number of counted crashes, latest the time of the latest one.
	count  int
	latest time.Time
}

// NewCrashes returns a Crashes without suspects. The config must be valid.
func NewCrashes(config CrashConfig) *Crashes {
	return &Crashes{config: config, suspects: make(map[Fingerprint]*suspectRecord)}
}

// RecordCrash records a crash that was detected at a time, by this entry or another one, and reports whether it is new.
func (c *Crashes) RecordCrash(at time.Time, crash Crash) bool {
	c.expire(at)
	s := c.suspects[crash.Fingerprint]
	if s == nil {
		if len(c.suspects) >= c.config.MaxSuspects {
			return false
		}
		s = &suspectRecord{upstreams: make(map[uint64]struct{})}
		c.suspects[crash.Fingerprint] = s
	}
	if _, known := s.upstreams[crash.Upstream]; known {
		return false
	}
	s.upstreams[crash.Upstream] = struct{}{}
	if crash.Started.After(s.latest) {
		s.count++
		s.latest = at
	}
	return true
}

// RecordAnswer clears the suspicion of a request that an upstream answered, and reports whether there was one. The crashes stay known, so that late
// reports of them are not taken for new ones.
func (c *Crashes) RecordAnswer(f Fingerprint) bool {
	s := c.suspects[f]
	if s == nil || s.count == 0 {
		return false
	}
	s.count = 0
	return true
}

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
func (c *Crashes) Len() int {
	n := 0
	for _, s := range c.suspects {
		if s.count > 0 {
			n++
		}
	}
	return n
}

func (c *Crashes) expire(now time.Time) {
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
