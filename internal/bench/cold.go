package bench

import (
	"time"

	"github.com/jayridge/jayridge/request/result"
)

const (
	// coldUtilisation is the utilisation at the peak of the design scale.
	coldUtilisation = 0.74
	coldWarmUp      = 30 * time.Second
	// coldRestartInterval is the time between two unannounced restarts.
	coldRestartInterval = 20 * time.Second
)

// coldStartResult counts the events and requests of a run.
type coldStartResult struct {
	restarts, crashes  int
	requests, answered int
}

// measureColdStart restarts one engine after another at peak load, without announcing it.
func measureColdStart(o Options) []Figure {
	smallDeployments := deployments[:2]
	all := parallel(2*len(smallDeployments), func(i int) *coldStartResult {
		return runColdStart(o, smallDeployments[i/2], coldInitialRequests*(1-i%2))
	})
	var figures []Figure
	for i, d := range smallDeployments {
		measured, withoutRamp := all[2*i], all[2*i+1]
		figures = append(figures,
			Figure{
				Measure: "cold start without warning", Name: d.String() + ", crashes", Value: float64(measured.crashes), Bounded: true,
				Baselines: []Baseline{{"no cold-start ramp", float64(withoutRamp.crashes)}, {"restarts", float64(measured.restarts)}},
			},
			Figure{
				Measure: "cold start without warning", Name: d.String() + ", requests answered", Value: fraction(measured.answered, measured.requests),
				Baselines: []Baseline{{"no cold-start ramp", fraction(withoutRamp.answered, withoutRamp.requests)}},
			})
	}
	return figures
}

func runColdStart(o Options, d deployment, coldInitial int) *coldStartResult {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: routeByView,
		coldInitial: coldInitial, coldLimit: coldInitialRequests + warmAfterAnswers, startWarm: true,
	})
	r := &coldStartResult{}
	startChats(f, d.runners, coldUtilisation, func(_ *job, code result.Code) {
		r.requests++
		if code == result.OK {
			r.answered++
		}
	})
	end := coldWarmUp + 5*time.Minute
	if o.Short {
		end = coldWarmUp + time.Minute
	}
	next := 0
	f.every(coldWarmUp, coldRestartInterval, func() {
		f.runners[next%len(f.runners)].restartEngine()
		next += 5
		r.restarts++
	})
	f.run(end)
	for _, target := range f.runners {
		r.crashes += target.crashes
	}
	return r
}
