package rollout

import "time"

// Upstreams says which versions of a shift have upstreams that can take requests, as one process sees them.
type Upstreams struct {
	// From is set if the old version, or any other than the new one, has such upstreams, To if the new one has.
	From, To bool
	// Current is set if the list of upstreams is up to date. Otherwise, that a version is missing there says nothing.
	Current bool
}

// observation tracks which versions have upstreams. The zero value knows nothing and takes both to have some.
type observation struct {
	// since is the time of the first list, zero if there was none.
	since time.Time
	// fromMissing and toMissing are the times since when the versions have had no upstreams, zero if they have some.
	fromMissing, toMissing time.Time
}

func (o *observation) record(now time.Time, u Upstreams) {
	if o.since.IsZero() {
		o.since = now
	}
	o.fromMissing = missingSince(o.fromMissing, now, u.From, u.Current)
	o.toMissing = missingSince(o.toMissing, now, u.To, u.Current)
}

func missingSince(since, now time.Time, present, current bool) time.Time {
	switch {
	case present:
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
	return o.since.IsZero() || o.fromMissing.IsZero() && !now.Before(o.since.Add(m.config.ObserveTime))
}

// canComplete reports whether the new version can take all traffic.
func (m *Machine) canComplete() bool { return m.observed.toMissing.IsZero() }

// onlyNewVersionLeft reports whether the old version's upstreams have been removed and the new version's have not.
func (m *Machine) onlyNewVersionLeft(now time.Time) bool {
	o := &m.observed
	return m.canComplete() && !o.fromMissing.IsZero() && now.Sub(o.fromMissing) >= m.config.GoneAfter
}

// onlyOldVersionLeft reports whether the new version's upstreams have been removed and the old version's have not.
func (m *Machine) onlyOldVersionLeft(now time.Time) bool {
	o := &m.observed
	return m.canRollBack(now) && !o.toMissing.IsZero() && now.Sub(o.toMissing) >= m.config.GoneAfter
}
