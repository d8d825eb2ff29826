package usage

import (
	"maps"
	"slices"
	"time"
)

// Report is what one gateway process has counted in a window. Counts are cumulative.
type Report struct {
	// Gateway is the name of the gateway, Origin the name of its process, which is new at each start.
	Gateway, Origin string
	Window          int64
	// Sequence increases with each report of an origin for a window.
	Sequence uint64
	// Partial means that Counts has only teams whose counts may have changed since an earlier report.
	Partial bool
	// Final means that the counts will not change.
	Final  bool
	Counts map[string]uint64
}

// Counter counts the requests of one gateway process.
type Counter struct {
	config  Config
	gateway string
	origin  string
	windows map[int64]*counts
	// dropped is the highest window that the process does not report, or not any more.
	dropped int64
}

// counts are the counts of a window.
type counts struct {
	teams map[string]uint64
	// changed are the teams whose counts have changed since the latest report.
	changed map[string]struct{}
	// undecided is the number of counted requests of which it is not known yet whether they ran.
	undecided int
	sequence  uint64
}

// Ticket is a request that is counted and of which it is not known yet whether it ran. The zero value is no request.
type Ticket struct {
	window int64
	team   string
	open   bool
}

// NewCounter returns a counter for a process that starts at time now. It also reports that it has no counts for the windows that ended before and are
// not overdue, because the holder waits for the counts of all gateways.
func NewCounter(config Config, gateway, origin string, now time.Time) *Counter {
	return &Counter{config: config, gateway: gateway, origin: origin, windows: make(map[int64]*counts), dropped: config.oldest(now) - 1}
}

// Count counts a request that began to run at time at.
func (c *Counter) Count(at time.Time, team string) {
	c.add(c.config.WindowAt(at), team, 1)
}

// Begin counts a request that was sent at time at and probably begins to run then. Settle decides it.
func (c *Counter) Begin(at time.Time, team string) Ticket {
	window := c.config.WindowAt(at)
	if w := c.add(window, team, 1); w != nil {
		w.undecided++
	}
	return Ticket{window, team, true}
}

// Settle records whether a request ran. If it did not, it is no longer counted.
func (c *Counter) Settle(t Ticket, ran bool) {
	w := c.windows[t.window]
	if !t.open || w == nil {
		return
	}
	w.undecided--
	if !ran {
		c.add(t.window, t.team, -1)
	}
}

// add changes a count. It returns nil if the window is not reported any more.
func (c *Counter) add(window int64, team string, n int) *counts {
	if window <= c.dropped {
		return nil
	}
	w := c.windows[window]
	if w == nil {
		w = &counts{teams: make(map[string]uint64), changed: make(map[string]struct{})}
		c.windows[window] = w
	}
	w.teams[team] += uint64(n) // wraps around for -1
	w.changed[team] = struct{}{}
	return w
}

// Ended returns the windows that have ended at time now and are to be reported, in ascending order.
func (c *Counter) Ended(now time.Time) []int64 {
	var ended []int64
	for window := c.dropped + 1; !now.Before(c.config.End(window)); window++ {
		ended = append(ended, window)
	}
	return ended
}

// Open returns the windows that have counts, in ascending order, and have not been dropped.
func (c *Counter) Open() []int64 { return slices.Sorted(maps.Keys(c.windows)) }

// Report returns the counts of a window at time now.
func (c *Counter) Report(now time.Time, window int64) Report {
	r := Report{Gateway: c.gateway, Origin: c.origin, Window: window, Final: c.IsFinal(now, window), Counts: make(map[string]uint64)}
	if w := c.windows[window]; w != nil {
		w.sequence++
		clear(w.changed)
		maps.Copy(r.Counts, w.teams)
		r.Sequence = w.sequence
	}
	return r
}

// Changes returns the counts of a window that have changed since the latest report, and false if there are none.
func (c *Counter) Changes(window int64) (Report, bool) {
	w := c.windows[window]
	if w == nil || len(w.changed) == 0 {
		return Report{}, false
	}
	w.sequence++
	r := Report{
		Gateway: c.gateway, Origin: c.origin, Window: window, Sequence: w.sequence, Partial: true, Counts: make(map[string]uint64, len(w.changed)),
	}
	for team := range w.changed {
		r.Counts[team] = w.teams[team]
	}
	clear(w.changed)
	return r, true
}

// ShouldSend reports whether the counts of an ended window are to be sent at time now: they are final, or it is time to send them as they are.
func (c *Counter) ShouldSend(now time.Time, window int64) bool {
	w := c.windows[window]
	return w == nil || w.undecided <= 0 || !now.Before(c.config.End(window).Add(c.config.SendAfter))
}

// IsFinal reports whether a window has ended at time now and its counts will not change.
func (c *Counter) IsFinal(now time.Time, window int64) bool {
	w := c.windows[window]
	return !now.Before(c.config.End(window)) && (w == nil || w.undecided <= 0)
}

// Recorded drops the windows up to the one that is recorded as reported.
func (c *Counter) Recorded(window int64) { c.drop(window) }

// Expire drops the windows whose reports are overdue and returns the number of requests in them.
func (c *Counter) Expire(now time.Time) (lost uint64) { return c.drop(c.config.oldest(now) - 1) }

// drop drops the windows up to one and returns the number of requests in them.
func (c *Counter) drop(upTo int64) (requests uint64) {
	if upTo <= c.dropped {
		return 0
	}
	c.dropped = upTo
	for window, w := range c.windows {
		if window <= upTo {
			for _, n := range w.teams {
				requests += n
			}
			delete(c.windows, window)
		}
	}
	return requests
}
