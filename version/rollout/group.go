package rollout

import "math"

// maxOddsRatios bounds Config.OddsRatios.
const maxOddsRatios = 8

// logRatios holds sums of log likelihood ratios by kind of bad outcome and odds ratio.
type logRatios [numOutcomeKinds][maxOddsRatios]float64

func (l *logRatios) add(m logRatios) {
	for kind := range l {
		for i := range l[kind] {
			l[kind][i] += m[kind][i]
		}
	}
}

// dataCentreRatios holds the sums of one data centre in the current window.
type dataCentreRatios struct {
	dataCentre string
	sum        logRatios
}

// addToDataCentre adds ratios to the sums of a data centre. The list keeps the order of the cells, so that the same evidence
// always yields the same floating-point sum.
func addToDataCentre(list []dataCentreRatios, dataCentre string, ratios logRatios) []dataCentreRatios {
	for i := range list {
		if list[i].dataCentre == dataCentre {
			list[i].sum.add(ratios)
			return list
		}
	}
	return append(list, dataCentreRatios{dataCentre: dataCentre, sum: ratios})
}

// routeGroup holds the hypotheses under test for all routes together or for one route.
type routeGroup struct {
	name string
	// matched compares concurrent traffic and can reject the new version. historical compares with the old version's past counts
	// and can set only Verdict.Suspected.
	matched    [numOutcomeKinds]detector
	historical [numOutcomeKinds]detector
	// stepCells holds the counts per data centre since the current step began.
	stepCells []Cell
	// matchedWindow and historicalWindow hold the sums of the current window with and without concurrent traffic of the old
	// version.
	matchedWindow    []dataCentreRatios
	historicalWindow []dataCentreRatios
}

func newRouteGroup(name string, alpha float64, ratios int) *routeGroup {
	g := &routeGroup{name: name}
	for kind := range numOutcomeKinds {
		g.matched[kind] = newDetector(alpha/numOutcomeKinds, ratios)
		g.historical[kind] = newDetector(alpha/numOutcomeKinds, ratios)
	}
	return g
}

// addStart adds a start time with the given weight to all detectors.
func (g *routeGroup) addStart(weight float64) {
	for kind := range numOutcomeKinds {
		g.matched[kind].addStart(weight)
		g.historical[kind].addStart(weight)
	}
}

// beginStep discards the counts of the previous step and the scores of the historical detectors, because a suspicion applies to
// one step only.
func (g *routeGroup) beginStep() {
	g.stepCells = g.stepCells[:0]
	for kind := range g.historical {
		clear(g.historical[kind].scores)
	}
}

// countStepCell adds a cell to the counts of the current step.
func (g *routeGroup) countStepCell(c Cell) {
	for i := range g.stepCells {
		if g.stepCells[i].Key.DataCentre == c.Key.DataCentre {
			g.stepCells[i].add(c)
			return
		}
	}
	g.stepCells = append(g.stepCells, c)
}

// stepTotals returns the counts of the current step over all data centres.
func (g *routeGroup) stepTotals() (sum Cell) {
	for _, c := range g.stepCells {
		sum.add(c)
	}
	return sum
}

// addLogRatios adds a cell's log likelihood ratios to the current window.
func (g *routeGroup) addLogRatios(dataCentre string, ratios logRatios, concurrent bool) {
	if concurrent {
		g.matchedWindow = addToDataCentre(g.matchedWindow, dataCentre, ratios)
		return
	}
	g.historicalWindow = addToDataCentre(g.historicalWindow, dataCentre, ratios)
}

// endWindow updates the detectors with the sums of the current window and clears the sums.
func (g *routeGroup) endWindow(cellLimit float64) {
	for kind := range numOutcomeKinds {
		g.matched[kind].addWindow(g.matchedWindow, kind, cellLimit, cappedSum)
		g.historical[kind].addWindow(g.historicalWindow, kind, cellLimit, trimmedSum)
	}
	g.matchedWindow = g.matchedWindow[:0]
	g.historicalWindow = g.historicalWindow[:0]
}

// sumFunc combines the sums of the data centres for one kind of bad outcome and the i-th odds ratio.
type sumFunc func(sums []dataCentreRatios, kind, i int, limit float64) float64

// addWindow updates the detector with one window. It limits the contribution of each data centre to cellLimit of the log
// threshold.
func (d *detector) addWindow(sums []dataCentreRatios, kind int, cellLimit float64, sum sumFunc) {
	limit := cellLimit * math.Log(d.threshold)
	var total [maxOddsRatios]float64
	for i := range d.scores {
		total[i] = sum(sums, kind, i, limit)
	}
	d.update(total[:len(d.scores)])
}

// cappedSum returns the sum of the data centres' contributions, each limited to limit.
func cappedSum(sums []dataCentreRatios, kind, i int, limit float64) float64 {
	total := 0.0
	for _, list := range sums {
		total += min(list.sum[kind][i], limit)
	}
	return total
}

// trimmedSum returns the sum of the data centres' contributions without the largest quarter (at least one if there are two).
// A comparison with past counts cannot distinguish a bad version from a degraded data centre, but a bad version affects most data
// centres. The sum without the largest contributions is at most the sum without those of the degraded data centres, so the error
// rate holds as long as no more data centres are degraded than are left out.
func trimmedSum(sums []dataCentreRatios, kind, i int, limit float64) float64 {
	drop := min(max(1, len(sums)/4), len(sums)-1)
	total := cappedSum(sums, kind, i, limit)
	largest := make([]float64, max(drop, 0))
	for _, list := range sums {
		insertLargest(largest, min(list.sum[kind][i], limit))
	}
	for _, l := range largest {
		total -= l
	}
	return total
}

// insertLargest inserts a value into a list of the largest values in descending order and drops the smallest of them. The list
// starts with zeros, so values that are not positive are ignored.
func insertLargest(largest []float64, value float64) {
	for i := range largest {
		if value > largest[i] {
			value, largest[i] = largest[i], value
		}
	}
}
