package bench

import (
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"
)

// spreadTarget is the time within which an accepted configuration must be in effect at all processes in spreadShare of the changes.
const (
	spreadTarget = 13 * time.Second
	spreadShare  = 0.9999
)

// Numbers of simulated changes; a share of 99.99% needs 10,000. simulationWorkers limits the concurrent simulations.
const (
	spreadChanges      = 10_000
	spreadChangesShort = 400
	simulationWorkers  = 8
)

// measureSpread measures the time until a configuration change is in effect at every process of the design scale, while 1% of the processes
// restart and the platform goes down right after it accepted the change.
//
// Changes run with a version number per process in place of the State of version/config, because the text does not influence which process
// notifies which. The first changes are repeated with the real State at each process and must have the same result.
func measureSpread(o Options) []Figure {
	changes, repeated := spreadChanges, 2
	if o.Short {
		changes, repeated = spreadChangesShort, 1
	}
	results := runChanges(o.Seed, changes)
	times := make([]time.Duration, changes)
	within, calls := 0, 0.0
	for i, r := range results {
		times[i] = r.allAdopted
		if r.allAdopted <= spreadTarget {
			within++
		}
		calls += float64(r.platformCalls)
	}
	slices.Sort(times)
	figure := func(name string, value float64, unit string) Figure {
		return Figure{Measure: "configuration in effect everywhere", Name: name, Value: value, Unit: unit}
	}
	share := figure("changes in effect at 10,790 processes within 13 s", float64(within)/float64(changes), "")
	share.Bounded, share.AtLeast, share.Bound = true, true, spreadShare
	differ := figure("changes that take another time with the real states", countDiffering(o.Seed, repeated, results), "changes")
	differ.Bounded = true
	return []Figure{
		share,
		figure("p50", times[changes/2].Seconds(), "s"),
		figure("p99", times[changes*99/100].Seconds(), "s"),
		figure("largest", times[changes-1].Seconds(), "s"),
		figure("all but the restarting, p99", stableP99(results), "s"),
		figure("platform calls per change, of which 5 by the operator", calls/float64(changes), "calls"),
		differ,
	}
}

// stableP99 returns the 99th percentile, in seconds, of the times at which all processes that did not restart had the change.
func stableP99(results []spreadResult) float64 {
	times := make([]time.Duration, len(results))
	for i, r := range results {
		times[i] = r.stableAdopted
	}
	slices.Sort(times)
	return times[len(times)*99/100].Seconds()
}

// runChanges simulates changes on several cores. Each change has its own seed, so that the results do not depend on scheduling.
func runChanges(seed uint64, changes int) []spreadResult {
	results := make([]spreadResult, changes)
	next := make(chan int)
	var workers sync.WaitGroup
	for range min(simulationWorkers, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			e, versions := newSpreadSimulation(designFleet), &versionStates{}
			for i := range next {
				results[i] = e.run(changeSeed(seed, i), versions)
			}
		})
	}
	for i := range changes {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

func changeSeed(seed uint64, change int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(change)))
}

// countDiffering repeats the first changes with the real states and counts those whose results differ.
func countDiffering(seed uint64, changes int, results []spreadResult) float64 {
	e := newSpreadSimulation(designFleet)
	n := 0.0
	for i := range changes {
		if e.run(changeSeed(seed, i), &realStates{}) != results[i] {
			n++
		}
	}
	return n
}
