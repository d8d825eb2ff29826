// Package quarantine keeps requests that crash upstreams from crashing all of them.
//
// A Tracker beside an upstream suspects the requests that were in flight when it crashed. A suspect runs once more, alone. If the
// upstream crashes again, the suspect's fingerprint is quarantined, and a List spreads it by gossip; if the request completes, it
// is cleared. Nothing in the package reads a clock, performs I/O or locks: one goroutine owns each value.
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

// FingerprintOf returns the xxhash64 of service, route and body. The lengths of service and route are included, so that no two
// triples share their bytes.
func FingerprintOf(service, route string, body []byte) Fingerprint {
	var prefix [8]byte
	binary.LittleEndian.PutUint32(prefix[:], uint32(len(service)))
	binary.LittleEndian.PutUint32(prefix[4:], uint32(len(route)))
	digest := xxhash.New()
	// Writes to a digest never fail.
	_, _ = digest.Write(prefix[:])
	_, _ = digest.WriteString(service)
	_, _ = digest.WriteString(route)
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// Config holds the limits of Tracker and List. No field may be zero unless its comment says so.
type Config struct {
	// SuspectFor is how long a request that was in flight at a crash is remembered if it does not come back. Default 10 min.
	SuspectFor time.Duration
	// IsolationWait is how long a suspect's turn to run alone is kept while the upstream finishes other requests, before others
	// are accepted again. Default 30 s.
	IsolationWait time.Duration
	// QuarantineFor is how long a fingerprint is rejected fleet-wide. Default 1 h.
	QuarantineFor time.Duration
	// MaxSuspects bounds the suspects of one upstream; the oldest is forgotten first. Default 1024.
	MaxSuspects int
	// MaxEntries bounds the quarantined fingerprints; the one that ends first is dropped. Default 1024.
	MaxEntries int
	// FreshRounds is how often a newly learned fingerprint is gossiped before others take their turn. Default 12, with which a
	// rumour passed to one random peer a round reaches 800 processes with high probability. Zero: all take turns equally.
	FreshRounds int
	// GossipMargin is taken off the remaining time when it is gossiped, so that delays never prolong a quarantine. Default 2 s.
	// Zero: nothing is taken off.
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
		{"QuarantineFor", c.QuarantineFor > 0 && c.QuarantineFor < maxLeft},
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

// maxLeft is the longest time that wire.QuarantineEntry can carry, about 49 days.
const maxLeft = (1<<32 - 1) * time.Millisecond
