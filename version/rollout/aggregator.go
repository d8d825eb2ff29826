package rollout

import (
	"errors"
	"time"

	"github.com/gravitational/trace"
)

// MaxSources is the fan-in limit of an Aggregator. With the design scale of 790 entries in 23 data centres, an aggregator
// receives from the about 35 entries of its data centre and the leader from 23 aggregators.
const MaxSources = 64

// ErrTooManySources means that an Aggregator already receives from MaxSources sources.
var ErrTooManySources = errors.New("too many sources of evidence")

// Aggregator sums evidence from several sources and hands out each window once, when it can no longer change. The same type
// serves the aggregator of a data centre (a source is an entry) and the leader (a source is a data centre, so that two
// aggregators of one data centre are not counted twice).
type Aggregator struct {
	config  Config
	sources map[string]map[Key]Cell
	seen    map[string]int64
	sealed  int64
	// Late counts the cells that were dropped because their window was already handed out or lies in the future.
	Late uint64
}

// NewAggregator returns an aggregator that takes counts of windows that are open at time now.
func NewAggregator(config Config, now time.Time) *Aggregator {
	return &Aggregator{
		config:  config,
		sources: make(map[string]map[Key]Cell),
		seen:    make(map[string]int64),
		sealed:  config.firstOpen(now),
	}
}

// Add takes a source's evidence. A source sends its whole count of each open window each time, and the larger count wins, so
// that a repeated or reordered message is not counted twice.
func (a *Aggregator) Add(now time.Time, source string, evidence Evidence) error {
	a.seal(now)
	cells, ok := a.sources[source]
	if !ok && len(a.sources) >= MaxSources {
		return trace.Wrap(ErrTooManySources)
	}
	if !ok {
		cells = make(map[Key]Cell)
		a.sources[source] = cells
	}
	a.seen[source] = a.config.WindowOf(now)
	newest := a.config.WindowOf(now.Add(a.config.Window))
	for key, cell := range evidence.cells {
		a.put(cells, key, cell, newest)
	}
	return nil
}

func (a *Aggregator) put(cells map[Key]Cell, key Key, cell Cell, newest int64) {
	if key.Window < a.sealed || key.Window > newest {
		a.Late++
		return
	}
	if cell.total() > cells[key].total() && (len(cells) < maxCells/MaxSources || cells[key].total() > 0) {
		cells[key] = cell
	}
}

// Open returns the sum of the windows that are not handed out yet. An aggregator of a data centre sends it to the leader.
func (a *Aggregator) Open() Evidence {
	var sum Evidence
	for _, cells := range a.sources {
		for _, cell := range cells {
			sum.AddCell(cell)
		}
	}
	return sum
}

// Close returns the cells of all windows that can no longer change, in order, and forgets them.
func (a *Aggregator) Close(now time.Time) []Cell {
	a.seal(now)
	var sum Evidence
	for source, cells := range a.sources {
		a.take(&sum, cells)
		if len(cells) == 0 && a.seen[source] < a.sealed {
			delete(a.sources, source)
			delete(a.seen, source)
		}
	}
	return sum.Cells()
}

func (a *Aggregator) take(sum *Evidence, cells map[Key]Cell) {
	for key, cell := range cells {
		if key.Window < a.sealed {
			sum.AddCell(cell)
			delete(cells, key)
		}
	}
}

func (a *Aggregator) seal(now time.Time) {
	a.sealed = max(a.sealed, a.config.firstOpen(now))
}
