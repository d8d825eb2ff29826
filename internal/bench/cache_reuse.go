package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// deployment is the size of a simulated fleet; entries are counted per data centre.
type deployment struct {
	runners, dataCentres, entries int
}

func (d deployment) String() string {
	if d.dataCentres == 1 {
		return fmt.Sprintf("%d runners, 1 data centre", d.runners)
	}
	return fmt.Sprintf("%d runners, %d data centres", d.runners, d.dataCentres)
}

// deployments are the fleets of the two users and one data centre of the design scale.
var deployments = []deployment{{12, 3, 2}, {9, 3, 2}, {435, 1, 34}}

const (
	reuseUtilisation = 0.5
	// replacedShare is the share of the runners that is replaced during a run.
	replacedShare = 0.1
)

// reuseSchedule has the lengths of the parts of a run.
type reuseSchedule struct{ warmUp, measured time.Duration }

// reuseScheduleFor returns the schedule for a deployment. Small deployments run long enough that the cold start of a replaced runner, about
// 2 minutes, is a small part of the run. In the large one a replaced runner is cold at any time, so that less time is enough.
func reuseScheduleFor(o Options, d deployment) reuseSchedule {
	large := d.runners > 100
	switch {
	case o.Short && large:
		return reuseSchedule{5 * time.Second, 15 * time.Second}
	case o.Short:
		return reuseSchedule{2 * time.Minute, 12 * time.Minute}
	case large:
		return reuseSchedule{30 * time.Second, 90 * time.Second}
	default:
		return reuseSchedule{3 * time.Minute, 20 * time.Minute}
	}
}

// routingCase is a routing method to compare.
type routingCase struct {
	name         string
	router       routeFunc
	withoutLimit bool
}

// reuseCases are the compared methods. The first three are needed for the bounded figures.
var reuseCases = []routingCase{
	{"jayridge", routeByView, false},
	{"oracle", routeByOracle, false},
	{"least load", routeLeastLoad, true},
	{"oracle without limits", routeByOracle, true},
	{"round robin", routeRoundRobin, true},
	{"hashing without bounds", routeByView, true},
}

// reuseCasesFor omits the further baselines in runs where they take too long.
func reuseCasesFor(o Options, d deployment) []routingCase {
	switch {
	case o.Short:
		return reuseCases[:3]
	case d.runners > 100:
		return reuseCases[:4]
	default:
		return reuseCases
	}
}

func runReuse(o Options, d deployment, c routingCase) float64 {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: c.router,
		coldInitial: coldInitialRequests, coldLimit: coldInitialRequests + warmAfterAnswers, startWarm: true, withoutLimit: c.withoutLimit,
	})
	startChats(f, d.runners, reuseUtilisation, func(*job, result.Code) {})
	times := reuseScheduleFor(o, d)
	f.replaceRunners(times)
	f.run(times.warmUp)
	reused, computed := f.promptTokens()
	f.run(times.warmUp + times.measured)
	reusedAfter, computedAfter := f.promptTokens()
	return float64(reusedAfter-reused) / float64(reusedAfter-reused+computedAfter-computed)
}

// replaceRunners replaces a share of the runners at equal intervals of the measured part: one leaves, and one with an
// empty cache joins, which counts as warm if there are no limits.
func (f *fleet) replaceRunners(times reuseSchedule) {
	n := int(math.Ceil(replacedShare * float64(f.opts.runners)))
	for i := range n {
		at := times.warmUp + time.Duration(i)*times.measured/time.Duration(n)
		leaving := f.runners[i*f.opts.runners/n]
		f.after(at, func() {
			leaving.beginLeaving()
			f.addRunner(leaving.dataCentre, f.opts.withoutLimit)
			f.publish("", false)
		})
	}
}

func (f *fleet) promptTokens() (reused, computed uint64) {
	for _, r := range f.runners {
		reused += r.reusedTokens
		computed += r.computedTokens
	}
	return reused, computed
}

// measureReuse measures the share of prompt tokens that come from a cache, relative to an oracle and to least-load routing.
func measureReuse(o Options) []Figure {
	type task struct {
		d deployment
		c routingCase
	}
	var tasks []task
	for _, d := range slices.Backward(deployments) {
		for _, c := range reuseCasesFor(o, d) {
			tasks = append(tasks, task{d, c})
		}
	}
	shares := parallel(len(tasks), func(i int) float64 { return runReuse(o, tasks[i].d, tasks[i].c) })
	byDeployment := make(map[deployment][]Baseline)
	for i, t := range tasks {
		byDeployment[t.d] = append(byDeployment[t.d], Baseline{t.c.name, shares[i]})
	}
	var figures []Figure
	for _, d := range deployments {
		figures = append(figures, reuseFigures(d, byDeployment[d])...)
	}
	return figures
}

// reuseFigures compares the shares of the cases. The oracle of the bounded figure keeps the same limits, because a router may not choose
// a placement that exceeds the load bound; the comparison with an oracle without limits is only printed.
func reuseFigures(d deployment, shares []Baseline) []Figure {
	measured, oracle, leastLoad := shares[0].Value, shares[1].Value, shares[2].Value
	figures := []Figure{
		{Measure: "cache reuse", Name: d.String() + ", of an oracle's", Value: measured / oracle, Bound: 0.95, Bounded: true, AtLeast: true, Baselines: shares},
		{Measure: "cache reuse", Name: d.String() + ", of least load's", Value: measured / leastLoad, Bound: 1.3, Bounded: true, AtLeast: true},
	}
	if len(shares) > 3 {
		figures = append(figures, Figure{Measure: "cache reuse", Name: d.String() + ", of an oracle's without limits", Value: measured / shares[3].Value})
	}
	return figures
}
