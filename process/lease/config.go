// Package lease holds a named lease of the key-value service with a fencing token.
//
// The key lease/NAME exists while somebody holds the lease; the platform deletes it when the holder's platform lease ends. The
// key fence/NAME is never deleted and counts the fencing tokens. It is separate because the revision of a key that was deleted may
// begin again, which would repeat tokens. The counter is read before the lease key is created and raised by compare-and-swap
// after, so nobody else was given a token in between. A process that was paused before it raised the counter may be given a token
// without the lease, but its own clock, which runs from before the lease was requested, then says that the lease has ended.
package lease

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Config holds the times of a lease. No field may be zero unless its comment says so.
type Config struct {
	// TTL is how long the platform keeps the lease without renewal. Default 15 s.
	TTL time.Duration
	// Margin is how much earlier than the platform the process considers the lease lost. It covers the difference between the
	// rates of the two clocks, and the time a command needs to take effect. Default 3 s.
	Margin time.Duration
	// Jitter is the part by which renewals and attempts are randomly early, so that those of many processes do not coincide.
	// Default 0.2. Zero: none.
	Jitter float64
	// CallTimeout bounds one call to the platform. Default 3 s.
	CallTimeout time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{TTL: 15 * time.Second, Margin: 3 * time.Second, Jitter: 0.2, CallTimeout: 3 * time.Second}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	checks := []struct {
		field string
		ok    bool
	}{
		{"TTL", c.TTL > 0},
		{"Margin", c.Margin > 0 && c.Margin < c.TTL/2},
		{"Jitter", c.Jitter >= 0 && c.Jitter < 1},
		{"CallTimeout", c.CallTimeout > 0},
	}
	for _, check := range checks {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("lease config: %s is out of range", check.field))
		}
	}
	return nil
}
