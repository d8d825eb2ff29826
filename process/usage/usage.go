// Package usage counts the requests that upstreams began to run, by time window and team, and decides what the holder of the duty reports when.
//
// Each gateway counts its own requests (Counter) and sends the counts to the holder, which adds up those of all gateways (Ledger), closes one window
// after the other and reports it (Reporter). The package does no I/O and does not read the clock. Its types are not safe for concurrent use. Times
// are times of day as Clock smooths them.
package usage

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Config holds the windows and the times of their reports. No field may be zero.
type Config struct {
	// Window is the length of a window. Window k begins k times as long after the start of 1970.
	Window time.Duration
	// Due is the time from the end of a window until its report is due. Unreported windows are dropped then.
	Due time.Duration
	// CloseAfter is the time from the end of a window after which it is reported without the counts that are still missing. Default 0.6 of Due.
	CloseAfter time.Duration
	// SendAfter is the time from the end of a window after which a gateway sends its counts although requests are undecided. Default 0.3 of Due.
	SendAfter time.Duration
}

// DefaultConfig returns the configuration for windows of a length whose reports are due the given time after their end.
func DefaultConfig(window, due time.Duration) Config {
	return Config{Window: window, Due: due, CloseAfter: due * 6 / 10, SendAfter: due * 3 / 10}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	checks := []struct {
		field string
		ok    bool
	}{
		{"Window", c.Window > 0},
		{"Due", c.Due > 0},
		{"CloseAfter", c.CloseAfter > 0 && c.CloseAfter < c.Due},
		{"SendAfter", c.SendAfter > 0 && c.SendAfter < c.CloseAfter},
	}
	for _, check := range checks {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("usage config: %s is out of range", check.field))
		}
	}
	return nil
}

// WindowAt returns the window that contains a time.
func (c Config) WindowAt(at time.Time) int64 {
	n, w := at.UnixNano(), int64(c.Window)
	if n < 0 {
		return -((-n + w - 1) / w)
	}
	return n / w
}

// End returns the end of a window.
func (c Config) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(c.Window)) }

// IsDue reports whether the report of a window is overdue at time now.
func (c Config) IsDue(now time.Time, window int64) bool { return !now.Before(c.End(window).Add(c.Due)) }

// oldest returns the oldest window whose report is not overdue.
func (c Config) oldest(now time.Time) int64 {
	window := c.WindowAt(now.Add(-c.Due)) - 1
	for c.IsDue(now, window) {
		window++
	}
	return window
}
