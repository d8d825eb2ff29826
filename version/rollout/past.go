package rollout

import (
	"cmp"
	"slices"
)

// PastCell is the old version's record on one route in one data centre while both versions had traffic.
type PastCell struct {
	DataCentre string `msgpack:"dc"`
	Route      string `msgpack:"ro"`
	Counts     Counts `msgpack:"c"`
}

type pastKey struct {
	dataCentre string
	route      string
}

// past holds the old version's counts per route and data centre; the empty data centre stands for all.
type past struct {
	counts map[pastKey]Counts
}

func newPast() past { return past{counts: make(map[pastKey]Counts)} }

// maxPast is the number of requests beyond which the counts are halved, so that they follow the time of day and do not overflow.
const maxPast = 1 << 24

func (p past) add(dataCentre, route string, counts Counts) {
	for _, key := range []pastKey{{dataCentre, route}, {"", route}} {
		sum := p.counts[key].plus(counts)
		if sum.Total() > maxPast {
			sum = Counts{OK: sum.OK / 2, Failed: sum.Failed / 2, Slow: sum.Slow / 2}
		}
		p.counts[key] = sum
	}
}

// of returns the record of a data centre, or of all of them if it has too little.
func (p past) of(dataCentre, route string, kind int) tally {
	own := p.counts[pastKey{dataCentre, route}].of(kind)
	if own.n >= minPast {
		return own
	}
	return p.counts[pastKey{"", route}].of(kind)
}

// Past returns the old version's record on the routes that are judged on their own, for the persisted record of the shift. Their
// number is bounded, so that the record stays far below the size limit of a value.
func (t *Test) Past() []PastCell {
	var cells []PastCell
	for key, counts := range t.past.counts {
		judged := t.routes[key.route] != nil || slices.Contains(t.shift.Guards, key.route)
		if judged && key.dataCentre != "" {
			cells = append(cells, PastCell{DataCentre: key.dataCentre, Route: key.route, Counts: counts})
		}
	}
	slices.SortFunc(cells, func(a, b PastCell) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Route, b.Route))
	})
	return cells
}

// SetPast takes over the record that another process gathered, if this test has none.
func (t *Test) SetPast(cells []PastCell) {
	if len(t.past.counts) > 0 {
		return
	}
	for _, c := range cells {
		t.past.add(c.DataCentre, c.Route, c.Counts)
	}
}
