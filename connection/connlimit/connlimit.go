// Package connlimit decides which connections a listener keeps. It has no clock, no I/O and no locks.
package connlimit

import (
	"net/netip"
	"time"
)

// State is what a connection holds at the moment of a decision.
type State struct {
	// Protected means that the connection must not be closed: its request has been passed on.
	Protected bool
	// Bytes is the memory that is reserved for the connection's unfinished message.
	Bytes int64
	// Progress is the latest time at which bytes arrived.
	Progress time.Time
}

// Conn is a connection in a table.
type Conn interface {
	comparable
	// Address is the IP address of the peer.
	Address() netip.Addr
	// State returns the current state.
	State() State
}

// Config holds the limits of a table.
type Config struct {
	// Connections is the number of connections in all, PerAddress that of one address. Both are at least 1.
	Connections, PerAddress int
}

// Table holds the open connections of one listener.
type Table[C Conn] struct {
	config    Config
	conns     map[C]struct{}
	byAddress map[netip.Addr]int
}

// New returns an empty table.
func New[C Conn](config Config) *Table[C] {
	return &Table[C]{config, make(map[C]struct{}), make(map[netip.Addr]int)}
}

// Decision is what to do with a new connection.
type Decision uint8

const (
	// Accepted means that the connection is in the table.
	Accepted Decision = iota
	// Full means that the table has no room for it, AddressFull that its address has none.
	Full
	AddressFull
)

// Add adds a connection if there is room for it.
func (t *Table[C]) Add(c C) Decision {
	address := c.Address()
	switch {
	case t.byAddress[address] >= t.config.PerAddress:
		return AddressFull
	case len(t.conns) >= t.config.Connections:
		return Full
	}
	t.conns[c] = struct{}{}
	t.byAddress[address]++
	return Accepted
}

// Remove removes a connection. It returns false if the table does not hold it.
func (t *Table[C]) Remove(c C) bool {
	if _, ok := t.conns[c]; !ok {
		return false
	}
	delete(t.conns, c)
	address := c.Address()
	if t.byAddress[address]--; t.byAddress[address] == 0 {
		delete(t.byAddress, address)
	}
	return true
}

// Len returns the number of connections.
func (t *Table[C]) Len() int { return len(t.conns) }

// stalledAfter is the time without bytes from the peer after which a connection counts as stalled. A caller that sends a large body pauses for less.
const stalledAfter = 2 * time.Second

// LeastUseful returns the connection that is closed first to make room after a decision other than Accepted for c: of the same address if that is
// what is full, and never one that is protected. Stalled connections go first, those with the most memory before others. Among those that are not
// stalled memory says nothing against a connection, since large bodies have much. In both cases, the one that has made no progress for longest goes
// first among equals. LeastUseful returns false if there is none.
func (t *Table[C]) LeastUseful(now time.Time, c C, d Decision) (C, bool) {
	var (
		victim C
		worst  State
		found  bool
	)
	address := c.Address()
	since := now.Add(-stalledAfter)
	for candidate := range t.conns {
		if d == AddressFull && candidate.Address() != address {
			continue
		}
		s := candidate.State()
		if s.Protected {
			continue
		}
		if !s.Progress.Before(since) {
			s.Bytes = -1
		}
		if !found || s.Bytes > worst.Bytes || s.Bytes == worst.Bytes && s.Progress.Before(worst.Progress) {
			victim, worst, found = candidate, s, true
		}
	}
	return victim, found
}
