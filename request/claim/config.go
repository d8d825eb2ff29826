package claim

import (
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// Config holds the settings of the claims of one service.
type Config struct {
	// Service names the service; it is part of the keys in the key-value service. There is no default; empty or with a slash
	// is invalid.
	Service string
	// Shards is the number of logs over which keys are distributed. All stores of a service must agree on it; a store that
	// finds a different recorded number refuses all claims. Fewer shards mean longer batches: with every shard busy, a claim
	// waits up to Shards/WritesPerSecond for its write. Default 3; zero is invalid.
	Shards int
	// SegmentBytes is the size at which a segment is sealed and the next one begun. Each write sends the whole active segment,
	// which is half of this on average. Default 32 KiB; below 1 KiB or above a quarter of services.MaxValueBytes is invalid.
	SegmentBytes int
	// Retention is how long a key is remembered; see the package comment for what happens afterwards. Stores of a service
	// should agree on it; the shortest one counts. Each key remembered takes about 57 bytes of memory in the stores that read
	// its shard. Default 1 h; below 1 s is invalid.
	Retention time.Duration
	// WritesPerSecond limits the total write rate of all shards while each shard has a single writer. Default 300; zero is
	// invalid.
	WritesPerSecond float64
	// FlushInterval is how long stored responses wait for a claim to share a write with. Default 50 ms; with zero they are
	// written as soon as the rate allows.
	FlushInterval time.Duration
	// BodyLimitBytes is the size of the largest body kept with a response. Default 2 KiB; zero keeps no bodies; above a
	// quarter of SegmentBytes is invalid.
	BodyLimitBytes int
	// CachedBodies is the number of bodies kept in memory per shard. Others are read from their segment when a caller asks for
	// them. Default 2048; zero is invalid.
	CachedBodies int
	// PlatformTimeout bounds one call to the key-value service. Default 1 s; zero is invalid.
	PlatformTimeout time.Duration
	// ClaimTimeout bounds a claim, even if the caller's context lasts longer. Default 3 s; zero is invalid.
	ClaimTimeout time.Duration
	// Address is the IP address and port at which other stores reach this one. Default empty: no other store forwards batches
	// to this one.
	Address string
	// ForwardTimeout limits the wait for another store to append a forwarded batch; after that this store appends the batch
	// itself. Default 200 ms, ten times what a healthy store takes; zero is invalid.
	ForwardTimeout time.Duration
	// ForwardRetryDelay is how long this store appends its own batches after forwarding one has failed. Default 1 s; zero is
	// invalid.
	ForwardRetryDelay time.Duration
	// FollowInterval is the time between the reads of a store that forwards its batches. It keeps reading so that it can write
	// to the log itself at any time. Default 1 s; zero is invalid.
	FollowInterval time.Duration
	// RetryBase is the longest wait before the first call after a failed one; it doubles with each failure. During the wait
	// claims of new keys are refused at once. Default 20 ms; zero is invalid.
	RetryBase time.Duration
	// RetryMax is the longest wait before any call after a failed one. Default 1 s; below RetryBase is invalid.
	RetryMax time.Duration
}

// DefaultConfig returns the default settings for a service.
func DefaultConfig(service string) Config {
	return Config{
		Service:           service,
		Shards:            3,
		SegmentBytes:      32 << 10,
		Retention:         time.Hour,
		WritesPerSecond:   300,
		FlushInterval:     50 * time.Millisecond,
		BodyLimitBytes:    2 << 10,
		CachedBodies:      2048,
		PlatformTimeout:   time.Second,
		ClaimTimeout:      3 * time.Second,
		ForwardTimeout:    200 * time.Millisecond,
		ForwardRetryDelay: time.Second,
		FollowInterval:    time.Second,
		RetryBase:         20 * time.Millisecond,
		RetryMax:          time.Second,
	}
}

// Limits for fields of Config.
const (
	minSegmentBytes = 1 << 10
	// maxSegmentBytes leaves room for a batch of SegmentBytes after an almost full segment.
	maxSegmentBytes = services.MaxValueBytes / 4
	minRetention    = time.Second
)

// Validate returns an error that names the first field out of range.
func (c Config) Validate() error {
	for _, field := range []struct {
		name string
		ok   bool
	}{
		{"Service", c.Service != "" && !strings.Contains(c.Service, "/")},
		{"Shards", c.Shards > 0},
		{"SegmentBytes", c.SegmentBytes >= minSegmentBytes && c.SegmentBytes <= maxSegmentBytes},
		{"Retention", c.Retention >= minRetention},
		{"WritesPerSecond", c.WritesPerSecond > 0},
		{"FlushInterval", c.FlushInterval >= 0},
		{"BodyLimitBytes", c.BodyLimitBytes >= 0 && c.BodyLimitBytes <= c.SegmentBytes/4},
		{"CachedBodies", c.CachedBodies > 0},
		{"PlatformTimeout", c.PlatformTimeout > 0},
		{"ClaimTimeout", c.ClaimTimeout > 0},
		{"ForwardTimeout", c.ForwardTimeout > 0},
		{"ForwardRetryDelay", c.ForwardRetryDelay > 0},
		{"FollowInterval", c.FollowInterval > 0},
		{"RetryBase", c.RetryBase > 0},
		{"RetryMax", c.RetryMax >= c.RetryBase},
	} {
		if !field.ok {
			return trace.BadParameter("claim config: %s is out of range", field.name)
		}
	}
	return nil
}

// writeInterval is the minimum time between the starts of two writes to one shard.
func (c Config) writeInterval() time.Duration {
	return time.Duration(float64(time.Second) * float64(c.Shards) / c.WritesPerSecond)
}
