package bench

import (
	"time"

	"github.com/jayridge/jayridge/request/result"
)

const (
	// coldUtilisation is that of the design scale's peak.
	coldUtilisation = 0.74
	coldWarmUp      = 30 * time.Second
	// coldEvery is the time between two restarts without warning.
	coldEvery = 20 * time.Second
)

// coldResult is what a run shows.
type coldResult struct {
	restarts, crashes int
	asked, ok         int
}

// measureCold restarts one engine after another without warning at full load.
func measureCold(o Options) []Figure {
	two := deployments[:2]
	all := parallel(2*len(two), func(i int) *coldResult { return runCold(o, two[i/2], coldBears*(1-i%2)) })
	var figures []Figure
	for i, d := range two {
		own, without := all[2*i], all[2*i+1]
		figures = append(figures,
			Figure{
				Measure: "cold start without warning", Name: d.String() + ", crashes", Value: float64(own.crashes), Bounded: true,
				Baselines: []Baseline{{"no cold-start ramp", float64(without.crashes)}, {"restarts", float64(own.restarts)}},
			},
			Figure{
				Measure: "cold start without warning", Name: d.String() + ", requests answered", Value: partOf(own.ok, own.asked),
				Baselines: []Baseline{{"no cold-start ramp", partOf(without.ok, without.asked)}},
			})
	}
	return figures
}

func runCold(o Options, d deployment, coldInitial int) *coldResult {
	f := newFleet(fleetOptions{
		seed: o.Seed, dataCentres: d.dataCentres, runners: d.runners, entriesPerDataCentre: d.entries, router: byView,
		coldInitial: coldInitial, coldLimit: coldBears + warmServed, restartsWarm: true,
	})
	r := &coldResult{}
	startChats(f, d.runners, coldUtilisation, func(_ *job, code result.Code) {
		r.asked++
		if code == result.OK {
			r.ok++
		}
	})
	end := coldWarmUp + 5*time.Minute
	if o.Short {
		end = coldWarmUp + time.Minute
	}
	next := 0
	f.every(coldWarmUp, coldEvery, func() {
		f.runners[next%len(f.runners)].restart()
		next += 5
		r.restarts++
	})
	f.run(end)
	for _, at := range f.runners {
		r.crashes += at.crashes
	}
	return r
}
