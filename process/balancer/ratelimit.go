package balancer

import (
	"time"

	"golang.org/x/time/rate"
)

// NoRateLimit is the rate limit of an upstream that takes any number of requests.
const NoRateLimit = -1

// minNamedRate is the lowest rate that is applied, in requests per second from all entries: only answers show that a limit was raised.
const minNamedRate = 0.1

// rateWindow is the duration of the window in which an entry may use its share of an upstream's rate if the share is less than one request per
// second. Without windows, many entries would spend their accumulated tokens at the same moment.
const rateWindow = 400 * time.Millisecond

// RateLimit is the rate of requests that an upstream takes from all entries together.
type RateLimit struct {
	// Upstream is the hash of the upstream's ID.
	Upstream uint64
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
	return b.recordRateLimit(c.backend, RateLimit{c.backend.hash, perSecond, now})
}

// AddRateLimit takes over a rate limit from a peer. It returns the ID of the upstream if its limit changed, else "".
func (b *Balancer) AddRateLimit(l RateLimit) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.byHash[l.Upstream]; e != nil && b.recordRateLimit(e, l) {
		return e.ID
	}
	return ""
}

// recordRateLimit applies the limit if it is newer than the known one, and queues it for the peers if it changed.
func (b *Balancer) recordRateLimit(e *backend, l RateLimit) bool {
	if !l.At.After(e.rateLimitAt) {
		return false
	}
	changed := e.rateLimit != l.PerSecond
	e.rateLimit, e.rateLimitAt = l.PerSecond, l.At
	if changed {
		b.limitUpdates = append(b.limitUpdates, l)
	}
	return changed
}

// TakeRateLimits returns the rate limits that changed since the last call.
func (b *Balancer) TakeRateLimits() []RateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	updates := b.limitUpdates
	b.limitUpdates = nil
	return updates
}

// RateLimits returns all rate limits in force.
func (b *Balancer) RateLimits() []RateLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var limits []RateLimit
	for _, e := range b.backends {
		if e.rateLimit != NoRateLimit {
			limits = append(limits, RateLimit{e.hash, e.rateLimit, e.rateLimitAt})
		}
	}
	return limits
}

// currentRate returns the rate of requests that an upstream takes from all entries now, in requests per second: the one that it named, and the one for
// cold upstreams while it is cold. It also updates the limiter to this entry's share.
func (b *Balancer) currentRate(now time.Time, e *backend) (perSecond float64, limited bool) {
	if e.coldRate > 0 && now.Before(e.ColdUntil) {
		perSecond, limited = e.coldRate, true
	}
	if e.rateLimit != NoRateLimit {
		named := max(minNamedRate, e.rateLimit)
		if !limited || named < perSecond {
			perSecond = named
		}
		limited = true
	}
	if share := rate.Limit(perSecond / float64(b.entries)); limited && e.limiter.Limit() != share {
		e.limiter.SetLimitAt(now, share)
	}
	return perSecond, limited
}

// inRateWindow reports whether this entry may use its share of an upstream's rate now. The window recurs with the interval at which the entry earns
// one request. The windows of the entries are spread evenly over the interval by their positions, or pseudo-randomly while those are unknown.
func (b *Balancer) inRateWindow(now time.Time, e *backend, perSecond float64) bool {
	interval := time.Duration(float64(b.entries) / perSecond * float64(time.Second))
	if interval <= time.Second {
		return true
	}
	phase := time.Duration((e.hash ^ b.config.Seed) % uint64(interval))
	if b.position >= 0 {
		phase = time.Duration(e.hash%uint64(interval)) + interval/time.Duration(b.entries)*time.Duration(b.position)
	}
	return (time.Duration(now.UnixNano())+b.timeOfDay+phase)%interval < rateWindow
}
