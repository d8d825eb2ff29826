// Package directory tracks the state of the registered upstreams: ready, draining, missing or gone.
//
// Upstreams register themselves under leases in the platform's store. While the store is unreachable, entries can expire although their
// upstreams run, and a store that is restored from an older copy lacks the entries written since. An upstream whose entry disappears during or just
// after either therefore stays usable until it has had time to register again. A Directory does no I/O and does not read the clock. It must be used by one goroutine only.
package directory

import (
	"cmp"
	"slices"
	"time"
)

// Entry is the registration that an upstream writes.
type Entry struct {
	// ID is unique among upstreams. A restarted upstream may keep it.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is the version of the upstream's software.
	Version string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// ColdFor is the remaining time of the upstream's cold start.
	ColdFor time.Duration
	// Started is the time of the upstream's start in Unix milliseconds, zero if unknown. It distinguishes restarts and is never compared
	// with a local clock.
	Started int64
	// Sequence increases with each entry that an upstream writes, and starts again when it restarts.
	Sequence uint64
}

// Config sets how long upstreams without an entry are kept.
type Config struct {
	// OutageAfter is the time without contact to the store after which entries may have expired.
	OutageAfter time.Duration
	// ReregisterWithin is the time after the end of an outage within which running upstreams are listed again.
	ReregisterWithin time.Duration
	// AssumedServingAfterRemoval is how long an upstream is assumed to keep serving after its entry was removed: some upstreams shut down
	// without draining first.
	AssumedServingAfterRemoval time.Duration
	// DropGoneAfter is how long an unlisted upstream's Started and Sequence are kept, so that a delayed entry is recognised.
	DropGoneAfter time.Duration
}

// DefaultConfig returns the settings for upstreams that register every second or two.
func DefaultConfig() Config {
	return Config{
		OutageAfter:                2200 * time.Millisecond, // three registrations, 1.2 s apart, must be missed, and one of them may have been due
		ReregisterWithin:           2 * time.Second,         // documented by the platform
		AssumedServingAfterRemoval: 1500 * time.Millisecond, // below 2 s, the shortest time for which upstreams keep serving
		DropGoneAfter:              time.Minute,
	}
}

// State is the state of an upstream.
type State uint8

const (
	// Ready upstreams take requests.
	Ready State = iota
	// Missing upstreams lost their entry during or just after an outage of the store and still take requests.
	Missing
	// Draining upstreams are listed and take no new requests.
	Draining
	// Gone upstreams are no longer registered.
	Gone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"ready", "missing", "draining", "gone"}[s] }

// Upstream is an entry with its state.
type Upstream struct {
	Entry
	State State
	// ColdUntil is the end of the cold start by the caller's clock.
	ColdUntil time.Time
}

type trackedUpstream struct {
	Upstream
	// changedAt is the time of the latest change of state.
	changedAt time.Time
}

// Directory holds all known upstreams.
type Directory struct {
	config    Config
	upstreams map[string]*trackedUpstream
	// contactAt is the time of the latest contact to the store, outageEndedAt the end of the latest outage.
	contactAt, outageEndedAt time.Time
}

// New returns an empty directory at time now.
func New(now time.Time, config Config) *Directory {
	return &Directory{config: config, upstreams: make(map[string]*trackedUpstream), contactAt: now}
}

// ContactAt returns the latest time at which the store is known to have been available, or that of New.
func (d *Directory) ContactAt() time.Time { return d.contactAt }

// RecordContact records that the store was available at the given time. Contacts come from several sources and may arrive out of order; one
// that is older than the latest changes nothing. If the contact ends an outage, RecordContact returns the time without contact, else zero.
func (d *Directory) RecordContact(at time.Time) time.Duration {
	gap := at.Sub(d.contactAt)
	if gap <= 0 {
		return 0
	}
	d.contactAt = at
	if gap <= d.config.OutageAfter {
		return 0
	}
	d.outageEndedAt = at
	return gap
}

// RecordRestore records that the store was restored from an older copy, which may lack entries of upstreams that run.
func (d *Directory) RecordRestore(now time.Time) { d.outageEndedAt = now }

// Change is a change of an upstream's state, for the log.
type Change struct {
	ID       string
	From, To State
	// Restarted means that the upstream has restarted under the same ID.
	Restarted bool
}

