package bench

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/jayridge/jayridge/version/rollout"
)

// Targets of shifts between versions, as shares: of the good versions that are rolled back, and of the traffic of a bad version.
const (
	maxGoodRolledBack = 0.01
	maxBadShare       = 0.05
)

// outcomeRates returns the probabilities of a failed and of a slow request of the new version, given those of the old one.
type outcomeRates func(at time.Duration, share float64, route string, failed, slow float64) (float64, float64)

// badVersions are the kinds of fault of a bad version, each with random parameters.
var badVersions = []struct {
	name string
	make func(random *rand.Rand) outcomeRates
}{
	{"fails at once", func(random *rand.Rand) outcomeRates {
		rate := 0.05 + 0.4*random.Float64()
		return func(_ time.Duration, _ float64, _ string, _, slow float64) (float64, float64) { return rate, slow }
	}},
	{"slow at once", func(random *rand.Rand) outcomeRates {
		rate := 0.25 + 0.5*random.Float64()
		return func(_ time.Duration, _ float64, _ string, failed, _ float64) (float64, float64) { return failed, rate }
	}},
	{"fails later", func(random *rand.Rand) outcomeRates {
		from := time.Duration(random.Int64N(int64(40 * time.Minute)))
		return func(at time.Duration, _ float64, _ string, failed, slow float64) (float64, float64) {
			if at < from {
				return failed, slow
			}
			return 0.2, slow
		}
	}},
	{"fails under load", func(random *rand.Rand) outcomeRates {
		from := 0.1 + 0.3*random.Float64()
		return func(_ time.Duration, share float64, _ string, failed, slow float64) (float64, float64) {
			if share < from {
				return failed, slow
			}
			return 0.2, slow
		}
	}},
	{"fails on one route", func(random *rand.Rand) outcomeRates {
		bad := shiftRoutes[random.IntN(len(shiftRoutes))]
		return func(_ time.Duration, _ float64, route string, failed, slow float64) (float64, float64) {
			if route != bad {
				return failed, slow
			}
			return 0.3, slow
		}
	}},
}

var (
	shiftDataCentres = []string{"suva", "nadi", "lautoka"}
	shiftRoutes      = []string{"/chat/fabric-care", "/chat/driver", "/chat/booking"}
)

// Parameters of a simulated shift.
const (
	shiftTime       = time.Hour
	shiftCap        = 0.05
	requestsPerCell = 400.0
)

// measureVersions measures how shifts between versions end, with the real state machine of a shift and seeded request outcomes. In a third
// of the runs one data centre fails for both versions for ten minutes.
func measureVersions(o Options) []Figure {
	runs := 200
	if o.Short {
		runs = 30
	}
	good := runShifts(o.Seed, runs, func(*rand.Rand) outcomeRates { return nil })
	goodRolledBack, completed := 0, 0
	for _, r := range good {
		if r.state == rollout.RolledBack {
			goodRolledBack++
		} else if r.fullAt > 0 && r.fullAt <= shiftTime {
			completed++
		}
	}
	bounded := func(f Figure, bound float64, atLeast bool) Figure {
		f.Bound, f.AtLeast, f.Bounded = bound, atLeast, true
		return f
	}
	figure := func(name string, value float64, unit string) Figure {
		return Figure{Measure: "versions", Name: name, Value: value, Unit: unit}
	}
	all := float64(runs)
	figures := []Figure{
		bounded(figure("good ones blamed", float64(goodRolledBack)/all, ""), maxGoodRolledBack, false),
		bounded(figure("good ones not blamed that have all traffic by the time asked", float64(completed)/(all-float64(goodRolledBack)), ""), 1, true),
	}
	for i, bad := range badVersions {
		results := runShifts(o.Seed+uint64(i)+1, runs, bad.make)
		badRolledBack, share, windows := 0, 0.0, 0.0
		for _, r := range results {
			if r.state == rollout.RolledBack {
				badRolledBack++
			}
			share = max(share, r.maxBadShare)
			windows += r.timeToVerdict.Seconds() / all
		}
		figures = append(figures,
			bounded(figure("bad ones rolled back, "+bad.name, float64(badRolledBack)/all, ""), 1, true),
			figure("largest share of a bad version from its fault to the verdict, "+bad.name, share, ""),
			figure("mean time from its fault to the verdict, "+bad.name, windows, "s"),
		)
		if bad.name == "fails at once" || bad.name == "slow at once" {
			last := len(figures) - 2
			figures[last] = bounded(figures[last], maxBadShare, false)
		}
	}
	return figures
}

// shiftResult has the final state of a shift and its times.
type shiftResult struct {
	state rollout.State
	// fullAt is the time at which the new version had all traffic, or 0 if it never had.
	fullAt time.Duration
	// maxBadShare is the largest share of a bad version from its first fault to its rollback, timeToVerdict the time between the two.
	maxBadShare   float64
	timeToVerdict time.Duration
}

func runShifts(seed uint64, runs int, version func(*rand.Rand) outcomeRates) []shiftResult {
	results := make([]shiftResult, runs)
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(simulationWorkers, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for i := range next {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				results[i] = newShiftRun(random, version(random), i%3 == 0).run()
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}
