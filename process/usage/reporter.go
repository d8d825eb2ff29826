package usage

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// Key is the key of the record in the store.
const Key = "fleet/usage"

// maxRecordedWindows is the maximum number of windows whose counts a record holds; no further window is closed before one of them is accepted or
// overdue. The default times need three.
const maxRecordedWindows = 64

// Record is what is written to the store before a window is reported. It fixes the counts of the window: they are reported unchanged from then on, by
// whoever holds the duty, or not at all.
type Record struct {
	// Window is the highest window that was closed. Neither it nor an earlier one is counted again.
	Window int64 `json:"window"`
	// Token is the fencing token of the holder that wrote the record. Its high bits are the store's epoch.
	Token uint64 `json:"token"`
	// Closed holds the closed windows whose reports were not known to be accepted when the record was written, in ascending order.
	Closed []Closed `json:"closed"`
}

// Closed is a window with its final counts.
type Closed struct {
	Window int64             `json:"window"`
	Counts map[string]uint64 `json:"counts"`
}

// DecodeRecord decodes the value of Key.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(data, &r)
	return r, trace.Wrap(err)
}

// Encode returns the value of Key.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, trace.Wrap(err)
}

// Equal reports whether two records are the same.
func (r Record) Equal(other Record) bool {
	return r.Window == other.Window && r.Token == other.Token && slices.EqualFunc(r.Closed, other.Closed, func(a, b Closed) bool {
		return a.Window == b.Window && maps.Equal(a.Counts, b.Counts)
	})
}

// TakeOver is what a new holder knows about earlier reports.
type TakeOver struct {
	// Now is the time at which the holder may act for the first time, Since the time at which it acquired the duty.
	Now, Since time.Time
	// Token is the holder's token, Epoch the store's epoch in it.
	Token, Epoch uint64
	// Stored is the record in the store, nil if there is none; StoredEpoch is the epoch in which it was written, by its token.
	Stored      *Record
	StoredEpoch uint64
	// Seen means that a gateway of the fleet has seen a record in the store.
	Seen bool
	// Continuous means that this process held the duty until so shortly before that nobody else can have reported since. What it remembers is complete
	// then, whatever the store holds.
	Continuous bool
}

// Reporter decides what the holder of the duty records and reports. It keeps what it knows when the duty is lost.
type Reporter struct {
	config Config
	// record is the latest record that is known to be in the store.
	record Record
	// floor is the highest window that must not be closed.
	floor int64
	// accepted are the windows of the record whose reports were accepted, or are not to be repeated.
	accepted map[int64]struct{}
	// active means that the process has taken over and not lost the duty since.
	active bool
}

// firstEpoch is the highest epoch of a store that was never restored. A store that tells its epoch may begin at 1.
const firstEpoch = 1

// clockSlack covers the difference of two gateways' clocks: a window that has ended for the former holder may not have ended for the new one.
const clockSlack = time.Second

// NewReporter returns a Reporter without the duty.
func NewReporter(config Config) *Reporter {
	return &Reporter{config: config, accepted: make(map[int64]struct{}), floor: -1 << 62}
}

// Active reports whether the process has taken over the duty.
func (r *Reporter) Active() bool { return r.active }

// Lose ends the holder's term.
func (r *Reporter) Lose() { r.active = false }

