// Package stall tells transfers that are slow from those that have stalled.
package stall

import "time"

// Config configures a Patience.
type Config struct {
	// Limit is how long a transfer may make no progress.
	Limit time.Duration
	// BytesPerSecond is the rate from which a transfer may go on for any time.
	BytesPerSecond float64
}

// Patience is the time for which a transfer may still wait for its peer. Waiting uses it up, and each byte restores the time that it takes at the
// configured rate, so that a byte now and then does not keep a transfer alive. Time in which the transfer waits for something else does not count.
type Patience struct {
	config Config
	left   time.Duration
}

// New returns the patience of a transfer that begins.
func New(c Config) Patience { return Patience{c, c.Limit} }

// Left returns how long the transfer may wait for its peer now. It is not positive if the transfer has stalled.
func (p *Patience) Left() time.Duration { return p.left }

// Record takes into account that the transfer waited for its peer and then moved n bytes.
func (p *Patience) Record(waited time.Duration, n int) {
	earned := time.Duration(float64(n) / p.config.BytesPerSecond * float64(time.Second))
	p.left = min(p.config.Limit, p.left-max(0, waited)+earned)
}

// Restrict lowers the time without progress from now on.
func (p *Patience) Restrict(limit time.Duration) {
	p.config.Limit = min(p.config.Limit, limit)
	p.left = min(p.left, limit)
}
