package rollout

import (
	"errors"
	"time"

	"github.com/gravitational/trace"
)

// MaxSources is the maximum number of sources of an Aggregator. At the design scale of 790 entries in 23 data centres, an
// aggregator receives evidence from about 35 entries of its data centre, and the leader receives it from 23 aggregators.
const MaxSources = 64

// ErrTooManySources means that an Aggregator already has MaxSources sources.
var ErrTooManySources = errors.New("too many sources of evidence")

// Aggregator sums evidence from several sources and returns each window once, when it can no longer change. In a data centre the
// sources are its entries. At the leader the sources are data centres and not their aggregators, so that the reports of two
// aggregators of one data centre are not added.
type Aggregator struct {
	config       Config
	sources      map[string]map[Key]Cell
	lastReport   map[string]int64
	closedBefore int64
	// Late counts the cells that were dropped because their window was already closed or is more than one window in the future.
	Late uint64
}

// NewAggregator returns an aggregator that accepts counts of windows that are open at time now or later.
func NewAggregator(config Config, now time.Time) *Aggregator {
	return &Aggregator{
		config:       config,
		sources:      make(map[string]map[Key]Cell),
		lastReport:   make(map[string]int64),
		closedBefore: config.firstOpen(now),
	}
}

// Add adds a source's evidence. A source always sends its complete count of each open window and Add keeps the largest one, so
// repeated and reordered messages are not counted twice.
func (a *Aggregator) Add(now time.Time, source string, evidence Evidence) error {
	a.advanceClosed(now)
	cells, ok := a.sources[source]
	if !ok && len(a.sources) >= MaxSources {
		return trace.Wrap(ErrTooManySources)
	}
	if !ok {
		cells = make(map[Key]Cell)
		a.sources[source] = cells
	}
	a.lastReport[source] = a.config.WindowOf(now)
	newest := a.config.WindowOf(now.Add(a.config.Window))
	for key, cell := range evidence.cells {
		a.putCell(cells, key, cell, newest)
	}
	return nil
}

// putCell stores a source's cell if it counts more requests than the stored one, its window is open and the source has not
// exceeded its limit of cells.
func (a *Aggregator) putCell(cells map[Key]Cell, key Key, cell Cell, newest int64) {
	if key.Window < a.closedBefore || key.Window > newest {
		a.Late++
		return
	}
	if cell.total() > cells[key].total() && (len(cells) < maxCells/MaxSources || cells[key].total() > 0) {
		cells[key] = cell
	}
}

// OpenWindows returns the sum of the windows that CloseWindows has not returned yet. The aggregator of a data centre sends it to the
// leader.
func (a *Aggregator) OpenWindows() Evidence {
	var sum Evidence
	for _, cells := range a.sources {
		for _, cell := range cells {
			sum.AddCell(cell)
		}
	}
	return sum
}

// CloseWindows returns and removes the cells of all windows that can no longer change, in the order of Evidence.Cells.
func (a *Aggregator) CloseWindows(now time.Time) []Cell {
	a.advanceClosed(now)
	var sum Evidence
	for source, cells := range a.sources {
		a.moveClosed(&sum, cells)
		if len(cells) == 0 && a.lastReport[source] < a.closedBefore {
			delete(a.sources, source)
			delete(a.lastReport, source)
		}
	}
	return sum.Cells()
}

// moveClosed moves the cells of closed windows from cells to sum.
func (a *Aggregator) moveClosed(sum *Evidence, cells map[Key]Cell) {
	for key, cell := range cells {
		if key.Window < a.closedBefore {
			sum.AddCell(cell)
			delete(cells, key)
		}
	}
}

// advanceClosed closes the windows that may no longer receive counts at time now.
func (a *Aggregator) advanceClosed(now time.Time) {
	a.closedBefore = max(a.closedBefore, a.config.firstOpen(now))
}
