package budget

import (
	"time"

	"github.com/gravitational/trace"
)

// Config limits one process's calls.
type Config struct {
	// ReadsPerSecond is the sustained rate of Get, List and Watch. Default 20; zero is invalid.
	ReadsPerSecond float64
	// ReadBurst is the size of the token bucket of reads. Default 40; zero is invalid.
	ReadBurst int
	// WritesPerSecond is the sustained rate of CompareAndSwap, Grant, Renew and Revoke. Default 5; zero is invalid.
	WritesPerSecond float64
	// WriteBurst is the size of the token bucket of writes. Default 10; zero is invalid.
	WriteBurst int
	// ReadTimeout bounds the call of a Get, which no caller's context cancels. Default 3 s; zero is invalid.
	ReadTimeout time.Duration
	// RereadBase is the maximum delay of the first re-read after an outage; the maximum doubles with each attempt. Default 100 ms; zero is
	// invalid.
	RereadBase time.Duration
	// RereadMax is the maximum delay of any re-read. Default 10 s; below RereadBase is invalid.
	RereadMax time.Duration
}

// DefaultConfig returns the defaults, which suit an entry. A sidecar that claims idempotency keys needs more writes.
func DefaultConfig() Config {
	return Config{
		ReadsPerSecond:  20,
		ReadBurst:       40,
		WritesPerSecond: 5,
		WriteBurst:      10,
		ReadTimeout:     3 * time.Second,
		RereadBase:      100 * time.Millisecond,
		RereadMax:       10 * time.Second,
	}
}

// Validate returns an error that names the first field that is out of range.
func (c Config) Validate() error {
	for _, field := range []struct {
		name string
		ok   bool
	}{
		{"ReadsPerSecond", c.ReadsPerSecond > 0},
		{"ReadBurst", c.ReadBurst > 0},
		{"WritesPerSecond", c.WritesPerSecond > 0},
		{"WriteBurst", c.WriteBurst > 0},
		{"ReadTimeout", c.ReadTimeout > 0},
		{"RereadBase", c.RereadBase > 0},
		{"RereadMax", c.RereadMax >= c.RereadBase},
	} {
		if !field.ok {
			return trace.BadParameter("%s is out of range", field.name)
		}
	}
	return nil
}
