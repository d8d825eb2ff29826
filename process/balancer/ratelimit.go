package balancer

import "time"

// NoRateLimit is the rate limit of an upstream that takes any number of requests.
const NoRateLimit = -1

// RateLimit is the rate of requests that an upstream takes from all entries together.
type RateLimit struct {
	// Upstream is the short hash of the upstream's ID.
	Upstream uint32
	// PerSecond is the rate in requests per second, or NoRateLimit.
	PerSecond float64
	// At is the time of the answer in which the upstream named it.
	At time.Time
}

// RecordRateLimit records the rate limit that the upstream named in its answer, or NoRateLimit. It reports whether the limit changed.
func (c *Choice) RecordRateLimit(now time.Time, perSecond float64) bool {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.backend.recordRateLimit(RateLimit{c.backend.shortHash(), perSecond, now})
}

// recordRateLimit applies the limit if it is newer than the known one, and reports whether the limit changed.
func (e *backend) recordRateLimit(l RateLimit) bool {
	if !l.At.After(e.rateLimitAt) {
		return false
	}
	changed := e.rateLimit != l.PerSecond
	e.rateLimit, e.rateLimitAt = l.PerSecond, l.At
	return changed
}
