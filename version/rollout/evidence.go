package rollout

import (
	"bytes"
	"cmp"
	"compress/flate"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"
)

// Outcome is the result of a request.
type Outcome uint8

// Outcomes. Requests that failed because of the caller (malformed, canceled, over a limit) are not counted.
const (
	// OK requests succeeded and were not slow.
	OK Outcome = iota
	Failed
	// Slow requests succeeded later than most requests to the old version do.
	Slow
	// Unmeasured requests succeeded, and it is unknown whether they were slow.
	Unmeasured
)

// Side is one of the two versions of a shift.
type Side uint8

// Sides of a shift.
const (
	Old Side = iota
	New
)

// Counts holds numbers of requests by outcome.
type Counts struct {
	OK     uint32
	Failed uint32
	Slow   uint32
	// Unmeasured is not part of the encoding as msgpack, which earlier builds read and which fixes the number of fields.
	Unmeasured uint32 `msgpack:"-"`
}

// Total returns the number of requests.
func (c Counts) Total() uint32 { return c.OK + c.Failed + c.Slow + c.Unmeasured }

// plus returns the sum of two counts.
func (c Counts) plus(d Counts) Counts {
	c.OK += d.OK
	c.Failed += d.Failed
	c.Slow += d.Slow
	c.Unmeasured += d.Unmeasured
	return c
}

// Key identifies a stratum: requests that are compared with each other because they differ only in the version that served them.
type Key struct {
	DataCentre string
	Route      string
	// Window is the number of the time window since the Unix epoch.
	Window int64
	// Step is the step of the shift at the entry. It is part of the key so that the share does not change within a stratum.
	Step uint8
}

// compare orders keys by window, data centre, route and step.
func (k Key) compare(l Key) int {
	return cmp.Or(
		cmp.Compare(k.Window, l.Window),
		cmp.Compare(k.DataCentre, l.DataCentre),
		cmp.Compare(k.Route, l.Route),
		cmp.Compare(k.Step, l.Step),
	)
}

// Cell holds the counts of one stratum.
type Cell struct {
	Key Key
	Old Counts
	New Counts
}

// add adds the counts of another cell.
func (c *Cell) add(d Cell) {
	c.Old = c.Old.plus(d.Old)
	c.New = c.New.plus(d.New)
}

func (c Cell) total() uint64 { return uint64(c.Old.Total()) + uint64(c.New.Total()) }

// Evidence is a set of cells of one shift. The zero value is empty and ready to use.
type Evidence struct {
	cells map[Key]Cell
}

// Add counts n requests.
func (e *Evidence) Add(key Key, side Side, outcome Outcome, n uint32) {
	var counts Counts
	switch outcome {
	case Failed:
		counts.Failed = n
	case Slow:
		counts.Slow = n
	case Unmeasured:
		counts.Unmeasured = n
	default:
		counts.OK = n
	}
	if side == New {
		e.AddCell(Cell{Key: key, New: counts})
		return
	}
	e.AddCell(Cell{Key: key, Old: counts})
}

// AddCell adds the counts of a cell.
func (e *Evidence) AddCell(c Cell) {
	if e.cells == nil {
		e.cells = make(map[Key]Cell)
	}
	sum := e.cells[c.Key]
	sum.Key = c.Key
	sum.add(c)
	e.cells[c.Key] = sum
}

// Merge adds the counts of other and leaves other unchanged.
func (e *Evidence) Merge(other Evidence) {
	for _, c := range other.cells {
		e.AddCell(c)
	}
}

// Len returns the number of cells.
func (e Evidence) Len() int { return len(e.cells) }

// Cells returns the cells sorted by window, data centre, route and step.
func (e Evidence) Cells() []Cell {
	cells := make([]Cell, 0, len(e.cells))
	for _, c := range e.cells {
		cells = append(cells, c)
	}
	slices.SortFunc(cells, func(a, b Cell) int { return a.Key.compare(b.Key) })
	return cells
}

// Encode returns the evidence as compressed msgpack with structs as arrays. The cells repeat their names and differ little
// otherwise, so compression reduces the size to about a quarter.
func (e Evidence) Encode() ([]byte, error) {
	var buf bytes.Buffer
	// NewWriter fails only if the level is invalid, and writes to a buffer do not fail.
	compressed, _ := flate.NewWriter(&buf, flate.BestCompression)
	enc := msgpack.NewEncoder(compressed)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(e.Cells()); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := compressed.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return buf.Bytes(), nil
}

// maxEvidenceBytes bounds the decompressed size of a peer's evidence.
const maxEvidenceBytes = 8 << 20

// DecodeEvidence decodes the output of Encode. It rejects evidence with more than maxCells cells.
func DecodeEvidence(data []byte) (Evidence, error) {
	dec := msgpack.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxEvidenceBytes))
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return Evidence{}, trace.Wrap(err)
	}
	// The number is checked before any allocation, because a few compressed bytes can declare a cell count that would exhaust the
	// memory.
	if n > maxCells {
		return Evidence{}, trace.Wrap(fmt.Errorf("evidence has %d cells, limit %d", n, maxCells))
	}
	var e Evidence
	for range n {
		var c Cell
		if err := dec.Decode(&c); err != nil {
			return Evidence{}, trace.Wrap(err)
		}
		e.AddCell(c)
	}
	return e, nil
}

// maxCells bounds the cells that a peer can make a process store: 64 sources with 256 routes in four open windows.
const maxCells = 1 << 16

// WindowOf returns the number of the window that contains t.
func (c Config) WindowOf(t time.Time) int64 {
	return t.UnixMilli() / c.Window.Milliseconds()
}

// firstOpen returns the oldest window that may still receive counts at time now.
func (c Config) firstOpen(now time.Time) int64 {
	return c.WindowOf(now.Add(-c.Lag))
}
