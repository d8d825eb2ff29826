// Package directory is what an entry believes about the list of upstreams: which are listed, draining, missing or gone.
//
// The list is kept by the upstreams themselves under leases in the platform's store. While the store is out of reach entries can lapse
// although their upstreams live, so an upstream that disappears around an outage stays usable until it has had time to register again.
// A Directory is a state machine without clock or I/O; one goroutine uses it.
package directory

import (
	"cmp"
	"slices"
	"time"
)

// Entry is what an upstream says of itself.
type Entry struct {
	// ID is unique among upstreams; a restarted upstream may keep it.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is that of the upstream's software.
	Version string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// ColdFor is how much longer the upstream is cold.
	ColdFor time.Duration
	// Started is the time of the upstream's start in Unix milliseconds, zero if it does not say. It tells restarts apart and is never
	// compared with a local clock.
	Started int64
	// Sequence grows with each entry that one start of an upstream writes.
	Sequence uint64
}

// Config sets how long an upstream that is missing is believed to live.
type Config struct {
	// OutageAfter is the time without contact to the store after which entries may have lapsed.
	OutageAfter time.Duration
	// ReturnWithin is the time after the store's return within which living upstreams are listed again.
	ReturnWithin time.Duration
	// ServesFor is the time for which an upstream whose entry was removed is taken to serve on: some leave without draining first.
	ServesFor time.Duration
	// RememberFor is how long the order of an unlisted upstream's entries is remembered, so that a delayed one is recognised.
	RememberFor time.Duration
}

// DefaultConfig returns the settings for upstreams that register every second or two.
func DefaultConfig() Config {
	return Config{
		OutageAfter:  2200 * time.Millisecond, // three registrations of 1.2 s must be missed, of which one may have been due
		ReturnWithin: 2 * time.Second,         // stated by the platform
		ServesFor:    1500 * time.Millisecond, // the shortest time for which upstreams serve on is 2 s
		RememberFor:  time.Minute,
	}
}

// State is the standing of an upstream.
type State uint8

// The states.
const (
	// Ready upstreams take requests.
	Ready State = iota
	// Missing upstreams lost their entry around an outage of the store and still take requests.
	Missing
	// Draining upstreams are listed and take no new requests.
	Draining
	// Gone upstreams are not listed.
	Gone
)

// String returns the state's name.
func (s State) String() string { return [...]string{"ready", "missing", "draining", "gone"}[s] }

// Upstream is an entry with its standing.
type Upstream struct {
	Entry
	State State
	// ColdUntil is the end of the cold start by the caller's clock.
	ColdUntil time.Time
}

type member struct {
	Upstream
	// since is the time of the latest change of state.
	since time.Time
}

// Directory holds all known upstreams.
type Directory struct {
	config  Config
	members map[string]*member
	// contact is the time of the latest contact to the store, outageEnd that of the end of the latest outage.
	contact, outageEnd time.Time
}

// New returns an empty directory at time now.
func New(now time.Time, config Config) *Directory {
	return &Directory{config: config, members: make(map[string]*member), contact: now}
}

// Contact records that the list was current at time now.
func (d *Directory) Contact(now time.Time) {
	if now.Sub(d.contact) > d.config.OutageAfter {
		d.outageEnd = now
	}
	d.contact = now
}

// Change is one change of an upstream's standing, for the log.
type Change struct {
	ID       string
	From, To State
	// Restarted says that the upstream is another start under the same ID.
	Restarted bool
}

// Listed takes an entry. It returns the change and whether there was one.
func (d *Directory) Listed(now time.Time, e Entry) (Change, bool) {
	m := d.members[e.ID]
	if m != nil && stale(m.Entry, e) {
		return Change{}, false
	}
	change := Change{ID: e.ID, From: Gone, To: Ready}
	if e.Draining {
		change.To = Draining
	}
	if m == nil {
		m = &member{since: now}
		d.members[e.ID] = m
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
	m.since = now
	return change, change.From != change.To || change.Restarted || moved
}

// stale says whether an entry is older than the known one.
func stale(known, e Entry) bool {
	if e.Started != known.Started {
		return e.Started < known.Started
	}
	return e.Sequence < known.Sequence
}

// Unlisted records that an upstream's entry was removed or cannot be read.
func (d *Directory) Unlisted(now time.Time, id string) (Change, bool) {
	m := d.members[id]
	if m == nil || m.State == Gone || m.State == Missing {
		return Change{}, false
	}
	change := Change{ID: id, From: m.State, To: Gone}
	if m.State == Ready && d.lapsing(now) {
		change.To = Missing
	}
	m.State = change.To
	m.since = now
	return change, true
}

// lapsing says whether entries may be missing only because the store was out of reach.
func (d *Directory) lapsing(now time.Time) bool {
	return now.Sub(d.contact) > d.config.OutageAfter || !d.outageEnd.IsZero() && now.Sub(d.outageEnd) < d.config.ReturnWithin
}

// Tick ends the time of missing upstreams and forgets those long gone.
func (d *Directory) Tick(now time.Time) []Change {
	var changes []Change
	lapsing := d.lapsing(now)
	for id, m := range d.members {
		if m.State == Missing && !lapsing {
			changes = append(changes, Change{ID: id, From: Missing, To: Gone})
			m.State = Gone
			m.since = now
		}
		if m.State == Gone && now.Sub(m.since) > d.config.RememberFor {
			delete(d.members, id)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	return changes
}

// Usable returns the upstreams that take requests, in ascending order of ID.
func (d *Directory) Usable() []Upstream {
	return d.filter(func(m *member) bool { return m.State == Ready || m.State == Missing })
}

// Leaving returns the upstreams that take no new requests and probably still run, in ascending order of ID.
func (d *Directory) Leaving(now time.Time) []Upstream {
	return d.filter(func(m *member) bool {
		return m.State == Draining || m.State == Gone && now.Sub(m.since) < d.config.ServesFor
	})
}

func (d *Directory) filter(match func(*member) bool) []Upstream {
	var found []Upstream
	for _, m := range d.members {
		if match(m) {
			found = append(found, m.Upstream)
		}
	}
	slices.SortFunc(found, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return found
}
