package lease

import "time"

// Step is the next action of a Holder's caller.
type Step uint8

// Steps that Holder.Next returns. Wait means that no action is due before the returned time.
const (
	Wait Step = iota
	Acquire
	Renew
)

// Holder decides when to acquire and to renew the lease, and whether it is held. It does no I/O: the caller passes times of one monotonic clock,
// and jitter values in [0, 1).
type Holder struct {
	config Config
	fence  uint64
	// until is when the lease expires for this process, Config.Margin before it can expire on the platform.
	until time.Time
	next  time.Time
}

// NewHolder returns a holder that does not hold the lease.
func NewHolder(config Config) *Holder { return &Holder{config: config} }

// Next returns the step that is due at time now, or Wait and the time of the next step.
func (h *Holder) Next(now time.Time) (Step, time.Time) {
	if now.Before(h.next) {
		return Wait, h.next
	}
	if _, ok := h.Held(now); ok {
		return Renew, now
	}
	return Acquire, now
}

// Acquired records an acquisition whose platform lease was requested at time sent. It treats a token that is not greater than the last
// one as a failed attempt, because fencing tokens must increase.
func (h *Holder) Acquired(sent time.Time, fence uint64, jitter float64) {
	if fence <= h.fence {
		h.NotAcquired(sent, jitter)
		return
	}
	h.fence = fence
	h.extend(sent, jitter)
}

// NotAcquired records that an attempt made at time now failed or found another holder.
func (h *Holder) NotAcquired(now time.Time, jitter float64) {
	h.next = now.Add(h.interval(jitter))
}

// Renewed records a successful renewal that was sent at time sent. A renewal sent after the lease may have expired does not extend it:
// the lease is treated as lost.
func (h *Holder) Renewed(sent time.Time, jitter float64) {
	if !sent.Before(h.until) {
		h.Lost()
		return
	}
	h.extend(sent, jitter)
}

// RenewalFailed records a renewal without a response. The retry interval is a quarter of the renewal interval, so that several retries
// fit before the lease expires.
func (h *Holder) RenewalFailed(now time.Time, jitter float64) {
	h.next = now.Add(h.interval(jitter) / 4)
}

// Lost records that the platform reported the lease as expired.
func (h *Holder) Lost() {
	h.until = time.Time{}
	h.next = time.Time{}
}

// GaveUp records that the lease was given up at time now and is not to be acquired before the pause has passed.
func (h *Holder) GaveUp(now time.Time, pause time.Duration) {
	h.until = time.Time{}
	h.next = now.Add(pause)
}

// Held returns the fencing token if the lease is held at time now.
func (h *Holder) Held(now time.Time) (fence uint64, ok bool) {
	if !now.Before(h.until) {
		return 0, false
	}
	return h.fence, true
}

// Until returns when the lease expires without a further renewal.
func (h *Holder) Until() time.Time { return h.until }

func (h *Holder) extend(sent time.Time, jitter float64) {
	h.until = sent.Add(h.config.TTL - h.config.Margin)
	h.next = sent.Add(h.interval(jitter))
}

// interval returns a third of the TTL, shortened by Config.Jitter times jitter, which is in [0, 1).
func (h *Holder) interval(jitter float64) time.Duration {
	third := float64(h.config.TTL) / 3
	return time.Duration(third * (1 - h.config.Jitter*jitter))
}
