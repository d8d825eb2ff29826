package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jayridge/jayridge/connection/wire"
)

// List holds the quarantined fingerprints that one process knows.
type List struct {
	config  Config
	entries map[Fingerprint]*entry
	cursor  Fingerprint
}

type entry struct {
	until time.Time
	// sent is the number of digests that included the entry.
	sent int
}

// NewList returns an empty list.
func NewList(config Config) *List {
	return &List{config: config, entries: make(map[Fingerprint]*entry)}
}

// Add quarantines a fingerprint for QuarantineFor.
func (l *List) Add(now time.Time, f Fingerprint) {
	l.upsert(now, f, now.Add(l.config.QuarantineFor))
}

// Merge adds the entries of a peer's gossip and returns the fingerprints that were not quarantined here. Remaining times are capped at
// QuarantineFor.
func (l *List) Merge(now time.Time, entries []wire.QuarantineEntry) []Fingerprint {
	var learned []Fingerprint
	for _, e := range entries {
		remaining := min(time.Duration(e.RemainingMS)*time.Millisecond, l.config.QuarantineFor)
		if remaining <= 0 {
			continue
		}
		f := Fingerprint(e.Fingerprint)
		known := l.Contains(now, f)
		l.upsert(now, f, now.Add(remaining))
		if !known && l.Contains(now, f) {
			learned = append(learned, f)
		}
	}
	return learned
}

// upsert adds an entry or extends it. An extension by up to GossipMargin is ignored: it is a delayed copy of the same entry.
func (l *List) upsert(now time.Time, f Fingerprint, until time.Time) {
	known := l.entries[f]
	if known != nil && !until.After(known.until.Add(l.config.GossipMargin)) {
		return
	}
	if known == nil && len(l.entries) >= l.config.MaxEntries && !l.evict(now, until) {
		return
	}
	l.entries[f] = &entry{until: until}
}

// evict drops the expired entries, or if there are none the entry that expires first, provided that it expires before until. It
// reports whether there is space for another entry.
func (l *List) evict(now time.Time, until time.Time) bool {
	l.expire(now)
	if len(l.entries) < l.config.MaxEntries {
		return true
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(l.entries)), func(a, b Fingerprint) int {
		return cmp.Or(l.entries[a].until.Compare(l.entries[b].until), cmp.Compare(a, b))
	})
	if !l.entries[first].until.Before(until) {
		return false
	}
	delete(l.entries, first)
	return true
}

func (l *List) expire(now time.Time) {
	maps.DeleteFunc(l.entries, func(_ Fingerprint, e *entry) bool { return !now.Before(e.until) })
}

// Contains reports whether a fingerprint is quarantined at time now. It does not allocate.
func (l *List) Contains(now time.Time, f Fingerprint) bool {
	e := l.entries[f]
	return e != nil && now.Before(e.until)
}

// Len returns the number of entries that are active at time now.
func (l *List) Len(now time.Time) int {
	l.expire(now)
	return len(l.entries)
}

// Digest returns at most limit entries to gossip: first the recently learned ones, least sent first, then one older entry, in rotation,
// so that a process that missed an entry receives it later. Without recently learned entries a digest has at most one entry.
func (l *List) Digest(now time.Time, limit int) []wire.QuarantineEntry {
	l.expire(now)
	var digest []wire.QuarantineEntry
	for _, f := range l.recentlyLearned() {
		if len(digest) >= limit {
			return digest
		}
		digest = l.appendTo(digest, now, f)
	}
	if len(digest) >= limit {
		return digest
	}
	if f, ok := l.nextOlder(); ok {
		digest = l.appendTo(digest, now, f)
	}
	return digest
}

func (l *List) appendTo(digest []wire.QuarantineEntry, now time.Time, f Fingerprint) []wire.QuarantineEntry {
	l.entries[f].sent++
	if e, ok := l.Entry(now, f); ok {
		digest = append(digest, e)
	}
	return digest
}

// Entry returns the entry of a fingerprint for a message to a peer, and false if the fingerprint is not quarantined for longer than
// GossipMargin.
func (l *List) Entry(now time.Time, f Fingerprint) (wire.QuarantineEntry, bool) {
	e := l.entries[f]
	if e == nil {
		return wire.QuarantineEntry{}, false
	}
	remaining := e.until.Sub(now) - l.config.GossipMargin
	return wire.QuarantineEntry{Fingerprint: uint64(f), RemainingMS: uint32(remaining.Milliseconds())}, remaining >= time.Millisecond
}

// recentlyLearned returns the entries that were sent in fewer than FreshRounds digests, the least sent first.
func (l *List) recentlyLearned() []Fingerprint {
	var found []Fingerprint
	for f, e := range l.entries {
		if e.sent < l.config.FreshRounds {
			found = append(found, f)
		}
	}
	slices.SortFunc(found, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(l.entries[a].sent, l.entries[b].sent), cmp.Compare(a, b))
	})
	return found
}

// nextOlder returns the next entry that was sent in at least FreshRounds digests, in ascending order of fingerprints after the previous
// one, wrapping around.
func (l *List) nextOlder() (Fingerprint, bool) {
	var next, first Fingerprint
	haveNext, haveFirst := false, false
	for f, e := range l.entries {
		if e.sent < l.config.FreshRounds {
			continue
		}
		if !haveFirst || f < first {
			first, haveFirst = f, true
		}
		if f > l.cursor && (!haveNext || f < next) {
			next, haveNext = f, true
		}
	}
	if !haveNext {
		next = first
	}
	l.cursor = next
	return next, haveNext || haveFirst
}
