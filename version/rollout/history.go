package rollout

import (
	"cmp"
	"slices"
)

// HistoryCell holds the old version's counts on one route in one data centre while both versions had traffic.
type HistoryCell struct {
	DataCentre string `msgpack:"dc"`
	Route      string `msgpack:"ro"`
	Counts     Counts `msgpack:"c"`
}

type historyKey struct {
	dataCentre string
	route      string
}

// history holds the old version's counts by route and data centre. An empty data centre holds the sum over all of them.
type history struct {
	counts map[historyKey]Counts
}

func newHistory() history { return history{counts: make(map[historyKey]Counts)} }

// maxHistoryRequests is the number of requests above which counts are halved, so that newer requests weigh more, the rate follows
// its variation over the day, and the counts do not overflow.
const maxHistoryRequests = 1 << 24

func (h history) add(dataCentre, route string, counts Counts) {
	for _, key := range []historyKey{{dataCentre, route}, {"", route}} {
		sum := h.counts[key].plus(counts)
		if sum.Total() > maxHistoryRequests {
			sum = Counts{OK: sum.OK / 2, Failed: sum.Failed / 2, Slow: sum.Slow / 2}
		}
		h.counts[key] = sum
	}
}

// countFor returns the count of a data centre, or that of all data centres if it has fewer than minHistoryRequests requests.
func (h history) countFor(dataCentre, route string, kind int) binomialCount {
	own := h.counts[historyKey{dataCentre, route}].countFor(kind)
	if own.n >= minHistoryRequests {
		return own
	}
	return h.counts[historyKey{"", route}].countFor(kind)
}

// History returns the old version's counts on the routes that are tested on their own, for the persisted record of the shift. The
// number of these routes is bounded, so the record stays far below the size limit of a value.
func (t *SequentialTest) History() []HistoryCell {
	var cells []HistoryCell
	for key, counts := range t.history.counts {
		tested := t.routes[key.route] != nil || slices.Contains(t.shift.Guards, key.route)
		if tested && key.dataCentre != "" {
			cells = append(cells, HistoryCell{DataCentre: key.dataCentre, Route: key.route, Counts: counts})
		}
	}
	slices.SortFunc(cells, func(a, b HistoryCell) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Route, b.Route))
	})
	return cells
}

// SetHistory adopts the old version's counts collected by another process, unless this test has counts of its own.
func (t *SequentialTest) SetHistory(cells []HistoryCell) {
	if len(t.history.counts) > 0 {
		return
	}
	for _, c := range cells {
		t.history.add(c.DataCentre, c.Route, c.Counts)
	}
}
