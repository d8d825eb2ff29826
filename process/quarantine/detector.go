package quarantine

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// DetectorConfig holds the limits of a Detector. No field may be zero.
type DetectorConfig struct {
	// CrashWindow is the longest time between a broken answer and the detection that the upstream is unreachable for both to be
	// attributed to the same crash. Default 1 s.
	CrashWindow time.Duration
	// MaxBrokenAnswers is the maximum number of broken answers kept for one upstream; at the limit, no further ones are recorded. Default 4096.
	MaxBrokenAnswers int
}

// DefaultDetectorConfig returns the defaults.
func DefaultDetectorConfig() DetectorConfig {
	return DetectorConfig{CrashWindow: time.Second, MaxBrokenAnswers: 4096}
}

// Validate returns an error if a field is out of range.
func (c DetectorConfig) Validate() error {
	if c.CrashWindow <= 0 || c.MaxBrokenAnswers < 1 {
		return trace.BadParameter("crash detector config: all fields must be positive: %+v", c)
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
	// Service and Parts are the hashes of the service and of the request's prompt parts. Parts may be empty.
	Service uint64
	Parts   []uint64
	// Abandoned is set if this entry ended the request, for instance because its caller left, so that the request alone does not show that the
	// upstream crashed.
	Abandoned bool
}

// Detector finds the requests that were in flight when upstreams crashed, for an entry that sends to upstreams directly. An upstream has crashed
// if it is unreachable and an answer broke off, or if another entry says so. It is not safe for concurrent use.
type Detector struct {
	config    DetectorConfig
	upstreams map[uint64]*upstreamRecord
}

// upstreamRecord is what a Detector knows of an upstream process whose answers broke off or which is unreachable.
type upstreamRecord struct {
	// pending are the requests that recently ended without a complete answer and have not been returned.
	pending []DetectedCrash
	// unreachableAt is when the upstream was first found unreachable, zero if it was not.
	unreachableAt time.Time
	crashed       bool
}

// DetectedCrash is a Crash with the time at which the request ended.
type DetectedCrash struct {
	Crash
	At time.Time
}

// NewDetector returns a Detector. The config must be valid.
func NewDetector(config DetectorConfig) *Detector {
	return &Detector{config: config, upstreams: make(map[uint64]*upstreamRecord)}
}

// RecordBrokenAnswer records that a request ended without a complete answer. It returns the requests that are now known to have been in flight at
// a crash, each once.
func (d *Detector) RecordBrokenAnswer(now time.Time, crash Crash) []DetectedCrash {
	u := d.upstream(now, crash.Upstream)
	if len(u.pending) < d.config.MaxBrokenAnswers {
		u.pending = append(u.pending, DetectedCrash{crash, now})
	}
	return u.take()
}

// RecordUnreachable records that this entry found an upstream unreachable. It returns the same as RecordBrokenAnswer.
func (d *Detector) RecordUnreachable(now time.Time, upstream uint64) []DetectedCrash {
	u := d.upstream(now, upstream)
	if u.unreachableAt.IsZero() {
		u.unreachableAt = now
	}
	return u.take()
}

// RecordPeerCrash records that another entry detected the crash of an upstream. It returns the same as RecordBrokenAnswer.
func (d *Detector) RecordPeerCrash(now time.Time, upstream uint64) []DetectedCrash {
	u := d.upstream(now, upstream)
	if u.unreachableAt.IsZero() {
		u.unreachableAt = now
	}
	u.crashed = true
	return u.take()
}

func (d *Detector) upstream(now time.Time, upstream uint64) *upstreamRecord {
	d.expire(now)
	u := d.upstreams[upstream]
	if u == nil {
		u = &upstreamRecord{}
		d.upstreams[upstream] = u
	}
	return u
}

// take returns and clears the pending requests if the upstream has crashed.
func (u *upstreamRecord) take() []DetectedCrash {
	if u.unreachableAt.IsZero() {
		return nil
	}
	u.crashed = u.crashed || slices.ContainsFunc(u.pending, func(c DetectedCrash) bool { return !c.Abandoned })
	if !u.crashed {
		return nil
	}
	taken := u.pending
	u.pending = nil
	return taken
}

func (d *Detector) expire(now time.Time) {
	old := func(at time.Time) bool { return now.Sub(at) >= d.config.CrashWindow }
	for upstream, u := range d.upstreams {
		u.pending = slices.DeleteFunc(u.pending, func(c DetectedCrash) bool { return old(c.At) })
		if old(u.unreachableAt) {
			u.unreachableAt, u.crashed = time.Time{}, false
		}
		if len(u.pending) == 0 && u.unreachableAt.IsZero() {
			delete(d.upstreams, upstream)
		}
	}
}
