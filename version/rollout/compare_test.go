package rollout

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// decisionRule is a sequential test under comparison. It processes the cells of one window and reports whether it rejects the new
// version.
type decisionRule func(cells []Cell) bool

// newSelectedRule returns the rule of SequentialTest, as a single test without guards.
func newSelectedRule(starts int) decisionRule {
	c := simConfig()
	c.IndependentTests, c.Starts, c.MaxRoutes = 1, starts, 0
	shift := simShift()
	shift.Guards = nil
	t := NewSequentialTest(c, shift, simStart)
	return func(cells []Cell) bool {
		t.BeginStep(cells[0].Key.Step)
		return t.Observe(cells).Rejected
	}
}

// sprtRule returns a sequential probability ratio test (SPRT) with one odds ratio and one start, or with restarts at zero
// (CUSUM).
func sprtRule(odds, threshold float64, restart bool) decisionRule {
	score := 0.0
	return func(cells []Cell) bool {
		for _, c := range cells {
			score += matchedLogRatio(c.Old.countFor(kindFailed), c.New.countFor(kindFailed), odds)
		}
		if restart {
			score = max(score, 0)
		}
		return score >= threshold
	}
}

// mixtureRule returns a mixture sequential probability ratio test (mSPRT with a normal mixture) of the difference of the failure
// rates, with the strata pooled or matched.
func mixtureRule(threshold float64, matched bool) decisionRule {
	const prior = 0.01
	var sum, variance, weights float64
	var oldCount, newCount binomialCount
	add := func(b, c binomialCount) {
		weight := b.n * c.n / (b.n + c.n)
		rate := (b.bad + c.bad + 0.5) / (b.n + c.n + 1)
		sum += weight * (c.bad/c.n - b.bad/b.n)
		variance += weight * rate * (1 - rate)
		weights += weight
	}
	return func(cells []Cell) bool {
		for _, cell := range cells {
			b, c := cell.Old.countFor(kindFailed), cell.New.countFor(kindFailed)
			oldCount = binomialCount{oldCount.n + b.n, oldCount.bad + b.bad}
			newCount = binomialCount{newCount.n + c.n, newCount.bad + c.bad}
			if matched && b.n > 0 && c.n > 0 {
				add(b, c)
			}
		}
		if !matched {
			sum, variance, weights = 0, 0, 0
			add(oldCount, newCount)
		}
		spread := prior * prior * weights * weights
		logRatio := 0.5*math.Log(variance/(variance+spread)) + spread*sum*sum/(2*variance*(variance+spread))
		return sum > 0 && logRatio >= threshold
	}
}

var comparedRules = []struct {
	name string
	make func() decisionRule
}{
	{"mixture, restarts", func() decisionRule { return newSelectedRule(64) }},
	{"mixture, 1 start", func() decisionRule { return newSelectedRule(1) }},
	{"SPRT, odds 4", func() decisionRule { return sprtRule(4, math.Log(100), false) }},
	{"CUSUM, odds 4", func() decisionRule { return sprtRule(4, math.Log(100), true) }},
	{"CUSUM, odds 4, high", func() decisionRule { return sprtRule(4, math.Log(100*270*64), true) }},
	{"mSPRT, pooled", func() decisionRule { return mixtureRule(math.Log(100), false) }},
	{"mSPRT, matched", func() decisionRule { return mixtureRule(math.Log(100), true) }},
}

const compareWindows = 270

// scheduledCells generates the cells of a shift that spends 90 windows each at 5, 15 and 45 percent.
func scheduledCells(seed uint64, perCell float64, f fault) [][]Cell {
	w := newSimulation(seed, f)
	windows := make([][]Cell, compareWindows)
	for i := range windows {
		step := uint8(i / 90)
		share := w.config.Steps(0.05)[step]
		for _, dc := range simDataCentres {
			c := Cell{Key: Key{DataCentre: dc, Route: "/bookings", Window: w.config.WindowOf(simStart) + int64(i), Step: step}}
			newRequests := binomial(w.rng, perCell, share)
			c.Old = w.outcomes(c, share, Old, perCell-newRequests)
			c.New = w.outcomes(c, share, New, newRequests)
			windows[i] = append(windows[i], c)
		}
	}
	return windows
}

// burstFault makes all requests to the new version in one data centre fail for one window, as after the loss of a rack.
func burstFault(r *rand.Rand, config Config) fault {
	window := config.WindowOf(simStart) + r.Int64N(compareWindows)
	return func(c Cell, _ float64, side Side, failed, slow float64) (float64, float64) {
		if side == New && c.Key.Window == window && c.Key.DataCentre == "nadi" {
			return 1, slow
		}
		return failed, slow
	}
}

