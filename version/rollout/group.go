package rollout

import "math"

// maxOddsRatios bounds Config.OddsRatios.
const maxOddsRatios = 8

// logs are sums of logarithms of likelihood ratios, per kind of bad outcome and odds ratio.
type logs [kinds][maxOddsRatios]float64

func (l *logs) add(m logs) {
	for kind := range l {
		for i := range l[kind] {
			l[kind][i] += m[kind][i]
		}
	}
}

// centreLogs are the sums of one data centre in the current window.
type centreLogs struct {
	dataCentre string
	sum        logs
}

// addTo adds to the sums of a data centre. The order of the list is that of the cells, so that the same evidence always gives the
// same floating-point sum.
func addTo(list []centreLogs, dataCentre string, l logs) []centreLogs {
	for i := range list {
		if list[i].dataCentre == dataCentre {
			list[i].sum.add(l)
			return list
		}
	}
	return append(list, centreLogs{dataCentre: dataCentre, sum: l})
}

// group is one hypothesis under test: all routes together or one route.
type group struct {
	name string
	// matched detectors blame; past ones, which compare with the old version's past, only raise a suspicion.
	matched [kinds]detector
	past    [kinds]detector
	// step counts the requests per data centre since the current step began.
	step []Cell
	// window holds the sums of the current window, windowPast those without concurrent old traffic.
	window     []centreLogs
	windowPast []centreLogs
}

func newGroup(name string, alpha float64, odds int) *group {
	g := &group{name: name}
	for kind := range kinds {
		g.matched[kind] = newDetector(alpha/kinds, odds)
		g.past[kind] = newDetector(alpha/kinds, odds)
	}
	return g
}

func (g *group) start(weight float64) {
	for kind := range kinds {
		g.matched[kind].start(weight)
		g.past[kind].start(weight)
	}
}

// beginStep forgets the evidence of the step before, and suspicions, which are settled within a step.
func (g *group) beginStep() {
	g.step = g.step[:0]
	for kind := range g.past {
		clear(g.past[kind].scores)
	}
}

// count adds a cell to the evidence of the current step.
func (g *group) count(c Cell) {
	for i := range g.step {
		if g.step[i].Key.DataCentre == c.Key.DataCentre {
			g.step[i].add(c)
			return
		}
	}
	g.step = append(g.step, c)
}

// seen returns the sums of the current step.
func (g *group) seen() (sum Cell) {
	for _, c := range g.step {
		sum.add(c)
	}
	return sum
}

// put adds a cell's logarithms to the current window.
func (g *group) put(dataCentre string, l logs, concurrent bool) {
	if concurrent {
		g.window = addTo(g.window, dataCentre, l)
		return
	}
	g.windowPast = addTo(g.windowPast, dataCentre, l)
}

// endWindow moves the current window's sums into the detectors.
func (g *group) endWindow(cellLimit float64) {
	for kind := range kinds {
		g.matched[kind].addWindow(g.window, kind, cellLimit, limited)
		g.past[kind].addWindow(g.windowPast, kind, cellLimit, trimmed)
	}
	g.window = g.window[:0]
	g.windowPast = g.windowPast[:0]
}

type combine func(sums []centreLogs, kind, i int, limit float64) float64

func (d *detector) addWindow(sums []centreLogs, kind int, cellLimit float64, sum combine) {
	limit := cellLimit * math.Log(d.threshold)
	var total [maxOddsRatios]float64
	for i := range d.scores {
		total[i] = sum(sums, kind, i, limit)
	}
	d.add(total[:len(d.scores)])
}

// limited sums the data centres' contributions, each at most limit.
func limited(sums []centreLogs, kind, i int, limit float64) float64 {
	total := 0.0
	for _, list := range sums {
		total += min(list.sum[kind][i], limit)
	}
	return total
}

// trimmed sums the data centres' contributions without the largest quarter of them (at least one, if there are two). A
// comparison with the past cannot tell a bad version from a sick data centre, but a bad version shows in most of them. The sum
// without the largest is at most the sum without the sick ones, so the error rate holds while no more than these are sick.
func trimmed(sums []centreLogs, kind, i int, limit float64) float64 {
	drop := min(max(1, len(sums)/4), len(sums)-1)
	total := limited(sums, kind, i, limit)
	largest := make([]float64, max(drop, 0))
	for _, list := range sums {
		insert(largest, min(list.sum[kind][i], limit))
	}
	for _, l := range largest {
		total -= l
	}
	return total
}

// insert puts a positive value into a list of the largest ones, in descending order.
func insert(largest []float64, value float64) {
	for i := range largest {
		if value > largest[i] {
			value, largest[i] = largest[i], value
		}
	}
}
