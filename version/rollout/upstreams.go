package rollout

import "time"

// Presence says whether a version has upstreams, as one process sees them.
type Presence uint8

const (
	// Absent means that no upstream of the version is registered.
	Absent Presence = iota
	// Registered means that upstreams of the version are registered, but none of them can take requests of this process now.
	Registered
	// Serving means that an upstream of the version can take requests.
	Serving
)

// Upstreams says which versions of a shift have upstreams.
type Upstreams struct {
	// From is the presence of the old version, or of any other than the new one, To that of the new one.
	From, To Presence
	// Current is set if the list of registered upstreams is up to date. Otherwise Absent says nothing.
	Current bool
}

// observation tracks which versions have upstreams. The zero value knows nothing and takes both to be serving.
type observation struct {
	// since is the time of the first observation, zero if there was none.
	since time.Time
	last  Upstreams
	// fromAbsent and toAbsent are the times since when the versions have been absent, zero if they are not.
	fromAbsent, toAbsent time.Time
}

func (o *observation) record(now time.Time, u Upstreams) {
	if o.since.IsZero() {
		o.since = now
	}
	o.last = u
	o.fromAbsent = absentSince(o.fromAbsent, now, u.From, u.Current)
	o.toAbsent = absentSince(o.toAbsent, now, u.To, u.Current)
}

func absentSince(since, now time.Time, p Presence, current bool) time.Time {
	switch {
	case p != Absent:
		return time.Time{}
	case since.IsZero() || !current:
		return now
	default:
		return since
	}
}

// SetUpstreams records which versions have upstreams. The driver calls it before each Tick; a process that cannot tell does not call it.
func (m *Machine) SetUpstreams(now time.Time, u Upstreams) { m.observed.record(now, u) }

// canRollBack reports whether the old version can take all traffic.
func (m *Machine) canRollBack(now time.Time) bool {
	o := &m.observed
	return o.since.IsZero() || o.last.From == Serving && !now.Before(o.since.Add(m.config.ObserveTime))
}

// canComplete reports whether the new version can take all traffic.
func (m *Machine) canComplete() bool {
	return m.observed.since.IsZero() || m.observed.last.To == Serving
}

// onlyNewVersionLeft reports whether the old version's upstreams have been removed and the new version's have not.
func (m *Machine) onlyNewVersionLeft(now time.Time) bool {
	o := &m.observed
	return m.canComplete() && !o.fromAbsent.IsZero() && now.Sub(o.fromAbsent) >= m.config.GoneAfter
}

// onlyOldVersionLeft reports whether the new version's upstreams have been removed and the old version's have not.
func (m *Machine) onlyOldVersionLeft(now time.Time) bool {
	o := &m.observed
	return m.canRollBack(now) && !o.toAbsent.IsZero() && now.Sub(o.toAbsent) >= m.config.GoneAfter
}
