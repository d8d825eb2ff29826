package usage

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxOrigins bounds the origins of a window. Above it, reports of further origins are ignored.
	maxOrigins = 10_000
	// maxTeams bounds the teams of an origin in a window.
	maxTeams = 50_000
)

// Ledger holds the counts of all gateway processes for the latest windows.
type Ledger struct {
	config  Config
	windows map[int64]map[string]*entry
	// recorded is the highest window that needs no counts any more.
	recorded int64
}

// entry is what is known of one origin in a window.
type entry struct {
	gateway  string
	sequence uint64
	final    bool
	counts   map[string]uint64
	at       time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(config Config) *Ledger {
	return &Ledger{config: config, windows: make(map[int64]map[string]*entry), recorded: -1 << 62}
}

// Add records a report that arrived at time now, and reports whether it is newer than what was known of its origin. Reports for windows that are
// recorded, overdue or far in the future are ignored.
func (l *Ledger) Add(now time.Time, r Report) bool {
	current := l.config.WindowAt(now)
	if r.Window <= l.recorded || r.Window > current+2 || l.config.IsDue(now, r.Window) || len(r.Counts) > maxTeams {
		return false
	}
	origins := l.windows[r.Window]
	if origins == nil {
		origins = make(map[string]*entry)
		l.windows[r.Window] = origins
	}
	e := origins[r.Origin]
	switch {
	case e == nil && len(origins) >= maxOrigins:
		return false
	case e == nil:
		e = &entry{counts: make(map[string]uint64)}
		origins[r.Origin] = e
	case r.Sequence <= e.sequence:
		return false
	}
	e.gateway, e.sequence, e.at = r.Gateway, r.Sequence, now
	e.final = e.final || r.Final
	if !r.Partial {
		clear(e.counts)
	}
	maps.Copy(e.counts, r.Counts)
	return true
}

// Totals returns the requests of each team in a window. Teams without requests are left out.
func (l *Ledger) Totals(window int64) map[string]uint64 {
	totals := make(map[string]uint64)
	for _, e := range l.windows[window] {
		for team, n := range e.counts {
			if n > 0 {
				totals[team] += n
			}
		}
	}
	return totals
}

// goneAfter is the time without a report after which a process that may have ended is taken to have ended. A process that runs and has requests
// reports several times a second in small fleets.
const goneAfter = 2 * time.Second

// Complete reports whether at time now the final counts of a window are known from all the gateways, and from all processes that have reported any for
// it. A process is not waited for if it has been silent and its gateway is not among the gateways any more or has restarted.
func (l *Ledger) Complete(now time.Time, window int64, gateways []string) bool {
	return len(l.Missing(now, window, gateways)) == 0
}

// Missing returns the gateways for whose counts of a window Complete waits.
func (l *Ledger) Missing(now time.Time, window int64, gateways []string) []string {
	missing := make(map[string]struct{}, len(gateways))
	for _, name := range gateways {
		missing[name] = struct{}{}
	}
	final := make(map[string]struct{}, len(gateways))
	for _, e := range l.windows[window] {
		if e.final {
			final[e.gateway] = struct{}{}
			delete(missing, e.gateway)
		}
	}
	for _, e := range l.windows[window] {
		_, restarted := final[e.gateway]
		mayHaveEnded := restarted || !slices.Contains(gateways, e.gateway)
		if !e.final && !(mayHaveEnded && now.Sub(e.at) >= goneAfter) {
			missing[e.gateway] = struct{}{}
		}
	}
	return slices.Sorted(maps.Keys(missing))
}

// Reports returns what is known of the windows that have not been recorded and ended before a time, for a new holder.
func (l *Ledger) Reports(endedBefore time.Time) []Report {
	var reports []Report
	for window, origins := range l.windows {
		if !l.config.End(window).Before(endedBefore) {
			continue
		}
		for origin, e := range origins {
			reports = append(reports, Report{
				Gateway: e.gateway, Origin: origin, Window: window, Sequence: e.sequence, Final: e.final, Counts: maps.Clone(e.counts),
			})
		}
	}
	return reports
}

// First returns the first window with counts, and false if there is none.
func (l *Ledger) First() (int64, bool) {
	first, found := int64(0), false
	for window := range l.windows {
		if (!found || window < first) && len(l.Totals(window)) > 0 {
			first, found = window, true
		}
	}
	return first, found
}

// Recorded drops the windows up to the one that is recorded as reported.
func (l *Ledger) Recorded(window int64) {
	if window <= l.recorded {
		return
	}
	l.recorded = window
	maps.DeleteFunc(l.windows, func(w int64, _ map[string]*entry) bool { return w <= window })
}

// Expire drops the windows whose reports are overdue.
func (l *Ledger) Expire(now time.Time) {
	maps.DeleteFunc(l.windows, func(w int64, _ map[string]*entry) bool { return l.config.IsDue(now, w) })
}
