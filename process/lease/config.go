// Package lease acquires and renews a named lease in the key-value service, with a fencing token for each acquisition.
//
// The key lease/NAME exists while a process holds the lease; the platform deletes it when the holder's platform lease expires. The
// key fence/NAME is never deleted and holds the last fencing token. It is a separate key because the revisions of a deleted key may
// restart, so that tokens derived from them alone would repeat. It is read before the lease key is created and raised by
// compare-and-swap afterwards, so no other process can have obtained a token in between. A process that was paused before the increment
// may obtain a token without holding the lease; its local validity period, which starts before the lease was requested, has then expired.
package lease

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Config holds the timing parameters of a lease. No field may be zero unless its comment says so.
type Config struct {
	// TTL is how long the platform keeps the lease without renewal. Default 15 s.
	TTL time.Duration
	// Margin is how much earlier than the platform the process considers the lease expired. It covers the drift between the two
	// clocks and the time that a command needs to take effect. Default 3 s.
	Margin time.Duration
	// Jitter is the fraction by which the interval between renewals or attempts is randomly shortened at most, so that those of many
	// processes do not coincide. Default 0.2. Zero disables jitter.
	Jitter float64
	// CallTimeout bounds one call to the platform. Default 3 s.
	CallTimeout time.Duration
}

// DefaultConfig returns the default values that the fields of Config document.
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
