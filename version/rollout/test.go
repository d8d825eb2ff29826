package rollout

import (
	"fmt"
	"math"
	"time"
)

// allRoutes is the name of the group of all routes together.
const allRoutes = "all routes"

// minPast is the number of requests to the old version from which its past rate in a data centre is used as reference.
const minPast = 200

// Verdict is what a Test says of the new version.
type Verdict struct {
	// Blamed means that the new version is worse than the old one at the same time and place. It is final.
	Blamed bool
	// Suspected means that in this step at share 1 the new version looks worse than the old one did before. The cause may also be
	// a surge or a sick region.
	Suspected bool
	// Reason says on which routes it is worse and how, in one line.
	Reason string
}

// Test compares the two versions of a shift sequentially, window by window. Any process that holds evidence may run one.
//
// The error rate Alpha is split among the judges; one half of a judge's part goes to all routes together and the guards, the
// other to up to MaxRoutes other routes.
type Test struct {
	config  Config
	shift   Shift
	steps   []float64
	step    uint8
	all     *group
	guards  []*group
	routes  map[string]*group
	past    past
	verdict Verdict

	lastWindow int64
	spacing    int64
	nextStart  int64
	starts     int
	// Late counts the cells that came after a later window was judged; they are ignored.
	Late uint64
}

// NewTest returns a test for the shift's remaining time from now on.
func NewTest(config Config, shift Shift, now time.Time) *Test {
	horizon := max(shift.By.Sub(now), 0) + config.Monitor
	t := &Test{
		config:  config,
		shift:   shift,
		steps:   config.Steps(shift.Cap),
		routes:  make(map[string]*group),
		past:    newPast(),
		spacing: max(1, int64(horizon/config.Window)/int64(config.Starts)),
	}
	alpha := config.Alpha / float64(config.Judges) / 2
	odds := len(config.OddsRatios)
	main := alpha / float64(1+len(shift.Guards))
	t.all = newGroup(allRoutes, main, odds)
	for _, route := range shift.Guards {
		t.guards = append(t.guards, newGroup(route, main, odds))
	}
	t.lastWindow = math.MinInt64
	t.forEach(func(g *group) { g.start(stepWeight) })
	return t
}

// stepWeight is the share of the error rate for a start at the beginning of a step; the steps have one half together.
const stepWeight = 0.5 / maxSteps

// BeginStep tells the test that the share changed. Evidence for the end of the step is counted anew.
func (t *Test) BeginStep(step uint8) {
	if step <= t.step {
		return
	}
	t.step = step
	if !t.verdict.Blamed {
		t.verdict = Verdict{}
	}
	if t.share() < 1 && int(step) >= len(t.steps) {
		// The past did not tell what the old version does now.
		t.past = newPast()
	}
	t.forEach(func(g *group) {
		g.beginStep()
		g.start(stepWeight)
	})
}

// Observe judges the cells of closed windows, in ascending order of window. A window is judged once: cells of windows before the
// last judged one are ignored.
func (t *Test) Observe(cells []Cell) Verdict {
	for len(cells) > 0 {
		n := 1
		for n < len(cells) && cells[n].Key.Window == cells[0].Key.Window {
			n++
		}
		t.window(cells[:n])
		cells = cells[n:]
	}
	return t.verdict
}

func (t *Test) share() float64 { return t.config.shareAt(t.steps, t.step) }

// Verdict returns the current verdict.
func (t *Test) Verdict() Verdict { return t.verdict }

func (t *Test) window(cells []Cell) {
	window := cells[0].Key.Window
	if window <= t.lastWindow {
		t.Late += uint64(len(cells))
		return
	}
	t.lastWindow = window
	t.startAt(window)
	for _, cell := range cells {
		t.cell(cell)
	}
	t.forEach(func(g *group) { g.endWindow(t.config.CellLimit) })
	t.judge()
}

// startAt begins the evenly spaced start times that are due.
func (t *Test) startAt(window int64) {
	if window < t.nextStart || t.starts >= t.config.Starts {
		return
	}
	t.starts++
	t.nextStart = window + t.spacing
	weight := 0.5 / float64(t.config.Starts)
	t.forEach(func(g *group) { g.start(weight) })
}

func (t *Test) cell(c Cell) {
	concurrent := t.config.shareAt(t.steps, c.Key.Step) < 1
	sums := t.logs(c, concurrent)
	for _, g := range t.groupsOf(c.Key.Route) {
		g.put(c.Key.DataCentre, sums, concurrent)
		if c.Key.Step == t.step {
			g.count(c)
		}
	}
	if concurrent {
		t.past.add(c.Key.DataCentre, c.Key.Route, c.Old)
	}
}

func (t *Test) logs(c Cell, concurrent bool) logs {
	var sums logs
	margins := [kinds]float64{t.config.FailedDifference / 2, t.config.SlowDifference / 2}
	for kind := range sums {
		fresh := c.New.of(kind)
		base := c.Old.of(kind)
		ref := 0.0
		if !concurrent {
			base = t.past.of(c.Key.DataCentre, c.Key.Route, kind)
			ref = reference(base, margins[kind])
		}
		for i, odds := range t.config.OddsRatios {
			switch {
			case concurrent:
				sums[kind][i] = matched(base, fresh, odds)
			case base.n >= minPast:
				sums[kind][i] = against(ref, fresh, odds)
			}
		}
	}
	return sums
}

func (t *Test) groupsOf(route string) []*group {
	for _, g := range t.guards {
		if g.name == route {
			return []*group{t.all, g}
		}
	}
	g := t.routes[route]
	if g == nil && len(t.routes) < t.config.MaxRoutes {
		alpha := t.config.Alpha / float64(t.config.Judges) / 2 / float64(t.config.MaxRoutes)
		g = newGroup(route, alpha, len(t.config.OddsRatios))
		g.start(stepWeight)
		t.routes[route] = g
	}
	if g == nil {
		return []*group{t.all}
	}
	return []*group{t.all, g}
}

func (t *Test) judge() {
	t.forEach(func(g *group) {
		for kind := range kinds {
			t.judgeGroup(g, kind)
		}
	})
}

func (t *Test) judgeGroup(g *group, kind int) {
	switch {
	case t.verdict.Blamed:
	case g.matched[kind].blamed():
		t.verdict = Verdict{Blamed: true, Reason: t.reason(g, kind)}
	case !t.verdict.Suspected && t.share() == 1 && g.past[kind].blamed():
		t.verdict = Verdict{Suspected: true, Reason: t.reason(g, kind)}
	}
}

func (t *Test) reason(g *group, kind int) string {
	seen := g.seen()
	old, fresh := seen.Old.of(kind), seen.New.of(kind)
	text := fmt.Sprintf("%s %s more often than %s on %s: %.0f of %.0f requests since the last step",
		t.shift.To, kindNames[kind], t.shift.From, g.name, fresh.bad, fresh.n)
	if old.n == 0 {
		return text + ", compared with the time before"
	}
	return text + fmt.Sprintf(" against %.0f of %.0f", old.bad, old.n)
}

func (t *Test) forEach(f func(*group)) {
	f(t.all)
	for _, g := range t.guards {
		f(g)
	}
	for _, g := range t.routes {
		f(g)
	}
}
