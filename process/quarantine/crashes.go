package quarantine

import (
	"time"

	"github.com/gravitational/trace"
)

// CrashConfig holds the limits of Crashes. No field may be zero.
type CrashConfig struct {
	// Crashes is the number of crashes from which a request is rejected. Default 3: one or two may be a coincidence.
	Crashes int
	// SuspectFor is how long a crash counts. Default 20 s.
	SuspectFor time.Duration
	// RejectFor is how long a request is rejected after its latest crash. Default 1 min.
	RejectFor time.Duration
	// BreakWithin is the longest time between a broken answer and the news that the upstream is gone for the one to count as caused by
	// the other. Default 1 s.
	BreakWithin time.Duration
	// MaxSuspects bounds the requests that are remembered; while there are as many, no others are suspected. Default 4096.
	MaxSuspects int
}

// DefaultCrashConfig returns the defaults.
func DefaultCrashConfig() CrashConfig {
	return CrashConfig{
		Crashes: 3, SuspectFor: 20 * time.Second, RejectFor: time.Minute, BreakWithin: time.Second, MaxSuspects: 4096,
	}
}

// Validate returns an error if a field is out of range.
func (c CrashConfig) Validate() error {
	if c.Crashes < 1 || c.SuspectFor <= 0 || c.RejectFor <= 0 || c.BreakWithin <= 0 || c.MaxSuspects < 1 {
		return trace.BadParameter("crash config: all fields must be positive: %+v", c)
	}
	return nil
}

// Crash says that a request was in flight at one start of an upstream when that crashed.
type Crash struct {
	Fingerprint Fingerprint
	// Upstream is a hash of the upstream's name and start.
	Upstream uint64
	// Started is when the request was sent there.
	Started time.Time
}

// Crashes is what an entry that sends to upstreams directly knows of requests that were in flight when upstreams crashed. Several
// crashes in a row, without an answer in between, have a request rejected. A crash counts only if the request was sent after the one
// before: upstreams that fail at the same moment have another cause than a request that was in flight at all of them.
// It is not safe for concurrent use.
type Crashes struct {
	config CrashConfig
	// broken are the requests whose answers broke off a moment ago, by upstream; gone is when upstreams were found gone.
	broken   map[uint64][]breakOff
	gone     map[uint64]time.Time
	suspects map[Fingerprint]*suspected
}

type breakOff struct {
	crash Crash
	at    time.Time
}

type suspected struct {
	upstreams map[uint64]struct{}
	// count is the number of crashes that count, latest the time of the latest one.
	count  int
	latest time.Time
}

// NewCrashes returns an empty value. The config must be valid.
func NewCrashes(config CrashConfig) *Crashes {
	return &Crashes{
		config: config, broken: make(map[uint64][]breakOff), gone: make(map[uint64]time.Time), suspects: make(map[Fingerprint]*suspected),
	}
}

// Broke records that an upstream's answer broke off, which is a crash if the upstream is gone. It returns the crash if that is known.
func (c *Crashes) Broke(now time.Time, crash Crash) []Crash {
	if at, gone := c.gone[crash.Upstream]; gone && now.Sub(at) < c.config.BreakWithin {
		return c.suspect(now, nil, crash)
	}
	if len(c.broken[crash.Upstream]) < c.config.MaxSuspects {
		c.broken[crash.Upstream] = append(c.broken[crash.Upstream], breakOff{crash, now})
	}
	return nil
}

// Gone records that an upstream cannot be reached. It returns the crashes that are new, for the other entries.
func (c *Crashes) Gone(now time.Time, upstream uint64) []Crash {
	c.expire(now)
	c.gone[upstream] = now
	var crashes []Crash
	for _, b := range c.broken[upstream] {
		if now.Sub(b.at) < c.config.BreakWithin {
			crashes = c.suspect(b.at, crashes, b.crash)
		}
	}
	delete(c.broken, upstream)
	return crashes
}

// Heard takes another entry's crash and says whether it is new.
func (c *Crashes) Heard(now time.Time, crash Crash) bool { return len(c.suspect(now, nil, crash)) > 0 }

// suspect appends a crash at a time to the list if it is new.
func (c *Crashes) suspect(at time.Time, list []Crash, crash Crash) []Crash {
	s := c.suspects[crash.Fingerprint]
	if s == nil {
		if len(c.suspects) >= c.config.MaxSuspects {
			return list
		}
		s = &suspected{upstreams: make(map[uint64]struct{})}
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

// Answered clears a request that an upstream answered.
func (c *Crashes) Answered(f Fingerprint) { delete(c.suspects, f) }

// Rejects returns for how much longer a request is to be rejected, zero if it may be sent.
func (c *Crashes) Rejects(now time.Time, f Fingerprint) time.Duration {
	if c.Count(f) < c.config.Crashes {
		return 0
	}
	return max(0, c.config.RejectFor-now.Sub(c.suspects[f].latest))
}

// Count returns the number of crashes in a row that count against a request.
func (c *Crashes) Count(f Fingerprint) int {
	if s := c.suspects[f]; s != nil {
		return s.count
	}
	return 0
}

// Len returns the number of requests that are suspected.
func (c *Crashes) Len() int { return len(c.suspects) }

func (c *Crashes) expire(now time.Time) {
	for upstream, at := range c.gone {
		if now.Sub(at) >= c.config.BreakWithin {
			delete(c.gone, upstream)
		}
	}
	for upstream, breaks := range c.broken {
		if now.Sub(breaks[len(breaks)-1].at) >= c.config.BreakWithin {
			delete(c.broken, upstream)
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