// ApplyEntry applies an entry. It returns the change of state and whether there is anything new: another state, a restart or another
// address.
func (d *Directory) ApplyEntry(now time.Time, e Entry) (Change, bool) {
	m := d.upstreams[e.ID]
	if m != nil && (stale(m.Entry, e) || m.State == Gone && repeated(m.Entry, e)) {
		return Change{}, false
	}
	change := Change{ID: e.ID, From: Gone, To: Ready}
	if e.Draining {
		change.To = Draining
	}
	if m == nil {
		m = &trackedUpstream{changedAt: now}
		d.upstreams[e.ID] = m
	} else {
		change.From = m.State
		change.Restarted = m.Started != e.Started
	}
	if e.ColdFor > 0 {
		m.ColdUntil = now.Add(e.ColdFor)
	}
	moved := m.Address != e.Address
	m.Entry = e
	m.State = change.To
	m.changedAt = now
	return change, change.From != change.To || change.Restarted || moved
}

// stale reports whether an entry is older than the known one.
func stale(known, e Entry) bool {
	if e.Started != known.Started {
		return e.Started < known.Started
	}
	return e.Sequence < known.Sequence
}

// repeated reports whether an entry is the known one once more. A restored store may list an upstream that has been removed since; a running one
// writes entries with new numbers.
func repeated(known, e Entry) bool {
	return e.Sequence != 0 && e.Sequence == known.Sequence && e.Started == known.Started
}

// RemoveEntry records that an upstream's entry was removed or is invalid. It returns the change of state and whether there was one.
func (d *Directory) RemoveEntry(now time.Time, id string) (Change, bool) {
	m := d.upstreams[id]
	if m == nil || m.State == Gone || m.State == Missing {
		return Change{}, false
	}
	change := Change{ID: id, From: m.State, To: Gone}
	if m.State == Ready && d.mayHaveLapsed(now) {
		change.To = Missing
	}
	m.State = change.To
	m.changedAt = now
	return change, true
}

// mayHaveLapsed reports whether entries may be missing only because the store was unreachable.
func (d *Directory) mayHaveLapsed(now time.Time) bool {
	return now.Sub(d.contactAt) > d.config.OutageAfter || !d.outageEndedAt.IsZero() && now.Sub(d.outageEndedAt) < d.config.ReregisterWithin
}

// Tick marks missing upstreams as gone once their time to register again has passed, and deletes those gone for longer than DropGoneAfter.
func (d *Directory) Tick(now time.Time) []Change {
	var changes []Change
	lapsing := d.mayHaveLapsed(now)
	for id, m := range d.upstreams {
		if m.State == Missing && !lapsing {
			changes = append(changes, Change{ID: id, From: Missing, To: Gone})
			m.State = Gone
			m.changedAt = now
		}
		if m.State == Gone && now.Sub(m.changedAt) > d.config.DropGoneAfter {
			delete(d.upstreams, id)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

// IsCurrent reports whether an upstream that is not listed has left. Otherwise it may only not have been able to register.
func (d *Directory) IsCurrent(now time.Time) bool {
	return now.Sub(d.contactAt) <= d.config.OutageAfter && now.Sub(d.outageEndedAt) > d.config.ReregisterWithin
}

// HasVersion reports whether the service has a registered upstream of one of the versions.
func (d *Directory) HasVersion(service string, match func(version string) bool) bool {
	for _, m := range d.upstreams {
		if m.State != Gone && m.Service == service && match(m.Version) {
			return true
		}
	}
	return false
}

// Usable returns the upstreams that take requests, in ascending order of ID.
func (d *Directory) Usable() []Upstream {
	return d.filter(func(m *trackedUpstream) bool { return m.State == Ready || m.State == Missing })
}

// Leaving returns the upstreams that take no new requests but probably still serve, in ascending order of ID.
func (d *Directory) Leaving(now time.Time) []Upstream {
	return d.filter(func(m *trackedUpstream) bool {
		return m.State == Draining || m.State == Gone && now.Sub(m.changedAt) < d.config.AssumedServingAfterRemoval
	})
}

func (d *Directory) filter(match func(*trackedUpstream) bool) []Upstream {
	var found []Upstream
	for _, m := range d.upstreams {
		if match(m) {
			found = append(found, m.Upstream)
		}
	}
	slices.SortFunc(found, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return found
}