// The measurements in docs/decisions/0004-rollout-test.md must hold: the selected test rejects a good version in at most 1% of
// the runs, also in the cases in which the other tests exceed 1%, and detects a fault in all runs, also a late one.
func TestCompareTests(t *testing.T) {
	runs := *simRuns / 2
	config := simConfig()
	rate := func(r float64) fault {
		return func(_ Cell, _ float64, _ Side, _, slow float64) (float64, float64) { return r, slow }
	}
	late := simStart.Add(200 * config.Window)
	cases := []struct {
		name  string
		fault func(*rand.Rand) fault
		from  int
		good  bool
	}{
		{"good", func(*rand.Rand) fault { return nil }, 0, true},
		{"good, degraded data centre", func(r *rand.Rand) fault { return degradedDataCentre(r, config) }, 0, true},
		{"good, burst", func(r *rand.Rand) fault { return burstFault(r, config) }, 0, true},
		{"fails 2.5% at once", func(*rand.Rand) fault { return faultFrom(simStart, config, rate(0.025)) }, 0, false},
		{"fails 10% at once", func(*rand.Rand) fault { return faultFrom(simStart, config, rate(0.1)) }, 0, false},
		{"fails 2.5% after 200", func(*rand.Rand) fault { return faultFrom(late, config, rate(0.025)) }, 200, false},
		{"fails 10% after 200", func(*rand.Rand) fault { return faultFrom(late, config, rate(0.1)) }, 200, false},
	}
	for _, c := range cases {
		rejected := make([]int, len(comparedRules))
		delays := make([][]int, len(comparedRules))
		for seed := range uint64(runs) {
			windows := scheduledCells(seed, 400, c.fault(rand.New(rand.NewPCG(seed, 6))))
			for j := range comparedRules {
				if at := firstRejection(comparedRules[j].make(), windows); at >= 0 {
					rejected[j]++
					delays[j] = append(delays[j], at-c.from+1)
				}
			}
		}
		for j := range comparedRules {
			slices.Sort(delays[j])
			t.Logf("%-26s %-20s rejected in %3d of %d runs, windows since the fault: median %4d, maximum %4d",
				c.name, comparedRules[j].name, rejected[j], runs, quantileOf(delays[j], 0.5), quantileOf(delays[j], 1))
		}
		if c.good {
			must.LessEq(t, runs/100, rejected[0], must.Sprint(c.name))
			continue
		}
		must.Eq(t, runs, rejected[0], must.Sprint(c.name))
		must.Positive(t, delays[0][0], must.Sprint(c.name))
	}
}

// firstRejection returns the index of the first window at which the rule rejects the new version, or -1.
func firstRejection(rule decisionRule, windows [][]Cell) int {
	return slices.IndexFunc(windows, rule)
}

// quantileOf returns a quantile of sorted values, or 0 if there are none.
func quantileOf(sorted []int, quantile float64) int {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(quantile*float64(len(sorted)-1))]
}

// A version that is worse by the smallest difference must be rejected, with probability 1-Beta, before the step has enough
// evidence to end.
func TestSmallestDifferenceIsDetectedWithinAStep(t *testing.T) {
	const runs = 400
	config := simConfig()
	cases := map[string]fault{
		"fails": func(_ Cell, _ float64, _ Side, failed, slow float64) (float64, float64) {
			return failed + config.FailedDifference, slow
		},
		"slow": func(_ Cell, _ float64, _ Side, failed, slow float64) (float64, float64) {
			return failed, slow + config.SlowDifference
		},
	}
	for name, f := range cases {
		missed, windows := 0, 0
		for seed := range uint64(runs) {
			w := newSimulation(seed, faultFrom(simStart, config, f))
			test := NewSequentialTest(config, simShift(), simStart)
			rejected := false
			for !rejected {
				if missing, _, _ := test.MissingRequests(); missing == 0 {
					missed++
					break
				}
				w.machines[entryMachine].record = Record{State: Canary, Share: simShift().MaxCanaryShare}
				rejected = test.Observe(w.traffic()).Rejected
				w.now = w.now.Add(config.Window)
				windows++
			}
		}
		t.Logf("%s: missed in %d of %d steps, %d windows on average", name, missed, runs, windows/runs)
		must.LessEq(t, int(config.Beta*runs), missed, must.Sprint(name))
	}
}
