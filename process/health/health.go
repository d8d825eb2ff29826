// Package health implements passive health checks: an entry derives the health of an upstream from the outcomes of its own requests.
//
// An upstream is down if it cannot be reached, or if several consecutive requests ended with a broken connection, an invalid answer or
// no answer in time. It gets no requests until a probe succeeds. For an upstream that fails only part of its requests a failure rate is
// computed, which placement weighs against other costs. A Monitor does no I/O and does not read the clock; it is not safe for concurrent
// use.
package health

import (
	"math"
	"time"
)

// Outcome is the outcome of a request at an upstream.
type Outcome uint8

const (
	// Answered means that the upstream answered completely and without an error.
	Answered Outcome = iota
	// Failed means that the upstream answered with an error.
	Failed
	// Rejected means that the upstream answered that it did not run the request.
	Rejected
	// Broken means that the connection ended or the answer was invalid.
	Broken
	// Unanswered means that no answer arrived within the expected time.
	Unanswered
	// Unreachable means that no connection could be established.
	Unreachable
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "rejected", "broken", "unanswered", "unreachable"}[o]
}

// Config configures how fast a Monitor reacts.
type Config struct {
	// Weight is the weight of the latest outcome in the failure rate, an exponentially weighted moving average.
	Weight float64
	// HalfLife is the time in which the failure rate halves without further outcomes, so that an avoided upstream is tried again.
	HalfLife time.Duration
	// DownAfter is the number of consecutive broken or unanswered requests, without any answer in between, after which an upstream
	// is down.
	DownAfter int
	// FirstProbe is the delay of the first probe after the upstream went down; it doubles for each further probe, up to MaxProbe.
	FirstProbe, MaxProbe time.Duration
}

// DefaultConfig returns the defaults, which suit upstreams that get several requests per second.
func DefaultConfig() Config {
	return Config{
		Weight:     0.15,
		HalfLife:   4 * time.Second,
		DownAfter:  3,
		FirstProbe: 250 * time.Millisecond, // a restart takes seconds, but after a mere connection reset the upstream is reachable immediately
		MaxProbe:   time.Second,
	}
}

// Monitor tracks the health of one upstream.
type Monitor struct {
	config        Config
	failureRate   float64
	updatedAt     time.Time
	consecutive   int
	down          bool
	probeAt       time.Time
	probeInterval time.Duration
}

// New returns a monitor of an upstream that is assumed to be healthy.
func New(config Config) *Monitor { return &Monitor{config: config} }

// Down reports whether the upstream is down and must get no requests.
func (m *Monitor) Down() bool { return m.down }

// FailureRate returns the fraction of requests that fail, estimated from the latest outcomes.
func (m *Monitor) FailureRate(now time.Time) float64 {
	if m.failureRate == 0 {
		return 0
	}
	return m.failureRate * math.Exp2(-float64(now.Sub(m.updatedAt))/float64(m.config.HalfLife))
}

// Record records the outcome of a request and reports whether the upstream went down because of it.
func (m *Monitor) Record(now time.Time, o Outcome) bool {
	failure := 0.0
	if o != Answered {
		failure = 1
	}
	m.failureRate = m.FailureRate(now)*(1-m.config.Weight) + failure*m.config.Weight
	m.updatedAt = now
	switch o {
	case Answered, Failed, Rejected:
		m.consecutive = 0
		return false
	case Unreachable:
		return m.markDown(now)
	default:
		m.consecutive++
		return m.consecutive >= m.config.DownAfter && m.markDown(now)
	}
}

func (m *Monitor) markDown(now time.Time) bool {
	if m.down {
		return false
	}
	m.down = true
	m.probeInterval = m.config.FirstProbe
	m.probeAt = now.Add(m.probeInterval)
	return true
}

// ProbeDue reports whether to send a probe now, and schedules the next one. The caller must pass the result to RecordProbe.
func (m *Monitor) ProbeDue(now time.Time) bool {
	if !m.down || now.Before(m.probeAt) {
		return false
	}
	m.probeInterval = min(2*m.probeInterval, m.config.MaxProbe)
	m.probeAt = now.Add(m.probeInterval)
	return true
}

// RecordProbe records the result of a probe and reports whether the upstream came up because of it.
func (m *Monitor) RecordProbe(now time.Time, healthy bool) bool {
	if !m.down || !healthy {
		return false
	}
	m.down = false
	m.consecutive = 0
	m.failureRate = 0
	m.updatedAt = now
	return true
}
