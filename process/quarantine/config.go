// Package quarantine prevents a request that crashes upstreams from crashing all of them.
//
// The Tracker of an upstream marks the requests that were in flight at a crash as suspects. A suspect runs once more, alone. If
// the upstream crashes again, the suspect's fingerprint is quarantined and a List distributes it by gossip; if the request
// completes, it is cleared. Nothing in the package reads the clock, does I/O or locks: callers pass the time, and one goroutine owns
// each value.
package quarantine

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Fingerprint identifies requests with the same content.
type Fingerprint uint64

// FingerprintOf returns the xxhash64 of service, route and body, after the lengths of service and route, so that different triples
// never hash the same bytes. The gateway passes the team and the request target as service and route.
//
// The body may be in several parts; how it is divided makes no difference.
func FingerprintOf(service, route string, body ...[]byte) Fingerprint {
	var prefix [8]byte
	binary.LittleEndian.PutUint32(prefix[:], uint32(len(service)))
	binary.LittleEndian.PutUint32(prefix[4:], uint32(len(route)))
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString(route)
	for _, part := range body {
		_, _ = digest.Write(part)
	}
	return Fingerprint(digest.Sum64())
}

// Config holds the limits of Tracker and List. Fields must not be zero unless their comment permits it.
type Config struct {
	// SuspectFor is how long a request that was in flight at a crash stays a suspect if it is not retried. Default 10 min.
	SuspectFor time.Duration
	// IsolationWait is how long the upstream stays reserved for a suspect that waits to run alone while other requests end. After
	// that, other requests are accepted again. Default 30 s.
	IsolationWait time.Duration
	// QuarantineFor is how long a fingerprint is rejected fleet-wide. Default 1 h.
	QuarantineFor time.Duration
	// MaxSuspects is the maximum number of suspects of one upstream; the oldest is evicted first. Default 1024.
	MaxSuspects int
	// MaxEntries is the maximum number of quarantined fingerprints; the one that expires first is evicted. Default 1024.
	MaxEntries int
	// FreshRounds is the number of digests that include a newly learned fingerprint with priority over older ones. Default 12: a
	// message that is sent to one random peer per round reaches 800 processes with high probability. With zero all
	// fingerprints rotate equally.
	FreshRounds int
	// GossipMargin is subtracted from the remaining time in gossip, so that message delays never prolong a quarantine. Default
	// 2 s. With zero nothing is subtracted.
	GossipMargin time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		SuspectFor:    10 * time.Minute,
		IsolationWait: 30 * time.Second,
		QuarantineFor: time.Hour,
		MaxSuspects:   1024,
		MaxEntries:    1024,
		FreshRounds:   12,
		GossipMargin:  2 * time.Second,
	}
}

// Validate returns an error that names the first invalid field.
func (c Config) Validate() error {
	checks := []struct {
		field string
		ok    bool
	}{
		{"SuspectFor", c.SuspectFor > 0},
		{"IsolationWait", c.IsolationWait > 0},
		{"QuarantineFor", c.QuarantineFor > 0 && c.QuarantineFor < maxRemaining},
		{"MaxSuspects", c.MaxSuspects >= 1},
		{"MaxEntries", c.MaxEntries >= 1},
		{"FreshRounds", c.FreshRounds >= 0},
		{"GossipMargin", c.GossipMargin >= 0},
	}
	for _, check := range checks {
		if !check.ok {
			return trace.Wrap(fmt.Errorf("quarantine config: %s is out of range", check.field))
		}
	}
	return nil
}

// maxRemaining is the longest duration that wire.QuarantineEntry can represent, about 49 days.
const maxRemaining = (1<<32 - 1) * time.Millisecond
