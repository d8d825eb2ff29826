// Package health is what an entry believes about the condition of one upstream, formed from the outcomes of its own requests.
//
// An upstream that cannot be reached, or that breaks off or does not answer several requests in a row, is down: it gets no requests
// until a probe succeeds. One that fails a part of its requests keeps a failure rate, which placement weighs against its other costs.
// A Monitor is a state machine without clock or I/O; it is not safe for concurrent use.
package health

import (
	"math"
	"time"
)

// Outcome is how a request ended at an upstream.
type Outcome uint8

// The outcomes.
const (
	// Answered: the upstream answered completely, and not with an error.
	Answered Outcome = iota
	// Failed: the upstream answered that it failed.
	Failed
	// Rejected: the upstream said that it did not run the request.
	Rejected
	// Broken: the connection ended or the answer was not valid.
	Broken
	// Unanswered: no answer came in the time that one should have taken.
	Unanswered
	// Unreachable: no connection could be established.
	Unreachable
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"answered", "failed", "rejected", "broken", "unanswered", "unreachable"}[o]
}

// Config sets how fast beliefs change.
type Config struct {
	// Weight is the share of the latest outcome in the failure rate.
	Weight float64
	// HalfLife is the time in which the failure rate falls to half without outcomes, so that an avoided upstream is tried again.
	HalfLife time.Duration
	// DownAfter is the number of broken or unanswered requests in a row, without any answer in between, that take an upstream down.
	DownAfter int
	// FirstProbe is the time from going down to the first probe; each further one waits twice as long, up to MaxProbe.
	FirstProbe, MaxProbe time.Duration
}

// DefaultConfig returns settings for upstreams that get several requests a second.
func DefaultConfig() Config {
	return Config{
		Weight:     0.15,
		HalfLife:   4 * time.Second,
		DownAfter:  3,
		FirstProbe: 250 * time.Millisecond, // restarts take seconds; a reset of connections only is over at once
		MaxProbe:   time.Second,
	}
}

// Monitor is the belief about one upstream.
type Monitor struct {
	config  Config
	rate    float64
	updated time.Time
	inARow  int
	down    bool
	probeAt time.Time
	wait    time.Duration
}

// New returns a monitor of an upstream that is believed to be well.
func New(config Config) *Monitor { return &Monitor{config: config} }

// Down says whether the upstream gets no requests.
func (m *Monitor) Down() bool { return m.down }

// FailureRate is the share of requests that fail, by the latest outcomes.
func (m *Monitor) FailureRate(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	return m.rate * math.Exp2(-float64(now.Sub(m.updated))/float64(m.config.HalfLife))
}

// Record takes the outcome of a request and says whether the upstream went down by it.
func (m *Monitor) Record(now time.Time, o Outcome) bool {
	failure := 0.0
	if o != Answered {
		failure = 1
	}
	m.rate = m.FailureRate(now)*(1-m.config.Weight) + failure*m.config.Weight
	m.updated = now
	switch o {
	case Answered, Failed, Rejected:
		m.inARow = 0
		return false
	case Unreachable:
		return m.goDown(now)
	default:
		m.inARow++
		return m.inARow >= m.config.DownAfter && m.goDown(now)
	}
}

func (m *Monitor) goDown(now time.Time) bool {
	if m.down {
		return false
	}
	m.down = true
	m.wait = m.config.FirstProbe
	m.probeAt = now.Add(m.wait)
	return true
}

// ProbeDue says whether a probe is to be sent now. It counts on the caller to report the result with Probed.
func (m *Monitor) ProbeDue(now time.Time) bool {
	if !m.down || now.Before(m.probeAt) {
		return false
	}
	m.wait = min(2*m.wait, m.config.MaxProbe)
	m.probeAt = now.Add(m.wait)
	return true
}

// Probed takes the result of a probe and says whether the upstream came up by it.
func (m *Monitor) Probed(now time.Time, well bool) bool {
	if !m.down || !well {
		return false
	}
	m.down = false
	m.inARow = 0
	m.rate = 0
	m.updated = now
	return true
}
