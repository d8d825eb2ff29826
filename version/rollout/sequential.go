package rollout

import (
	"fmt"
	"math"
	"time"
)

// allRoutesName is the name of the route group of all routes together.
const allRoutesName = "all routes"

// minHistoryRequests is the minimum number of requests to the old version for its past rate to be used as a reference.
const minHistoryRequests = 200

// Verdict is the result of a SequentialTest so far.
type Verdict struct {
	// Rejected means that the test has rejected the new version: it is worse than the old one in the same data centres, routes and
	// windows. It is final.
	Rejected bool
	// Suspected means that in the current step, at share 1, the new version appears worse than the past rate of the old one. A
	// traffic surge or a degraded region can also be the cause.
	Suspected bool
	// Reason describes on which routes the new version is worse and by how much, in a single line.
	Reason string
}

// SequentialTest compares the two versions of a shift window by window. Any process that holds evidence may run one.
//
// The error rate Alpha is divided among the independent tests. Half of each test's share of Alpha is divided among the group of
// all routes and the guard routes, the other half among MaxRoutes other routes.
type SequentialTest struct {
	config    Config
	shift     Shift
	steps     []float64
	step      uint8
	allRoutes *routeGroup
	guards    []*routeGroup
	routes    map[string]*routeGroup
	history   history
	verdict   Verdict

	lastWindow      int64
	startSpacing    int64
	nextStartWindow int64
	startsAdded     int
	// Late counts the cells that were ignored because their window or a later one had already been tested.
	Late uint64
}

// NewSequentialTest returns a test for the remaining time of the shift.
func NewSequentialTest(config Config, shift Shift, now time.Time) *SequentialTest {
	horizon := max(shift.Deadline.Sub(now), 0) + config.MonitorTime
	t := &SequentialTest{
		config:       config,
		shift:        shift,
		steps:        config.Steps(shift.MaxCanaryShare),
		routes:       make(map[string]*routeGroup),
		history:      newHistory(),
		startSpacing: max(1, int64(horizon/config.Window)/int64(config.Starts)),
	}
	alpha := config.Alpha / float64(config.IndependentTests) / 2
	ratios := len(config.OddsRatios)
	mainAlpha := alpha / float64(1+len(shift.Guards))
	t.allRoutes = newRouteGroup(allRoutesName, mainAlpha, ratios)
	for _, route := range shift.Guards {
		t.guards = append(t.guards, newRouteGroup(route, mainAlpha, ratios))
	}
	t.lastWindow = math.MinInt64
	t.forEach(func(g *routeGroup) { g.addStart(stepStartWeight) })
	return t
}

// stepStartWeight is the fraction of the error rate for the start time at the beginning of a step. One half is divided among all
// steps, the other among the evenly spaced start times.
const stepStartWeight = 0.5 / maxSteps

// BeginStep starts the given step and resets the counts of the evidence that is required to end a step.
func (t *SequentialTest) BeginStep(step uint8) {
	if step <= t.step {
		return
	}
	t.step = step
	if !t.verdict.Rejected {
		t.verdict = Verdict{}
	}
	if t.share() < 1 && int(step) >= len(t.steps) {
		// This step compares the versions again after a suspicion. The past counts may not match the current behaviour of the old
		// version, so they are collected anew.
		t.history = newHistory()
	}
	t.forEach(func(g *routeGroup) {
		g.beginStep()
		g.addStart(stepStartWeight)
	})
}

// Observe tests the cells of closed windows. cells must be sorted by window. Each window is tested once: cells of the last tested
// window and of earlier ones are ignored.
func (t *SequentialTest) Observe(cells []Cell) Verdict {
	for len(cells) > 0 {
		n := 1
		for n < len(cells) && cells[n].Key.Window == cells[0].Key.Window {
			n++
		}
		t.observeWindow(cells[:n])
		cells = cells[n:]
	}
	return t.verdict
}

func (t *SequentialTest) share() float64 { return t.config.shareAtStep(t.steps, t.step) }

// Verdict returns the result so far.
func (t *SequentialTest) Verdict() Verdict { return t.verdict }

// observeWindow tests the cells of one window.
func (t *SequentialTest) observeWindow(cells []Cell) {
	window := cells[0].Key.Window
	if window <= t.lastWindow {
		t.Late += uint64(len(cells))
		return
	}
	t.lastWindow = window
	t.addDueStart(window)
	for _, cell := range cells {
		t.observeCell(cell)
	}
	t.forEach(func(g *routeGroup) { g.endWindow(t.config.CellLimit) })
	t.updateVerdict()
}