// TakeOver begins a term. ledger holds what the gateways have sent. It returns the range of windows that are skipped because they may have been
// reported with other counts, empty if from is higher than to.
func (r *Reporter) TakeOver(t TakeOver, ledger *Ledger) (from, to int64) {
	r.active = true
	oldest := r.config.oldest(t.Now)
	switch {
	case t.Stored != nil && t.StoredEpoch == t.Epoch:
		// The record was written since the last restore, and so was that of every later report.
		if t.Stored.Window >= r.record.Window || !t.Continuous {
			r.adopt(*t.Stored)
		}
		r.floor = max(r.floor, r.record.Window)
		return oldest, oldest - 1
	case t.Continuous:
		// The own memory is complete.
		r.floor = max(r.floor, r.record.Window)
		return oldest, oldest - 1
	case t.Stored == nil && t.Epoch <= firstEpoch && !t.Seen:
		// Nothing was ever reported: the store was not restored, or before any gateway reported.
		first, found := ledger.First()
		if !found {
			first = r.config.WindowAt(t.Since)
		}
		r.floor = max(r.floor, first-1)
		return oldest, oldest - 1
	default:
		// The store was restored from an older copy; what was reported after the copy is not known.
		if t.Stored != nil && t.Stored.Window > r.record.Window {
			r.record = *t.Stored
		}
		skipped := r.config.WindowAt(t.Since.Add(clockSlack)) - 1
		from = max(oldest, r.floor+1)
		r.floor = max(r.floor, r.record.Window, skipped)
		r.record.Closed, r.accepted = nil, make(map[int64]struct{})
		return from, skipped
	}
}

// adopt takes a record over. Which of its reports were accepted is not known, unless this process reported them itself.
func (r *Reporter) adopt(record Record) {
	known := r.accepted
	r.accepted = make(map[int64]struct{})
	for _, c := range record.Closed {
		own := slices.IndexFunc(r.record.Closed, func(o Closed) bool { return o.Window == c.Window && maps.Equal(o.Counts, c.Counts) })
		if _, ok := known[c.Window]; ok && own >= 0 {
			r.accepted[c.Window] = struct{}{}
		}
	}
	r.record = record
}

// Close returns the record to write at time now, and false if no window is to be closed. gateways are those whose counts are waited for. missed is
// the number of windows that are overdue and will not be reported any more; it is counted once.
func (r *Reporter) Close(now time.Time, token uint64, ledger *Ledger, gateways []string) (record Record, found bool, missed int64) {
	if oldest := r.config.oldest(now); r.floor < oldest-1 {
		missed = oldest - 1 - r.floor
		r.floor = oldest - 1
	}
	record = Record{Window: r.record.Window, Token: token}
	for _, c := range r.record.Closed {
		if _, done := r.accepted[c.Window]; !done && !r.config.IsDue(now, c.Window) {
			record.Closed = append(record.Closed, c)
		}
	}
	for window := r.floor + 1; len(record.Closed) < maxRecordedWindows && r.isClosed(now, window, ledger, gateways); window++ {
		record.Closed = append(record.Closed, Closed{window, ledger.Totals(window)})
		record.Window = window
		found = true
	}
	return record, found, missed
}

// isClosed reports whether a window is to be closed at time now.
func (r *Reporter) isClosed(now time.Time, window int64, ledger *Ledger, gateways []string) bool {
	end := r.config.End(window)
	return !now.Before(end.Add(r.config.CloseAfter)) || !now.Before(end) && ledger.Complete(now, window, gateways)
}

// Recorded takes over a record that has been written to the store.
func (r *Reporter) Recorded(record Record) {
	r.adopt(record)
	r.floor = max(r.floor, record.Window)
}

// Record returns the latest record known.
func (r *Reporter) Record() Record { return r.record }

// Next returns the first recorded window that is to be reported at time now, and false if there is none.
func (r *Reporter) Next(now time.Time) (Closed, bool) {
	for _, c := range r.record.Closed {
		if _, done := r.accepted[c.Window]; !done && !r.config.IsDue(now, c.Window) {
			return c, true
		}
	}
	return Closed{}, false
}

// Accepted records that the report of a window was accepted.
func (r *Reporter) Accepted(window int64) { r.accepted[window] = struct{}{} }

// Unreported returns the recorded windows that are overdue at time now and whose reports were not accepted, and forgets them.
func (r *Reporter) Unreported(now time.Time) (windows []int64) {
	for _, c := range r.record.Closed {
		if _, done := r.accepted[c.Window]; !done && r.config.IsDue(now, c.Window) {
			r.accepted[c.Window] = struct{}{}
			windows = append(windows, c.Window)
		}
	}
	return windows
}
