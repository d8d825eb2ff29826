package duty

import (
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Config holds the timing of calls of the platform's API for one duty. No field may be zero.
type Config struct {
	// Wait is the time from the acquisition of the lease until the first call. It is the time within which two gateways must not act alternately.
	Wait time.Duration
	// CallsPerSecond is the maximum rate of the holder's calls.
	CallsPerSecond float64
	// MinBackoff and MaxBackoff are the pauses after the first and after many failed calls; each is twice as long as the one before. Defaults 0.25 s
	// and 4 s.
	MinBackoff, MaxBackoff time.Duration
	// GiveUpAfter is the time without a successful call after which the duty is given up, counted from the start of the first failed call. Default
	// 3 s.
	GiveUpAfter time.Duration
}

// DefaultConfig returns the configuration for the platform's limits: the time in which two gateways must not act alternately, and the number of calls
// a second that the API accepts from all gateways. The holders of all duties together use at most half of the latter.
func DefaultConfig(wait time.Duration, callsPerSecond float64, duties int) Config {
	return Config{
		Wait: wait, CallsPerSecond: callsPerSecond / 2 / float64(max(1, duties)),
		MinBackoff: 250 * time.Millisecond, MaxBackoff: 4 * time.Second, GiveUpAfter: 3 * time.Second,
	}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	checks := []struct {
		field string
		ok    bool
	}{
		{"Wait", c.Wait > 0},
		{"CallsPerSecond", c.CallsPerSecond > 0},
		{"MinBackoff", c.MinBackoff > 0},
		{"MaxBackoff", c.MaxBackoff >= c.MinBackoff},
		{"GiveUpAfter", c.GiveUpAfter > 0},
	}
	for _, check := range checks {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("duty config: %s is out of range", check.field))
		}
	}
	return nil
}

// Lease is the lease of a duty as this process holds it.
type Lease struct {
	// Token is the fencing token.
	Token uint64
	// Since is the time at which the lease was acquired, Until the time at which it ends unless it is renewed.
	Since, Until time.Time
}

// Tenure decides when the holder of a duty may call the API and when it gives the duty up. It is used by one goroutine only.
type Tenure struct {
	config Config
	lease  Lease
	held   bool
	// nextAt is the earliest time of the next call.
	nextAt time.Time
	// callAt is the start of the call in progress, zero if there is none.
	callAt time.Time
	// backoff is the pause after the latest call, zero if it succeeded.
	backoff time.Duration
	// failingSince is the start of the first of the calls that failed in a row, zero if the latest one succeeded.
	failingSince time.Time
	// fenced is the highest token that the API refused. No call is made with it or with a lower one.
	fenced uint64
}

// NewTenure returns a Tenure without a lease. The config must be valid.
func NewTenure(config Config) *Tenure { return &Tenure{config: config} }

// SetLease records whether the lease is held. A new token starts a new tenure.
func (t *Tenure) SetLease(l Lease, held bool) {
	if held && (!t.held || l.Token != t.lease.Token) {
		t.nextAt, t.callAt, t.backoff, t.failingSince = l.Since.Add(t.config.Wait), time.Time{}, 0, time.Time{}
	}
	t.lease, t.held = l, held
}

// Wait returns the time from the acquisition of the lease until the first call.
func (t *Tenure) Wait() time.Duration { return t.config.Wait }

// Token returns the token of the lease, and false if the lease is not held at time now.
func (t *Tenure) Token(now time.Time) (uint64, bool) {
	return t.lease.Token, t.held && now.Before(t.lease.Until)
}

// Active reports whether the holder may act for the duty at time now: the lease is held, its token has not been refused, and the time has passed in
// which the former holder may still have acted.
func (t *Tenure) Active(now time.Time) bool {
	_, held := t.Token(now)
	return held && t.lease.Token > t.fenced && !now.Before(t.lease.Since.Add(t.config.Wait))
}

// MayCall reports whether a call may start at time now. One call is made at a time.
func (t *Tenure) MayCall(now time.Time) bool {
	return t.Active(now) && t.callAt.IsZero() && !now.Before(t.nextAt)
}

// CallStarted records the start of a call.
func (t *Tenure) CallStarted(now time.Time) {
	t.callAt = now
	t.nextAt = now.Add(time.Duration(float64(time.Second) / t.config.CallsPerSecond))
}

// CallEnded records the end of the call with a token and reports whether the duty must be given up: the API refused the token, or no call has
// succeeded for GiveUpAfter. A throttled call does not count for the latter, since the limit is that of all gateways.
func (t *Tenure) CallEnded(now time.Time, token uint64, err error) (giveUp bool) {
	if errors.Is(err, ErrFenced) {
		t.fenced = max(t.fenced, token)
	}
	if token != t.lease.Token {
		return false
	}
	started := t.callAt
	t.callAt = time.Time{}
	switch {
	case err == nil:
		t.backoff, t.failingSince = 0, time.Time{}
		return false
	case errors.Is(err, ErrFenced):
		return true
	}
	t.backoff = min(max(2*t.backoff, t.config.MinBackoff), t.config.MaxBackoff)
	if next := now.Add(t.backoff); next.After(t.nextAt) {
		t.nextAt = next
	}
	if errors.Is(err, ErrThrottled) {
		return false
	}
	if t.failingSince.IsZero() {
		t.failingSince = started
	}
	return now.Sub(t.failingSince) >= t.config.GiveUpAfter
}
