package rollout

import "math"

// logs are sums of logarithms of likelihood ratios, per kind of bad outcome and odds ratio.
type logs [kinds][]float64

func newLogs(odds int) *logs {
	var l logs
	for kind := range l {
		l[kind] = make([]float64, odds)
	}
	return &l
}

// group is one hypothesis under test: all routes together or one route.
type group struct {
	name string
	// guarded groups need enough evidence before a step ends.
	guarded   bool
	detectors [kinds]detector
	// step counts the requests since the current step began.
	step Cell

	// matched and past hold the sums of the current window per data centre, past those without concurrent old traffic.
	matched map[string]*logs
	past    map[string]*logs
}

func newGroup(name string, guarded bool, alpha float64, odds int) *group {
	g := &group{name: name, guarded: guarded, matched: make(map[string]*logs), past: make(map[string]*logs)}
	for kind := range g.detectors {
		g.detectors[kind] = newDetector(alpha/kinds, odds)
	}
	return g
}

func (g *group) start(weight float64) {
	for kind := range g.detectors {
		g.detectors[kind].start(weight)
	}
}

// put adds a cell's logarithms to the current window.
func (g *group) put(dataCentre string, cell *logs, concurrent bool) {
	sums := g.past
	if concurrent {
		sums = g.matched
	}
	sum := sums[dataCentre]
	if sum == nil {
		sum = newLogs(len(cell[0]))
		sums[dataCentre] = sum
	}
	for kind := range cell {
		for i, l := range cell[kind] {
			sum[kind][i] += l
		}
	}
}

// endWindow moves the current window's sums into the detectors.
func (g *group) endWindow(cellLimit float64) {
	for kind := range g.detectors {
		d := &g.detectors[kind]
		limit := cellLimit * math.Log(d.threshold)
		total := make([]float64, len(d.scores))
		for i := range total {
			total[i] = limited(g.matched, kind, i, limit) + trimmed(g.past, kind, i, limit)
		}
		d.add(total)
	}
	clear(g.matched)
	clear(g.past)
}

// limited sums the data centres' contributions, each at most limit.
func limited(sums map[string]*logs, kind, i int, limit float64) float64 {
	total := 0.0
	for _, sum := range sums {
		total += min(sum[kind][i], limit)
	}
	return total
}

// trimmed sums the data centres' contributions without the largest quarter of them (at least one, if there are two). A
// comparison with the past cannot tell a bad version from a sick data centre, but a bad version shows in most of them. The sum
// without the largest is at most the sum without the sick ones, so the error rate holds while no more than these are sick.
func trimmed(sums map[string]*logs, kind, i int, limit float64) float64 {
	drop := min(max(1, len(sums)/4), len(sums)-1)
	total := limited(sums, kind, i, limit)
	largest := make([]float64, max(drop, 0))
	for _, sum := range sums {
		insert(largest, min(sum[kind][i], limit))
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
