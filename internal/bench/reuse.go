package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jayridge/jayridge/request/result"
)

// deployment is a set of runners that is measured.
type deployment struct {
	runners, dataCentres, entries int
}

func (d deployment) String() string {
	if d.dataCentres == 1 {
		return fmt.Sprintf("%d runners, 1 data centre", d.runners)
	}
	return fmt.Sprintf("%d runners, %d data centres", d.runners, d.dataCentres)
}

// deployments are the two users' fleets and one data centre of the design scale.
var deployments = []deployment{{12, 3, 2}, {9, 3, 2}, {435, 1, 34}}

const (
	reuseUtilisation = 0.5
	// replacedShare is the share of the runners that are replaced during the run.
	replacedShare = 0.1
)

// reuseTimes are the parts of a run.
type reuseTimes struct{ warmUp, measured time.Duration }

// reuseTime gives small deployments a time in which the cold start of a replaced runner, about two minutes, is a small part. The
// large one, where the replaced runners are cold one after another all the time, needs less.
func reuseTime(o Options, d deployment) reuseTimes {
	large := d.runners > 100
	switch {
	case o.Short && large:
		return reuseTimes{5 * time.Second, 15 * time.Second}
	case o.Short:
		return reuseTimes{2 * time.Minute, 12 * time.Minute}
	case large:
		return reuseTimes{30 * time.Second, 90 * time.Second}
	default:
		return reuseTimes{3 * time.Minute, 20 * time.Minute}
	}
}

// reuseCase is one way to route.
type reuseCase struct {
	name         string
	router       router
	withoutLimit bool
}

// The first three are needed for the bounded figures.
var reuseCases = []reuseCase{
	{"jayridge", byView, false},
	{"oracle", byOracle, false},
	{"least load", byLeastLoad, true},
	{"oracle without limits", byOracle, true},
	{"round robin", byRoundRobin, true},
	{"hashing without bounds", byView, true},
}

// casesFor leaves out further baselines where they take much time.
func casesFor(o Options, d deployment) []reuseCase {
	switch {
	case o.Short:
		return reuseCases[:3]
	case d.runners > 100:
		return reuseCases[:4]
	default:
		return reuseCases
	}
}

func runReuse(o Options, d deployment, c reuseCase) float64 {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: c.router,
		coldInitial: coldBears, coldLimit: coldBears + warmServed, restartsWarm: true, withoutLimit: c.withoutLimit,
	})
	startChats(f, d.runners, reuseUtilisation, func(*job, result.Code) {})
	times := reuseTime(o, d)
	f.replaceRunners(times)
	f.run(times.warmUp)
	reused, computed := f.promptTokens()
	f.run(times.warmUp + times.measured)
	reusedAfter, computedAfter := f.promptTokens()
	return float64(reusedAfter-reused) / float64(reusedAfter-reused+computedAfter-computed)
}

// replaceRunners replaces a share of the runners at even times of the measured part: one leaves, and a cold one comes.
func (f *fleet) replaceRunners(times reuseTimes) {
	n := int(math.Ceil(replacedShare * float64(f.opts.runners)))
	for i := range n {
		at := times.warmUp + time.Duration(i)*times.measured/time.Duration(n)
		leaving := f.runners[i*f.opts.runners/n]
		f.after(at, func() {
			leaving.leave()
			f.addRunner(leaving.dataCentre, f.opts.withoutLimit)
			f.publish("", false)
		})
	}
}

func (f *fleet) promptTokens() (reused, computed uint64) {
	for _, r := range f.runners {
		reused += r.reused
		computed += r.computed
	}
	return reused, computed
}

// measureReuse gives the share of the prompt tokens that came from a cache, relative to an oracle and to least load.
func measureReuse(o Options) []Figure {
	type task struct {
		d deployment
		c reuseCase
	}
	var tasks []task
	for _, d := range slices.Backward(deployments) {
		for _, c := range casesFor(o, d) {
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

// reuseFigures compares the shares of the cases. The oracle keeps the same limits, since a placement that breaks the load bound
// is not one that a router may choose; the comparison with an oracle that breaks them is printed beside it.
func reuseFigures(d deployment, shares []Baseline) []Figure {
	own, oracle, least := shares[0].Value, shares[1].Value, shares[2].Value
	figures := []Figure{
		{Measure: "cache reuse", Name: d.String() + ", of an oracle's", Value: own / oracle, Bound: 0.95, Bounded: true, AtLeast: true, Baselines: shares},
		{Measure: "cache reuse", Name: d.String() + ", of least load's", Value: own / least, Bound: 1.3, Bounded: true, AtLeast: true},
	}
	if len(shares) > 3 {
		figures = append(figures, Figure{Measure: "cache reuse", Name: d.String() + ", of an oracle's without limits", Value: own / shares[3].Value})
	}
	return figures
}