// addDueStart adds the next evenly spaced start time if it is due.
func (t *SequentialTest) addDueStart(window int64) {
	if window < t.nextStartWindow || t.startsAdded >= t.config.Starts {
		return
	}
	t.startsAdded++
	t.nextStartWindow = window + t.startSpacing
	weight := 0.5 / float64(t.config.Starts)
	t.forEach(func(g *routeGroup) { g.addStart(weight) })
}

// observeCell adds a cell to the route groups that it belongs to, and concurrent counts of the old version to the history.
func (t *SequentialTest) observeCell(c Cell) {
	concurrent := t.config.shareAtStep(t.steps, c.Key.Step) < 1
	sums := t.logRatios(c, concurrent)
	for _, g := range t.groupsFor(c.Key.Route) {
		g.addLogRatios(c.Key.DataCentre, sums, concurrent)
		if c.Key.Step == t.step {
			g.countStepCell(c)
		}
	}
	if concurrent {
		t.history.add(c.Key.DataCentre, c.Key.Route, c.Old)
	}
}

// logRatios returns the cell's log likelihood ratios, against concurrent traffic of the old version or against its past rate.
func (t *SequentialTest) logRatios(c Cell, concurrent bool) logRatios {
	var sums logRatios
	margins := [numOutcomeKinds]float64{t.config.FailedDifference / 2, t.config.SlowDifference / 2}
	for kind := range sums {
		newCount := c.New.countFor(kind)
		oldCount := c.Old.countFor(kind)
		refRate := 0.0
		if !concurrent {
			oldCount = t.history.countFor(c.Key.DataCentre, c.Key.Route, kind)
			refRate = referenceRate(oldCount, margins[kind])
		}
		for i, oddsRatio := range t.config.OddsRatios {
			switch {
			case concurrent:
				sums[kind][i] = matchedLogRatio(oldCount, newCount, oddsRatio)
			case oldCount.n >= minHistoryRequests:
				sums[kind][i] = referenceLogRatio(refRate, newCount, oddsRatio)
			}
		}
	}
	return sums
}

// groupsFor returns the route groups that a route belongs to. It adds a group for a new route until there are MaxRoutes of them.
func (t *SequentialTest) groupsFor(route string) []*routeGroup {
	for _, g := range t.guards {
		if g.name == route {
			return []*routeGroup{t.allRoutes, g}
		}
	}
	g := t.routes[route]
	if g == nil && len(t.routes) < t.config.MaxRoutes {
		alpha := t.config.Alpha / float64(t.config.IndependentTests) / 2 / float64(t.config.MaxRoutes)
		g = newRouteGroup(route, alpha, len(t.config.OddsRatios))
		g.addStart(stepStartWeight)
		t.routes[route] = g
	}
	if g == nil {
		return []*routeGroup{t.allRoutes}
	}
	return []*routeGroup{t.allRoutes, g}
}

func (t *SequentialTest) updateVerdict() {
	t.forEach(func(g *routeGroup) {
		for kind := range numOutcomeKinds {
			t.evaluateGroup(g, kind)
		}
	})
}

func (t *SequentialTest) evaluateGroup(g *routeGroup, kind int) {
	switch {
	case t.verdict.Rejected:
	case g.matched[kind].rejected():
		t.verdict = Verdict{Rejected: true, Reason: t.reason(g, kind)}
	case !t.verdict.Suspected && t.share() == 1 && g.historical[kind].rejected():
		t.verdict = Verdict{Suspected: true, Reason: t.reason(g, kind)}
	}
}

func (t *SequentialTest) reason(g *routeGroup, kind int) string {
	totals := g.stepTotals()
	oldCount, newCount := totals.Old.countFor(kind), totals.New.countFor(kind)
	text := fmt.Sprintf("%s %s more often than %s on %s: %.0f of %.0f requests since the last step",
		t.shift.To, kindNames[kind], t.shift.From, g.name, newCount.bad, newCount.n)
	if oldCount.n == 0 {
		return text + ", compared with the time before"
	}
	return text + fmt.Sprintf(" against %.0f of %.0f", oldCount.bad, oldCount.n)
}

func (t *SequentialTest) forEach(f func(*routeGroup)) {
	f(t.allRoutes)
	for _, g := range t.guards {
		f(g)
	}
	for _, g := range t.routes {
		f(g)
	}
}
